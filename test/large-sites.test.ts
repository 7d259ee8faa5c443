import { describe, expect, it } from 'vitest';
import { expectAllAnswered, expectAllOver, startWorld } from './fakes/scenarios.js';
import { box, World } from './fakes/world.js';

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
    await expectAllOver(w, 300);
    await expectAllAnswered(w);
    expect(w.state.over).toBe(0);
    // A twelfth of the sockets, however many machines a record touches.
    for (const n of [0, 1, 2]) expect(w.network.calls.get(`n${n}`)?.most ?? 0).toBeLessThanOrEqual(141);
  }, 120_000);

  it('a zone with half the machines and the leader in it is cut off for a minute', async () => {
    const w = await startWorld(71);
    for (let i = 0; i < 6; i++) w.user(w.job({ shifts: 6, reckon_s: 30 }));
    await w.time.run(25_000);
    const was = w.leader();
    const zone = [...w.cloud.machines.values()][0]!.zone;
    w.network.partition((h) => h === `n${was}` || w.cloud.machines.get(h)?.zone === zone, 60_000, true);
    await w.time.run(14_000);
    expect(w.leader()).not.toBe(was);
    await w.time.run(50_000);
    await expectAllAnswered(w);
    await expectAllOver(w, 300);
  });

  it('controllers end all at once, twice, and one after the other, in an outage and just after it', async () => {
    const w = await startWorld(72);
    w.user(w.job({ shifts: 16, reckon_s: 40 }));
    w.user(w.job({ shifts: 4, reckon_s: 300 }), 60_000);
    await w.time.run(25_000);
    w.state.outage(12_000);
    w.time.after(8000, () => [0, 1, 2].forEach((n) => w.crash(n, 300)));
    w.time.after(13_000, () => [0, 1, 2].forEach((n) => w.crash(n, 200 + n * 300)));
    for (const n of [0, 1, 2]) w.time.after(20_000 + n * 4000, () => w.crash(n, 1500));
    await w.time.run(40_000);
    await expectAllAnswered(w);
    await expectAllOver(w, 300);
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
    await expectAllOver(w, 900);
  });
});
