import { it } from 'vitest';
import fc from 'fast-check';
import { commandsProperty, RUNS_IN_CI, SEED_IN_CI } from './fakes/commands-property.js';

it(`no attempt starts after its recorded end, whatever the delays and losses of calls (seed ${SEED_IN_CI})`, async () => {
  await fc.assert(commandsProperty(), { seed: SEED_IN_CI, numRuns: RUNS_IN_CI });
});
