import { describe, expect, it } from 'vitest';
import { expectAllOver, resolved, startWorld } from './fakes/scenarios.js';
import { box, World } from './fakes/world.js';

const teams = [
  { name: 'red', cpus: 32, cpus_max: 64 },
  { name: 'blue', cpus: 16, cpus_max: 48 },
  // Nothing guaranteed, and no limit.
  { name: 'guests', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
];

describe('a quiet day', () => {
  it('runs arrays and gangs, cancels one, and gives the machines back', async () => {
    const w = await startWorld(1);
    w.user(w.job({ shifts: 10 }));
    w.user(w.job({ shape: 'ensemble', shifts: 3, cpus: 6, together: true, urgency: 'high' }));
    w.user(w.job({ desk: 'blue', shifts: 40, spread: true, reckon_s: 5 }));
    w.user(w.job({ reckon_s: 500 }), 30_000);
    await expectAllOver(w, 200);
    expect(w.checker.standing('wk-000004')).toBe('aborted');
    expect(w.checker.standing('wk-000002')).toBe('done');
    await w.time.run(150_000);
    expect(w.cloud.machines.size).toBe(0);
    expect(w.state.over).toBe(0);
  });

  it('refuses what can never run, and takes the same job once', async () => {
    const w = await startWorld(2);
    const big = w.job({ cpus: 9 });
    const strange = w.job({ desk: 'nobody' });
    const gang = w.job({ shape: 'ensemble', shifts: 20, cpus: 4 });
    for (const j of [big, strange, gang])
      expect((await resolved(w, w.ask('submit', j.name_id, j))).status).toBe(422);
    const j = w.job();
    w.checker.submitted(j);
    expect((await resolved(w, w.ask('submit', j.name_id, j))).status).toBe(201);
    expect((await resolved(w, w.ask('submit', j.name_id, j))).status).toBe(200);
    expect((await resolved(w, w.ask('show', 'wk-999999'))).status).toBe(404);
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
    await expectAllOver(w, 900);
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
      await expectAllOver(w, 600);
    });
});

describe('the cloud fails', () => {
  it('its outage delays, and a rental without an answer is not made twice', async () => {
    const w = await startWorld(30);
    w.network.cut('cloud:1', '*', 9000);
    w.user(w.job({ shifts: 4, cpus: 8 }));
    await w.time.run(9000);
    w.cloud.outage(10_000);
    await expectAllOver(w, 200);
    expect(w.cloud.rentals).toBeLessThanOrEqual(4);
  });

  it('where it has nothing to give, other kinds and zones are asked', async () => {
    const w = new World(31);
    for (const z of ['a', 'b']) w.cloud.room.set(`box|${z}|true`, 0);
    w.cloud.room.set('box|a|false', 1);
    await w.started();
    w.user(w.job({ shifts: 12, cpus: 2 }));
    await expectAllOver(w, 200);
    expect([...new Set([...w.cloud.machines.values()].map((m) => `${m.zone} ${m.spot}`))].sort()).toEqual([
      'a false',
      'b false',
    ]);
  });
});

describe('a burst', () => {
  it('is taken or refused at once, and gangs of high priority still start', async () => {
    const w = await startWorld(40);
    for (let i = 0; i < 60; i++)
      w.user(w.job({ desk: 'blue', urgency: 'low', shifts: 20, cpus: 1, reckon_s: 8 }));
    await w.time.run(20_000);
    const gang = w.job({ shape: 'ensemble', shifts: 2, cpus: 4, urgency: 'high' });
    w.user(gang);
    await w.time.run(45_000);
    expect(w.checker.standing(gang.name_id)).toBe('done');
    expect(w.state.over).toBe(0);
    await expectAllOver(w, 1200);
  });

  it('of the largest job is stored compactly', async () => {
    const w = await startWorld(41);
    const j = w.job({ shifts: 100_000, cpus: 1, reckon_s: 100_000 });
    w.user(j, 60_000);
    await w.time.run(40_000);
    const lead = w.nodes[w.leader()]!.controller;
    expect(JSON.stringify(lead.dump()).length).toBeLessThan(60_000);
    await expectAllOver(w, 200);
  });
});

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
    await expectAllOver(w, 300);
    expect(w.state.over).toBe(0);
  });
});

describe('jobs submitted with a mistake', () => {
  it('fail on every machine until they are cancelled: they spoil no machine and starve nobody', async () => {
    const w = await startWorld(340);
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
    await expectAllOver(w, 200);
  });
});

describe('the settings of a site with guests', () => {
  it('let their work in, though both of their numbers are 0', async () => {
    const w = new World(350, [box], { teams });
    await w.started();
    const j = w.job({ desk: 'guests', shifts: 2 });
    w.checker.submitted(j);
    expect((await resolved(w, w.ask('submit', j.name_id, j))).status).toBe(201);
    w.user(j);
    await expectAllOver(w, 100);
  });
});
