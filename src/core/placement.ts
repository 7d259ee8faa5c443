import { avoids, type Job, type Machine, type State } from './state.js';
import type { Entry, MachineId, Team, Wall } from './types.js';
import { add, fits, plus, type Resources } from './resources.js';
import { EPS, rank } from './types.js';

export interface Random {
  /** A whole number from 0 to n-1. */
  below(n: number): number;
}

export interface Claim {
  job: Job;
  guaranteed: boolean;
}

export interface PlacementInput {
  state: State;
  claims: readonly Claim[];
  teams: readonly Team[];
  now: Wall;
  random: Random;
  sample: number;
  /** Machines whose workers reported lately and that may take work. */
  usable: Machine[];
  /** At most this many starts in one round. */
  most: number;
}

export interface PlacementResult {
  entries: Entry[];
  starts: number;
  /** Tasks that found no room, job by job in order of claim. */
  unplaced: { job: Job; tasks: number; guaranteed: boolean }[];
  room: (m: Machine) => Resources;
  /** What tasks that are being stopped will add to it. */
  soon: (m: Machine) => Resources;
}

interface Room extends Resources {
  m: Machine;
  /** Images that this round's own placements bring here. */
  coming: Set<string>;
  /** GB a second. */
  fetch: number;
  total: number;
  /** Something runs here, or will after this round. */
  awake: boolean;
  /** What tasks that are being stopped will leave. */
  soon: Resources;
}

const hasImage = (r: Room, j: Job): boolean => r.m.images.has(j.spec.image) || r.coming.has(j.spec.image);

/**
 * Jobs in order of their claim: guarantees first, then priority, then those that can still be in
 * time, then age.
 */
export function claims(
  state: State,
  teams: readonly Team[],
  /** Jobs that will miss their aim whatever is done now. */
  hopeless: (j: Job) => boolean,
): Claim[] {
  const sum = new Map<string, { cpus: number; gpus: number }>();
  const out: Claim[] = [];
  for (const job of [...state.jobs.values()].sort((a, b) => a.order - b.order)) {
    if (job.withdrawn || state.finals.has(job.spec.id)) continue;
    const team = teams.find((t) => t.name === job.spec.team);
    if (!team) continue;
    const s = sum.get(team.name) ?? { cpus: 0, gpus: 0 };
    const left = job.spec.tasks - job.done;
    const c = s.cpus + job.spec.cpus * left;
    const g = s.gpus + job.spec.gpus * left;
    sum.set(team.name, { cpus: c, gpus: g });
    out.push({ job, guaranteed: c <= team.cpus + EPS && g <= team.gpus + EPS });
  }
  return out.sort(
    (a, b) =>
      Number(b.guaranteed) - Number(a.guaranteed) ||
      rank[b.job.spec.priority] - rank[a.job.spec.priority] ||
      Number(hopeless(a.job)) - Number(hopeless(b.job)) ||
      a.job.order - b.job.order,
  );
}

/** How many more tasks of the job its team's limit allows; all that may be anywhere counts. */
export function limitRoom(job: Job, team: Team, use: { cpus: number; gpus: number }): number {
  const s = job.spec;
  const c = s.cpus > 0 ? Math.floor((team.cpusMax - use.cpus + EPS) / s.cpus) : Infinity;
  const g = s.gpus > 0 ? Math.floor((team.gpusMax - use.gpus + EPS) / s.gpus) : Infinity;
  return Math.max(0, Math.min(c, g));
}

/** Guards wrong_place: type, zone and kind of machine. */
export const allowed = (j: Job, m: { type: string; zone: string; spot: boolean }): boolean =>
  (!j.spec.types || j.spec.types.includes(m.type)) &&
  (!j.spec.zone || m.zone === j.spec.zone) &&
  (j.spec.spot || !m.spot);

/**
 * Smaller is better, in about seconds: the image's fetch, waking a machine that could be given
 * back, paying the full price, and the room left over.
 */
const score = (r: Room, j: Job): number =>
  (hasImage(r, j) ? 0 : j.spec.imageGb / r.fetch) +
  (r.awake ? 0 : 12) +
  (r.m.spot ? 0 : 4) +
  ((r.cpus - j.spec.cpus) / r.total) * 6;

function best(rooms: Room[], j: Job): Room | null {
  let b: Room | null = null;
  let bs = Infinity;
  for (const r of rooms) {
    if (!fits(r, j.spec)) continue;
    const s = score(r, j);
    if (s < bs) [b, bs] = [r, s];
  }
  return b;
}

/** Sets aside room that tasks are leaving; a gang's as a whole or not at all. */
function reserve(open: Room[], job: Job, tasks: number): number {
  const s = job.spec;
  if (s.spread) return 0;
  const taken: Room[] = [];
  for (const r of open) {
    while (taken.length < tasks && r.soon.cpus > EPS && fits(plus(r, r.soon), s)) {
      if (s.oneZone && taken.length > 0 && taken[0]!.m.zone !== r.m.zone) break;
      add(r, s, -1);
      taken.push(r);
    }
  }
  if (s.gang && taken.length < tasks) {
    for (const r of taken) add(r, s);
    return 0;
  }
  return taken.length;
}

/** One round of starts: best fit in a sample of machines, then in all of them. */
export function place(input: PlacementInput): PlacementResult {
  const { state, teams, now, random, sample } = input;
  const rooms: Room[] = [];
  for (const m of input.usable) {
    const t = state.types.get(m.type);
    if (!t) continue;
    const soon = { cpus: 0, gpus: 0, mem: 0 };
    for (const l of m.live) if (l.stop) add(soon, l.job.spec);
    rooms.push({
      m,
      cpus: t.cpus - m.cpus,
      gpus: t.gpus - m.gpus,
      mem: t.mem - m.mem,
      coming: new Set(),
      soon,
      fetch: t.fetch,
      total: t.cpus,
      awake: m.live.size > 0,
    });
  }
  const use = new Map([...state.teamUse].map(([k, v]) => [k, { ...v }]));
  const entries: Entry[] = [];
  const unplaced: PlacementResult['unplaced'] = [];
  let starts = 0;

  for (const { job, guaranteed } of input.claims) {
    const spec = job.spec;
    let want = state.waitingCount(job);
    if (want === 0 || job.notBefore > now) continue;
    const team = teams.find((t) => t.name === spec.team)!;
    const u = use.get(spec.team) ?? { cpus: 0, gpus: 0 };
    use.set(spec.team, u);
    const limit = limitRoom(job, team, u);
    if (spec.gang && limit < want) continue;
    want = Math.min(want, limit, Math.max(0, input.most - starts));
    if (want === 0 || (spec.gang && want < spec.tasks)) continue;

    const open = rooms.filter((r) => allowed(job, r.m) && !avoids(job, r.m.id));
    const perZone = new Map<string, number>();
    for (const l of job.live.values()) perZone.set(l.machine.zone, (perZone.get(l.machine.zone) ?? 0) + 1);
    const zoneMost = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
    // Guards wrong_place: tasks of a one-zone job stay with those that may still run.
    let zones: (string | null)[] = [null];
    if (spec.oneZone) {
      const held = [...perZone.keys()];
      if (held.length > 1) continue;
      zones = held.length === 1 ? held : [...new Set(open.map((r) => r.m.zone))];
      if (zones.length > 1) {
        const roomIn = (z: string | null): number =>
          open
            .filter((r) => r.m.zone === z && fits(r, job.spec))
            .reduce((a, r) => a + score(r, job) * -1 + 2000, 0);
        zones.sort((a, b) => roomIn(b) - roomIn(a));
      }
    }
    const tasks: [number, number][] = spec.gang
      ? Array.from({ length: spec.tasks }, (_, i) => [i, job.gangTry])
      : state.waiting(job, want);
    let placed: [number, number, MachineId][] = [];
    for (const zone of zones) {
      const pool = zone === null ? open : open.filter((r) => r.m.zone === zone);
      const taken: Room[] = [];
      const counts = new Map(perZone);
      placed = [];
      for (const [task, attempt] of tasks) {
        const usable = spec.spread ? pool.filter((r) => (counts.get(r.m.zone) ?? 0) < zoneMost) : pool;
        let r: Room | null = null;
        // Like tasks go where the last one went while there is room: one decision for the class.
        const last = taken[taken.length - 1];
        if (last && !spec.spread && fits(last, job.spec)) r = last;
        if (!r && usable.length > sample) {
          const few = Array.from({ length: sample }, () => usable[random.below(usable.length)]!);
          const c = best(few, job);
          // A sampled machine without the image only does when none has it.
          if (c && (hasImage(c, job) || !usable.some((x) => hasImage(x, job) && fits(x, job.spec)))) r = c;
        }
        r ??= best(usable, job);
        if (!r) break;
        add(r, spec, -1);
        r.coming.add(spec.image);
        r.awake = true;
        taken.push(r);
        counts.set(r.m.zone, (counts.get(r.m.zone) ?? 0) + 1);
        placed.push([task, attempt, r.m.id]);
      }
      // A gang goes whole or not at all; a one-zone array takes the zone that has room.
      if (placed.length === tasks.length || (!spec.gang && placed.length > 0)) break;
      for (const r of taken) add(r, spec);
      placed = [];
    }
    if (placed.length > 0) {
      u.cpus += spec.cpus * placed.length;
      u.gpus += spec.gpus * placed.length;
      starts += placed.length;
      for (let i = 0; i < placed.length; i += 100)
        entries.push({ e: 'start', job: spec.id, p: placed.slice(i, i + 100) });
    }
    const left = tasks.length - placed.length;
    // Room that is being made for this claim is not left to a lesser one meanwhile.
    const kept = left > 0 ? reserve(open, job, left) : 0;
    if (left > kept) unplaced.push({ job, tasks: left - kept, guaranteed });
  }
  const left = new Map(rooms.map((r) => [r.m, r]));
  const none = { cpus: 0, gpus: 0, mem: 0 };
  return {
    entries,
    starts,
    unplaced,
    room: (m) => plus(left.get(m) ?? none, none),
    soon: (m) => left.get(m)?.soon ?? none,
  };
}
