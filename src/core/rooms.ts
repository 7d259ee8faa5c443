/** What each machine has free in one round, and how well it suits a job. */
import type { Job, Machine } from './model.js';
import { fits, type Resources } from './resources.js';
import { RESOURCE_EPSILON, type JobSpec, type WallMs } from './types.js';

export interface Candidate extends Resources {
  machine: Machine;
  /** Images that are being fetched, or will be after this round, and the seconds that each needs yet; they may share the machine's rate. */
  fetches: Map<string, number>;
  /** A gang is fetching: all its machines wait for the slowest. */
  isGangFetching: boolean;
  /** GB a second. */
  fetchRate: number;
  totalCpus: number;
  /** Of a type that is the only one for some of the work. */
  isSoleFit: boolean;
  /** A gang waits for it. */
  isReserved: boolean;
  /** Something runs here, or will after this round. */
  isOccupied: boolean;
  /** What tasks that are being stopped will leave. */
  releasing: Resources;
}

/** Whether the image is there, or will be after this round. */
export const hasImage = (r: Candidate, j: Job): boolean =>
  r.machine.images.has(j.spec.image) || r.fetches.has(j.spec.image);

/** Guards wrong_place: type, zone and kind of machine. */
export const meetsConstraints = (j: Job, m: { type: string; zone: string; spot: boolean }): boolean =>
  (!j.spec.types || j.spec.types.includes(m.type)) &&
  (!j.spec.zone || m.zone === j.spec.zone) &&
  (j.spec.spot || !m.spot);

/** Jobs that may go to the same machines have the same. */
export const constraintKey = (s: JobSpec): string => `${s.types?.join() ?? ''}|${s.zone ?? ''}|${s.spot}`;

/** Needs of a kind that nothing met this round: what needs as much or more is not sought again. */
export class InfeasibleRequests {
  private readonly needs = new Map<string, Resources[]>();

  has(kind: string, need: Resources): boolean {
    return this.needs.get(kind)?.some((n) => fits(need, n)) ?? false;
  }

  add(kind: string, need: Resources): void {
    const of = this.needs.get(kind) ?? [];
    this.needs.set(kind, of);
    of.push(need);
  }
}

/** Whether all tasks must start together, on several machines perhaps. */
export const isMultiTaskGang = (s: JobSpec): boolean => s.gang && s.tasks > 1;

/** Seconds until the image is there; for a gang, whose machines wait for the slowest, if fetches share the rate. */
function imageWait(r: Candidate, j: Job): number {
  const has = hasImage(r, j);
  let s = has ? 0 : j.spec.imageGb / r.fetchRate;
  if (isMultiTaskGang(j.spec) && (!has || r.fetches.has(j.spec.image)))
    for (const left of r.fetches.values()) s += left;
  return s;
}

/** Guards a gang's fetch, which all its machines wait for, against sharing the rate with another. */
export const delaysGangFetch = (r: Candidate, j: Job): boolean => r.isGangFetching && !hasImage(r, j);

/**
 * Smaller is better, in about seconds: the image's fetch, waking a machine that could be given
 * back, paying the full price, and the room left over.
 */
export const placementCost = (r: Candidate, j: Job, fragile: boolean): number =>
  imageWait(r, j) +
  (r.isOccupied ? 0 : 12) +
  // A gang loses with any one of its machines what all of them did.
  (r.machine.spot ? (j.spec.gang ? Math.min(j.spec.tasks, 12) : fragile ? 15 : 0) : 4) +
  // Room that only larger work needs is left to it.
  (r.isSoleFit && !j.spec.gang && !r.machine.spot ? 15 : 0) +
  (r.isReserved && !isMultiTaskGang(j.spec) ? 20 : 0) +
  ((r.cpus - j.spec.cpus) / r.totalCpus) * 6;

/**
 * A job that is in time now and would not be if a task had to start anew: a machine that can be
 * taken away is a bad place for what saves nothing.
 */
export const isRestartCritical = (j: Job, now: WallMs, within: number): boolean => {
  const left = within - (now - j.at) / 1000;
  const run = j.spec.estimate;
  return j.spec.checkpoint === 0 && within > 0 && left > run && left < 2 * run + 40;
};

/** How many like tasks a room holds. */
export const slotCount = (r: Resources, s: Resources): number =>
  Math.max(
    0,
    Math.floor(
      Math.min(
        s.cpus > 0 ? (r.cpus + RESOURCE_EPSILON) / s.cpus : Infinity,
        s.gpus > 0 ? (r.gpus + RESOURCE_EPSILON) / s.gpus : Infinity,
        s.mem > 0 ? (r.mem + RESOURCE_EPSILON) / s.mem : Infinity,
      ),
    ),
  );
