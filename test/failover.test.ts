import { describe, expect, it } from 'vitest';
import { lockLeaseDurationMs } from '../src/actors/lock.js';
import { expectAllAnswered, expectAllOver, resolved, startWorld } from './fakes/scenarios.js';
import { World } from './fakes/world.js';

describe('a failure of controllers or of the state service', () => {
  it('a crash of the leader makes another node lead, and nothing runs twice', async () => {
    const world = await startWorld(3);
    world.user(world.job({ shifts: 20, reckon_s: 20 }));
    world.user(world.job({ shape: 'ensemble', shifts: 2, cpus: 6 }));
    await world.time.run(18_000);
    const initialLeader = world.leader();
    world.crash(initialLeader, 6000);
    await world.time.run(4500);
    expect(world.leader()).not.toBe(initialLeader);
    expect(world.leader()).toBeGreaterThanOrEqual(0);
    await expectAllOver(world, 200);
  });

  it('a crash makes another node lead even if no watch event reports the free lock', async () => {
    const world = new World(9);
    world.state.omitExpiryEvents = true;
    await world.started();
    const initialLeader = world.leader();
    world.crash(initialLeader, 60_000);
    await world.time.run(6000);
    expect(world.leader()).toBeGreaterThanOrEqual(0);
  });

  it('a crash of all controllers at once, of which one restarts within 300 ms, loses no job', async () => {
    const world = await startWorld(4);
    world.user(world.job({ shifts: 20, reckon_s: 20 }));
    world.user(world.job({ shifts: 4, reckon_s: 300 }), 40_000);
    await world.time.run(20_000);
    world.crash(0, 300);
    world.crash(1, 6000);
    world.crash(2, 6000);
    await expectAllOver(world, 300);
  });

  it('an outage of the state service ends no worker lease', async () => {
    const world = await startWorld(5);
    world.user(world.job({ shifts: 8, reckon_s: 60 }));
    await world.time.run(30_000);
    const sessions = [...world.workers.values()].map((worker) => worker.session);
    world.state.outage(30_000);
    await world.time.run(10_000);
    const job = world.job();
    world.checker.submitted(job);
    const response = await resolved(world, world.ask('submit', job.name_id, job));
    expect(response.status).toBe(503);
    expect(response.retryAfter).toBeGreaterThan(0);
    await world.time.run(21_000);
    expect([...world.workers.values()].map((worker) => worker.session)).toEqual(sessions);
    await expectAllOver(world, 200);
  });

  it('a leader hands over if the state service refuses only its requests', async () => {
    const world = await startWorld(6);
    world.user(world.job({ shifts: 12, reckon_s: 30 }));
    await world.time.run(20_000);
    const initialLeader = world.leader();
    world.state.refusedNodes.add(`n${initialLeader}`);
    await world.time.run(6000);
    expect(world.leader()).not.toBe(initialLeader);
    expect(world.leader()).toBeGreaterThanOrEqual(0);
    world.time.after(20_000, () => world.state.refusedNodes.clear());
    await expectAllOver(world, 200);
  });
});

describe('a leader that is cut off', () => {
  it('from everything but the state service hands over', async () => {
    const world = await startWorld(11);
    world.user(world.job({ shifts: 12, reckon_s: 40 }));
    await world.time.run(25_000);
    const initialLeader = world.leader();
    const name = `n${initialLeader}`;
    for (const address of [`${name}:80`, `${name}:81`]) world.network.cut(address, '*', 40_000, true);
    for (const other of [0, 1, 2]) world.network.cut(name, `n${other}:81`, 40_000, true);
    for (const machine of world.workers.keys()) world.network.cut(name, `${machine}:9000`, 40_000, true);
    const sessions = [...world.workers.values()].map((worker) => worker.session);
    await world.time.run(14_000);
    expect(world.leader()).not.toBe(initialLeader);
    expect(world.leader()).toBeGreaterThanOrEqual(0);
    await world.time.run(6000);
    expect([...world.workers.values()].map((worker) => worker.session)).toEqual(sessions);
    await expectAllOver(world, 200);
  });

  it('from the workers alone hands over', async () => {
    const world = await startWorld(12);
    world.user(world.job({ shifts: 12, reckon_s: 40 }));
    await world.time.run(25_000);
    const initialLeader = world.leader();
    for (const machine of world.workers.keys()) {
      world.network.cut(machine, `n${initialLeader}:80`, 40_000, true);
      world.network.cut(`n${initialLeader}`, `${machine}:9000`, 40_000, true);
    }
    await world.time.run(14_000);
    expect(world.leader()).not.toBe(initialLeader);
    await expectAllOver(world, 200);
  });
});

describe('a controller is frozen', () => {
  it('a leader loses the lock, sends no commands when it resumes, and is ready again', async () => {
    const world = await startWorld(60);
    world.user(world.job({ shifts: 16, reckon_s: 30 }));
    world.user(world.job({ shape: 'ensemble', shifts: 2, cpus: 6, reckon_s: 40 }));
    await world.time.run(25_000);
    const initialLeader = world.leader();
    const sessions = [...world.workers.values()].map((worker) => worker.session);
    world.freeze(initialLeader, 22_000);
    await world.time.run(12_000);
    expect(world.leader()).not.toBe(initialLeader);
    expect(world.leader()).toBeGreaterThanOrEqual(0);
    await world.time.run(13_000);
    expect(world.nodes[initialLeader]!.controller.isReady()).toBe(true);
    expect([...world.workers.values()].map((worker) => worker.session)).toEqual(sessions);
    await expectAllOver(world, 200);
  });

  it('a leader that keeps the lock does not take its own silence for that of machines', async () => {
    const world = await startWorld(61);
    world.user(world.job({ shifts: 16, reckon_s: 60 }));
    await world.time.run(30_000);
    const initialLeader = world.leader();
    const rentals = world.cloud.rentedMachines;
    const machines = [...world.cloud.machines.keys()];
    // The outage restores the full duration of the leader's lease after the freeze.
    world.state.outage(28_000);
    world.freeze(initialLeader, 27_000);
    await world.time.run(36_000);
    expect(world.leader()).toBe(initialLeader);
    expect([...world.cloud.machines.keys()]).toEqual(machines);
    expect(world.cloud.rentedMachines).toBe(rentals);
    await expectAllOver(world, 300);
  });
});

describe('connections between controllers are refused', () => {
  it('every controller answers for accepted jobs, and only the leader is ready', async () => {
    const world = await startWorld(62);
    const job = world.job({ shifts: 12, reckon_s: 25 });
    world.user(job);
    await world.time.run(20_000);
    const initialLeader = world.leader();
    for (const node of [0, 1, 2]) world.network.cut(`n${node}:81`, '*', 40_000);
    await world.time.run(5500);
    for (const node of [0, 1, 2]) {
      expect(world.nodes[node]!.controller.isReady()).toBe(node === initialLeader);
      expect((await resolved(world, world.ask('show', job.name_id, undefined, node))).status).toBe(200);
      expect((await resolved(world, world.ask('submit', job.name_id, job, node))).status).toBe(200);
      expect((await resolved(world, world.ask('show', 'wk-999999', undefined, node))).status).toBe(404);
    }
    const other = world.job();
    world.checker.submitted(other);
    const askedAt = world.time.now;
    const refused = await resolved(world, world.ask('submit', other.name_id, other, (initialLeader + 1) % 3));
    expect([refused.status, world.time.now - askedAt < 300]).toEqual([503, true]);
    expect((await resolved(world, world.ask('submit', other.name_id, other, initialLeader))).status).toBe(
      201,
    );
    for (const node of [0, 1, 2])
      expect((await resolved(world, world.ask('show', other.name_id, undefined, node))).status).toBe(200);
    world.user(other);
    await world.time.run(38_000);
    expect(world.leader()).toBe(initialLeader);
    for (const node of [0, 1, 2]) expect(world.nodes[node]!.controller.isReady()).toBe(true);
    await expectAllOver(world, 200);
  });
});

describe('controllers are unreachable for more than a minute', () => {
  for (const all of [false, true])
    it(`${all ? 'all of them' : 'the leader'}: work goes on, and no job is forgotten`, async () => {
      const world = await startWorld(all ? 321 : 320);
      world.user(world.job({ shifts: 16, reckon_s: 40 }));
      world.user(world.job({ shape: 'ensemble', shifts: 2, cpus: 6, reckon_s: 40 }));
      await world.time.run(25_000);
      const initialLeader = world.leader();
      const unreachable = all ? [0, 1, 2] : [initialLeader];
      for (const node of unreachable) {
        world.network.cut(`n${node}`, '*', 70_000, true);
        for (const address of [`n${node}:80`, `n${node}:81`]) world.network.cut(address, '*', 70_000, true);
      }
      if (!all) {
        await world.time.run(12_000);
        expect(world.leader()).not.toBe(initialLeader);
        world.user(world.job({ shifts: 6, reckon_s: 5 }));
        await world.time.run(30_000);
      }
      await world.time.run(75_000);
      await expectAllAnswered(world);
      await expectAllOver(world, 200);
    });

  it('two of them, frozen one after the other while their clocks run on: no job is forgotten', async () => {
    const world = await startWorld(322);
    world.user(world.job({ shifts: 16, reckon_s: 40 }));
    await world.time.run(25_000);
    world.freeze(world.leader(), 30_000);
    await world.time.run(9000);
    world.freeze(world.leader(), 65_000);
    await world.time.run(70_000);
    await expectAllAnswered(world);
    await expectAllOver(world, 200);
  });
});

describe('a former leader', () => {
  it('reads only the records written since it lost the lock, not the snapshot', async () => {
    const world = await startWorld(71);
    world.user(world.job({ shifts: 4, reckon_s: 60 }));
    await world.time.run(5000);
    const former = world.leader();
    const handle = world.state.handle.bind(world.state);
    const lists: string[] = [];
    world.state.handle = (from, method, path, body) => {
      if (from === `n${former}` && path.startsWith('/kv?')) lists.push(path);
      return handle(from, method, path, body);
    };
    // It loses the lock, and for a while it can't read what the next leader writes.
    world.state.refusedNodes.add(`n${former}`);
    expect(await world.time.runUntil(() => world.leader() >= 0 && world.leader() !== former, 8000)).toBe(
      true,
    );
    await world.time.run(3000);
    world.state.refusedNodes.delete(`n${former}`);
    world.user(world.job({ shifts: 4, reckon_s: 60 }));
    await world.time.run(8000);
    const [formerController, leaderController] = [former, world.leader()].map(
      (node) => world.nodes[node]!.controller,
    );
    expect(formerController!.nextRecord).toBe(leaderController!.nextRecord);
    expect(formerController!.dump()).toEqual(leaderController!.dump());
    expect(lists.filter((path) => path.includes('under=q%2F&'))).toEqual([]);
    expect(lists.length).toBeGreaterThan(0);
    await expectAllOver(world, 200);
  });
});

describe('the lease of the leader key', () => {
  it('grows as the share of a core shrinks, up to a third of a worker lease', () => {
    expect([1, 0.34, 0.136].map((share) => lockLeaseDurationMs(share, 16))).toEqual([2500, 2500, 2500]);
    expect(lockLeaseDurationMs(0.1, 16)).toBe(3400);
    expect(lockLeaseDurationMs(0.04, 18)).toBe(6000);
  });
});
