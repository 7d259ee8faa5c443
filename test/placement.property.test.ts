import { describe, it } from 'vitest';
import fc from 'fast-check';
import {
  PLACEMENT_RUNS_IN_CI,
  PLACEMENT_SEEDS_IN_CI,
  placementProperty,
} from './fakes/placement-property.js';

// Guards against jobs that one part of the scheduler takes to be possible and another one never serves.
describe('jobs in random small clusters', () => {
  for (const seed of PLACEMENT_SEEDS_IN_CI)
    it(`are done if they can run and refused if they never can (seed ${seed})`, async () => {
      await fc.assert(placementProperty(), { seed, numRuns: PLACEMENT_RUNS_IN_CI });
    });
});
