import { describe, it } from 'vitest';
import fc from 'fast-check';
import {
  PLACEMENT_RUNS_IN_CI,
  PLACEMENT_SEEDS_IN_CI,
  placementProperty,
  playWorld,
  type WorldPlan,
} from './fakes/placement-property.js';

// Guards against jobs that one part of the scheduler takes to be possible and another one never serves.
describe('jobs in random small clusters', () => {
  for (const seed of PLACEMENT_SEEDS_IN_CI)
    it(`are done if they can run and refused if they never can (seed ${seed})`, async () => {
      await fc.assert(placementProperty(), { seed, numRuns: PLACEMENT_RUNS_IN_CI });
    });
});

/** Jobs of the world of soak seed 1045, as the soak shrank it, submitted at the same time. */
const jobsOfSeed1045 = [
  { shape: 'array', shifts: 1, cpus: 1, mem_gb: 4, desk: 'blue', reckon_s: 2 },
  { shape: 'array', shifts: 3, cpus: 1, mem_gb: 30, desk: 'red', reckon_s: 150 },
  { shape: 'ensemble', shifts: 2, cpus: 8, mem_gb: 1, desk: 'blue', reckon_s: 2 },
  { shape: 'array', shifts: 1, cpus: 1, mem_gb: 1, desk: 'red', reckon_s: 2 },
] as const;

const worldOfSeed1045: WorldPlan = {
  seed: 1,
  zonesOfTypes: [['a', 'c'], ['c']],
  zonesOfSettings: ['c'],
  capacity: [2, 0, 0, 0, 0, 0],
  spotMachines: 0,
  cpuLimit: 16,
  bootFactors: [0.1],
  jobs: jobsOfSeed1045.map((job) => ({
    job: { ...job, urgency: 'low', loaners: false },
    submittedAtMs: 0,
  })),
  troubles: [],
};

// Guards against machines that stand free for a gang while the rest of its places is in long use.
describe('places held for a gang', () => {
  it('keep no other job waiting for 90 s (soak seed 1045)', () => playWorld(worldOfSeed1045));
});
