import { describe, expect, it } from 'vitest';
import { lockMs } from '../src/actors/controller.js';
import { answered, begun, over, settle } from './fakes/stories.js';
import { box, World } from './fakes/world.js';

// What on-call people met.

const teams = [
  { name: 'red', cpus: 32, cpus_max: 64 },
  { name: 'blue', cpus: 16, cpus_max: 48 },
  // Nothing guaranteed, and no limit.
  { name: 'guests', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
];

describe('guests without a guarantee', () => {
  it('borrow, give way to guarantees at once, and are served: many single jobs and one huge array', async () => {
    const w = new World(300, [box], { teams });
    for (const z of ['a', 'b']) {
      w.cloud.room.set(`box|${z}|true`, 2);
      w.cloud.room.set(`box|${z}|false`, 4);
    }
    await w.started();
    const guest = { desk: 'guests', urgency: 'low', cpus: 0.25, mem_gb: 0.5, image_gb: 0.5 };
    const huge = w.job({ ...guest, duty: 'wanderung', shifts: 1200, reckon_s: 4, kit: 'g-1' });
    w.user(huge);
    const single = Array.from({ length: 60 }, () =>
      w.job({ ...guest, duty: 'proben', shifts: 1, reckon_s: 20, kit: 'g-2' }),
    );
    for (const [i, j] of single.entries()) w.time.after(10_000 + i * 300, () => w.user(j));
    await w.time.run(35_000);
    const gang = w.job({ shape: 'ensemble', shifts: 3, cpus: 8, urgency: 'high', reckon_s: 10 });
    w.user(gang);
    await w.time.run(30_000);
    // Its team is owed that much: a fetch and a run, whatever the guests hold.
    expect(w.checker.standing(gang.name_id)).toBe('done');
    await w.time.run(60_000);
    // The huge array does not keep the guests' own small jobs waiting until it is over.
    const begun = single.filter((j) => w.checker.started(j.name_id) > 0).length;
    expect(begun).toBeGreaterThan(30);
    await over(w, 300);
    expect(w.state.over).toBe(0);
  });
});

describe('machines that come up late or never', () => {
  it('are replaced once, and returned or used when they come after all', async () => {
    const w = new World(310);
    w.cloud.bootTimes = (i) => (i < 3 ? Infinity : i === 3 ? 8 : 1);
    await w.started();
    w.user(w.job({ shifts: 16, cpus: 2, reckon_s: 20 }));
    await over(w, 150);
    // Four machines hold the job; three never came, and one came late.
    expect(w.cloud.rentals).toBeLessThanOrEqual(9);
    await w.time.run(120_000);
    expect(w.cloud.machines.size).toBe(0);
  });
});

describe('machines that all come up late', () => {
  // Returned at three and a half times their nominal time they never came up, and were rented anew for ever.
  for (const times of [4, 6, 9])
    it(`by ${times} times: they are waited for, and replaced once`, async () => {
      const w = new World(311, [{ ...box, boot: 20 }]);
      w.cloud.bootTimes = () => times;
      await w.started();
      w.user(w.job({ shifts: 16, cpus: 2, reckon_s: 20 }));
      await over(w, 60 + times * 20);
      expect(w.cloud.rentals).toBeLessThanOrEqual(8);
    });
});

describe('controllers are silent for a minute and more', () => {
  for (const all of [false, true])
    it(`${all ? 'all of them' : 'the leader, and nobody knows it gone'}: work goes on, nothing is forgotten`, async () => {
      const w = await begun(all ? 321 : 320);
      w.user(w.job({ shifts: 16, reckon_s: 40 }));
      w.user(w.job({ shape: 'ensemble', shifts: 2, cpus: 6, reckon_s: 40 }));
      await w.time.run(25_000);
      const was = w.leader();
      const silent = all ? [0, 1, 2] : [was];
      for (const n of silent) {
        w.network.cut(`n${n}`, '*', 70_000, true);
        for (const a of [`n${n}:80`, `n${n}:81`]) w.network.cut(a, '*', 70_000, true);
      }
      if (!all) {
        await w.time.run(12_000);
        expect(w.leader()).not.toBe(was);
        w.user(w.job({ shifts: 6, reckon_s: 5 }));
        await w.time.run(30_000);
      }
      await w.time.run(75_000);
      await answered(w);
      await over(w, 200);
    });

  it('standing still while their clocks run on, two of them one after the other', async () => {
    const w = await begun(322);
    w.user(w.job({ shifts: 16, reckon_s: 40 }));
    await w.time.run(25_000);
    w.freeze(w.leader(), 30_000);
    await w.time.run(9000);
    w.freeze(w.leader(), 65_000);
    await w.time.run(70_000);
    await answered(w);
    await over(w, 200);
  });
});

describe('a flood of questions', () => {
  it('is answered in time from the log: followers ask the leader once for all of them', async () => {
    const w = await begun(330);
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
    await over(w, 200);
  });
});

describe('jobs submitted with a mistake', () => {
  it('fail on every machine until they are cancelled: they spoil no machine and starve nobody', async () => {
    const w = await begun(340);
    const bad = Array.from({ length: 6 }, (_, i) =>
      w.job({ shifts: 3, cpus: 1, desk: i % 2 ? 'red' : 'blue', urgency: 'high' }),
    );
    for (const j of bad) {
      w.failing.add(j.name_id);
      w.user(j, 90_000);
    }
    const good = Array.from({ length: 10 }, () => w.job({ shifts: 4, reckon_s: 15 }));
    for (const [i, j] of good.entries()) w.time.after(i * 5000, () => w.user(j));
    await w.time.run(40_000);
    const gone = [...w.cloud.machines.values()].filter((m) => w.workers.get(m.id)?.faulty);
    expect(gone).toEqual([]);
    await w.time.run(45_000);
    for (const j of good) expect(w.checker.standing(j.name_id)).toBe('done');
    for (const j of bad) expect(w.checker.standing(j.name_id)).toBe('accepted');
    // Backing off: not one start a second for each of their tasks.
    for (const j of bad) expect(w.checker.started(j.name_id)).toBeLessThan(40);
    await over(w, 200);
  });
});

describe('the settings of a site with guests', () => {
  it('let their work in, though both of their numbers are 0', async () => {
    const w = new World(350, [box], { teams });
    await w.started();
    const j = w.job({ desk: 'guests', shifts: 2 });
    w.checker.submitted(j);
    expect((await settle(w, w.ask('submit', j.name_id, j))).status).toBe(201);
    w.user(j);
    await over(w, 100);
  });
});

describe('a former leader', () => {
  it('reads only what was written since, not the snapshot', async () => {
    const w = await begun(71);
    w.user(w.job({ shifts: 4, reckon_s: 60 }));
    await w.time.run(5000);
    const former = w.leader();
    const handle = w.state.handle.bind(w.state);
    const lists: string[] = [];
    w.state.handle = (from, method, path, body) => {
      if (from === `n${former}` && path.startsWith('/kv?')) lists.push(path);
      return handle(from, method, path, body);
    };
    // It loses the lock, and for a while it can't read what the next leader writes.
    w.state.refusedTo.add(`n${former}`);
    expect(await w.time.until(() => w.leader() >= 0 && w.leader() !== former, 8000)).toBe(true);
    await w.time.run(3000);
    w.state.refusedTo.delete(`n${former}`);
    w.user(w.job({ shifts: 4, reckon_s: 60 }));
    await w.time.run(8000);
    const [mine, theirs] = [former, w.leader()].map((n) => w.nodes[n]!.controller);
    expect(mine!.position).toBe(theirs!.position);
    expect(mine!.dump()).toEqual(theirs!.dump());
    expect(lists.filter((path) => path.includes('under=q%2F&'))).toEqual([]);
    expect(lists.length).toBeGreaterThan(0);
    await over(w, 200);
  });
});

describe('the lease of the leader key', () => {
  it('grows as the share of a core shrinks, up to a third of a worker lease', () => {
    expect([1, 0.34, 0.136].map((share) => lockMs(share, 16))).toEqual([2500, 2500, 2500]);
    expect(lockMs(0.1, 16)).toBe(3400);
    expect(lockMs(0.04, 18)).toBe(6000);
  });
});
