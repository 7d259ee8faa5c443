/** In which zones a job's tasks are, and may go. */
import type { Job } from './model.js';
import { placementCost, slotCount, type Candidate } from './rooms.js';

/** Of zones for a one-zone job, one place more outweighs any score of machines. */
const PLACE_WEIGHT = 2000;

/** A job's present tasks by zone, where their zones matter. */
export function tasksPerZone(job: Job): Map<string, number> {
  const perZone = new Map<string, number>();
  if (!job.spec.oneZone && !job.spec.spread) return perZone;
  for (const { machine } of job.live.values())
    perZone.set(machine.zone, (perZone.get(machine.zone) ?? 0) + 1);
  return perZone;
}

/**
 * The zones to try, the best first; [null] is all of them together.
 * Guards wrong_place: tasks of a one-zone job stay with those that may still run. Null: they are in two already.
 */
export function candidateZones(
  job: Job,
  perZone: ReadonlyMap<string, number>,
  open: Candidate[],
  fragile: boolean,
): (string | null)[] | null {
  if (!job.spec.oneZone) return [null];
  const present = [...perZone.keys()];
  if (present.length > 1) return null;
  if (present.length === 1) return present;
  const worth = new Map<string, number>();
  for (const room of open) {
    const { zone } = room.machine;
    const here = PLACE_WEIGHT * slotCount(room, job.spec) - placementCost(room, job, fragile);
    worth.set(zone, (worth.get(zone) ?? 0) + here);
  }
  return [...worth.keys()].sort((a, b) => worth.get(b)! - worth.get(a)!);
}
