/** A request without an answer may be carried out long after its retry was answered. */
import { describe, expect, it } from 'vitest';
import { expectAllAnswered, expectAllOver, delayFirstCopies, startWorld } from './fakes/scenarios.js';
import { box, World } from './fakes/world.js';

const rentalKey = (address: string, body: unknown): string | null =>
  address === 'cloud:1' ? ((body as { hire?: string } | undefined)?.hire ?? null) : null;
const returnKey = (address: string, body: unknown): string | null =>
  address === 'cloud:1' ? ((body as { mounts?: string[] } | undefined)?.mounts?.join() ?? null) : null;

/** Sets how many machines of each kind the cloud has left in each zone. */
const setCapacity = (world: World, machines: number): void => {
  for (const zone of ['a', 'b'])
    for (const spot of [true, false]) world.cloud.capacity.set(`box|${zone}|${spot}`, machines);
};

/** Delays each of a node's renewals on its way to the state service, from now on. */
const delayRenewals = (world: World, node: number, ms: number): void => {
  world.network.requestDelayMs = (address, _body, path) =>
    address === `state-for-n${node}:1` && path.endsWith('/touch') ? ms : 0;
};

describe('a rental that is carried out late', () => {
  it('after its retry was answered rents nothing more', async () => {
    const world = await startWorld(260);
    const held = delayFirstCopies(world, 30_000, rentalKey);
    world.user(world.job({ shifts: 12, reckon_s: 20 }));
    await expectAllOver(world, 200);
    expect(held.size).toBeGreaterThan(0);
    await world.time.run(120_000);
    expect(world.cloud.machines.size).toBe(0);
  });

  it('after its retry found no capacity: machines that are not in the log are used or returned', async () => {
    const world = new World(261, [box]);
    setCapacity(world, 0);
    await world.started();
    const held = delayFirstCopies(world, 20_000, rentalKey);
    world.user(world.job({ shifts: 12, reckon_s: 20 }));
    await world.time.run(15_000);
    expect(held.size).toBeGreaterThan(0);
    setCapacity(world, 3);
    await expectAllOver(world, 300);
    await world.time.run(150_000);
    expect(world.cloud.machines.size).toBe(0);
  });
});

describe('a copy of a rental', () => {
  it('that was refused at first and is granted later: its machines are used or returned', async () => {
    const world = new World(265, [box]);
    setCapacity(world, 0);
    await world.started();
    world.network.copyDelaysMs = (_address, path) => (path === '/hosts' ? [25_000, 70_000] : []);
    world.user(world.job({ shifts: 12, reckon_s: 20 }));
    await world.time.run(15_000);
    expect(world.cloud.machines.size).toBe(0);
    setCapacity(world, 3);
    await expectAllOver(world, 300);
    expect(world.network.copiesDelivered.get('/hosts')).toBeGreaterThan(2);
    await world.time.run(200_000);
    expect(world.cloud.machines.size).toBe(0);
  });
});

describe('a return that is carried out late', () => {
  it('after its retry was answered removes no machine that is in use', async () => {
    const world = await startWorld(262);
    const held = delayFirstCopies(world, 40_000, returnKey);
    for (let i = 0; i < 4; i++)
      world.time.after(i * 90_000, () => world.user(world.job({ shifts: 6, reckon_s: 20 })));
    await world.time.run(280_000);
    await expectAllOver(world, 200);
    expect(held.size).toBeGreaterThan(0);
    await world.time.run(150_000);
    expect(world.cloud.machines.size).toBe(0);
  });
});

describe('a renewal of the lock that is carried out late', () => {
  it('does not keep its sender leading, and another node leads within 7.5 s', async () => {
    const world = await startWorld(263);
    world.user(world.job({ shifts: 8, reckon_s: 60 }));
    await world.time.run(20_000);
    const initialLeader = world.leader();
    // Longer than the lease of 2.5 s.
    delayRenewals(world, initialLeader, 4000);
    await world.time.run(7500);
    expect(world.leader()).not.toBe(initialLeader);
    expect(world.leader()).toBeGreaterThanOrEqual(0);
    world.network.requestDelayMs = () => 0;
    await expectAllAnswered(world);
    await expectAllOver(world, 300);
  });

  it('leaves some node leading if it takes longer than requests usually do', async () => {
    const world = await startWorld(264);
    await world.time.run(20_000);
    const initialLeader = world.leader();
    // Shorter than the lease of 2.5 s, and longer than the usual time limit of a request, 1.2 s.
    delayRenewals(world, initialLeader, 1800);
    await world.time.run(15_000);
    expect(world.leader()).toBeGreaterThanOrEqual(0);
  });
});
