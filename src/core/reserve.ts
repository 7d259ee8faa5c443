/** Reserves resources for jobs that wait: those being released and, for a gang, those that are free already. */
import type { Allocation } from './allocation.js';
import type { Job, Machine } from './model.js';
import { addTo, fits, sumOf, type Resources } from './resources.js';
import { slotCount, type Candidate } from './candidates.js';

/**
 * Reserves resources that tasks being stopped will release; for a gang only if they suffice for all of its
 * tasks. Otherwise the places that are free already are reserved for the first gang that needs them, or it
 * would starve behind small tasks that take each place as soon as it becomes free. Returns how many tasks
 * have a place, and the zone of a one-zone job's places.
 */
export function reserve(
  feasible: Candidate[],
  releasing: Candidate[],
  job: Job,
  taskCount: number,
  /** Machines that may be drained for a gang that has waited for too long. */
  drainable: Candidate[],
  /** How many of the job's tasks a zone could hold if all its machines were empty. */
  zoneCapacity: (zone: string) => number,
  /** Machines reserved for gangs; those reserved here are added. */
  reserved: Set<Machine>,
): { taskCount: number; zone: string | null } {
  const spec = job.spec;
  if (spec.spread) return { taskCount: 0, zone: null };
  const take = (from: Candidate[], resourcesOf: (candidate: Candidate) => Resources): Allocation[] => {
    const taken: Allocation[] = [];
    let remaining = taskCount;
    for (const target of from) {
      if (remaining === 0) break;
      if (spec.oneZone && taken.length > 0 && taken[0]!.candidate.machine.zone !== target.machine.zone)
        continue;
      const count = Math.min(remaining, slotCount(resourcesOf(target), spec));
      if (count === 0) continue;
      addTo(target, spec, -count);
      remaining -= count;
      taken.push({ candidate: target, taskCount: count });
    }
    return taken;
  };
  const summarize = (allocations: Allocation[]): { taskCount: number; zone: string | null } => ({
    taskCount: allocations.reduce((sum, allocation) => sum + allocation.taskCount, 0),
    zone: spec.oneZone ? (allocations[0]?.candidate.machine.zone ?? null) : null,
  });
  const released = take(releasing, (candidate) => sumOf(candidate, candidate.releasing));
  if (!spec.gang || summarize(released).taskCount === taskCount) return summarize(released);
  for (const allocation of released) addTo(allocation.candidate, spec, allocation.taskCount);
  // Free places per zone; a machine that can be drained counts as a small part of one.
  const placesByZone = new Map<string, number>();
  for (const candidate of drainable)
    placesByZone.set(candidate.machine.zone, (placesByZone.get(candidate.machine.zone) ?? 0) + 0.01);
  for (const candidate of feasible)
    placesByZone.set(
      candidate.machine.zone,
      (placesByZone.get(candidate.machine.zone) ?? 0) + slotCount(candidate, spec),
    );
  // The zone that could hold most of the gang comes first, then the one with the most free places. Reserving
  // or draining machines helps nobody in a zone that could not hold the gang even if all of them were empty.
  const capacityByZone = new Map(
    [...placesByZone.keys()].map((name) => [name, Math.min(taskCount, zoneCapacity(name))]),
  );
  const zone = [...placesByZone].sort(
    (a, b) => capacityByZone.get(b[0])! - capacityByZone.get(a[0])! || b[1] - a[1],
  )[0]?.[0];
  const isInZone = (candidate: Candidate): boolean => !spec.oneZone || candidate.machine.zone === zone;
  const places = take(feasible.filter(isInZone), (candidate) => candidate);
  for (const place of places) reserved.add(place.candidate.machine);
  const result = summarize(places);
  // The machines with the most free CPUs get no new work until they are empty.
  const toDrain = drainable.filter((candidate) => isInZone(candidate) && !fits(candidate, spec));
  toDrain.sort((a, b) => b.cpus - a.cpus);
  for (const candidate of toDrain.slice(0, taskCount - result.taskCount)) {
    candidate.cpus = 0;
    reserved.add(candidate.machine);
  }
  return result;
}
