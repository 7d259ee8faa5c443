/** Keeps room that is being made, or that a gang gathers, for the claim that it is meant for. */
import type { Allocation } from './fill.js';
import type { Job, Machine } from './model.js';
import { addTo, fits, sumOf, type Resources } from './resources.js';
import { slotCount, type Candidate } from './rooms.js';

/**
 * Sets aside room that tasks are leaving; a gang's as a whole or not at all, but for the places
 * that are free already: those are held for the first gang that needs them, or it would starve
 * behind small work that fills each of them as it comes free.
 */
export function reserve(
  open: Candidate[],
  freeing: Candidate[],
  job: Job,
  tasks: number,
  /** Machines that could be emptied for a gang that waits for too long. */
  drainable: Candidate[],
  /** How many of its tasks a zone could hold. */
  could: (zone: string) => number,
  held: Set<Machine>,
): { n: number; zone: string | null } {
  const s = job.spec;
  if (s.spread) return { n: 0, zone: null };
  const take = (from: Candidate[], of: (r: Candidate) => Resources): Allocation[] => {
    const shares: Allocation[] = [];
    let left = tasks;
    for (const r of from) {
      if (left === 0) break;
      if (s.oneZone && shares.length > 0 && shares[0]!.candidate.machine.zone !== r.machine.zone) continue;
      const n = Math.min(left, slotCount(of(r), s));
      if (n === 0) continue;
      addTo(r, s, -n);
      left -= n;
      shares.push({ candidate: r, taskCount: n });
    }
    return shares;
  };
  const sum = (x: Allocation[]): { n: number; zone: string | null } => ({
    n: x.reduce((a, y) => a + y.taskCount, 0),
    zone: s.oneZone ? (x[0]?.candidate.machine.zone ?? null) : null,
  });
  const shares = take(freeing, (r) => sumOf(r, r.releasing));
  if (!s.gang || sum(shares).n === tasks) return sum(shares);
  for (const x of shares) addTo(x.candidate, s, x.taskCount);
  // The zone that already has most of what the gang needs, or that could have it.
  const by = new Map<string, number>();
  for (const r of drainable) by.set(r.machine.zone, (by.get(r.machine.zone) ?? 0) + 0.01);
  for (const r of open) by.set(r.machine.zone, (by.get(r.machine.zone) ?? 0) + slotCount(r, s));
  // Holding or emptying machines of a zone that could not take the gang were all of them empty serves nobody.
  const most = new Map([...by.keys()].map((z) => [z, Math.min(tasks, could(z))]));
  const zone = [...by].sort((a, b) => most.get(b[0])! - most.get(a[0])! || b[1] - a[1])[0]?.[0];
  const here = (r: Candidate): boolean => !s.oneZone || r.machine.zone === zone;
  const places = take(open.filter(here), (r) => r);
  for (const x of places) held.add(x.candidate.machine);
  const found = sum(places);
  // The emptiest get no new work until they are empty.
  const rest = drainable.filter((r) => here(r) && !fits(r, s));
  rest.sort((a, b) => b.cpus - a.cpus);
  for (const r of rest.slice(0, tasks - found.n)) {
    r.cpus = 0;
    held.add(r.machine);
  }
  return found;
}
