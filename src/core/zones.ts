/** The order in which zones are tried for a one-zone job. */
import { placementCost, slotCount, type Candidate } from './candidates.js';
import type { ZoneAllowance } from './constraints.js';
import type { Job } from './model.js';

/** When zones are compared for a one-zone job, one more free place outweighs any placement cost. */
const PLACE_WEIGHT = 2000;

/** Zones to try for a job, the best first; `null` stands for all zones together. */
export function candidateZones(
  job: Job,
  allowance: ZoneAllowance,
  candidates: Candidate[],
  restartCritical: boolean,
): (string | null)[] {
  if (!job.spec.oneZone) return [null];
  const scores = new Map<string, number>();
  for (const candidate of candidates) {
    const { zone } = candidate.machine;
    const score =
      PLACE_WEIGHT * slotCount(candidate, job.spec) - placementCost(candidate, job, restartCritical);
    scores.set(zone, (scores.get(zone) ?? 0) + score);
  }
  return allowance.zoneChoices([...scores.keys()].sort((a, b) => scores.get(b)! - scores.get(a)!));
}
