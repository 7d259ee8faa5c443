import { describe, expect, it } from 'vitest';
import { FENCES_PER_TERM, HIGHEST_FENCE_FOR_STARTS } from '../src/core/fences.js';
import { OneWorker, type CallFate } from './fakes/one-worker.js';
import {
  cancelUntilConfirmed,
  expectAllAnswered,
  expectAllOver,
  resolved,
  startWorld,
} from './fakes/scenarios.js';
import { REPORT_PERIOD_S } from './fakes/workers-actor.js';
import type { World } from './fakes/world.js';

// A request that was carried out and answered may reach its receiver once more, long after that.

/** Longer than any copy in these tests is delayed. */
const ALL_DELIVERED_MS = 125_000;
/** Longer than a direct call waits for its answer. */
const CALL_GIVEN_UP_MS = 2100;

/** The report of a change, the next regular one, and the delays of the network and the log. */
const TWO_REPORTS_MS = 500 + REPORT_PERIOD_S * 1250 + 100;

/** How an attempt that was started by a direct call ends, and what else happens. */
const events: Record<string, (fixture: OneWorker) => void> = {
  'the task fails': (fixture) => fixture.failTasks(),
  'the task fails and starts again': (fixture) => {
    fixture.failTasks();
    fixture.time.after(2000, () => fixture.start());
  },
  'the task completes': (fixture) => fixture.completeTasks(),
  'the task is stopped and starts again': (fixture) => {
    fixture.stop();
    fixture.time.after(2000, () => fixture.start());
  },
  'the job is cancelled': (fixture) => fixture.cancel(),
  'the leader changes as the task fails': (fixture) => {
    fixture.failTasks();
    fixture.changeLeader();
  },
  'the task fails and the leader changes after the worker was told to forget it': (fixture) => {
    fixture.failTasks();
    fixture.time.after(800, () => fixture.changeLeader());
  },
  'the leader changes, and the job is cancelled once the worker has shown the new term': (fixture) => {
    fixture.changeLeader();
    fixture.time.after(6000, () => fixture.cancel());
  },
  'the machine pauses for less than a second, and the task is stopped': (fixture) => {
    fixture.hang(800);
    fixture.time.after(900, () => fixture.stop());
  },
  'the machine pauses as the task fails': (fixture) => {
    fixture.failTasks();
    fixture.hang(800);
  },
  'the worker begins a new session': (fixture) => fixture.worker.startNewSession(),
};
const copyTimes: Record<string, readonly number[]> = {
  'a second later': [1000],
  '3.6 s later': [3600],
  '15 s later': [15_400],
  'a minute later': [60_000],
  'twice, 2 s and a minute later': [2000, 60_000],
};

/** Waits until all copies have arrived: none started a task again, and no ended task remains. */
async function expectNoRestart(fixture: OneWorker): Promise<void> {
  await fixture.time.run(ALL_DELIVERED_MS);
  expect(fixture.copiesDelivered).toBeGreaterThan(0);
  expect([...fixture.violations, ...fixture.strayTasks()]).toEqual([]);
  expect([...fixture.worker.tasks.values()].filter((task) => task.standing === 'ended')).toEqual([]);
}

describe('a copy of an answered direct call starts nothing again', () => {
  for (const [time, copiesAfterMs] of Object.entries(copyTimes))
    for (const [event, trigger] of Object.entries(events))
      it(`${time}; ${event}`, async () => {
        const fixture = await OneWorker.withRunningJob();
        fixture.copyCalls(copiesAfterMs);
        fixture.start();
        await fixture.time.run(500);
        trigger(fixture);
        await expectNoRestart(fixture);
      });

  it('when the worker had no room for the task and has it by then', async () => {
    const fixture = await OneWorker.withRunningJob();
    fixture.start(4);
    await fixture.time.run(100);
    fixture.submit(1000);
    fixture.start(4);
    await fixture.time.run(1000);
    fixture.submit(1000);
    fixture.copyCalls([5000, 20_000]);
    fixture.start();
    await fixture.time.run(1000);
    fixture.completeTasks();
    await expectNoRestart(fixture);
  });

  it('when its task runs with another attempt, and both copies find it ended later', async () => {
    const fixture = await OneWorker.withRunningJob();
    fixture.copyCalls([4000, 20_000]);
    fixture.start();
    await fixture.time.run(300);
    fixture.failTasks();
    await fixture.time.run(1500);
    fixture.start();
    await fixture.time.run(4000);
    fixture.stop();
    await expectNoRestart(fixture);
  });

  it('when it has several starts, of which one has ended and the others run', async () => {
    const fixture = await OneWorker.withRunningJob();
    fixture.copyCalls([3000, 30_000]);
    fixture.start(3);
    await fixture.time.run(500);
    const [first] = fixture.worker.tasks.values();
    fixture.worker.exit(first!, 'error', true);
    await expectNoRestart(fixture);
    const states = [...fixture.worker.tasks.values()].map((task) => task.standing);
    expect(states).toEqual(['running', 'running']);
  });

  it('when copies of two calls with the same attempt arrive', async () => {
    const fixture = await OneWorker.withRunningJob();
    const answerLost: CallFate = { deliveredAfterMs: 5, answered: false, copiesAfterMs: [9000, 40_000] };
    fixture.fates = [answerLost, { deliveredAfterMs: 5, answered: true, copiesAfterMs: [8000, 50_000] }];
    fixture.dropReports(CALL_GIVEN_UP_MS);
    fixture.start();
    await fixture.time.run(CALL_GIVEN_UP_MS);
    fixture.sendCommands();
    await fixture.time.run(200);
    fixture.stop();
    await expectNoRestart(fixture);
  });

  it('when it has a stop besides the start', async () => {
    const fixture = await OneWorker.withRunningJob();
    fixture.start();
    await fixture.time.run(200);
    fixture.copyCalls([3000, 30_000]);
    fixture.stop();
    fixture.submit(1000);
    fixture.start();
    await fixture.time.run(1000);
    fixture.failTasks();
    await expectNoRestart(fixture);
  });
});

describe('the guard against copies', () => {
  it('leaves no ended attempt in the reports for longer than two of them, and delays no start', async () => {
    const fixture = await OneWorker.withRunningJob();
    for (let round = 0; round < 40; round++) {
      fixture.submit(1000);
      fixture.start(2);
      await fixture.time.run(100);
      expect([...fixture.worker.tasks.values()].filter((task) => task.standing === 'running').length).toBe(2);
      fixture.completeTasks();
      await fixture.time.run(TWO_REPORTS_MS);
      expect(fixture.worker.tasks.size).toBe(0);
    }
    await fixture.time.run(TWO_REPORTS_MS);
    expect(fixture.startsSent).toBe(40);
    expect(fixture.callsRefused).toBe(0);
    const { workersWithAnsweredStarts, fencesRaisedToForget } = fixture.statistics();
    expect(workersWithAnsweredStarts).toBe(0);
    expect(fencesRaisedToForget).toBe(40);
  });

  it('keeps a start that is on its way while the fence is raised', async () => {
    const fixture = await OneWorker.withRunningJob();
    fixture.start();
    await fixture.time.run(700);
    fixture.completeTasks();
    // Sent before the answer that raises the fence, and carried out after it.
    fixture.fates = [{ deliveredAfterMs: 900, answered: true }];
    fixture.start();
    await fixture.time.run(3000);
    expect(fixture.callsRefused).toBe(1);
    expect([...fixture.worker.tasks.values()].map((task) => task.standing)).toEqual(['running']);
    expect(fixture.violations).toEqual([]);
  });

  it('sends starts only in answers to reports once the fences of the term are used up', async () => {
    const fixture = await OneWorker.withRunningJob();
    fixture.worker.highestFence += HIGHEST_FENCE_FOR_STARTS;
    await fixture.time.run(5000);
    fixture.copyCalls([2000, 20_000]);
    for (const directStarts of [1, 1]) {
      fixture.start();
      await fixture.time.run(5000);
      expect(fixture.startsSent).toBe(directStarts);
      expect([...fixture.worker.tasks.values()].map((task) => task.standing)).toEqual(['running']);
      fixture.completeTasks();
      await fixture.time.run(5000);
    }
    expect(fixture.worker.highestFence).toBe(2 * FENCES_PER_TERM - 1);
    await expectNoRestart(fixture);
  });
});

describe('calls that no leader has sent', () => {
  const running = async (): Promise<{
    fixture: OneWorker;
    send: (warrant: number, stint: number) => number;
  }> => {
    const fixture = await OneWorker.withRunningJob();
    fixture.start();
    await fixture.time.run(1000);
    const orders = [{ verb: 'launch', shift: `${fixture.job}/3`, try: 9 }];
    const send = (warrant: number, stint: number): number =>
      fixture.worker.handle('/orders', { warrant, stint, orders })!.status;
    return { fixture, send };
  };
  const attempts = (fixture: OneWorker): unknown[] =>
    [...fixture.worker.tasks.values()].map(({ task, attempt, standing }) => [task, attempt, standing]);

  it('with another session or a lower token are refused', async () => {
    const { fixture, send } = await running();
    expect(send(fixture.worker.highestFence, 2)).toBe(409);
    expect(send(fixture.worker.highestFence - 1, 1)).toBe(409);
    await fixture.time.run(5000);
    expect(attempts(fixture)).toEqual([[0, 1, 'running']]);
  });

  it('of an attempt that no record has: it is stopped and forgotten, and the others run on', async () => {
    const { fixture, send } = await running();
    expect(send(fixture.worker.highestFence, 1)).toBe(200);
    await fixture.time.run(5000);
    expect(attempts(fixture)).toEqual([[0, 1, 'running']]);
  });

  it('with a higher fence of the same term: the leader adopts it and goes on', async () => {
    const { fixture, send } = await running();
    expect(send(fixture.worker.highestFence + 7, 1)).toBe(200);
    await fixture.time.run(30_000);
    expect(attempts(fixture)).toEqual([[0, 1, 'running']]);
    expect(fixture.worker.session).toBe(1);
  });
});

/** When copies of each direct call arrive: soon, and on both sides of what the tests do to its tasks. */
const COPIES_AFTER_MS = [1500, 8000, 22_000, 45_000];

/** A cluster with a running array and a running gang, of whose direct calls copies arrive later. */
const runningWorld = async (seed: number): Promise<{ world: World; ids: string[] }> => {
  const world = await startWorld(seed);
  world.network.copyDelaysMs = (_address, path) => (path === '/orders' ? COPIES_AFTER_MS : []);
  world.user(world.job({ shifts: 4, reckon_s: 4 }));
  await world.time.run(24_000);
  const array = world.job({ shifts: 6, reckon_s: 200, waymark_s: 5, stow_s: 1 });
  const gang = world.job({ shape: 'ensemble', shifts: 2, cpus: 3, reckon_s: 200, waymark_s: 5, stow_s: 1 });
  for (const job of [array, gang]) {
    world.checker.submitted(job);
    await resolved(world, world.ask('submit', job.name_id, job, world.leader()));
  }
  await world.time.run(20_000);
  return { world, ids: [array.name_id, gang.name_id] };
};

const expectNothingRanTwice = async (world: World): Promise<void> => {
  await world.time.run(60_000);
  world.checker.finish();
  expect(world.network.copiesDelivered.get('/orders')).toBeGreaterThan(0);
  expect(world.checker.violations).toEqual([]);
  expect(world.checker.startsAfterCancellation).toEqual([]);
};

describe('in a complete cluster, copies of answered direct calls', () => {
  for (const seed of [600, 601, 602]) {
    it(`run no task on two machines after it failed and was moved (seed ${seed})`, async () => {
      const { world } = await runningWorld(seed);
      // One task a machine: a machine on which several fail gets no work.
      for (const worker of world.workers.values()) {
        const task = [...worker.tasks.values()].find(({ standing }) => standing === 'running');
        if (task) worker.exit(task, 'error', true);
      }
      await expectNothingRanTwice(world);
    });

    it(`run no task on two machines after a notice moved it (seed ${seed})`, async () => {
      const { world } = await runningWorld(seed);
      for (const worker of world.workers.values()) if (worker.tasks.size > 0) worker.reclaimNoticeS = 300;
      await expectNothingRanTwice(world);
    });

    it(`run no task after another node confirmed its cancellation (seed ${seed})`, async () => {
      const { world, ids } = await runningWorld(seed);
      for (const id of ids) await cancelUntilConfirmed(world, id, () => (world.leader() + 1) % 3);
      await expectNothingRanTwice(world);
    });

    it(`run no task after its leader was replaced or is back within a second (seed ${seed})`, async () => {
      const { world, ids } = await runningWorld(seed);
      await cancelUntilConfirmed(world, ids[0]!, () => world.leader());
      await world.time.run(700);
      world.crash(world.leader(), 300);
      await expectNothingRanTwice(world);
    });

    it(`run no task after the leader was cut off and machines paused (seed ${seed})`, async () => {
      const { world } = await runningWorld(seed);
      for (const worker of [...world.workers.values()].slice(0, 3)) worker.reclaimNoticeS = 300;
      for (const machine of [...world.workers.keys()].slice(0, 3)) world.hang(machine, 800);
      await world.time.run(1200);
      world.network.cut(`n${world.leader()}`, `state-for-n${world.leader()}:1`, 12_000);
      await expectNothingRanTwice(world);
    });
  }
});

/** A path of each kind of request between the parts of a cluster, as far as each of the runs below sends it. */
const COPIED_PATHS = ['/orders', '/hello', '/hosts', '/txn', '/leases', '/touch', '/kv', '/watch', '/status'];

describe('copies of answered requests of every kind', () => {
  for (let seed = 620; seed < 628; seed++)
    it(`break no rule and lose no job, beside a crash and a pause of the leader (seed ${seed})`, async () => {
      const world = await startWorld(seed);
      const delays = (share: number): number[] =>
        world.random() < share ? [1000 + world.random() * 60_000] : [];
      world.network.copyDelaysMs = (_address, path) => delays(path === '/orders' ? 0.6 : 0.3);
      world.userCopyDelaysMs = () => delays(0.5);
      for (let i = 0; i < 12; i++) {
        const isGang = i % 4 === 3;
        const job = world.job({
          ...{ shape: isGang ? 'ensemble' : 'array', shifts: isGang ? 2 : 1 + (i % 7), cpus: isGang ? 5 : 2 },
          ...{ reckon_s: 3 + world.random() * 30, waymark_s: i % 2 ? 5 : 0, stow_s: 1 },
        });
        const cancelAfterMs = i % 3 === 0 ? world.random() * 30_000 : null;
        world.time.after(world.random() * 60_000, () => world.user(job, cancelAfterMs));
      }
      world.time.after(30_000, () => world.crash(world.leader(), 300));
      world.time.after(55_000, () => world.freeze(world.leader(), 900));
      await world.time.run(75_000);
      await expectAllOver(world, 300);
      await expectAllAnswered(world);
      expect(world.checker.startsAfterCancellation).toEqual([]);
      for (const path of COPIED_PATHS)
        expect([...world.network.copiesDelivered.keys()].join(' ')).toContain(path);
    });
});
