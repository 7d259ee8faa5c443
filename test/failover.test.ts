import { describe, expect, it } from 'vitest';
import { lockLeaseDurationMs } from '../src/actors/lock.js';
import { expectAllAnswered, expectAllOver, resolved, startWorld } from './fakes/scenarios.js';
import { World } from './fakes/world.js';

describe('controllers fail', () => {
  it('another leads after a crash, and nothing runs twice', async () => {
    const w = await startWorld(3);
    w.user(w.job({ shifts: 20, reckon_s: 20 }));
    w.user(w.job({ shape: 'ensemble', shifts: 2, cpus: 6 }));
    await w.time.run(18_000);
    const was = w.leader();
    w.crash(was, 6000);
    await w.time.run(4500);
    expect(w.leader()).not.toBe(was);
    expect(w.leader()).toBeGreaterThanOrEqual(0);
    await expectAllOver(w, 200);
  });

  it('another leads after a crash even when no watch tells that the lock is free', async () => {
    const w = new World(9);
    w.state.muteLeases = true;
    await w.started();
    const was = w.leader();
    w.crash(was, 60_000);
    await w.time.run(6000);
    expect(w.leader()).toBeGreaterThanOrEqual(0);
  });

  it('all crash at once, one of them back within a fraction of a second', async () => {
    const w = await startWorld(4);
    w.user(w.job({ shifts: 20, reckon_s: 20 }));
    w.user(w.job({ shifts: 4, reckon_s: 300 }), 40_000);
    await w.time.run(20_000);
    w.crash(0, 300);
    w.crash(1, 6000);
    w.crash(2, 6000);
    await expectAllOver(w, 300);
  });

  it('keeps leases alive through an outage of the state service', async () => {
    const w = await startWorld(5);
    w.user(w.job({ shifts: 8, reckon_s: 60 }));
    await w.time.run(30_000);
    const sessions = [...w.workers.values()].map((x) => x.session);
    w.state.outage(30_000);
    await w.time.run(10_000);
    const j = w.job();
    w.checker.submitted(j);
    const r = await resolved(w, w.ask('submit', j.name_id, j));
    expect(r.status).toBe(503);
    expect(r.retryAfter).toBeGreaterThan(0);
    await w.time.run(21_000);
    expect([...w.workers.values()].map((x) => x.session)).toEqual(sessions);
    await expectAllOver(w, 200);
  });

  it('a leader that alone is refused by the state service gives way', async () => {
    const w = await startWorld(6);
    w.user(w.job({ shifts: 12, reckon_s: 30 }));
    await w.time.run(20_000);
    const was = w.leader();
    w.state.refusedTo.add(`n${was}`);
    await w.time.run(6000);
    expect(w.leader()).not.toBe(was);
    expect(w.leader()).toBeGreaterThanOrEqual(0);
    w.time.after(20_000, () => w.state.refusedTo.clear());
    await expectAllOver(w, 200);
  });
});

describe('a leader that is cut off', () => {
  it('from all but the state service hands over', async () => {
    const w = await startWorld(11);
    w.user(w.job({ shifts: 12, reckon_s: 40 }));
    await w.time.run(25_000);
    const was = w.leader();
    const n = `n${was}`;
    for (const a of [`${n}:80`, `${n}:81`]) w.network.cut(a, '*', 40_000, true);
    for (const o of [0, 1, 2]) w.network.cut(n, `n${o}:81`, 40_000, true);
    for (const m of w.workers.keys()) w.network.cut(n, `${m}:9000`, 40_000, true);
    const sessions = [...w.workers.values()].map((x) => x.session);
    await w.time.run(14_000);
    expect(w.leader()).not.toBe(was);
    expect(w.leader()).toBeGreaterThanOrEqual(0);
    await w.time.run(6000);
    expect([...w.workers.values()].map((x) => x.session)).toEqual(sessions);
    await expectAllOver(w, 200);
  });

  it('from the workers alone hands over', async () => {
    const w = await startWorld(12);
    w.user(w.job({ shifts: 12, reckon_s: 40 }));
    await w.time.run(25_000);
    const was = w.leader();
    for (const m of w.workers.keys()) {
      w.network.cut(m, `n${was}:80`, 40_000, true);
      w.network.cut(`n${was}`, `${m}:9000`, 40_000, true);
    }
    await w.time.run(14_000);
    expect(w.leader()).not.toBe(was);
    await expectAllOver(w, 200);
  });
});

describe('a controller stands still', () => {
  it('a leader gives way, commands nothing on waking, and is ready again', async () => {
    const w = await startWorld(60);
    w.user(w.job({ shifts: 16, reckon_s: 30 }));
    w.user(w.job({ shape: 'ensemble', shifts: 2, cpus: 6, reckon_s: 40 }));
    await w.time.run(25_000);
    const was = w.leader();
    const sessions = [...w.workers.values()].map((x) => x.session);
    w.freeze(was, 22_000);
    await w.time.run(12_000);
    expect(w.leader()).not.toBe(was);
    expect(w.leader()).toBeGreaterThanOrEqual(0);
    await w.time.run(13_000);
    expect(w.nodes[was]!.controller.isReady()).toBe(true);
    expect([...w.workers.values()].map((x) => x.session)).toEqual(sessions);
    await expectAllOver(w, 200);
  });

  it('a leader whose lock outlives it takes no silence of its own for that of machines', async () => {
    const w = await startWorld(61);
    w.user(w.job({ shifts: 16, reckon_s: 60 }));
    await w.time.run(30_000);
    const was = w.leader();
    const rented = w.cloud.rentals;
    const here = [...w.cloud.machines.keys()];
    // The outage gives the leader's lease its full time again after the standstill.
    w.state.outage(28_000);
    w.freeze(was, 27_000);
    await w.time.run(36_000);
    expect(w.leader()).toBe(was);
    expect([...w.cloud.machines.keys()]).toEqual(here);
    expect(w.cloud.rentals).toBe(rented);
    await expectAllOver(w, 300);
  });
});

describe('connections between controllers are refused', () => {
  it('every accepted job stays answerable everywhere, and nodes without a leader leave the balancer', async () => {
    const w = await startWorld(62);
    const j = w.job({ shifts: 12, reckon_s: 25 });
    w.user(j);
    await w.time.run(20_000);
    const was = w.leader();
    for (const n of [0, 1, 2]) w.network.cut(`n${n}:81`, '*', 40_000);
    await w.time.run(5500);
    for (const n of [0, 1, 2]) {
      expect(w.nodes[n]!.controller.isReady()).toBe(n === was);
      expect((await resolved(w, w.ask('show', j.name_id, undefined, n))).status).toBe(200);
      expect((await resolved(w, w.ask('submit', j.name_id, j, n))).status).toBe(200);
      expect((await resolved(w, w.ask('show', 'wk-999999', undefined, n))).status).toBe(404);
    }
    const other = w.job();
    w.checker.submitted(other);
    const from = w.time.now;
    const refused = await resolved(w, w.ask('submit', other.name_id, other, (was + 1) % 3));
    expect([refused.status, w.time.now - from < 300]).toEqual([503, true]);
    expect((await resolved(w, w.ask('submit', other.name_id, other, was))).status).toBe(201);
    for (const n of [0, 1, 2])
      expect((await resolved(w, w.ask('show', other.name_id, undefined, n))).status).toBe(200);
    w.user(other);
    await w.time.run(38_000);
    expect(w.leader()).toBe(was);
    for (const n of [0, 1, 2]) expect(w.nodes[n]!.controller.isReady()).toBe(true);
    await expectAllOver(w, 200);
  });
});

describe('controllers are silent for a minute and more', () => {
  for (const all of [false, true])
    it(`${all ? 'all of them' : 'the leader, and nobody knows it gone'}: work goes on, nothing is forgotten`, async () => {
      const w = await startWorld(all ? 321 : 320);
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
      await expectAllAnswered(w);
      await expectAllOver(w, 200);
    });

  it('standing still while their clocks run on, two of them one after the other', async () => {
    const w = await startWorld(322);
    w.user(w.job({ shifts: 16, reckon_s: 40 }));
    await w.time.run(25_000);
    w.freeze(w.leader(), 30_000);
    await w.time.run(9000);
    w.freeze(w.leader(), 65_000);
    await w.time.run(70_000);
    await expectAllAnswered(w);
    await expectAllOver(w, 200);
  });
});

describe('a former leader', () => {
  it('reads only what was written since, not the snapshot', async () => {
    const w = await startWorld(71);
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
    expect(mine!.nextRecord).toBe(theirs!.nextRecord);
    expect(mine!.dump()).toEqual(theirs!.dump());
    expect(lists.filter((path) => path.includes('under=q%2F&'))).toEqual([]);
    expect(lists.length).toBeGreaterThan(0);
    await expectAllOver(w, 200);
  });
});

describe('the lease of the leader key', () => {
  it('grows as the share of a core shrinks, up to a third of a worker lease', () => {
    expect([1, 0.34, 0.136].map((share) => lockLeaseDurationMs(share, 16))).toEqual([2500, 2500, 2500]);
    expect(lockLeaseDurationMs(0.1, 16)).toBe(3400);
    expect(lockLeaseDurationMs(0.04, 18)).toBe(6000);
  });
});
