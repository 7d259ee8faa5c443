import { describe, it } from 'vitest';
import fc from 'fast-check';
import {
  PLACEMENT_RUNS_IN_CI,
  PLACEMENT_SEEDS_IN_CI,
  placementProperty,
  playWorld,
  type WorldPlan,
} from './fakes/placement-property.js';

type Job = WorldPlan['jobs'][number]['job'] & { submittedAtMs?: number };

// Guards against jobs that one part of the scheduler takes to be possible and another one never serves.
describe('jobs in random small clusters', () => {
  for (const seed of PLACEMENT_SEEDS_IN_CI)
    it(`are done if they can run and refused if they never can (seed ${seed})`, async () => {
      await fc.assert(placementProperty(), { seed, numRuns: PLACEMENT_RUNS_IN_CI });
    });
});

/** A world of the soak in which all jobs are of low priority and submitted within 2 ms, without troubles. */
const quietWorld = (plan: Pick<WorldPlan, 'zonesOfTypes' | 'zonesOfSettings' | 'capacity'>, jobs: Job[]) => ({
  ...{ seed: 1, spotMachines: 0, cpuLimit: 16, bootFactors: [0.1], troubles: [] },
  ...plan,
  jobs: jobs.map(({ submittedAtMs = 0, ...job }) => ({
    job: { urgency: 'low', loaners: false, ...job },
    submittedAtMs,
  })),
});

/** Worlds in which the soak found jobs that wait for too long, as it shrank them, by the seed of the soak. */
const foundWorlds: Record<number, WorldPlan> = {
  1045: quietWorld(
    { zonesOfTypes: [['a', 'c'], ['c']], zonesOfSettings: ['c'], capacity: [2, 0, 0, 0, 0, 0] },
    [
      { shape: 'array', shifts: 1, cpus: 1, mem_gb: 4, desk: 'blue', reckon_s: 2 },
      { shape: 'array', shifts: 3, cpus: 1, mem_gb: 30, desk: 'red', reckon_s: 150 },
      { shape: 'ensemble', shifts: 2, cpus: 8, mem_gb: 1, desk: 'blue', reckon_s: 2 },
      { shape: 'array', shifts: 1, cpus: 1, mem_gb: 1, desk: 'red', reckon_s: 2 },
    ],
  ),
  2018: quietWorld({ zonesOfTypes: [['c'], ['a']], zonesOfSettings: ['b'], capacity: [0, 0, 1, 0, 0, 0] }, [
    { shape: 'ensemble', shifts: 1, cpus: 8, mem_gb: 1, reckon_s: 2 },
    { shape: 'array', shifts: 4, cpus: 2, mem_gb: 1, reckon_s: 150 },
    { shape: 'array', shifts: 2, cpus: 1, mem_gb: 1, reckon_s: 150 },
    { shape: 'array', shifts: 1, cpus: 1, mem_gb: 1, reckon_s: 2, submittedAtMs: 2 },
  ]),
};

// Guards against machines that stand free for a gang while the rest of its places is in long use.
describe('places held for a gang', () => {
  for (const [seed, world] of Object.entries(foundWorlds))
    it(`keep no other job waiting for 90 s (soak seed ${seed})`, () => playWorld(world));
});
