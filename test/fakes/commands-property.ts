import fc from 'fast-check';
import { OneWorker, type CallFate } from './one-worker.js';

/** CI runs a fixed seed, so that a failure can be reproduced; the soak runs others. */
export const SEED_IN_CI = 20261202;
export const RUNS_IN_CI = 300;
/** Longer than any call is delayed, and a copy of it after that. */
const DRAIN_MS = 125_000;

/** What a run may do; the names appear in the counterexample of a failure. */
const actions = {
  start: (fixture: OneWorker) => fixture.start(),
  stop: (fixture: OneWorker) => fixture.stop(),
  cancel: (fixture: OneWorker) => fixture.cancel(),
  submit: (fixture: OneWorker) => fixture.submit(30),
  fail: (fixture: OneWorker) => fixture.failTasks(),
  copyCalls: (fixture: OneWorker) => fixture.copyCalls([1000, 20_000]),
  pause: (fixture: OneWorker) => fixture.hang(800),
  sendCommands: (fixture: OneWorker) => fixture.sendCommands(),
  complete: (fixture: OneWorker) => fixture.completeTasks(),
  startNewSession: (fixture: OneWorker) => fixture.worker.startNewSession(),
  changeLeader: (fixture: OneWorker) => fixture.changeLeader(),
  dropReports: (fixture: OneWorker) => fixture.dropReports(5000),
  dropAllFromWorker: (fixture: OneWorker) => fixture.dropAllFromWorker(5000),
  hang: (fixture: OneWorker) => fixture.hang(4000),
  dropReportResponses: (fixture: OneWorker) => fixture.dropReportResponses(5000),
  duplicateReport: (fixture: OneWorker) => fixture.duplicateNextReport(20_000),
} as const;
type Action = keyof typeof actions;

interface Step {
  action: Action;
  /** How long the simulation runs before the next step. */
  thenMs: number;
}

const step: fc.Arbitrary<Step> = fc.record({
  action: fc.oneof(
    { weight: 4, arbitrary: fc.constant<Action>('start') },
    {
      weight: 3,
      arbitrary: fc.constantFrom<Action>('stop', 'sendCommands', 'dropReports', 'dropReportResponses'),
    },
    { weight: 1, arbitrary: fc.constantFrom(...(Object.keys(actions) as Action[])) },
  ),
  thenMs: fc.constantFrom(0, 100, 700, 2200, 5000),
});

/** When copies of a call that was carried out reach the worker again. */
const copies = fc.array(fc.constantFrom(100, 1000, 3000, 20_000, 60_000), { maxLength: 2 });

const fate: fc.Arbitrary<CallFate> = fc.oneof(
  { weight: 1, arbitrary: fc.constant({ deliveredAfterMs: 5, answered: true }) },
  {
    weight: 2,
    arbitrary: fc.record({
      deliveredAfterMs: fc.constant(5),
      answered: fc.constant(true),
      copiesAfterMs: copies,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      deliveredAfterMs: fc.constantFrom(5, 1900, 3000, 20_000, 60_000),
      answered: fc.boolean(),
      copiesAfterMs: copies,
    }),
  },
);

/**
 * Random sequences of decisions and failures, with random delays, lost answers and late copies of the direct
 * calls to one worker. No attempt may start after its end is recorded, and none whose end is recorded may
 * remain on the worker.
 */
export const commandsProperty = (): fc.IAsyncProperty<[Step[], CallFate[]]> =>
  fc.asyncProperty(
    fc.array(step, { minLength: 1, maxLength: 16 }),
    fc.array(fate, { maxLength: 8 }),
    async (steps, fates) => {
      const fixture = await OneWorker.withRunningJob(30);
      fixture.fates = [...fates];
      for (const { action, thenMs } of steps) {
        actions[action](fixture);
        await fixture.time.run(thenMs);
      }
      await fixture.time.run(DRAIN_MS);
      const violations = [...fixture.violations, ...fixture.strayTasks()];
      if (violations.length > 0) throw new Error(violations.join('; '));
    },
  );
