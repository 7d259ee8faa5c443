import { describe, expect, it } from 'vitest';
import {
  CANCEL_MS,
  cancelUntilConfirmed,
  expectAllAnswered,
  expectAllOver,
  resolved,
} from './fakes/scenarios.js';
import { box, World } from './fakes/world.js';

const startSmallLimits = async (
  seed: number,
  state: { value_kb: number; txn_ops: number },
): Promise<World> => {
  const world = new World(seed, [box], { state: { rps: 120, write_rps: 50, ...state } });
  world.state.rejectsOversized = true;
  await world.started();
  return world;
};

// Guards against a log that is stuck for good: the ends of the tasks in one report were one entry, which the state
// service refused with 400, and each leader repeated it and wrote nothing else.
describe('an array of many small tasks that is cancelled', () => {
  for (const valueKb of [8, 2])
    for (const crashes of [false, true])
      it(`keeps nothing else from being done, ${valueKb} KiB a value${crashes ? ', and the leader restarts' : ''}`, async () => {
        const world = await startSmallLimits(640, { value_kb: valueKb, txn_ops: 24 });
        const large = world.job({ shifts: 600, cpus: 0.02, mem_gb: 0.02, reckon_s: 600 });
        world.user(large);
        await world.time.runUntil(() => world.checker.startCountOf(large.name_id) === 600, 90_000);
        expect(world.checker.startCountOf(large.name_id)).toBe(600);
        await cancelUntilConfirmed(world, large.name_id, () => world.leader());
        if (crashes) world.time.after(1000, () => world.crash(world.leader(), 300));
        const later = world.job({ shifts: 4, reckon_s: 5 });
        world.user(later);
        await world.time.run(60_000);
        expect(world.checker.standing(later.name_id)).toBe('done');
        await expectAllAnswered(world);
        await expectAllOver(world, 100);
      });
});

describe('an array of the largest size', () => {
  /** A user waits so long for an answer; the tasks' and the other work's bounds are those of the protocol. */
  const ANSWER_MS = 5000;
  const MAX_WAIT_MS = 90_000;
  it('is cancelled, gone and followed by other work in time', async () => {
    const world = await startSmallLimits(645, { value_kb: 8, txn_ops: 24 });
    const large = world.job({ shifts: 100_000, cpus: 0.25, mem_gb: 0.1, reckon_s: 600 });
    world.user(large);
    await world.time.run(60_000);
    const present = (): number =>
      [...world.workers.values()].flatMap(({ tasks }) =>
        [...tasks.values()].filter((task) => task.job === large && task.standing !== 'ended'),
      ).length;
    expect(present()).toBeGreaterThan(200);
    const askedAt = world.time.now;
    const toldAt = await cancelUntilConfirmed(world, large.name_id, () => world.leader());
    expect(toldAt - askedAt).toBeLessThan(ANSWER_MS);
    const later = world.job({ shifts: 20, reckon_s: 5 });
    world.user(later);
    await world.time.runUntil(() => present() === 0, CANCEL_MS);
    expect(present()).toBe(0);
    await world.time.runUntil(() => world.checker.startCountOf(later.name_id) === 20, MAX_WAIT_MS);
    expect(world.checker.startCountOf(later.name_id)).toBe(20);
    await expectAllOver(world, 60);
  });
});

// Guards against a gang that never starts, or starts twice, because its starts are divided between records.
describe('a gang whose starts take several transactions', () => {
  for (const seed of [650, 651])
    it(`is done although the leader ends between them, seed ${seed}`, async () => {
      const world = await startSmallLimits(seed, { value_kb: 1, txn_ops: 4 });
      const gang = world.job({ shape: 'ensemble', shifts: 300, cpus: 0.05, mem_gb: 0.05, reckon_s: 20 });
      world.checker.submitted(gang);
      let parts = 0;
      world.state.losesResponse = (transaction) => {
        const starts = JSON.stringify(transaction.apply).includes('"e":"start"');
        if (starts && ++parts === 1) world.time.after(1, () => world.crash(world.leader(), 300));
        return false;
      };
      await resolved(world, world.ask('submit', gang.name_id, gang, world.leader()));
      world.user(gang);
      await world.time.runUntil(() => world.checker.standing(gang.name_id) === 'done', 300_000);
      expect(parts).toBeGreaterThan(2);
      expect(world.checker.standing(gang.name_id)).toBe('done');
      await expectAllOver(world, 10);
    });
});
