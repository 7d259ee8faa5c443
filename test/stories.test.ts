import { describe, expect, it } from 'vitest';
import { answered, begun, over, settle } from './fakes/stories.js';
import { box, World } from './fakes/world.js';

describe('a quiet day', () => {
  it('runs arrays and gangs, cancels one, and gives the machines back', async () => {
    const w = await begun(1);
    w.user(w.job({ shifts: 10 }));
    w.user(w.job({ shape: 'ensemble', shifts: 3, cpus: 6, together: true, urgency: 'high' }));
    w.user(w.job({ desk: 'blue', shifts: 40, spread: true, reckon_s: 5 }));
    w.user(w.job({ reckon_s: 500 }), 30_000);
    await over(w, 200);
    expect(w.checker.standing('wk-000004')).toBe('aborted');
    expect(w.checker.standing('wk-000002')).toBe('done');
    await w.time.run(150_000);
    expect(w.cloud.machines.size).toBe(0);
    expect(w.state.over).toBe(0);
  });

  it('refuses what can never run, and takes the same job once', async () => {
    const w = await begun(2);
    const big = w.job({ cpus: 9 });
    const strange = w.job({ desk: 'nobody' });
    const gang = w.job({ shape: 'ensemble', shifts: 20, cpus: 4 });
    for (const j of [big, strange, gang])
      expect((await settle(w, w.ask('submit', j.name_id, j))).status).toBe(422);
    const j = w.job();
    w.checker.submitted(j);
    expect((await settle(w, w.ask('submit', j.name_id, j))).status).toBe(201);
    expect((await settle(w, w.ask('submit', j.name_id, j))).status).toBe(200);
    expect((await settle(w, w.ask('show', 'wk-999999'))).status).toBe(404);
  });
});

describe('controllers fail', () => {
  it('another leads after a crash, and nothing runs twice', async () => {
    const w = await begun(3);
    w.user(w.job({ shifts: 20, reckon_s: 20 }));
    w.user(w.job({ shape: 'ensemble', shifts: 2, cpus: 6 }));
    await w.time.run(18_000);
    const was = w.leader();
    w.crash(was, 6000);
    await w.time.run(4500);
    expect(w.leader()).not.toBe(was);
    expect(w.leader()).toBeGreaterThanOrEqual(0);
    await over(w, 200);
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
    const w = await begun(4);
    w.user(w.job({ shifts: 20, reckon_s: 20 }));
    w.user(w.job({ shifts: 4, reckon_s: 300 }), 40_000);
    await w.time.run(20_000);
    w.crash(0, 300);
    w.crash(1, 6000);
    w.crash(2, 6000);
    await over(w, 300);
  });

  it('keeps leases alive through an outage of the state service', async () => {
    const w = await begun(5);
    w.user(w.job({ shifts: 8, reckon_s: 60 }));
    await w.time.run(30_000);
    const sessions = [...w.workers.values()].map((x) => x.session);
    w.state.outage(30_000);
    await w.time.run(10_000);
    const j = w.job();
    w.checker.submitted(j);
    const r = await settle(w, w.ask('submit', j.name_id, j));
    expect(r.status).toBe(503);
    expect(r.retryAfter).toBeGreaterThan(0);
    await w.time.run(21_000);
    expect([...w.workers.values()].map((x) => x.session)).toEqual(sessions);
    await over(w, 200);
  });

  it('a leader that alone is refused by the state service gives way', async () => {
    const w = await begun(6);
    w.user(w.job({ shifts: 12, reckon_s: 30 }));
    await w.time.run(20_000);
    const was = w.leader();
    w.state.refusedTo.add(`n${was}`);
    await w.time.run(6000);
    expect(w.leader()).not.toBe(was);
    expect(w.leader()).toBeGreaterThanOrEqual(0);
    w.time.after(20_000, () => w.state.refusedTo.clear());
    await over(w, 200);
  });
});

describe('a leader that is cut off', () => {
  it('from all but the state service hands over', async () => {
    const w = await begun(11);
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
    await over(w, 200);
  });

  it('from the workers alone hands over', async () => {
    const w = await begun(12);
    w.user(w.job({ shifts: 12, reckon_s: 40 }));
    await w.time.run(25_000);
    const was = w.leader();
    for (const m of w.workers.keys()) {
      w.network.cut(m, `n${was}:80`, 40_000, true);
      w.network.cut(`n${was}`, `${m}:9000`, 40_000, true);
    }
    await w.time.run(14_000);
    expect(w.leader()).not.toBe(was);
    await over(w, 200);
  });
});

describe('the state service', () => {
  it('followers keep up past removed keys, folded records among them', async () => {
    const w = await begun(10);
    for (let i = 0; i < 130; i++) {
      w.user(w.job({ shifts: 3, reckon_s: 2 }));
      await w.time.run(1500);
    }
    await over(w, 200);
    expect(w.state.kv.has('q/head')).toBe(true);
    const lead = w.nodes[w.leader()]!.controller;
    const behind = w.nodes.map((n) => lead.position - n.controller.position);
    for (const b of behind) expect(Math.abs(b)).toBeLessThan(5);
  });
});

describe('machines fail', () => {
  it('restarts what was on machines that died, vanished or turned faulty', async () => {
    const w = await begun(7);
    w.user(w.job({ shifts: 16, reckon_s: 40 }));
    w.user(w.job({ shape: 'ensemble', shifts: 2, cpus: 5, reckon_s: 40 }));
    await w.time.run(25_000);
    const ids = [...w.workers.keys()];
    w.cloud.lose(ids[0]!, 'failed');
    w.cloud.lose(ids[1]!, 'missing');
    w.workers.get(ids[2]!)!.faulty = true;
    await over(w, 300);
  });

  it('a notice lets what can save go on elsewhere', async () => {
    const w = await begun(20);
    w.user(w.job({ shifts: 4, cpus: 2, reckon_s: 60, waymark_s: 20, stow_s: 2 }));
    w.user(w.job({ shape: 'ensemble', shifts: 2, cpus: 6, reckon_s: 60, waymark_s: 20, stow_s: 2 }));
    await w.time.run(30_000);
    const saved = new Set<string>();
    const doomed = [...w.workers.values()];
    for (const x of doomed) {
      x.notice = 8;
      w.time.after(8000, () => w.cloud.lose(x.place.id, 'missing'));
    }
    for (let i = 0; i < 80; i++) {
      await w.time.run(100);
      for (const x of doomed)
        for (const t of x.tasks.values()) if (t.stored) saved.add(`${t.job.name_id}/${t.task}`);
    }
    expect(saved.size).toBe(6);
    await over(w, 300);
  });

  it('a wave without notice costs a restart, not a rule', async () => {
    const w = await begun(21);
    w.user(w.job({ shifts: 20, reckon_s: 40 }));
    await w.time.run(25_000);
    for (const id of [...w.workers.keys()].slice(0, 3)) w.cloud.lose(id, 'missing');
    await over(w, 300);
  });

  it('a job that fails everywhere is not tried in a hot loop and spoils no machine', async () => {
    const w = await begun(22);
    for (let i = 0; i < 3; i++) w.user(w.job({ shifts: 1, cpus: 8, reckon_s: 100 }));
    await w.time.run(25_000);
    const bad = w.job({ shifts: 1, cpus: 1 });
    w.failing.add(bad.name_id);
    w.user(bad, 80_000);
    const before = w.checker.starts;
    await w.time.run(80_000);
    // Backing off by doubling: a handful of starts in a minute and more.
    expect(w.checker.starts - before).toBeLessThan(10);
    expect(w.checker.starts - before).toBeGreaterThan(2);
    await over(w, 200);
  });

  it('a cut machine whose commands arrive late breaks no rule', async () => {
    const w = await begun(8);
    w.user(w.job({ shifts: 16, reckon_s: 25 }));
    await w.time.run(14_000);
    const [one, two] = [...w.workers.keys()];
    w.network.cut(one!, '*', 25_000, true);
    w.network.cut(`${two}:9000`, '*', 20_000, true);
    w.user(w.job({ shifts: 16, reckon_s: 10 }));
    await over(w, 300);
  });
});

describe('messages that come late or not at all', () => {
  it('a machine whose reports arrive but that hears nothing holds no work and is returned', async () => {
    const w = await begun(50);
    for (let i = 0; i < 60; i++) w.user(w.job({ shifts: 3, reckon_s: 20 }));
    await w.time.run(20_000);
    const one = [...w.workers.keys()][0]!;
    w.network.deafen(one, 1e9);
    // With only the leader there, the machine's reports reach it all the time.
    for (let n = 0; n < 3; n++) if (n !== w.leader()) w.crash(n, 100_000);
    await w.time.run(60_000);
    expect(w.cloud.machines.has(one)).toBe(false);
    await over(w, 500);
  });

  it('copies of reports revive no machine and undo no end, across a take-over and returns', async () => {
    const w = new World(51);
    w.network.copies = 1;
    w.network.copyMs = () => 20_000;
    await w.started();
    w.user(w.job({ shifts: 16, reckon_s: 12 }));
    w.user(w.job({ shape: 'ensemble', shifts: 2, cpus: 6, reckon_s: 30 }));
    await w.time.run(25_000);
    const gone = [...w.workers.keys()][0]!;
    w.cloud.lose(gone, 'missing');
    w.crash(w.leader(), 300);
    await w.time.run(22_000);
    const lead = w.nodes[w.leader()]!.controller;
    expect(JSON.stringify((lead.dump() as { machines: { id: string }[] }).machines)).not.toContain(gone);
    w.user(w.job({ shifts: 8, reckon_s: 5 }));
    await over(w, 200);
  });

  it('a leader without state service and peers lets its workers go before their leases end', async () => {
    const w = await begun(52);
    w.user(w.job({ shifts: 12, reckon_s: 60 }));
    await w.time.run(25_000);
    const was = w.leader();
    const n = `n${was}`;
    w.network.cut(n, `state-for-${n}:1`, 60_000);
    w.network.cut(`${n}:81`, '*', 60_000);
    for (const o of [0, 1, 2]) w.network.cut(n, `n${o}:81`, 60_000);
    const before = [...w.workers.values()].map((x) => [x.place.id, x.session]);
    await w.time.run(4000);
    const j = w.job();
    w.checker.submitted(j);
    const from = w.time.now;
    const r = await settle(w, w.ask('submit', j.name_id, j, was));
    expect([r.status, w.time.now - from < 300]).toEqual([503, true]);
    expect(r.retryAfter).toBeGreaterThan(0);
    await w.time.run(20_000);
    expect(w.leader()).not.toBe(was);
    expect([...w.workers.values()].map((x) => [x.place.id, x.session])).toEqual(before);
    expect(w.nodes[w.leader()]!.controller.status().workers).toBe(before.length);
    await over(w, 200);
  });

  it('a machine back within a fraction of a second starts anew in its later session', async () => {
    const w = await begun(53);
    w.user(w.job({ shifts: 8, reckon_s: 30 }));
    w.user(w.job({ shape: 'ensemble', shifts: 2, cpus: 6, reckon_s: 30 }));
    await w.time.run(25_000);
    for (const x of [...w.workers.values()].slice(0, 2)) x.nextSession();
    w.crash(w.leader(), 200);
    await over(w, 200);
  });
});

describe('a controller stands still', () => {
  it('a leader gives way, commands nothing on waking, and is ready again', async () => {
    const w = await begun(60);
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
    expect(w.nodes[was]!.controller.ready()).toBe(true);
    expect([...w.workers.values()].map((x) => x.session)).toEqual(sessions);
    await over(w, 200);
  });

  it('a leader whose lock outlives it takes no silence of its own for that of machines', async () => {
    const w = await begun(61);
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
    await over(w, 300);
  });
});

describe('connections between controllers are refused', () => {
  it('every accepted job stays answerable everywhere, and nodes without a leader leave the balancer', async () => {
    const w = await begun(62);
    const j = w.job({ shifts: 12, reckon_s: 25 });
    w.user(j);
    await w.time.run(20_000);
    const was = w.leader();
    for (const n of [0, 1, 2]) w.network.cut(`n${n}:81`, '*', 40_000);
    await w.time.run(5500);
    for (const n of [0, 1, 2]) {
      expect(w.nodes[n]!.controller.ready()).toBe(n === was);
      expect((await settle(w, w.ask('show', j.name_id, undefined, n))).status).toBe(200);
      expect((await settle(w, w.ask('submit', j.name_id, j, n))).status).toBe(200);
      expect((await settle(w, w.ask('show', 'wk-999999', undefined, n))).status).toBe(404);
    }
    const other = w.job();
    w.checker.submitted(other);
    const from = w.time.now;
    const refused = await settle(w, w.ask('submit', other.name_id, other, (was + 1) % 3));
    expect([refused.status, w.time.now - from < 300]).toEqual([503, true]);
    expect((await settle(w, w.ask('submit', other.name_id, other, was))).status).toBe(201);
    for (const n of [0, 1, 2])
      expect((await settle(w, w.ask('show', other.name_id, undefined, n))).status).toBe(200);
    w.user(other);
    await w.time.run(38_000);
    expect(w.leader()).toBe(was);
    for (const n of [0, 1, 2]) expect(w.nodes[n]!.controller.ready()).toBe(true);
    await over(w, 200);
  });
});

describe('large work', () => {
  it('a gang whose machines fetch unequally fast starts when the slowest has its image', async () => {
    const w = new World(63);
    for (const z of ['a', 'b']) w.cloud.room.set(`box|${z}|true`, 0);
    w.cloud.room.set('box|a|false', 3);
    w.cloud.room.set('box|b|false', 0);
    w.fetchTimes = (m) => (m === 'vm-000002' ? 60 : 1);
    await w.started();
    const gang = w.job({ shape: 'ensemble', shifts: 3, cpus: 8, urgency: 'high', reckon_s: 10 });
    w.user(gang);
    await w.time.run(25_000);
    // Lesser work would take the places of those that gave up waiting.
    for (let i = 0; i < 20; i++) w.user(w.job({ desk: 'blue', urgency: 'low', cpus: 4, reckon_s: 15 }));
    // A boot of 15 s at most, a fetch of 60 s, and a run of 10 s.
    await w.time.run(75_000);
    expect(w.checker.standing(gang.name_id)).toBe('done');
    await over(w, 900);
  });

  // With seed 54 alone it passed by luck: the gang held the zone that could never take it.
  for (const seed of [54, 55, 56, 57])
    it(`a gang of many whole machines does not starve behind small work, seed ${seed}`, async () => {
      const w = new World(seed);
      for (const z of ['a', 'b']) {
        w.cloud.room.set(`box|${z}|true`, 0);
        w.cloud.room.set(`box|${z}|false`, z === 'a' ? 5 : 3);
      }
      await w.started();
      for (let i = 0; i < 90; i++)
        w.time.after(i * 1500, () => w.user(w.job({ desk: 'blue', shifts: 6, cpus: 1, reckon_s: 9 })));
      await w.time.run(40_000);
      // More than its team's guarantee: nothing is stopped for it.
      const gang = w.job({ shape: 'ensemble', shifts: 5, cpus: 8, together: true, reckon_s: 10 });
      w.user(gang);
      await w.time.run(80_000);
      expect(w.checker.standing(gang.name_id)).toBe('done');
      await over(w, 600);
    });
});

describe('the cloud fails', () => {
  it('its outage delays, and a rental without an answer is not made twice', async () => {
    const w = await begun(30);
    w.network.cut('cloud:1', '*', 9000);
    w.user(w.job({ shifts: 4, cpus: 8 }));
    await w.time.run(9000);
    w.cloud.outage(10_000);
    await over(w, 200);
    expect(w.cloud.rentals).toBeLessThanOrEqual(4);
  });

  it('where it has nothing to give, other kinds and zones are asked', async () => {
    const w = new World(31);
    for (const z of ['a', 'b']) w.cloud.room.set(`box|${z}|true`, 0);
    w.cloud.room.set('box|a|false', 1);
    await w.started();
    w.user(w.job({ shifts: 12, cpus: 2 }));
    await over(w, 200);
    expect([...new Set([...w.cloud.machines.values()].map((m) => `${m.zone} ${m.spot}`))].sort()).toEqual([
      'a false',
      'b false',
    ]);
  });
});

describe('a burst', () => {
  it('is taken or refused at once, and gangs of high priority still start', async () => {
    const w = await begun(40);
    for (let i = 0; i < 60; i++)
      w.user(w.job({ desk: 'blue', urgency: 'low', shifts: 20, cpus: 1, reckon_s: 8 }));
    await w.time.run(20_000);
    const gang = w.job({ shape: 'ensemble', shifts: 2, cpus: 4, urgency: 'high' });
    w.user(gang);
    await w.time.run(45_000);
    expect(w.checker.standing(gang.name_id)).toBe('done');
    expect(w.state.over).toBe(0);
    await over(w, 1200);
  });

  it('of the largest job is stored compactly', async () => {
    const w = await begun(41);
    const j = w.job({ shifts: 100_000, cpus: 1, reckon_s: 100_000 });
    w.user(j, 60_000);
    await w.time.run(40_000);
    const lead = w.nodes[w.leader()]!.controller;
    expect(JSON.stringify(lead.dump()).length).toBeLessThan(60_000);
    await over(w, 200);
  });
});

describe('many fall together', () => {
  it('1,000 machines and 6,000 tasks through ends of the leader and a fifth of the machines, twice', async () => {
    const w = new World(70, [box], {
      teams: [
        { name: 'red', cpus: 7000, cpus_max: 9000 },
        { name: 'blue', cpus: 3000, cpus_max: 9000 },
      ],
      state: { rps: 90, write_rps: 35, value_kb: 8, txn_ops: 12 },
      cloud: { rps: 10, list_lag_s: 6 },
      machine_limits: { sockets: 1700 },
    });
    await w.started();
    for (let i = 0; i < 12; i++) w.user(w.job({ shifts: 500, cpus: 1, mem_gb: 1, reckon_s: 25 }));
    for (let i = 0; i < 8; i++)
      w.user(
        w.job({
          desk: 'blue',
          shape: 'ensemble',
          shifts: 24,
          cpus: 8,
          together: true,
          urgency: 'high',
          reckon_s: 30,
        }),
      );
    await w.time.run(35_000);
    expect(w.workers.size).toBeGreaterThan(900);
    w.crash(w.leader(), 300);
    for (const wave of [4000, 14_000])
      w.time.after(wave, () => {
        const all = [...w.workers.keys()];
        for (let i = 0; i < all.length; i += 5) w.cloud.lose(all[i]!, i % 2 ? 'failed' : 'missing');
      });
    w.time.after(12_000, () => w.crash(w.leader(), 5000));
    await over(w, 300);
    await answered(w);
    expect(w.state.over).toBe(0);
    // A twelfth of the sockets, however many machines a record touches.
    for (const n of [0, 1, 2]) expect(w.network.calls.get(`n${n}`)?.most ?? 0).toBeLessThanOrEqual(141);
  }, 120_000);

  it('a zone with half the machines and the leader in it is cut off for a minute', async () => {
    const w = await begun(71);
    for (let i = 0; i < 6; i++) w.user(w.job({ shifts: 6, reckon_s: 30 }));
    await w.time.run(25_000);
    const was = w.leader();
    const zone = [...w.cloud.machines.values()][0]!.zone;
    w.network.partition((h) => h === `n${was}` || w.cloud.machines.get(h)?.zone === zone, 60_000, true);
    await w.time.run(14_000);
    expect(w.leader()).not.toBe(was);
    await w.time.run(50_000);
    await answered(w);
    await over(w, 300);
  });

  it('controllers end all at once, twice, and one after the other, in an outage and just after it', async () => {
    const w = await begun(72);
    w.user(w.job({ shifts: 16, reckon_s: 40 }));
    w.user(w.job({ shifts: 4, reckon_s: 300 }), 60_000);
    await w.time.run(25_000);
    w.state.outage(12_000);
    w.time.after(8000, () => [0, 1, 2].forEach((n) => w.crash(n, 300)));
    w.time.after(13_000, () => [0, 1, 2].forEach((n) => w.crash(n, 200 + n * 300)));
    for (const n of [0, 1, 2]) w.time.after(20_000 + n * 4000, () => w.crash(n, 1500));
    await w.time.run(40_000);
    await answered(w);
    await over(w, 300);
  });

  it('no class and no largest job waits for four minutes while more is asked than can be done', async () => {
    const w = new World(73);
    for (const z of ['a', 'b']) {
      w.cloud.room.set(`box|${z}|true`, 0);
      w.cloud.room.set(`box|${z}|false`, 2);
    }
    await w.started();
    for (let i = 0; i < 150; i++)
      w.time.after(i * 2000, () => w.user(w.job({ shifts: 12, cpus: 1, reckon_s: 10 })));
    await w.time.run(30_000);
    const low = w.job({ urgency: 'low', shifts: 60, cpus: 2, reckon_s: 10 });
    w.user(low);
    let began = false;
    await w.time.until(() => (began ||= w.checker.started(low.name_id) > 0), 240_000);
    expect(began).toBe(true);
    await over(w, 900);
  });
});

describe('overlapping troubles', () => {
  for (let seed = 100; seed < 118; seed++)
    it(`mix ${seed}`, async () => {
      const w = new World(seed);
      w.cloud.neverUp = 0.1;
      w.network.copies = seed % 2 ? 0.2 : 0;
      await w.started();
      for (let i = 0; i < 14; i++)
        w.time.after(w.random() * 100_000, () => {
          const gang = w.random() < 0.35;
          const job = w.job({
            shape: gang ? 'ensemble' : 'array',
            desk: w.random() < 0.5 ? 'red' : 'blue',
            urgency: gang ? 'high' : 'low',
            shifts: 1 + Math.floor(w.random() * (gang ? 3 : 15)),
            cpus: gang ? 5 : 1 + Math.floor(w.random() * 3),
            together: w.random() < 0.3,
            spread: !gang && w.random() < 0.3,
            loaners: w.random() < 0.7,
            waymark_s: w.random() < 0.5 ? 10 : 0,
            stow_s: 2,
            reckon_s: 5 + w.random() * 40,
            kit: `img-${Math.floor(w.random() * 3)}`,
          });
          if (job.together) job.spread = false;
          w.user(job, w.random() < 0.2 ? w.random() * 60_000 : null);
        });
      const any = <T>(l: T[]): T | undefined => l[Math.floor(w.random() * l.length)];
      for (let i = 0; i < 9; i++)
        w.time.after(10_000 + w.random() * 110_000, () => {
          const kind = Math.floor(w.random() * 15);
          const node = Math.floor(w.random() * 3);
          const m = any([...w.workers.keys()]);
          if (kind === 0 && !w.nodes[node]!.clock.dead) w.crash(node, w.random() < 0.3 ? 200 : 5000);
          if (kind === 1) for (let n = 0; n < 3; n++) if (!w.nodes[n]!.clock.dead) w.crash(n, 3000 + n * 500);
          if (kind === 2) w.state.outage(4000 + w.random() * 16_000);
          if (kind === 3) w.network.cut(`n${node}`, `state-for-n${node}:1`, 15_000, w.random() < 0.5);
          if (kind === 4) {
            w.network.cut(`n${node}`, '*', 15_000, w.random() < 0.5);
            w.network.cut(`n${node}:80`, '*', 15_000, w.random() < 0.5);
            w.network.cut(`n${node}:81`, '*', 15_000);
          }
          if (kind === 5 && m) w.network.cut(m, '*', 20_000, true);
          if (kind === 6 && m) w.network.cut(`${m}:9000`, '*', 20_000, true);
          if (kind === 7 && m) w.cloud.lose(m, w.random() < 0.5 ? 'failed' : 'missing');
          if (kind === 8) w.cloud.outage(15_000);
          if (kind === 9 && m) w.network.deafen(m, 5000 + w.random() * 30_000);
          if (kind === 10) {
            w.network.cut(`n${node}`, `state-for-n${node}:1`, 20_000);
            w.network.cut(`n${node}:81`, '*', 20_000);
            for (const o of [0, 1, 2]) w.network.cut(`n${node}`, `n${o}:81`, 20_000);
          }
          if (kind === 12) w.freeze(node, 6000 + w.random() * 20_000);
          if (kind === 13) {
            const zone = w.random() < 0.5 ? 'a' : 'b';
            const its = (h: string): boolean => h === `n${node}` || w.cloud.machines.get(h)?.zone === zone;
            w.network.partition(its, 20_000 + w.random() * 30_000, w.random() < 0.5);
          }
          if (kind === 14) for (const n of [0, 1, 2]) w.network.cut(`n${n}:81`, '*', 25_000);
          if (kind === 11 && m) w.workers.get(m)?.nextSession();
        });
      await w.time.run(130_000);
      await answered(w);
      await over(w, 400);
      await answered(w);
    });
});
