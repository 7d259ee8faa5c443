import fc from 'fast-check';
import { OneWorker, type CallFate } from './one-worker.js';

/** A seed of its own, so that a failure in CI is found again; other seeds are the soak's. */
export const SEED_IN_CI = 20261202;
export const RUNS_IN_CI = 300;
/** Longer than any call is held up. */
const ALL_ARRIVED_MS = 65_000;

const actions = {
  start: (one: OneWorker) => one.start(),
  stop: (one: OneWorker) => one.stop(),
  cancel: (one: OneWorker) => one.cancel(),
  submit: (one: OneWorker) => one.submit(30),
  push: (one: OneWorker) => one.sendCommands(),
  complete: (one: OneWorker) => one.completeTasks(),
  newSession: (one: OneWorker) => one.worker.startNewSession(),
  changeLeader: (one: OneWorker) => one.changeLeader(),
  mute: (one: OneWorker) => one.dropReports(5000),
  silence: (one: OneWorker) => one.dropAllFromWorker(5000),
  hang: (one: OneWorker) => one.hang(4000),
  deafen: (one: OneWorker) => one.dropReportResponses(5000),
  copyReport: (one: OneWorker) => one.copyNextReport(20_000),
} as const;
type Action = keyof typeof actions;

interface Step {
  action: Action;
  thenMs: number;
}

const step: fc.Arbitrary<Step> = fc.record({
  action: fc.oneof(
    { weight: 4, arbitrary: fc.constant<Action>('start') },
    { weight: 3, arbitrary: fc.constantFrom<Action>('stop', 'push', 'mute', 'deafen') },
    { weight: 1, arbitrary: fc.constantFrom(...(Object.keys(actions) as Action[])) },
  ),
  thenMs: fc.constantFrom(0, 100, 700, 2200, 5000),
});

const fate: fc.Arbitrary<CallFate> = fc.oneof(
  { weight: 1, arbitrary: fc.constant({ deliveredAfterMs: 5, answered: true }) },
  {
    weight: 2,
    arbitrary: fc.record({
      deliveredAfterMs: fc.constantFrom(5, 1900, 3000, 20_000, 60_000),
      answered: fc.boolean(),
    }),
  },
);

/** Random interleavings of decisions, failures, and the fates of direct calls to one worker. */
export const commandsProperty = (): fc.IAsyncProperty<[Step[], CallFate[]]> =>
  fc.asyncProperty(
    fc.array(step, { minLength: 1, maxLength: 16 }),
    fc.array(fate, { maxLength: 8 }),
    async (steps, fates) => {
      const one = await OneWorker.withRunningJob(30);
      one.fates = [...fates];
      for (const { action, thenMs } of steps) {
        actions[action](one);
        await one.time.run(thenMs);
      }
      await one.time.run(ALL_ARRIVED_MS);
      const wrong = [...one.violations, ...one.strayTasks()];
      if (wrong.length > 0) throw new Error(wrong.join('; '));
    },
  );
