import { describe, expect, it } from 'vitest';
import { cancelUntilConfirmed, expectAllOver, resolved, startWorld } from './fakes/scenarios.js';

describe('repeated, late, unknown and unsatisfiable requests', () => {
  it('are answered within 2 s on every node, with and without the state service', async () => {
    const world = await startWorld(240);
    const done = world.job({ shifts: 1, reckon_s: 2 });
    const open = world.job({ shifts: 2, reckon_s: 300 });
    for (const job of [done, open]) world.user(job);
    await world.time.runUntil(() => world.checker.standing(done.name_id) === 'done', 60_000);
    const tooLarge = { ...world.job(), cpus: 99 };
    const askAll = async (node: number): Promise<unknown[]> => {
      const from = world.time.now;
      const out = [
        await resolved(world, world.ask('submit', open.name_id, open, node)),
        await resolved(world, world.ask('withdraw', done.name_id, undefined, node)),
        await resolved(world, world.ask('withdraw', 'wk-777777', undefined, node)),
        await resolved(world, world.ask('submit', tooLarge.name_id, tooLarge, node)),
      ].map((a) => [a.status, a.standing]);
      expect(world.time.now - from).toBeLessThan(2000);
      return out;
    };
    const expected = [
      [200, 'running'],
      [200, 'done'],
      [404, undefined],
      [422, undefined],
    ];
    for (const node of [0, 1, 2]) expect(await askAll(node)).toEqual(expected);
    // Without the state service, requests that cannot be answered are refused; finished jobs are still
    // reported.
    world.state.outage(20_000);
    await world.time.run(4000);
    for (const node of [0, 1, 2]) {
      const [repeat, late, unknown, unfit] = (await askAll(node)) as [number, string][];
      expect(late).toEqual([200, 'done']);
      for (const refusal of [repeat, unknown, unfit]) expect([503, 422]).toContain(refusal![0]);
    }
    world.checker.cancellationRequested(open.name_id);
    await world.time.run(25_000);
    await cancelUntilConfirmed(world, open.name_id, () => world.leader());
    await expectAllOver(world, 100);
  });
});

describe('a high rate of status queries', () => {
  it('is answered within 500 ms from the log, with one position query to the leader for many of them', async () => {
    const world = await startWorld(330);
    const jobs = Array.from({ length: 20 }, () => world.job({ shifts: 2, reckon_s: 40 }));
    for (const job of jobs) world.user(job);
    await world.time.run(5000);
    const leader = world.leader();
    const before = world.network.requestCounts.get(`n${leader}:81`) ?? 0;
    const slowMs: number[] = [];
    const failed: number[] = [];
    let answers = 0;
    for (let i = 0; i < 2000; i++)
      world.time.after(i * 5, () => {
        const from = world.time.now;
        void world.ask('show', jobs[i % 20]!.name_id, undefined, (leader + 1 + (i % 2)) % 3).then((a) => {
          answers++;
          if (world.time.now - from > 500) slowMs.push(world.time.now - from);
          if (a.status !== 200) failed.push(a.status);
        });
      });
    await world.time.run(11_000);
    expect([answers, slowMs, failed]).toEqual([2000, [], []]);
    // Two followers with at most one position query per 50 ms each, beside the status messages.
    expect((world.network.requestCounts.get(`n${leader}:81`) ?? 0) - before).toBeLessThan(600);
    expect(world.state.rateLimited).toBe(0);
    await expectAllOver(world, 200);
  });
});
