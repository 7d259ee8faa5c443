/** Keeps room that is being made, or that a gang gathers, for the claim that it is meant for. */
import type { Share } from './fill.js';
import type { Job, Machine } from './model.js';
import { add, fits, plus, type Resources } from './resources.js';
import { slots, type Room } from './rooms.js';

/**
 * Sets aside room that tasks are leaving; a gang's as a whole or not at all, but for the places
 * that are free already: those are held for the first gang that needs them, or it would starve
 * behind small work that fills each of them as it comes free.
 */
export function reserve(
  open: Room[],
  freeing: Room[],
  job: Job,
  tasks: number,
  /** Machines that could be emptied for a gang that waits for too long. */
  drainable: Room[],
  /** How many of its tasks a zone could hold. */
  could: (zone: string) => number,
  held: Set<Machine>,
): { n: number; zone: string | null } {
  const s = job.spec;
  if (s.spread) return { n: 0, zone: null };
  const take = (from: Room[], of: (r: Room) => Resources): Share[] => {
    const shares: Share[] = [];
    let left = tasks;
    for (const r of from) {
      if (left === 0) break;
      if (s.oneZone && shares.length > 0 && shares[0]!.r.m.zone !== r.m.zone) continue;
      const n = Math.min(left, slots(of(r), s));
      if (n === 0) continue;
      add(r, s, -n);
      left -= n;
      shares.push({ r, n });
    }
    return shares;
  };
  const sum = (x: Share[]): { n: number; zone: string | null } => ({
    n: x.reduce((a, y) => a + y.n, 0),
    zone: s.oneZone ? (x[0]?.r.m.zone ?? null) : null,
  });
  const shares = take(freeing, (r) => plus(r, r.soon));
  if (!s.gang || sum(shares).n === tasks) return sum(shares);
  for (const x of shares) add(x.r, s, x.n);
  // The zone that already has most of what the gang needs, or that could have it.
  const by = new Map<string, number>();
  for (const r of drainable) by.set(r.m.zone, (by.get(r.m.zone) ?? 0) + 0.01);
  for (const r of open) by.set(r.m.zone, (by.get(r.m.zone) ?? 0) + slots(r, s));
  // Holding or emptying machines of a zone that could not take the gang were all of them empty serves nobody.
  const most = new Map([...by.keys()].map((z) => [z, Math.min(tasks, could(z))]));
  const zone = [...by].sort((a, b) => most.get(b[0])! - most.get(a[0])! || b[1] - a[1])[0]?.[0];
  const here = (r: Room): boolean => !s.oneZone || r.m.zone === zone;
  const places = take(open.filter(here), (r) => r);
  for (const x of places) held.add(x.r.m);
  const found = sum(places);
  // The emptiest get no new work until they are empty.
  const rest = drainable.filter((r) => here(r) && !fits(r, s));
  rest.sort((a, b) => b.cpus - a.cpus);
  for (const r of rest.slice(0, tasks - found.n)) {
    r.cpus = 0;
    held.add(r.m);
  }
  return found;
}
