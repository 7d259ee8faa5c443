import { describe, expect, it } from 'vitest';
import type { JobOnWire } from './fakes/checker.js';
import { box, World } from './fakes/world.js';
import { answered, begun, over, settle } from './fakes/stories.js';

// Two troubles at once: most rules that were seen broken broke there.

const CANCEL_MS = 45_000;

/** Withdraws until it is confirmed; the time of that. */
const withdraw = async (w: World, id: string, at: () => number): Promise<number> => {
  for (let i = 0; i < 40; i++) {
    const r = await settle(w, w.ask('withdraw', id, undefined, at()));
    if (r.standing === 'aborted') return w.time.now;
    await w.time.run(200);
  }
  throw new Error(`${id} was never withdrawn`);
};

const refuse = (w: World, n: number, ms: number): void => {
  w.state.refusedTo.add(`n${n}`);
  w.time.after(ms, () => w.state.refusedTo.delete(`n${n}`));
};

const unlink = (w: World, n: number, ms: number): void => {
  w.network.cut(`n${n}:81`, '*', ms);
  for (const o of [0, 1, 2]) w.network.cut(`n${n}`, `n${o}:81`, ms);
};

/** Long work that is withdrawn, and some that is not. */
const work = (w: World): { doomed: JobOnWire[]; kept: JobOnWire } => {
  const doomed = [0, 1, 2].map(() => w.job({ shifts: 6, reckon_s: 400, kit: 'img-0' }));
  const kept = w.job({ desk: 'blue', shifts: 4, reckon_s: 60 });
  for (const j of [...doomed, kept]) w.user(j);
  return { doomed, kept };
};

describe('the leader alone is refused, another confirms cancellations, then the service is down for all', () => {
  interface Gap {
    /** What else goes wrong from the refusal on, and what after the confirmations. */
    during?: (w: World, was: number) => void;
    after?: (w: World, was: number, lead: number) => void;
    times?: number;
    /** Whether the work that nobody withdrew lives through it. */
    keeps?: boolean;
  }
  const gap = async (seed: number, g: Gap): Promise<void> => {
    const w = await begun(seed);
    const { doomed, kept } = work(w);
    await w.time.run(25_000 + w.random() * 3000);
    for (let i = 0; i < (g.times ?? 1); i++) {
      const was = w.leader();
      refuse(w, was, 14_000);
      g.during?.(w, was);
      await w.time.until(() => w.leader() >= 0 && w.leader() !== was, 8000);
      const lead = w.leader();
      expect(lead).not.toBe(was);
      const all = i === 0 ? doomed.slice(0, g.times ? 1 : 3) : doomed.slice(1);
      const confirmed = await Promise.all(all.map((j) => withdraw(w, j.name_id, () => w.leader())));
      const sessions = new Map([...w.workers].map(([id, x]) => [id, x.session]));
      const down = 70_000;
      w.state.outage(down);
      g.after?.(w, was, lead);
      await w.time.run(confirmed[0]! + CANCEL_MS + 10 - w.time.now);
      // Names every task that is still on a machine.
      w.checker.finish();
      expect(w.checker.broken).toEqual([]);
      if (g.keeps) for (const [id, s] of sessions) expect(w.workers.get(id)?.session).toBe(s);
      await w.time.run(down - CANCEL_MS + 8000);
    }
    w.user(kept);
    await answered(w);
    await over(w, 400);
  };
  const others = (w: World): string[] => [...w.workers.keys()];
  const deafToCalls = (w: World, ms = 90_000): void => {
    for (const m of others(w)) w.network.cut(`${m}:9000`, '*', ms);
  };
  const meetings: Record<string, Gap> = {
    'and nothing else': { keeps: true },
    'and the new leader ends after confirming': { after: (w, _, lead) => w.crash(lead, 300) },
    'and connections between the controllers are refused': {
      during: (w, was) => unlink(w, was, 90_000),
    },
    'and direct calls are lost': { during: deafToCalls, keeps: true },
    'and direct calls are lost, and the controllers reach each other no more': {
      during: (w, was) => (deafToCalls(w), unlink(w, was, 90_000)),
    },
    'and the new leader ends with its links and direct calls lost': {
      during: (w, was) => (deafToCalls(w), unlink(w, was, 90_000)),
      after: (w, _, lead) => w.crash(lead, 100_000),
    },
    'twice in a row': { times: 2 },
    'and all controllers end inside the outage': {
      after: (w) => w.time.after(5000, () => [0, 1, 2].forEach((n) => w.crash(n, 300 + n * 1000))),
    },
    'and no worker can be told anything for as long as the lock lasts': {
      during: (w) => deafToCalls(w, 8000),
      after: (w) => others(w).forEach((m) => w.network.mute(m, 4000)),
      keeps: true,
    },
    'and machines hang until long after': {
      during: (w) =>
        others(w)
          .slice(0, 2)
          .forEach((m) => w.hang(m, 90_000)),
    },
  };
  for (const [name, g] of Object.entries(meetings))
    for (const seed of [200, 201, 202, 205, 206]) it(`${name}, seed ${seed}`, () => gap(seed, g));

  it('and the refused node is a follower: no work is lost', async () => {
    const w = await begun(203);
    const { doomed } = work(w);
    await w.time.run(25_000);
    const sessions = new Map([...w.workers].map(([id, x]) => [id, x.session]));
    refuse(w, (w.leader() + 1) % 3, 14_000);
    await w.time.run(2000);
    const at = await withdraw(w, doomed[0]!.name_id, () => w.leader());
    w.state.outage(55_000);
    await w.time.run(CANCEL_MS + 10 - (w.time.now - at));
    w.checker.finish();
    expect(w.checker.broken).toEqual([]);
    for (const j of doomed.slice(1)) w.user(j, 70_000);
    await w.time.run(20_000);
    for (const [id, s] of sessions) expect(w.workers.get(id)?.session ?? s).toBe(s);
    await answered(w);
    await over(w, 600);
  });

  it('an outage that all nodes see costs no lease, however long', async () => {
    const w = await begun(204);
    w.user(w.job({ shifts: 8, reckon_s: 200 }));
    await w.time.run(25_000);
    const sessions = [...w.workers.values()].map((x) => x.session);
    w.state.outage(100_000);
    await w.time.run(104_000);
    expect([...w.workers.values()].map((x) => x.session)).toEqual(sessions);
    await over(w, 300);
  });
});

describe('cancellations meet', () => {
  it('many running jobs within a fifth of a second, and their machines hang', async () => {
    for (const hang of [10_000, 25_000, 70_000]) {
      const w = await begun(210);
      const jobs = [0, 1, 2, 3].map(() => w.job({ shifts: 4, cpus: 4, reckon_s: 400 }));
      for (const j of jobs) w.user(j);
      await w.time.run(35_000);
      const machines = [...w.workers.values()].filter((x) => x.tasks.size > 0).slice(0, 8);
      for (const m of machines) w.hang(m.place.id, hang);
      const at = await Promise.all(jobs.map((j) => withdraw(w, j.name_id, () => w.leader())));
      await w.time.run(Math.max(...at) + CANCEL_MS + 100 - w.time.now);
      await over(w, 10);
      expect(w.checker.lateStarts).toEqual([]);
    }
  });

  it("the end of a job's last task, with a question between and a submission just after", async () => {
    const w = await begun(211);
    w.checker.onAllDone = (id) => {
      const at = Math.floor(w.random() * 3);
      w.time.after(w.random() * 600, () => void w.ask('withdraw', id, undefined, at));
      w.time.after(w.random() * 600, () => void w.ask('show', id));
      w.time.after(w.random() * 900, () => void w.ask('submit', id, jobs.get(id)));
    };
    const jobs = new Map<string, JobOnWire>();
    for (let i = 0; i < 40; i++) {
      const j = w.job({ shifts: 1 + (i % 3), reckon_s: 2 + w.random() * 20 });
      jobs.set(j.name_id, j);
      w.time.after(w.random() * 60_000, () => w.user(j));
    }
    w.time.after(35_000, () => w.crash(w.leader(), 300));
    await w.time.run(75_000);
    await over(w, 200);
    const told = w.checker.accepted().map((id) => w.checker.standing(id));
    expect([told.includes('done'), told.includes('aborted')]).toEqual([true, true]);
    // All nodes tell one story, for ever.
    await answered(w);
    expect(w.checker.broken).toEqual([]);
  });

  it('commands that are held up and then arrive, launches of withdrawn jobs among them', async () => {
    const w = await begun(212);
    w.user(w.job({ shifts: 4, reckon_s: 4, kit: 'img-0' }));
    await w.time.run(24_000);
    // The images are there, and the way to the machines is cut and held while a job is launched.
    const all = [...w.workers.keys()];
    for (const m of all) w.network.cut(`${m}:9000`, '*', 3000, true);
    const j = w.job({ shifts: 4, reckon_s: 400, kit: 'img-0' });
    w.checker.submitted(j);
    await settle(w, w.ask('submit', j.name_id, j, w.leader()));
    await w.time.run(500);
    for (const m of all) w.network.mute(m, 6000);
    await withdraw(w, j.name_id, () => w.leader());
    await over(w, 60);
    await w.time.run(20_000);
    w.checker.finish();
    expect(w.checker.broken).toEqual([]);
  });

  it('a team at its limit when the leader changes and some of its machines cannot be asked', async () => {
    const w = await begun(213);
    const blue = [0, 1, 2].map(() => w.job({ desk: 'blue', shifts: 12, cpus: 2, reckon_s: 40 }));
    for (const j of blue) w.user(j);
    await w.time.run(30_000);
    for (const m of [...w.workers.keys()].slice(0, 3)) w.network.cut(m, '*', 9000, true);
    w.crash(w.leader(), 300);
    await w.time.until(() => w.leader() >= 0, 8000);
    await withdraw(w, blue[0]!.name_id, () => w.leader());
    w.user(w.job({ desk: 'blue', shifts: 20, cpus: 2, reckon_s: 10 }));
    await over(w, 400);
  });
});

describe('the state service meets', () => {
  it('transactions carried out late, after newer ones, and folds: nothing is lost at a later start', async () => {
    const w = await begun(220);
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
    await answered(w);
    await over(w, 300);
  });

  it("a fold's write that is carried out after the next fold: neither an earlier head nor its chunks come back", async () => {
    const w = await begun(223);
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
    await answered(w);
    await over(w, 300);
  });

  it('a write whose answer is lost: what followers say of it, the leader does not take back', async () => {
    const w = await begun(224);
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
    await over(w, 200);
  });

  it('ten changes of the leader in two minutes, in an outage too, and handing over and back within a second', async () => {
    const w = await begun(221);
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
    await answered(w);
    await over(w, 300);
  });

  it('all controllers end in the middle of an election, and are back within a fraction of a second', async () => {
    for (const after of [2300, 2450, 2550, 2700]) {
      const w = await begun(225);
      const { doomed } = work(w);
      for (const j of doomed) w.user(j, 40_000);
      await w.time.run(20_000);
      const was = w.leader();
      w.crash(was, 200);
      await w.time.run(after);
      for (const n of [0, 1, 2]) if (!w.nodes[n]!.clock.dead) w.crash(n, 150 + n * 100);
      await w.time.run(6000);
      expect(w.leader()).toBeGreaterThanOrEqual(0);
      await answered(w);
      await over(w, 300);
    }
  });

  it('all controllers are away for longer than a lease, and one returns', async () => {
    const w = await begun(222);
    const two = w.job({ shifts: 2, reckon_s: 12 });
    const three = w.job({ shifts: 3, reckon_s: 90 });
    for (const j of [two, three]) w.user(j);
    await w.time.run(20_000);
    for (const n of [0, 1, 2]) w.crash(n, n === 1 ? 22_000 : 60_000);
    await w.time.run(30_000);
    expect(w.leader()).toBe(1);
    await answered(w);
    await over(w, 400);
  });
});

describe('machines meet', () => {
  it('mute ones, whom direct commands still reach, hold no withdrawn work and are fenced', async () => {
    const w = await begun(230);
    const { doomed } = work(w);
    await w.time.run(28_000);
    const mute = [...w.workers.keys()].slice(0, 2);
    for (const m of mute) w.network.mute(m, 1e9);
    w.crash(w.leader(), 5000);
    await w.time.until(() => w.leader() >= 0, 8000);
    for (const j of doomed) await withdraw(w, j.name_id, () => w.leader());
    await w.time.run(3000);
    for (const m of mute)
      for (const t of w.workers.get(m)?.tasks.values() ?? [])
        if (doomed.includes(t.job)) expect(t.standing).toBe('ended');
    await w.time.run(25_000);
    for (const m of mute) expect(w.cloud.machines.has(m)).toBe(false);
    await over(w, 300);
  });

  it('a job bound to one zone, arrays too, that loses machines there: it is neither misplaced nor left', async () => {
    const w = await begun(231);
    w.user(w.job({ yard: 'b', shifts: 12, reckon_s: 40 }));
    w.user(w.job({ together: true, desk: 'blue', shifts: 12, cpus: 2, reckon_s: 40 }));
    w.user(w.job({ shape: 'ensemble', together: true, shifts: 2, cpus: 5, reckon_s: 40 }));
    await w.time.run(25_000);
    const zoneB = [...w.cloud.machines.values()].filter((m) => m.zone === 'b').map((m) => m.id);
    for (const [i, m] of zoneB.entries())
      if (i % 3 === 0) w.cloud.lose(m, 'missing');
      else w.network.cut(m, '*', 20_000, true);
    w.time.after(3000, () => w.crash(w.leader(), 300));
    await w.time.run(40_000);
    for (let i = 0; i < 20; i++) {
      await w.time.run(6000);
      w.checker.waits([...w.workers.values()].map((x) => x.free));
    }
    await over(w, 300);
  });

  it('more work than room over slow links: stops of withdrawn jobs go first', async () => {
    const w = new World(232, [box], { machine_limits: { sockets: 100 } });
    for (const z of ['a', 'b']) w.cloud.room.set(`box|${z}|false`, 4);
    await w.started();
    const low = w.job({ urgency: 'low', shifts: 30, cpus: 1, reckon_s: 300 });
    w.user(low);
    for (let i = 0; i < 40; i++)
      w.time.after(i * 500, () => w.user(w.job({ shifts: 6, cpus: 1, reckon_s: 8 })));
    await w.time.run(40_000);
    w.network.delay = () => 400 + w.random() * 300;
    const at = await withdraw(w, low.name_id, () => w.leader());
    await w.time.run(at + 8000 - w.time.now);
    for (const x of w.workers.values())
      for (const t of x.tasks.values()) if (t.job === low) expect(t.standing).toBe('ended');
    w.network.delay = () => 1 + w.random() * 4;
    await over(w, 900);
  });

  it('reports that are held back until a new leader acts, and old ones after newer, of earlier attempts too', async () => {
    const w = new World(233);
    w.network.copies = 0.5;
    await w.started();
    w.user(w.job({ shifts: 12, reckon_s: 15 }));
    w.user(w.job({ shape: 'ensemble', shifts: 2, cpus: 6, reckon_s: 25 }));
    await w.time.run(24_000);
    const was = w.leader();
    for (const m of w.workers.keys()) w.network.cut(m, `n${was}:80`, 9000, true);
    w.crash(was, 4000);
    for (const x of [...w.workers.values()].slice(0, 2)) x.nextSession();
    await over(w, 300);
    await answered(w);
  });
});

describe('odd requests', () => {
  it('are answered at once on every node, with a leader and without', async () => {
    const w = await begun(240);
    const done = w.job({ shifts: 1, reckon_s: 2 });
    const open = w.job({ shifts: 2, reckon_s: 300 });
    for (const j of [done, open]) w.user(j);
    await w.time.until(() => w.checker.standing(done.name_id) === 'done', 60_000);
    const huge = { ...w.job(), cpus: 99 };
    const ask = async (n: number): Promise<unknown[]> => {
      const from = w.time.now;
      const out = [
        await settle(w, w.ask('submit', open.name_id, open, n)),
        await settle(w, w.ask('withdraw', done.name_id, undefined, n)),
        await settle(w, w.ask('withdraw', 'wk-777777', undefined, n)),
        await settle(w, w.ask('submit', huge.name_id, huge, n)),
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
    await withdraw(w, open.name_id, () => w.leader());
    await over(w, 100);
  });
});
