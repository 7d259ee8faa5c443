import { allowed } from './placement.js';
import type { Live, Machine, State } from './state.js';
import type { Entry } from './types.js';
import { EPS } from './types.js';

export interface ConsolidationInput {
  state: State;
  usable: Machine[];
  room: (m: Machine) => { cpus: number; gpus: number; mem: number };
  ran: (l: Live) => number | null;
}

/** A start counts once it has lasted this long; a task is not moved before. */
const SETTLED_S = 32;
const LEAST_LEFT_S = 15;

/**
 * Finds one ordinary machine that is mostly empty and whose tasks can all save and go on where
 * there is room among machines at work, so that it can be given back.
 */
export function consolidate(input: ConsolidationInput): { machine: Machine; entries: Entry[] } | null {
  const { state, usable, room, ran } = input;
  const use = (m: Machine): number => m.cpus / (state.types.get(m.type)?.cpus ?? 1);
  const candidates = usable
    .filter((m) => !m.spot && m.live.size > 0 && m.live.size <= 4 && use(m) < 0.45)
    .sort((a, b) => use(a) - use(b));
  const targets = usable.filter((m) => m.live.size > 0);
  for (const m of candidates) {
    const t = state.types.get(m.type);
    if (!t) continue;
    const free = targets
      .filter((x) => x !== m && (x.spot || use(x) >= use(m)))
      .map((x) => ({ m: x, ...room(x) }));
    let cost = 0;
    let left = 0;
    const movable = [...m.live].every((l) => {
      const s = l.job.spec;
      const r = ran(l);
      if (l.stop || s.gang || s.checkpoint === 0 || s.spread || s.oneZone || r === null || r < SETTLED_S)
        return false;
      const rest = s.estimate - r;
      if (rest < LEAST_LEFT_S) return false;
      const to = free.find(
        (f) =>
          f.cpus + EPS >= s.cpus &&
          f.gpus + EPS >= s.gpus &&
          f.mem + EPS >= s.mem &&
          f.m.images.has(s.image) &&
          allowed(l.job, f.m),
      );
      if (!to) return false;
      to.cpus -= s.cpus;
      to.gpus -= s.gpus;
      to.mem -= s.mem;
      cost += s.cpus * (s.save + 3);
      left = Math.max(left, rest);
      return true;
    });
    if (!movable || t.cpus * left < 3 * cost) continue;
    const byJob = new Map<Live['job'], number[]>();
    for (const l of m.live) byJob.set(l.job, [...(byJob.get(l.job) ?? []), l.task]);
    return {
      machine: m,
      entries: [...byJob].map(([job, p]) => ({
        e: 'stop',
        job: job.spec.id,
        p,
        grace: job.spec.save + 1,
        why: 'moved',
      })),
    };
  }
  return null;
}
