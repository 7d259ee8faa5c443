import { describe, expect, it } from 'vitest';
import { cancelUntilConfirmed, expectAllOver, resolved, startWorld } from './fakes/scenarios.js';

describe('odd requests', () => {
  it('are answered at once on every node, with a leader and without', async () => {
    const w = await startWorld(240);
    const done = w.job({ shifts: 1, reckon_s: 2 });
    const open = w.job({ shifts: 2, reckon_s: 300 });
    for (const j of [done, open]) w.user(j);
    await w.time.until(() => w.checker.standing(done.name_id) === 'done', 60_000);
    const huge = { ...w.job(), cpus: 99 };
    const ask = async (n: number): Promise<unknown[]> => {
      const from = w.time.now;
      const out = [
        await resolved(w, w.ask('submit', open.name_id, open, n)),
        await resolved(w, w.ask('withdraw', done.name_id, undefined, n)),
        await resolved(w, w.ask('withdraw', 'wk-777777', undefined, n)),
        await resolved(w, w.ask('submit', huge.name_id, huge, n)),
      ].map((a) => [a.status, a.standing]);
      expect(w.time.now - from).toBeLessThan(2000);
      return out;
    };
    const settled = [
      [200, 'running'],
      [200, 'done'],
      [404, undefined],
      [422, undefined],
    ];
    for (const n of [0, 1, 2]) expect(await ask(n)).toEqual(settled);
    // Without the state service what can't be told is refused, and what is over is told.
    w.state.outage(20_000);
    await w.time.run(4000);
    for (const n of [0, 1, 2]) {
      const [repeat, late, unknown, unfit] = (await ask(n)) as [number, string][];
      expect(late).toEqual([200, 'done']);
      for (const x of [repeat, unknown, unfit]) expect([503, 422]).toContain(x![0]);
    }
    w.checker.willWithdraw(open.name_id);
    await w.time.run(25_000);
    await cancelUntilConfirmed(w, open.name_id, () => w.leader());
    await expectAllOver(w, 100);
  });
});

describe('a flood of questions', () => {
  it('is answered in time from the log: followers ask the leader once for all of them', async () => {
    const w = await startWorld(330);
    const jobs = Array.from({ length: 20 }, () => w.job({ shifts: 2, reckon_s: 40 }));
    for (const j of jobs) w.user(j);
    await w.time.run(5000);
    const lead = w.leader();
    const before = w.network.requests.get(`n${lead}:81`) ?? 0;
    const late: number[] = [];
    const wrong: number[] = [];
    let answers = 0;
    for (let i = 0; i < 2000; i++)
      w.time.after(i * 5, () => {
        const from = w.time.now;
        void w.ask('show', jobs[i % 20]!.name_id, undefined, (lead + 1 + (i % 2)) % 3).then((a) => {
          answers++;
          if (w.time.now - from > 500) late.push(w.time.now - from);
          if (a.status !== 200) wrong.push(a.status);
        });
      });
    await w.time.run(11_000);
    expect([answers, late, wrong]).toEqual([2000, [], []]);
    // Two followers, at most every 50 ms, beside the statuses.
    expect((w.network.requests.get(`n${lead}:81`) ?? 0) - before).toBeLessThan(600);
    expect(w.state.over).toBe(0);
    await expectAllOver(w, 200);
  });
});
