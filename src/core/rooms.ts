/** What each machine has free in one round, and how well it suits a job. */
import type { Job, Machine } from './model.js';
import { fits, type Resources } from './resources.js';
import { EPS, type JobSpec, type Wall } from './types.js';

export interface Room extends Resources {
  m: Machine;
  /** Images that are being fetched, or will be after this round, and the seconds that each needs yet; they may share the machine's rate. */
  pulls: Map<string, number>;
  /** A gang is fetching: all its machines wait for the slowest. */
  gangPulls: boolean;
  /** GB a second. */
  fetch: number;
  total: number;
  /** Of a type that is the only one for some of the work. */
  scarce: boolean;
  /** A gang waits for it. */
  held: boolean;
  /** Something runs here, or will after this round. */
  awake: boolean;
  /** What tasks that are being stopped will leave. */
  soon: Resources;
}

/** Whether the image is there, or will be after this round. */
export const hasImage = (r: Room, j: Job): boolean =>
  r.m.images.has(j.spec.image) || r.pulls.has(j.spec.image);

/** Guards wrong_place: type, zone and kind of machine. */
export const allowed = (j: Job, m: { type: string; zone: string; spot: boolean }): boolean =>
  (!j.spec.types || j.spec.types.includes(m.type)) &&
  (!j.spec.zone || m.zone === j.spec.zone) &&
  (j.spec.spot || !m.spot);

/** Jobs that may go to the same machines have the same. */
export const where = (s: JobSpec): string => `${s.types?.join() ?? ''}|${s.zone ?? ''}|${s.spot}`;

/** Needs of a kind that nothing met this round: what needs as much or more is not sought again. */
export class InVain {
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
export const needsAll = (s: JobSpec): boolean => s.gang && s.tasks > 1;

/** Seconds until the image is there; for a gang, whose machines wait for the slowest, if fetches share the rate. */
function imageWait(r: Room, j: Job): number {
  const has = hasImage(r, j);
  let s = has ? 0 : j.spec.imageGb / r.fetch;
  if (needsAll(j.spec) && (!has || r.pulls.has(j.spec.image))) for (const left of r.pulls.values()) s += left;
  return s;
}

/** Guards a gang's fetch, which all its machines wait for, against sharing the rate with another. */
export const disturbs = (r: Room, j: Job): boolean => r.gangPulls && !hasImage(r, j);

/**
 * Smaller is better, in about seconds: the image's fetch, waking a machine that could be given
 * back, paying the full price, and the room left over.
 */
export const score = (r: Room, j: Job, fragile: boolean): number =>
  imageWait(r, j) +
  (r.awake ? 0 : 12) +
  // A gang loses with any one of its machines what all of them did.
  (r.m.spot ? (j.spec.gang ? Math.min(j.spec.tasks, 12) : fragile ? 15 : 0) : 4) +
  // Room that only larger work needs is left to it.
  (r.scarce && !j.spec.gang && !r.m.spot ? 15 : 0) +
  (r.held && !needsAll(j.spec) ? 20 : 0) +
  ((r.cpus - j.spec.cpus) / r.total) * 6;

/**
 * A job that is in time now and would not be if a task had to start anew: a machine that can be
 * taken away is a bad place for what saves nothing.
 */
export const cannotRepeat = (j: Job, now: Wall, within: number): boolean => {
  const left = within - (now - j.at) / 1000;
  const run = j.spec.estimate;
  return j.spec.checkpoint === 0 && within > 0 && left > run && left < 2 * run + 40;
};

/** How many like tasks a room holds. */
export const slots = (r: Resources, s: Resources): number =>
  Math.max(
    0,
    Math.floor(
      Math.min(
        s.cpus > 0 ? (r.cpus + EPS) / s.cpus : Infinity,
        s.gpus > 0 ? (r.gpus + EPS) / s.gpus : Infinity,
        s.mem > 0 ? (r.mem + EPS) / s.mem : Infinity,
      ),
    ),
  );
