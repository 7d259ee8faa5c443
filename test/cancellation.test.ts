import { describe, expect, it } from 'vitest';
import type { JobOnWire } from './fakes/checker.js';
import {
  CANCEL_MS,
  cancelUntilConfirmed,
  expectAllAnswered,
  expectAllOver,
  refuseStateRequests,
  resolved,
  startWorld,
  cutPeers,
  submitWork,
} from './fakes/scenarios.js';
import { type World } from './fakes/world.js';

describe('the state service refuses only the leader, another leader confirms cancellations, then it is down for all', () => {
  interface Scenario {
    /** Additional faults, from the refusal on and after the confirmations. */
    duringRefusal?: (world: World, formerLeader: number) => void;
    afterConfirmation?: (world: World, formerLeader: number, newLeader: number) => void;
    repetitions?: number;
    /** Whether the tasks that were not cancelled must survive. */
    keepsWork?: boolean;
  }
  const runScenario = async (seed: number, scenario: Scenario): Promise<void> => {
    const world = await startWorld(seed);
    const { doomed, kept } = submitWork(world);
    await world.time.run(25_000 + world.random() * 3000);
    for (let i = 0; i < (scenario.repetitions ?? 1); i++) {
      const formerLeader = world.leader();
      refuseStateRequests(world, formerLeader, 14_000);
      scenario.duringRefusal?.(world, formerLeader);
      await world.time.runUntil(() => world.leader() >= 0 && world.leader() !== formerLeader, 8000);
      const newLeader = world.leader();
      expect(newLeader).not.toBe(formerLeader);
      const toCancel = i === 0 ? doomed.slice(0, scenario.repetitions ? 1 : 3) : doomed.slice(1);
      const confirmed = await Promise.all(
        toCancel.map((job) => cancelUntilConfirmed(world, job.name_id, () => world.leader())),
      );
      const sessions = new Map([...world.workers].map(([id, worker]) => [id, worker.session]));
      const outageMs = 70_000;
      world.state.outage(outageMs);
      scenario.afterConfirmation?.(world, formerLeader, newLeader);
      await world.time.run(confirmed[0]! + CANCEL_MS + 10 - world.time.now);
      // Reports every task that is still on a machine.
      world.checker.finish();
      expect(world.checker.violations).toEqual([]);
      if (scenario.keepsWork)
        for (const [id, session] of sessions) expect(world.workers.get(id)?.session).toBe(session);
      await world.time.run(outageMs - CANCEL_MS + 8000);
    }
    world.user(kept);
    await expectAllAnswered(world);
    await expectAllOver(world, 400);
  };
  const machineIds = (world: World): string[] => [...world.workers.keys()];
  const loseDirectCalls = (world: World, ms = 90_000): void => {
    for (const machine of machineIds(world)) world.network.cut(`${machine}:9000`, '*', ms);
  };
  const scenarios: Record<string, Scenario> = {
    'without another fault': { keepsWork: true },
    'and the new leader crashes after confirming': {
      afterConfirmation: (world, _, newLeader) => world.crash(newLeader, 300),
    },
    'and connections between the controllers are refused': {
      duringRefusal: (world, formerLeader) => cutPeers(world, formerLeader, 90_000),
    },
    'and direct calls are lost': { duringRefusal: loseDirectCalls, keepsWork: true },
    'and direct calls are lost, and the controllers lose contact with each other': {
      duringRefusal: (world, formerLeader) => (loseDirectCalls(world), cutPeers(world, formerLeader, 90_000)),
    },
    'and the new leader crashes, with its peer links and direct calls lost': {
      duringRefusal: (world, formerLeader) => (loseDirectCalls(world), cutPeers(world, formerLeader, 90_000)),
      afterConfirmation: (world, _, newLeader) => world.crash(newLeader, 100_000),
    },
    'twice in a row': { repetitions: 2 },
    'and all controllers crash during the outage': {
      afterConfirmation: (world) =>
        world.time.after(5000, () => [0, 1, 2].forEach((n) => world.crash(n, 300 + n * 1000))),
    },
    'and no command reaches a worker while the lock lasts': {
      duringRefusal: (world) => loseDirectCalls(world, 8000),
      afterConfirmation: (world) =>
        machineIds(world).forEach((machine) => world.network.dropReports(machine, 4000)),
      keepsWork: true,
    },
    'and two machines hang for 90 s': {
      duringRefusal: (world) =>
        machineIds(world)
          .slice(0, 2)
          .forEach((machine) => world.hang(machine, 90_000)),
    },
  };
  for (const [name, scenario] of Object.entries(scenarios))
    for (const seed of [200, 201, 202, 205, 206])
      it(`${name}, seed ${seed}`, () => runScenario(seed, scenario));

  it('and the refused node is a follower: no work is lost', async () => {
    const world = await startWorld(203);
    const { doomed } = submitWork(world);
    await world.time.run(25_000);
    const sessions = new Map([...world.workers].map(([id, worker]) => [id, worker.session]));
    refuseStateRequests(world, (world.leader() + 1) % 3, 14_000);
    await world.time.run(2000);
    const at = await cancelUntilConfirmed(world, doomed[0]!.name_id, () => world.leader());
    world.state.outage(55_000);
    await world.time.run(CANCEL_MS + 10 - (world.time.now - at));
    world.checker.finish();
    expect(world.checker.violations).toEqual([]);
    for (const job of doomed.slice(1)) world.user(job, 70_000);
    await world.time.run(20_000);
    for (const [id, s] of sessions) expect(world.workers.get(id)?.session ?? s).toBe(s);
    await expectAllAnswered(world);
    await expectAllOver(world, 600);
  });

  it('an outage that all nodes see expires no worker lease, however long it lasts', async () => {
    const world = await startWorld(204);
    world.user(world.job({ shifts: 8, reckon_s: 200 }));
    await world.time.run(25_000);
    const sessions = [...world.workers.values()].map((worker) => worker.session);
    world.state.outage(100_000);
    await world.time.run(104_000);
    expect([...world.workers.values()].map((worker) => worker.session)).toEqual(sessions);
    await expectAllOver(world, 300);
  });
});

describe('cancellations', () => {
  it('of many running jobs within 0.2 s while their machines hang', async () => {
    for (const hang of [10_000, 25_000, 70_000]) {
      const world = await startWorld(210);
      const jobs = [0, 1, 2, 3].map(() => world.job({ shifts: 4, cpus: 4, reckon_s: 400 }));
      for (const job of jobs) world.user(job);
      await world.time.run(35_000);
      const machines = [...world.workers.values()].filter((worker) => worker.tasks.size > 0).slice(0, 8);
      for (const machine of machines) world.hang(machine.place.id, hang);
      const at = await Promise.all(
        jobs.map((job) => cancelUntilConfirmed(world, job.name_id, () => world.leader())),
      );
      await world.time.run(Math.max(...at) + CANCEL_MS + 100 - world.time.now);
      await expectAllOver(world, 10);
      expect(world.checker.startsAfterCancellation).toEqual([]);
    }
  });

  it("at the end of a job's last task, with a status query and a submission at the same time", async () => {
    const world = await startWorld(211);
    world.checker.onJobCompleted = (id) => {
      const at = Math.floor(world.random() * 3);
      world.time.after(world.random() * 600, () => void world.ask('withdraw', id, undefined, at));
      world.time.after(world.random() * 600, () => void world.ask('show', id));
      world.time.after(world.random() * 900, () => void world.ask('submit', id, jobs.get(id)));
    };
    const jobs = new Map<string, JobOnWire>();
    for (let i = 0; i < 40; i++) {
      const job = world.job({ shifts: 1 + (i % 3), reckon_s: 2 + world.random() * 20 });
      jobs.set(job.name_id, job);
      world.time.after(world.random() * 60_000, () => world.user(job));
    }
    world.time.after(35_000, () => world.crash(world.leader(), 300));
    await world.time.run(75_000);
    await expectAllOver(world, 200);
    const told = world.checker.accepted().map((id) => world.checker.standing(id));
    expect([told.includes('done'), told.includes('aborted')]).toEqual([true, true]);
    // All nodes must keep giving the same answers.
    await expectAllAnswered(world);
    expect(world.checker.violations).toEqual([]);
  });

  it('with commands that arrive late, among them starts of cancelled jobs', async () => {
    const world = await startWorld(212);
    world.user(world.job({ shifts: 4, reckon_s: 4, kit: 'img-0' }));
    await world.time.run(24_000);
    // The images are present, and the connections to the machines are cut and held while a job is started.
    const all = [...world.workers.keys()];
    for (const machine of all) world.network.cut(`${machine}:9000`, '*', 3000, true);
    const job = world.job({ shifts: 4, reckon_s: 400, kit: 'img-0' });
    world.checker.submitted(job);
    await resolved(world, world.ask('submit', job.name_id, job, world.leader()));
    await world.time.run(500);
    for (const machine of all) world.network.dropReports(machine, 6000);
    await cancelUntilConfirmed(world, job.name_id, () => world.leader());
    await expectAllOver(world, 60);
    await world.time.run(20_000);
    world.checker.finish();
    expect(world.checker.violations).toEqual([]);
  });

  it('of a team at its limit when the leader changes and some of its machines cannot be reached', async () => {
    const world = await startWorld(213);
    const blue = [0, 1, 2].map(() => world.job({ desk: 'blue', shifts: 12, cpus: 2, reckon_s: 40 }));
    for (const job of blue) world.user(job);
    await world.time.run(30_000);
    for (const machine of [...world.workers.keys()].slice(0, 3)) world.network.cut(machine, '*', 9000, true);
    world.crash(world.leader(), 300);
    await world.time.runUntil(() => world.leader() >= 0, 8000);
    await cancelUntilConfirmed(world, blue[0]!.name_id, () => world.leader());
    world.user(world.job({ desk: 'blue', shifts: 20, cpus: 2, reckon_s: 10 }));
    await expectAllOver(world, 400);
  });
});
