import { describe, expect, it } from 'vitest';
import type { JobOnWire } from './fakes/checker.js';
import {
  CANCEL_MS,
  cutPeers,
  expectAllAnswered,
  expectAllOver,
  machinesOf,
  refuseStateRequests,
  resolved,
  startWorld,
  submitWork,
} from './fakes/scenarios.js';
import type { World } from './fakes/world.js';

const OUTAGE_MS = 70_000;
/** Between the cancellation's write, which is carried out, and the outage in which its answer is lost. */
const OUTAGE_DELAY_MS = 200;

/** Whether a transaction writes the cancellation of a job. */
const cancels = (transaction: { apply: { data?: unknown }[] }, id: string): boolean =>
  transaction.apply.some(({ data }) =>
    (data as { entries?: { e: string; job?: string }[] } | undefined)?.entries?.some(
      ({ e, job }) => e === 'withdraw' && job === id,
    ),
  );

/** The answer to each write of a job's cancellation is lost; the write itself is carried out. */
const loseCancellationAnswers = (world: World, id: string, onWritten: () => void): void => {
  let isWritten = false;
  world.state.losesResponse = (transaction) => {
    if (!cancels(transaction, id)) return false;
    if (!isWritten) onWritten();
    return (isWritten = true);
  };
};

/** Asks the nodes that don't lead in turn, until one says that the job is cancelled. */
const learnFromFollowers = async (world: World, id: string, kind: 'show' | 'withdraw'): Promise<void> => {
  const leader = world.leader();
  for (let i = 0; i < 40; i++) {
    const follower = (leader + 1 + (i % 2)) % 3;
    const answer = await resolved(world, world.ask(kind, id, undefined, follower));
    if (answer.standing === 'aborted') return;
    await world.time.run(200);
  }
  throw new Error(`no follower said that ${id} is cancelled`);
};

/** Runs until a confirmed cancellation must have been carried out, and checks the rules. */
const expectCancelledInTime = async (world: World): Promise<void> => {
  await world.time.run(CANCEL_MS + 10);
  // Reports every task that is still on a machine.
  world.checker.finish();
  expect(world.checker.violations).toEqual([]);
  expect(world.checker.startsAfterCancellation).toEqual([]);
};

interface Scenario {
  /** How the user learns that the job is cancelled. */
  learnsBy?: 'show' | 'withdraw';
  /** Additional faults, once the cancellation is written and once its user has been told. */
  onWritten?: (world: World, leader: number, job: JobOnWire) => void;
  onTold?: (world: World, leader: number, job: JobOnWire) => void;
  /** Whether the other work must survive. */
  keepsWork?: boolean;
  /** What keeps the write from being answered; by default an outage of the state service. */
  blockState?: (world: World, leader: number) => void;
}

const hangMachinesOf = (world: World, _leader: number, job: JobOnWire): void =>
  machinesOf(world, job)
    .slice(0, 2)
    .forEach((machine) => world.hang(machine, 90_000));

const startOutage = (world: World): void => world.state.outage(OUTAGE_MS);

/** The leader's renewals are answered, its writes are not, and no other node can take over. */
const loseAllWriteAnswers = (world: World, leader: number): void => {
  world.state.losesResponse = () => true;
  world.time.after(OUTAGE_MS, () => (world.state.losesResponse = () => false));
  for (const node of [0, 1, 2]) if (node !== leader) refuseStateRequests(world, node, OUTAGE_MS);
};

// Guards against ran_cancelled: a follower confirmed a cancellation from the log whose write the leader had no
// answer for, and the leader kept the leases of the job's tasks alive until the outage was over.
describe('followers confirm a cancellation whose write the leader has no answer for', () => {
  const runScenario = async (seed: number, scenario: Scenario): Promise<void> => {
    const world = await startWorld(seed);
    const { doomed } = submitWork(world);
    const [cancelled, ...others] = doomed as [JobOnWire, ...JobOnWire[]];
    await world.time.run(25_000 + world.random() * 3000);
    const leader = world.leader();
    loseCancellationAnswers(world, cancelled.name_id, () =>
      world.time.after(OUTAGE_DELAY_MS, () => {
        (scenario.blockState ?? startOutage)(world, leader);
        scenario.onWritten?.(world, leader, cancelled);
      }),
    );
    const sessions = new Map([...world.workers].map(([id, worker]) => [id, worker.session]));
    const starts = others.map(({ name_id }) => world.checker.startCountOf(name_id));
    expect((await resolved(world, world.ask('withdraw', cancelled.name_id, undefined, leader))).status).toBe(
      503,
    );
    await learnFromFollowers(world, cancelled.name_id, scenario.learnsBy ?? 'withdraw');
    scenario.onTold?.(world, leader, cancelled);
    await expectCancelledInTime(world);
    if (scenario.keepsWork) {
      for (const [id, session] of sessions) expect(world.workers.get(id)?.session).toBe(session);
      expect(others.map(({ name_id }) => world.checker.startCountOf(name_id))).toEqual(starts);
    }
    await world.time.run(OUTAGE_MS - CANCEL_MS + 8000);
    await expectAllAnswered(world);
    await expectAllOver(world, 900);
  };
  const scenarios: Record<string, Scenario> = {
    'to a repeated cancellation': { keepsWork: true },
    'to a question': { learnsBy: 'show', keepsWork: true },
    'and two machines hang for 90 s': { onTold: hangMachinesOf },
    'and two machines hang from the write on': { onWritten: hangMachinesOf },
    'and direct calls are lost': {
      onWritten: (world) =>
        [...world.workers.keys()].forEach((machine) => world.network.cut(`${machine}:9000`, '*', 90_000)),
      keepsWork: true,
    },
    'and reports are lost for 10 s': {
      onWritten: (world) =>
        [...world.workers.keys()].forEach((machine) => world.network.dropReports(machine, 10_000)),
    },
    'and the leader loses contact with the other controllers': {
      onTold: (world, leader) => cutPeers(world, leader, 90_000),
    },
    'and the leader loses contact with the other controllers, and two machines hang': {
      onTold: (world, leader, job) => (cutPeers(world, leader, 90_000), hangMachinesOf(world, leader, job)),
    },
    'and another controller is down, and two machines hang': {
      onTold: (world, leader, job) => (
        world.crash((leader + 1) % 3, 100_000),
        hangMachinesOf(world, leader, job)
      ),
    },
    'and another controller restarts': {
      onTold: (world, leader) => world.crash((leader + 1) % 3, 300),
    },
    'and the leader stands still for 10 s': { onTold: (world, leader) => world.freeze(leader, 10_000) },
    'and the leader restarts': { onTold: (world, leader) => world.crash(leader, 300) },
    'while only its writes get no answer': { blockState: loseAllWriteAnswers },
    'while only its writes get no answer, and two machines hang': {
      blockState: loseAllWriteAnswers,
      onTold: hangMachinesOf,
    },
  };
  for (const [name, scenario] of Object.entries(scenarios))
    for (const seed of [600, 601, 602]) it(`${name}, seed ${seed}`, () => runScenario(seed, scenario));
});

// Guards against harm done by stops for a cancellation that turns out not to be in the log.
describe('a cancellation that was never written and that nobody was told of', () => {
  /** The leader loses its place before its write gets through; the user asks about the job, and cancels no more. */
  const runUnwritten = async (
    seed: number,
    overrides: Partial<JobOnWire>,
    endLeader: (world: World, leader: number) => Promise<void>,
  ): Promise<World> => {
    const world = await startWorld(seed);
    const long = world.job({ shifts: 4, reckon_s: 100, ...overrides });
    const { kept } = submitWork(world);
    world.user(long);
    await world.time.run(30_000);
    expect(world.checker.startCountOf(long.name_id)).toBe(4);
    await endLeader(world, world.leader());
    await world.time.runUntil(() => world.checker.standing(long.name_id) === 'done', 400_000);
    expect(world.checker.standing(long.name_id)).toBe('done');
    expect(world.checker.standing(kept.name_id)).toBe('done');
    world.checker.finish();
    expect(world.checker.violations).toEqual([]);
    return world;
  };
  /** An outage, in which the leader restarts. */
  const restartAfter =
    (ms: number) =>
    async (world: World, leader: number): Promise<void> => {
      world.state.outage(ms + 3000);
      void world.ask('withdraw', idOfLongJob, undefined, leader);
      await world.time.run(ms);
      world.crash(leader, 300);
    };
  /** The state service refuses the leader alone, and another node takes over. */
  const depose = async (world: World, leader: number): Promise<void> => {
    refuseStateRequests(world, leader, 30_000);
    void world.ask('withdraw', idOfLongJob, undefined, leader);
    await world.time.runUntil(() => world.leader() >= 0 && world.leader() !== leader, 20_000);
  };
  const idOfLongJob = 'wk-000001';

  for (const seed of [610, 611, 612]) {
    it(`the job runs on if its leader restarts at once, seed ${seed}`, async () => {
      const world = await runUnwritten(seed, {}, restartAfter(1000));
      expect(world.checker.startCountOf(idOfLongJob)).toBe(4);
    });
    it(`the job runs again if its tasks were stopped, seed ${seed}`, async () => {
      const world = await runUnwritten(seed, {}, restartAfter(15_000));
      expect(world.checker.startCountOf(idOfLongJob)).toBe(8);
    });
    it(`the job runs on or again under another leader, seed ${seed}`, async () => {
      const world = await runUnwritten(seed, {}, depose);
      expect([4, 8]).toContain(world.checker.startCountOf(idOfLongJob));
    });
    it(`a gang runs again if its tasks were stopped, seed ${seed}`, async () => {
      const world = await runUnwritten(seed, { shape: 'ensemble' }, restartAfter(15_000));
      expect(world.checker.startCountOf(idOfLongJob)).toBe(8);
    });
  }
});

// Guards against a deposed leader that returns machines on which the new leader's tasks run.
describe('a leader that another may have replaced', () => {
  for (const seed of [620, 621, 622])
    it(`returns no machine for a cancellation whose result it does not know, seed ${seed}`, async () => {
      const world = await startWorld(seed);
      const [cancelled, ...others] = [0, 1, 2].map(() =>
        world.job({ shifts: 5, cpus: 1, reckon_s: 400 }),
      ) as [JobOnWire, ...JobOnWire[]];
      for (const job of [cancelled, ...others]) world.user(job);
      await world.time.run(27_000);
      const former = world.leader();
      loseCancellationAnswers(world, cancelled.name_id, () =>
        world.time.after(OUTAGE_DELAY_MS, () => {
          refuseStateRequests(world, former, 60_000);
          cutPeers(world, former, 60_000);
          // The former leader hears no worker any more, the others do.
          for (const machine of world.workers.keys()) {
            world.network.cut(machine, `n${former}:80`, 60_000);
            world.network.cut(`n${former}`, `${machine}:9000`, 60_000);
          }
        }),
      );
      const machines = machinesOf(world, cancelled).filter((id) =>
        others.some((job) => machinesOf(world, job).includes(id)),
      );
      expect(machines.length).toBeGreaterThan(0);
      const starts = others.map(({ name_id }) => world.checker.startCountOf(name_id));
      void world.ask('withdraw', cancelled.name_id, undefined, former);
      await world.time.runUntil(() => world.leader() >= 0 && world.leader() !== former, 20_000);
      expect(world.leader()).not.toBe(former);
      await expectCancelledInTime(world);
      expect(machines.filter((machine) => !world.workers.has(machine))).toEqual([]);
      expect(others.map(({ name_id }) => world.checker.startCountOf(name_id))).toEqual(starts);
      await world.time.run(20_000);
      await expectAllAnswered(world);
      await expectAllOver(world, 900);
    });
});

// Guards against forgotten: the first submission may be in the log, and users may have been told so.
describe('a submission whose write the leader has no answer for', () => {
  it('is not refused for good when it is repeated with a body that can not run', async () => {
    const world = await startWorld(630);
    const job = world.job({ shifts: 2, reckon_s: 20 });
    world.checker.submitted(job);
    const leader = world.leader();
    let isLost = false;
    world.state.losesResponse = () => !isLost && (isLost = true);
    void world.ask('submit', job.name_id, job, leader);
    await world.time.run(500);
    const repeated = await resolved(world, world.ask('submit', job.name_id, { ...job, cpus: 99 }, leader));
    expect([200, 201, 503]).toContain(repeated.status);
    world.user(job);
    await expectAllOver(world, 100);
  });
});
