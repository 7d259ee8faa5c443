import { describe, expect, it } from 'vitest';
import type { JobOnWire } from './fakes/checker.js';
import {
  CANCEL_MS,
  cancelUntilConfirmed,
  expectAllAnswered,
  expectAllOver,
  refuse,
  resolved,
  startWorld,
  unlink,
  work,
} from './fakes/scenarios.js';
import { type World } from './fakes/world.js';

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
    const w = await startWorld(seed);
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
      const confirmed = await Promise.all(
        all.map((j) => cancelUntilConfirmed(w, j.name_id, () => w.leader())),
      );
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
    await expectAllAnswered(w);
    await expectAllOver(w, 400);
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
    const w = await startWorld(203);
    const { doomed } = work(w);
    await w.time.run(25_000);
    const sessions = new Map([...w.workers].map(([id, x]) => [id, x.session]));
    refuse(w, (w.leader() + 1) % 3, 14_000);
    await w.time.run(2000);
    const at = await cancelUntilConfirmed(w, doomed[0]!.name_id, () => w.leader());
    w.state.outage(55_000);
    await w.time.run(CANCEL_MS + 10 - (w.time.now - at));
    w.checker.finish();
    expect(w.checker.broken).toEqual([]);
    for (const j of doomed.slice(1)) w.user(j, 70_000);
    await w.time.run(20_000);
    for (const [id, s] of sessions) expect(w.workers.get(id)?.session ?? s).toBe(s);
    await expectAllAnswered(w);
    await expectAllOver(w, 600);
  });

  it('an outage that all nodes see costs no lease, however long', async () => {
    const w = await startWorld(204);
    w.user(w.job({ shifts: 8, reckon_s: 200 }));
    await w.time.run(25_000);
    const sessions = [...w.workers.values()].map((x) => x.session);
    w.state.outage(100_000);
    await w.time.run(104_000);
    expect([...w.workers.values()].map((x) => x.session)).toEqual(sessions);
    await expectAllOver(w, 300);
  });
});

describe('cancellations meet', () => {
  it('many running jobs within a fifth of a second, and their machines hang', async () => {
    for (const hang of [10_000, 25_000, 70_000]) {
      const w = await startWorld(210);
      const jobs = [0, 1, 2, 3].map(() => w.job({ shifts: 4, cpus: 4, reckon_s: 400 }));
      for (const j of jobs) w.user(j);
      await w.time.run(35_000);
      const machines = [...w.workers.values()].filter((x) => x.tasks.size > 0).slice(0, 8);
      for (const m of machines) w.hang(m.place.id, hang);
      const at = await Promise.all(jobs.map((j) => cancelUntilConfirmed(w, j.name_id, () => w.leader())));
      await w.time.run(Math.max(...at) + CANCEL_MS + 100 - w.time.now);
      await expectAllOver(w, 10);
      expect(w.checker.lateStarts).toEqual([]);
    }
  });

  it("the end of a job's last task, with a question between and a submission just after", async () => {
    const w = await startWorld(211);
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
    await expectAllOver(w, 200);
    const told = w.checker.accepted().map((id) => w.checker.standing(id));
    expect([told.includes('done'), told.includes('aborted')]).toEqual([true, true]);
    // All nodes tell one story, for ever.
    await expectAllAnswered(w);
    expect(w.checker.broken).toEqual([]);
  });

  it('commands that are held up and then arrive, launches of withdrawn jobs among them', async () => {
    const w = await startWorld(212);
    w.user(w.job({ shifts: 4, reckon_s: 4, kit: 'img-0' }));
    await w.time.run(24_000);
    // The images are there, and the way to the machines is cut and held while a job is launched.
    const all = [...w.workers.keys()];
    for (const m of all) w.network.cut(`${m}:9000`, '*', 3000, true);
    const j = w.job({ shifts: 4, reckon_s: 400, kit: 'img-0' });
    w.checker.submitted(j);
    await resolved(w, w.ask('submit', j.name_id, j, w.leader()));
    await w.time.run(500);
    for (const m of all) w.network.mute(m, 6000);
    await cancelUntilConfirmed(w, j.name_id, () => w.leader());
    await expectAllOver(w, 60);
    await w.time.run(20_000);
    w.checker.finish();
    expect(w.checker.broken).toEqual([]);
  });

  it('a team at its limit when the leader changes and some of its machines cannot be asked', async () => {
    const w = await startWorld(213);
    const blue = [0, 1, 2].map(() => w.job({ desk: 'blue', shifts: 12, cpus: 2, reckon_s: 40 }));
    for (const j of blue) w.user(j);
    await w.time.run(30_000);
    for (const m of [...w.workers.keys()].slice(0, 3)) w.network.cut(m, '*', 9000, true);
    w.crash(w.leader(), 300);
    await w.time.until(() => w.leader() >= 0, 8000);
    await cancelUntilConfirmed(w, blue[0]!.name_id, () => w.leader());
    w.user(w.job({ desk: 'blue', shifts: 20, cpus: 2, reckon_s: 10 }));
    await expectAllOver(w, 400);
  });
});
