/**
 * A leader that no worker reaches hands over, but only to a node that workers reach.
 *
 * Guards against a hand-over while no other node can take the lock: the first leader is down for 90 s, the
 * second is frozen for 30 s, and workers find the third after two attempts of 4 s and 1 s each. The third
 * released the lock before that, 5.5 s after it began to lead, and did not acquire it again for 8 s ("lock
 * lost: no worker reaches this node" in the log). Workers were turned away meanwhile, and their leases ended
 * with all their tasks.
 */
import { describe, expect, it } from 'vitest';
import { LeadershipMonitor } from './fakes/leadership.js';
import { expectAllAnswered, expectAllOver, startWorld } from './fakes/scenarios.js';
import type { World } from './fakes/world.js';

const sessions = (world: World): Record<string, number> =>
  Object.fromEntries([...world.workers].map(([id, worker]) => [id, worker.session]));

/** Crashes a node as a power failure does: connections to it hang. */
const powerOff = (world: World, node: number, ms: number): void => {
  for (const address of [`n${node}`, `n${node}:80`, `n${node}:81`]) world.network.cut(address, '*', ms);
  world.crash(node, ms);
};

const nextLeader = async (world: World, former: number): Promise<number> => {
  await world.time.runUntil(() => world.leader() >= 0 && world.leader() !== former, 10_000);
  return world.leader();
};

describe('the first leader is down for 90 s, and the second is frozen for 30 s', () => {
  for (const seed of [420, 421, 422, 423, 424, 425])
    it(`the third keeps leading, and no worker lease ends (seed ${seed})`, async () => {
      const world = await startWorld(seed);
      world.user(world.job({ shifts: 16, reckon_s: 150 }));
      await world.time.run(30_000);
      const first = world.leader();
      powerOff(world, first, 90_000);
      const second = await nextLeader(world, first);
      await world.time.run(16_000);
      const sessionsBefore = sessions(world);
      world.freeze(second, 30_000);
      const third = await nextLeader(world, second);
      expect([first, second]).not.toContain(third);
      const monitor = new LeadershipMonitor(world);
      await world.time.run(20_000);
      expect(world.leader()).toBe(third);
      expect(monitor.stop()).toMatchObject({ changes: 0, conflicts: 0, longestGapMs: 0 });
      expect(sessions(world)).toEqual(sessionsBefore);
      await world.time.run(60_000);
      await expectAllAnswered(world);
      await expectAllOver(world, 300);
    });
});

describe('a leader that no worker reaches', () => {
  it('hands over to a peer that workers reach, and leadership stays there', async () => {
    const world = await startWorld(426);
    world.user(world.job({ shifts: 12, reckon_s: 60 }));
    await world.time.run(25_000);
    const initialLeader = world.leader();
    const sessionsBefore = sessions(world);
    const monitor = new LeadershipMonitor(world);
    for (const id of world.workers.keys()) world.network.cut(id, `n${initialLeader}:80`, 60_000);
    for (const id of world.workers.keys()) world.network.cut(`n${initialLeader}`, `${id}:9000`, 60_000);
    await world.time.run(40_000);
    expect(world.leader()).not.toBe(initialLeader);
    expect(monitor.stop()).toMatchObject({ changes: 1, conflicts: 0 });
    expect(sessions(world)).toEqual(sessionsBefore);
    await expectAllOver(world, 200);
  });

  it('keeps leading if no peer could take over, and its workers come back', async () => {
    const world = await startWorld(427);
    world.user(world.job({ shifts: 12, reckon_s: 60 }));
    await world.time.run(25_000);
    const initialLeader = world.leader();
    for (const other of [0, 1, 2]) if (other !== initialLeader) powerOff(world, other, 90_000);
    await world.time.run(2000);
    const monitor = new LeadershipMonitor(world);
    for (const id of world.workers.keys()) world.network.cut(id, `n${initialLeader}:80`, 8000);
    await world.time.run(30_000);
    expect(world.leader()).toBe(initialLeader);
    expect(monitor.stop()).toMatchObject({ changes: 0, conflicts: 0 });
    await world.time.run(60_000);
    await expectAllOver(world, 200);
  });
});
