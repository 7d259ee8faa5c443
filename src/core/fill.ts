/** Finds room for tasks of one job among machines that take it. */
import { addTo, fits } from './resources.js';
import { hasImage, placementCost, slotCount, type Candidate } from './rooms.js';
import type { Job } from './model.js';

export interface Random {
  /** A whole number from 0 to n-1. */
  intBelow(n: number): number;
}

/** So many tasks on one machine. */
export interface Allocation {
  candidate: Candidate;
  taskCount: number;
}

/**
 * Finds room for n like tasks: as many as a machine holds are one decision. The best of a few
 * sampled machines while they do; then all machines, ranked once for the whole class.
 */
export function allocate(
  pool: Candidate[],
  job: Job,
  n: number,
  sample: number,
  random: Random,
  fragile: boolean,
  /** How many more the zone may take. */
  zoneLeft: (zone: string) => number,
): Allocation[] {
  const s = job.spec;
  const out: Allocation[] = [];
  let left = n;
  const put = (r: Candidate): void => {
    const k = Math.min(
      left,
      slotCount(r, s),
      zoneLeft(r.machine.zone) - taken(out, r.machine.zone, s.spread),
    );
    if (k <= 0) return;
    addTo(r, s, -k);
    left -= k;
    out.push({ candidate: r, taskCount: k });
  };
  const warm = pool.some((r) => hasImage(r, job));
  for (let misses = 0; left > 0 && misses < 2 && pool.length > sample;) {
    let b: Candidate | null = null;
    let bs = Infinity;
    for (let i = 0; i < sample; i++) {
      const r = pool[random.intBelow(pool.length)]!;
      if (!fits(r, s)) continue;
      const c = placementCost(r, job, fragile);
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
    .map((r) => ({ r, c: placementCost(r, job, fragile) }))
    .sort((a, b) => a.c - b.c);
  for (const { r } of ranked) {
    if (left === 0) break;
    put(r);
  }
  return out;
}

const taken = (shares: Allocation[], zone: string, counts: boolean): number =>
  counts ? shares.reduce((a, x) => a + (x.candidate.machine.zone === zone ? x.taskCount : 0), 0) : 0;
