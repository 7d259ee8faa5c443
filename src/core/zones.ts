/** Zones that a job's tasks occupy, and zones that they may be placed in. */
import type { Job } from './model.js';
import { placementCost, slotCount, type Candidate } from './candidates.js';

/** When zones are compared for a one-zone job, one more free place outweighs any placement cost. */
const PLACE_WEIGHT = 2000;

/** The number of present tasks per zone, for jobs with a rule on zones; empty for all others. */
export function tasksPerZone(job: Job): Map<string, number> {
  const perZone = new Map<string, number>();
  if (!job.spec.oneZone && !job.spec.spread) return perZone;
  for (const { machine } of job.live.values())
    perZone.set(machine.zone, (perZone.get(machine.zone) ?? 0) + 1);
  return perZone;
}

/**
 * Zones to try for a job, the best first; `[null]` stands for all zones together. Null if the tasks of a
 * one-zone job are in more than one zone already.
 * Upholds wrong_place: further tasks of a one-zone job go to the zone of those that may still run.
 */
export function candidateZones(
  job: Job,
  perZone: ReadonlyMap<string, number>,
  candidates: Candidate[],
  restartCritical: boolean,
): (string | null)[] | null {
  if (!job.spec.oneZone) return [null];
  const occupied = [...perZone.keys()];
  if (occupied.length > 1) return null;
  if (occupied.length === 1) return occupied;
  const scores = new Map<string, number>();
  for (const candidate of candidates) {
    const { zone } = candidate.machine;
    const score =
      PLACE_WEIGHT * slotCount(candidate, job.spec) - placementCost(candidate, job, restartCritical);
    scores.set(zone, (scores.get(zone) ?? 0) + score);
  }
  return [...scores.keys()].sort((a, b) => scores.get(b)! - scores.get(a)!);
}
