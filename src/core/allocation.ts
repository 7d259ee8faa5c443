/** Allocates machines to the tasks of one job: the best of a few sampled machines, then the best of all. */
import { addTo, fits } from './resources.js';
import { hasImage, placementCost, slotCount, type Candidate } from './candidates.js';
import type { ZoneAllowance } from './constraints.js';
import type { Job } from './model.js';

/** Source of random numbers. */
export interface Random {
  /** Returns an integer from 0 (inclusive) to `limit` (exclusive). */
  intBelow(limit: number): number;
}

/** A number of a job's tasks on one machine. */
export interface Allocation {
  candidate: Candidate;
  taskCount: number;
}

/**
 * Allocates resources to up to `taskCount` identical tasks and takes them from the candidates. Each chosen
 * machine gets as many tasks as fit. Takes the best of a few sampled machines while that succeeds, then ranks
 * all machines once.
 */
export function allocate(
  candidates: Candidate[],
  job: Job,
  taskCount: number,
  sampleSize: number,
  random: Random,
  restartCritical: boolean,
  /** How many more tasks of the job a zone may take; what is allocated here is taken from it. */
  allowance: ZoneAllowance,
): Allocation[] {
  const spec = job.spec;
  const allocations: Allocation[] = [];
  let remaining = taskCount;
  const allocateOn = (target: Candidate): void => {
    const { zone } = target.machine;
    const count = Math.min(remaining, slotCount(target, spec), allowance.remaining(zone));
    if (count === 0) return;
    allowance.take(zone, count);
    addTo(target, spec, -count);
    remaining -= count;
    allocations.push({ candidate: target, taskCount: count });
  };
  const anyHasImage = candidates.some((candidate) => hasImage(candidate, job));
  for (let misses = 0; remaining > 0 && misses < 2 && candidates.length > sampleSize;) {
    let best: Candidate | null = null;
    let lowestCost = Infinity;
    for (let i = 0; i < sampleSize; i++) {
      const candidate = candidates[random.intBelow(candidates.length)]!;
      if (!fits(candidate, spec)) continue;
      const cost = placementCost(candidate, job, restartCritical);
      if (cost < lowestCost) [best, lowestCost] = [candidate, cost];
    }
    // A sampled machine without the image is accepted only if no candidate has the image.
    if (best && (hasImage(best, job) || !anyHasImage)) {
      const before = remaining;
      allocateOn(best);
      if (remaining < before) continue;
    }
    misses++;
  }
  if (remaining === 0) return allocations;
  const ranked = candidates
    .filter((candidate) => fits(candidate, spec))
    .map((candidate) => ({ candidate, cost: placementCost(candidate, job, restartCritical) }))
    .sort((a, b) => a.cost - b.cost);
  for (const { candidate } of ranked) {
    if (remaining === 0) break;
    allocateOn(candidate);
  }
  return allocations;
}

/** Gives allocated places back to the candidates and to the job's allowance. */
export function releaseAllocations(
  allocations: readonly Allocation[],
  job: Job,
  allowance: ZoneAllowance,
): void {
  for (const { candidate, taskCount } of allocations) {
    addTo(candidate, job.spec, taskCount);
    allowance.take(candidate.machine.zone, -taskCount);
  }
}

/** How many tasks the allocations hold. */
export const countTasks = (allocations: readonly Allocation[]): number =>
  allocations.reduce((sum, allocation) => sum + allocation.taskCount, 0);
