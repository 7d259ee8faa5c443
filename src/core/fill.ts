/** Finds room for tasks of one job among machines that take it. */
import { add, fits } from './resources.js';
import { hasImage, score, slots, type Room } from './rooms.js';
import type { Job } from './model.js';

export interface Random {
  /** A whole number from 0 to n-1. */
  below(n: number): number;
}

/** So many tasks on one machine. */
export interface Share {
  r: Room;
  n: number;
}

/**
 * Finds room for n like tasks: as many as a machine holds are one decision. The best of a few
 * sampled machines while they do; then all machines, ranked once for the whole class.
 */
export function fill(
  pool: Room[],
  job: Job,
  n: number,
  sample: number,
  random: Random,
  fragile: boolean,
  /** How many more the zone may take. */
  zoneLeft: (zone: string) => number,
): Share[] {
  const s = job.spec;
  const out: Share[] = [];
  let left = n;
  const put = (r: Room): void => {
    const k = Math.min(left, slots(r, s), zoneLeft(r.m.zone) - taken(out, r.m.zone, s.spread));
    if (k <= 0) return;
    add(r, s, -k);
    left -= k;
    out.push({ r, n: k });
  };
  const warm = pool.some((r) => hasImage(r, job));
  for (let misses = 0; left > 0 && misses < 2 && pool.length > sample;) {
    let b: Room | null = null;
    let bs = Infinity;
    for (let i = 0; i < sample; i++) {
      const r = pool[random.below(pool.length)]!;
      if (!fits(r, s)) continue;
      const c = score(r, job, fragile);
      if (c < bs) [b, bs] = [r, c];
    }
    // A sampled machine without the image only does when none has it.
    if (b && (hasImage(b, job) || !warm)) {
      const was = left;
      put(b);
      if (left < was) continue;
    }
    misses++;
  }
  if (left === 0) return out;
  const ranked = pool
    .filter((r) => fits(r, s))
    .map((r) => ({ r, c: score(r, job, fragile) }))
    .sort((a, b) => a.c - b.c);
  for (const { r } of ranked) {
    if (left === 0) break;
    put(r);
  }
  return out;
}

const taken = (shares: Share[], zone: string, counts: boolean): number =>
  counts ? shares.reduce((a, x) => a + (x.r.m.zone === zone ? x.n : 0), 0) : 0;
