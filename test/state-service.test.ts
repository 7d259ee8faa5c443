import { describe, expect, it } from 'vitest';
import { expectAllAnswered, expectAllOver, startWorld, work } from './fakes/scenarios.js';

describe('the state service', () => {
  it('followers keep up past removed keys, folded records among them', async () => {
    const w = await startWorld(10);
    for (let i = 0; i < 130; i++) {
      w.user(w.job({ shifts: 3, reckon_s: 2 }));
      await w.time.run(1500);
    }
    await expectAllOver(w, 200);
    expect(w.state.kv.has('q/head')).toBe(true);
    const lead = w.nodes[w.leader()]!.controller;
    const behind = w.nodes.map((n) => lead.nextRecord - n.controller.nextRecord);
    for (const b of behind) expect(Math.abs(b)).toBeLessThan(5);
  });
});

describe('the state service meets', () => {
  it('transactions carried out late, after newer ones, and folds: nothing is lost at a later start', async () => {
    const w = await startWorld(220);
    w.state.lateMs = () => (w.random() < 0.15 ? 2000 + w.random() * 10_000 : 0);
    for (let i = 0; i < 110; i++) {
      w.user(w.job({ shifts: 3, reckon_s: 2 }), i % 10 === 0 ? 3000 : null);
      await w.time.run(1500);
      if (i % 40 === 39) w.crash(w.leader(), 300);
    }
    w.state.lateMs = () => 0;
    await w.time.run(15_000);
    expect((w.state.kv.get('q/head')?.data as { upto: number }).upto).toBeGreaterThan(200);
    for (const n of [0, 1, 2]) w.crash(n, 300 + n * 200);
    await w.time.run(8000);
    await expectAllAnswered(w);
    await expectAllOver(w, 300);
  });

  it("a fold's write that is carried out after the next fold: neither an earlier head nor its chunks come back", async () => {
    const w = await startWorld(223);
    const heads: number[] = [];
    let late = false;
    let last = 0;
    // The first copy of the second head gets no answer, and is carried out when two more are written.
    w.state.lateMs = (t) => {
      const head = t.apply.find((a) => a.write === 'q/head')?.data as { upto: number } | undefined;
      if (head && heads.at(-1) !== head.upto) heads.push(head.upto);
      if (!head || heads.length !== 2 || late) return 0;
      late = true;
      return 60_000;
    };
    for (let i = 0; i < 220; i++) {
      for (const team of ['red', 'blue']) w.user(w.job({ desk: team, shifts: 2, reckon_s: 1 }));
      await w.time.run(800);
      const upto = (w.state.kv.get('q/head')?.data as { upto: number } | undefined)?.upto ?? 0;
      expect(upto).toBeGreaterThanOrEqual(last);
      last = upto;
    }
    expect(heads.length).toBeGreaterThan(3);
    const chunks = [...w.state.kv.keys()].filter((k) => k.startsWith('q/s/'));
    const head = w.state.kv.get('q/head')!.data as { upto: number; chunks: number };
    expect(head.upto).toBe(heads.at(-1));
    expect(chunks.filter((k) => k.includes(String(head.upto)))).toHaveLength(head.chunks);
    for (const n of [0, 1, 2]) w.crash(n, 300 + n * 200);
    await w.time.run(8000);
    await expectAllAnswered(w);
    await expectAllOver(w, 300);
  });

  it('a write whose answer is lost: what followers say of it, the leader does not take back', async () => {
    const w = await startWorld(224);
    w.state.loses = () => w.random() < 0.3;
    for (let i = 0; i < 12; i++) {
      const j = w.job({ shifts: 2, reckon_s: 3 + w.random() * 5 });
      w.time.after(i * 2500, () => w.user(j, i % 4 === 0 ? 9000 : null));
      for (let t = 0; t < 600; t++)
        w.time.after(
          i * 2500 + t * 100,
          () => w.checker.standing(j.name_id) && void w.ask('show', j.name_id),
        );
    }
    await w.time.run(90_000);
    w.state.loses = () => false;
    await expectAllOver(w, 200);
  });

  it('ten changes of the leader in two minutes, in an outage too, and handing over and back within a second', async () => {
    const w = await startWorld(221);
    const { doomed } = work(w);
    for (const j of doomed) w.user(j, 40_000);
    await w.time.run(20_000);
    const terms: number[] = [];
    for (let i = 0; i < 10; i++) {
      const was = w.leader();
      if (i % 3 === 2) w.time.after(300, () => w.state.outage(5000));
      if (was >= 0) w.crash(was, i % 2 ? 200 : 6000);
      await w.time.run(12_000);
      terms.push(w.nodes[Math.max(0, w.leader())]!.controller.status().term);
    }
    expect(terms).toEqual([...terms].sort((a, b) => a - b));
    expect(new Set(terms).size).toBeGreaterThan(7);
    await expectAllAnswered(w);
    await expectAllOver(w, 300);
  });

  it('all controllers end in the middle of an election, and are back within a fraction of a second', async () => {
    for (const after of [2300, 2450, 2550, 2700]) {
      const w = await startWorld(225);
      const { doomed } = work(w);
      for (const j of doomed) w.user(j, 40_000);
      await w.time.run(20_000);
      const was = w.leader();
      w.crash(was, 200);
      await w.time.run(after);
      for (const n of [0, 1, 2]) if (!w.nodes[n]!.clock.dead) w.crash(n, 150 + n * 100);
      await w.time.run(6000);
      expect(w.leader()).toBeGreaterThanOrEqual(0);
      await expectAllAnswered(w);
      await expectAllOver(w, 300);
    }
  });

  it('all controllers are away for longer than a lease, and one returns', async () => {
    const w = await startWorld(222);
    const two = w.job({ shifts: 2, reckon_s: 12 });
    const three = w.job({ shifts: 3, reckon_s: 90 });
    for (const j of [two, three]) w.user(j);
    await w.time.run(20_000);
    for (const n of [0, 1, 2]) w.crash(n, n === 1 ? 22_000 : 60_000);
    await w.time.run(30_000);
    expect(w.leader()).toBe(1);
    await expectAllAnswered(w);
    await expectAllOver(w, 400);
  });
});
