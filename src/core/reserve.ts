/** Reserves resources for jobs that wait: those being released and, for a gang, those that are free already. */
import { countTasks, releaseAllocations, type Allocation } from './allocation.js';
import { slotCount, type Candidate } from './candidates.js';
import { addToZone, type ZoneAllowance } from './constraints.js';
import type { Job, Machine } from './model.js';
import { addTo, fits, sumOf, type Resources } from './resources.js';

/** Tasks of a job that found no free places, and where places may be reserved for them. */
export interface ReservationRequest {
  job: Job;
  taskCount: number;
  /** How many more tasks of the job a zone may take; what is reserved is taken from it. */
  allowance: ZoneAllowance;
  /** Machines with places that are free now; only used for a gang. */
  feasible: Candidate[];
  /** Machines on which tasks are being stopped. */
  releasing: Candidate[];
  /** Machines that may be drained for a gang that has waited for too long. */
  drainable: () => Candidate[];
  /** How many of a gang's tasks each zone could hold if all its machines were empty. */
  zoneCapacities: () => Map<string, number>;
  /** Machines reserved for gangs; those reserved here are added. */
  reserved: Set<Machine>;
}

/** A machine that can be drained counts as this part of a free place when zones are compared. */
const DRAINABLE_PLACE = 0.01;

/**
 * Reserves resources that tasks being stopped will release; for a gang only if they suffice for all of its
 * tasks. Otherwise the places that are free already are reserved for the first gang that needs them, or it
 * would starve behind small tasks that take each place as soon as it becomes free. Returns how many tasks
 * have a place.
 */
export function reserve(request: ReservationRequest): number {
  const { allowance, job, taskCount } = request;
  const released = reserveReleasing(request);
  if (released > 0 || !job.spec.gang) return released;
  const capacities = request.zoneCapacities();
  // Held machines would stay idle as long as the rest of the gang can't have places beside them.
  if (!allowance.canHold(taskCount, capacities)) return 0;
  const drainable = request.drainable();
  const zone = job.spec.oneZone ? bestZone(request, drainable, capacities) : null;
  const reservedCount = reserveFree(request, zone);
  drain(request, drainable.filter(isInZone(zone)), taskCount - reservedCount);
  return reservedCount;
}

/** Takes as many places as the job needs and its zones allow. */
function takePlaces(
  candidates: Candidate[],
  { allowance, job, taskCount }: ReservationRequest,
  resourcesOf: (candidate: Candidate) => Resources,
): Allocation[] {
  const taken: Allocation[] = [];
  let remaining = taskCount;
  for (const candidate of candidates) {
    if (remaining === 0) break;
    const { zone } = candidate.machine;
    const count = Math.min(remaining, slotCount(resourcesOf(candidate), job.spec), allowance.remaining(zone));
    if (count === 0) continue;
    addTo(candidate, job.spec, -count);
    allowance.take(zone, count);
    remaining -= count;
    taken.push({ candidate, taskCount: count });
  }
  return taken;
}

const isInZone =
  (zone: string | null) =>
  ({ machine }: Candidate): boolean =>
    zone === null || machine.zone === zone;

/** Reserves what tasks being stopped will release; for a gang all of its places or none. */
function reserveReleasing(request: ReservationRequest): number {
  const { allowance, job, releasing, taskCount } = request;
  for (const zone of allowance.zoneChoices(releasing.map(({ machine }) => machine.zone))) {
    const taken = takePlaces(releasing.filter(isInZone(zone)), request, (candidate) =>
      sumOf(candidate, candidate.releasing),
    );
    const count = countTasks(taken);
    if (count > 0 && (!job.spec.gang || count === taskCount)) return count;
    releaseAllocations(taken, job, allowance);
  }
  return 0;
}

/** The zone that could hold most of a one-zone gang; among equal ones, the one with the most free places. */
function bestZone(
  { allowance, feasible, job, taskCount }: ReservationRequest,
  drainable: readonly Candidate[],
  capacities: ReadonlyMap<string, number>,
): string | null {
  const placesByZone = new Map<string, number>();
  for (const { machine } of drainable) addToZone(placesByZone, machine.zone, DRAINABLE_PLACE);
  for (const candidate of feasible)
    addToZone(placesByZone, candidate.machine.zone, slotCount(candidate, job.spec));
  const capacityOf = (zone: string): number => Math.min(taskCount, capacities.get(zone) ?? 0);
  const zones = allowance.zoneChoices(placesByZone.keys()).map((zone) => zone!);
  zones.sort((a, b) => capacityOf(b) - capacityOf(a) || placesByZone.get(b)! - placesByZone.get(a)!);
  return zones[0] ?? null;
}

/** Reserves places that are free now; returns how many. */
function reserveFree(request: ReservationRequest, zone: string | null): number {
  const places = takePlaces(request.feasible.filter(isInZone(zone)), request, (candidate) => candidate);
  for (const { candidate } of places) request.reserved.add(candidate.machine);
  return countTasks(places);
}

/** Gives the machines with the most free CPUs no new work until they are empty, one for each missing task. */
function drain(request: ReservationRequest, drainable: readonly Candidate[], missing: number): void {
  const { job, reserved } = request;
  const allowance = request.allowance.copy();
  const occupied = drainable.filter((candidate) => !fits(candidate, job.spec));
  let left = missing;
  for (const candidate of occupied.sort((a, b) => b.cpus - a.cpus)) {
    if (left === 0) return;
    const { zone } = candidate.machine;
    if (allowance.remaining(zone) === 0) continue;
    allowance.take(zone, 1);
    candidate.cpus = 0;
    reserved.add(candidate.machine);
    left--;
  }
}
