import { describe, expect, it } from 'vitest';
import { OneWorker, type CallFate } from './fakes/one-worker.js';
import { delayFirstCopies, resolved, startWorld } from './fakes/scenarios.js';
import type { World } from './fakes/world.js';

// A direct call that gets no answer in time may still reach its worker minutes later.

const CALL_GIVEN_UP_MS = 2100;
/** Longer than any call in these tests is delayed. */
const ALL_DELIVERED_MS = 125_000;
const answered: CallFate = { deliveredAfterMs: 5, answered: true };
const delayed = (seconds: number): CallFate => ({ deliveredAfterMs: seconds * 1000, answered: false });
/** Carried out at once, but the answer is lost. */
const answerLost: CallFate = { deliveredAfterMs: 5, answered: false };

/** Sends copies of one start until the last of them is answered. No report arrives in the meantime. */
async function sendStartCopies(fixture: OneWorker, fates: CallFate[]): Promise<void> {
  fixture.fates = [...fates];
  fixture.dropReports(fates.length * CALL_GIVEN_UP_MS);
  fixture.start();
  for (let sent = 1; sent < fates.length; sent++) {
    await fixture.time.run(CALL_GIVEN_UP_MS);
    fixture.sendCommands();
  }
  await fixture.time.run(200);
  expect(fixture.startsSent).toBe(fates.length);
}

/** Waits until all delayed calls have arrived: none started a task again, and no ended task remains. */
async function expectNoRestart(fixture: OneWorker): Promise<void> {
  await fixture.time.run(ALL_DELIVERED_MS);
  expect(fixture.violations).toEqual([]);
  expect([...fixture.worker.tasks.values()].filter((task) => task.standing === 'ended')).toEqual([]);
}

const events: Record<string, (fixture: OneWorker) => void> = {
  'the task is stopped': (fixture) => fixture.stop(),
  'the job is cancelled': (fixture) => fixture.cancel(),
  'the task is stopped and starts again': (fixture) => {
    fixture.stop();
    fixture.time.after(4000, () => fixture.start());
  },
  'the leader changes, and the task is stopped': (fixture) => {
    fixture.changeLeader();
    fixture.time.after(6000, () => fixture.stop());
  },
  'the worker begins a new session, and the task starts again': (fixture) => {
    fixture.worker.startNewSession();
    fixture.time.after(4000, () => fixture.start());
  },
  'the task completes': (fixture) => fixture.completeTasks(),
};
const fatesByCase: Record<string, CallFate[]> = {
  'the first arrives after 3 s': [delayed(3), answered],
  'the first arrives after 58 s': [delayed(58), answered],
  'the first arrives after 120 s': [delayed(120), answered],
  'the first of three arrives last': [delayed(58), delayed(10), answered],
  'the second of three arrives last': [delayed(10), delayed(58), answered],
  'the first of three was carried out, the second arrives last': [answerLost, delayed(58), answered],
  'the second of three was carried out, the first arrives last': [delayed(58), answerLost, answered],
};

describe('copies of one start, of which only the last is answered', () => {
  for (const [name, fates] of Object.entries(fatesByCase))
    for (const [event, trigger] of Object.entries(events))
      it(`${name}; ${event}`, async () => {
        const fixture = await OneWorker.withRunningJob();
        await sendStartCopies(fixture, fates);
        trigger(fixture);
        await expectNoRestart(fixture);
      });

  it('whose task has ended by the time of the last answer, which reports the end', async () => {
    const fixture = await OneWorker.withRunningJob(0.001);
    // The task has ended before the third copy reaches the worker, which reports the end in its answer.
    await sendStartCopies(fixture, [delayed(58), answerLost, answered]);
    await expectNoRestart(fixture);
  });
});

describe('a stop that arrives before its start', () => {
  for (const seconds of [2.5, 20, 120])
    it(`by ${seconds} s: the start is invalid, and the task can be started again`, async () => {
      const fixture = await OneWorker.withRunningJob();
      fixture.fates = [delayed(seconds)];
      fixture.dropReports(CALL_GIVEN_UP_MS);
      fixture.start();
      await fixture.time.run(500);
      fixture.stop();
      await expectNoRestart(fixture);
      expect(fixture.state.jobs.get(fixture.job)!.live.size).toBe(0);
      fixture.start();
      await fixture.time.run(1000);
      expect([...fixture.worker.tasks.values()].map((task) => [task.attempt, task.standing])).toEqual([
        [2, 'running'],
      ]);
    });
});

describe('a response that is not a report', () => {
  it('does not settle the call: the start may still arrive and is invalidated first', async () => {
    const fixture = await OneWorker.withRunningJob();
    fixture.fates = [{ ...delayed(30), garbled: true }];
    fixture.dropReports(3000);
    fixture.start();
    await fixture.time.run(500);
    fixture.cancel();
    await expectNoRestart(fixture);
    expect(fixture.state.jobs.size).toBe(0);
  });
});

describe('a worker that is silent', () => {
  it('keeps a cancelled start in the log until it has reported a higher fence', async () => {
    const fixture = await OneWorker.withRunningJob();
    fixture.fates = [delayed(60)];
    fixture.start();
    fixture.dropAllFromWorker(10_000);
    await fixture.time.run(500);
    fixture.cancel();
    await fixture.time.run(9000);
    expect(fixture.state.jobs.get(fixture.job)?.live.size).toBe(1);
    await expectNoRestart(fixture);
    expect(fixture.state.jobs.has(fixture.job)).toBe(false);
  });
});

/** Delays the first call with a start of the job to each machine; later copies get through. */
function delayFirstStarts(world: World, job: string, ms: number): void {
  delayFirstCopies(world, ms, (address, body) => {
    const orders = (body as { orders?: { verb: string; shift: string }[] } | undefined)?.orders ?? [];
    return orders.some((o) => o.verb === 'launch' && o.shift.startsWith(`${job}/`)) ? address : null;
  });
}

/**
 * Machines that have the image, and a job of which each got two copies of a start, the first
 * delayed.
 */
async function delayedStarts(seed: number): Promise<{ world: World; id: string }> {
  const world = await startWorld(seed);
  world.user(world.job({ shifts: 4, reckon_s: 4 }));
  await world.time.run(24_000);
  for (const machine of world.workers.keys()) world.network.dropReports(machine, 6000);
  const job = world.job({ shifts: 2, reckon_s: 400, waymark_s: 5, stow_s: 1 });
  delayFirstStarts(world, job.name_id, 64_000);
  world.checker.submitted(job);
  await resolved(world, world.ask('submit', job.name_id, job, world.leader()));
  // A second job for the same machines while the first calls are open: the next calls carry both, and it
  // stays.
  world.time.after(1000, () => world.user(world.job({ shifts: 2, cpus: 1, reckon_s: 300 })));
  await world.time.run(9000);
  expect(world.checker.startCountOf(job.name_id)).toBe(2);
  return { world, id: job.name_id };
}

describe('the statistics for operators', () => {
  it('count calls that were given up until they are invalidated', async () => {
    const fixture = await OneWorker.withRunningJob();
    await sendStartCopies(fixture, [delayed(30), delayed(30), answered]);
    expect(fixture.statistics()).toMatchObject({
      directCalls: { sent: 3, answered: 1, givenUp: 2, open: 0 },
    });
    // The answer to the third call, under a higher fence, invalidated both earlier ones.
    expect(fixture.statistics()).toMatchObject({ unsettledCalls: 0, fencesRaised: 2 });
    fixture.fates = [delayed(30)];
    fixture.dropAllFromWorker(6000);
    fixture.start();
    await fixture.time.run(3000);
    expect(fixture.statistics()).toMatchObject({ unsettledCalls: 1, fencesRaised: 3 });
    await fixture.time.run(10_000);
    expect(fixture.statistics()).toMatchObject({ unsettledCalls: 0 });
  });
});

describe('a complete cluster whose calls are delayed by a minute', () => {
  it('runs no task of a job after its cancellation', async () => {
    const { world, id } = await delayedStarts(250);
    expect((await resolved(world, world.ask('withdraw', id, undefined, world.leader()))).standing).toBe(
      'aborted',
    );
    await world.time.run(70_000);
    world.checker.finish();
    expect(world.checker.violations).toEqual([]);
    expect(world.checker.startsAfterCancellation).toEqual([]);
  });

  it('runs no task on two machines after moving it', async () => {
    const { world, id } = await delayedStarts(251);
    for (const worker of world.workers.values()) if (worker.tasks.size > 0) worker.reclaimNoticeS = 300;
    await world.time.run(70_000);
    expect(world.checker.startCountOf(id)).toBeGreaterThan(2);
    expect(world.checker.violations).toEqual([]);
  });
});
