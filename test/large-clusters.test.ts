import { describe, expect, it } from 'vitest';
import { expectAllAnswered, expectAllOver, startWorld } from './fakes/scenarios.js';
import { box, World } from './fakes/world.js';

describe('large clusters and simultaneous failures', () => {
  it('6,000 tasks on 1,000 machines end though the leader and each fifth machine fail, twice', async () => {
    const world = new World(70, [box], {
      teams: [
        { name: 'red', cpus: 7000, cpus_max: 9000 },
        { name: 'blue', cpus: 3000, cpus_max: 9000 },
      ],
      state: { rps: 90, write_rps: 35, value_kb: 8, txn_ops: 12 },
      cloud: { rps: 10, list_lag_s: 6 },
      machine_limits: { sockets: 1700 },
    });
    await world.started();
    for (let i = 0; i < 12; i++) world.user(world.job({ shifts: 500, cpus: 1, mem_gb: 1, reckon_s: 25 }));
    for (let i = 0; i < 8; i++)
      world.user(
        world.job({
          desk: 'blue',
          shape: 'ensemble',
          shifts: 24,
          cpus: 8,
          together: true,
          urgency: 'high',
          reckon_s: 30,
        }),
      );
    await world.time.run(35_000);
    expect(world.workers.size).toBeGreaterThan(900);
    world.crash(world.leader(), 300);
    for (const wave of [4000, 14_000])
      world.time.after(wave, () => {
        const machines = [...world.workers.keys()];
        for (let i = 0; i < machines.length; i += 5)
          world.cloud.failMachine(machines[i]!, i % 2 ? 'failed' : 'missing');
      });
    world.time.after(12_000, () => world.crash(world.leader(), 5000));
    await expectAllOver(world, 300);
    await expectAllAnswered(world);
    expect(world.state.rateLimited).toBe(0);
    // Calls to workers use at most a twelfth of the sockets, however many machines a record names.
    for (const n of [0, 1, 2])
      expect(world.network.callsToWorkers.get(`n${n}`)?.most ?? 0).toBeLessThanOrEqual(141);
  }, 120_000);

  it('another controller leads while half the machines and the leader are cut off for a minute', async () => {
    const world = await startWorld(71);
    for (let i = 0; i < 6; i++) world.user(world.job({ shifts: 6, reckon_s: 30 }));
    await world.time.run(25_000);
    const formerLeader = world.leader();
    const zone = [...world.cloud.machines.values()][0]!.zone;
    world.network.partition(
      (host) => host === `n${formerLeader}` || world.cloud.machines.get(host)?.zone === zone,
      60_000,
      true,
    );
    await world.time.run(14_000);
    expect(world.leader()).not.toBe(formerLeader);
    await world.time.run(50_000);
    await expectAllAnswered(world);
    await expectAllOver(world, 300);
  });

  it('all controllers crash twice and then in turn, during and after a state service outage', async () => {
    const world = await startWorld(72);
    world.user(world.job({ shifts: 16, reckon_s: 40 }));
    world.user(world.job({ shifts: 4, reckon_s: 300 }), 60_000);
    await world.time.run(25_000);
    world.state.outage(12_000);
    world.time.after(8000, () => [0, 1, 2].forEach((n) => world.crash(n, 300)));
    world.time.after(13_000, () => [0, 1, 2].forEach((n) => world.crash(n, 200 + n * 300)));
    for (const n of [0, 1, 2]) world.time.after(20_000 + n * 4000, () => world.crash(n, 1500));
    await world.time.run(40_000);
    await expectAllAnswered(world);
    await expectAllOver(world, 300);
  });

  it('a large job of low priority starts within four minutes under overload', async () => {
    const world = new World(73);
    for (const zone of ['a', 'b']) {
      world.cloud.capacity.set(`box|${zone}|true`, 0);
      world.cloud.capacity.set(`box|${zone}|false`, 2);
    }
    await world.started();
    for (let i = 0; i < 150; i++)
      world.time.after(i * 2000, () => world.user(world.job({ shifts: 12, cpus: 1, reckon_s: 10 })));
    await world.time.run(30_000);
    const low = world.job({ urgency: 'low', shifts: 60, cpus: 2, reckon_s: 10 });
    world.user(low);
    let hasStarted = false;
    await world.time.runUntil(() => (hasStarted ||= world.checker.startCountOf(low.name_id) > 0), 240_000);
    expect(hasStarted).toBe(true);
    await expectAllOver(world, 900);
  });
});
