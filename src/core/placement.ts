import { avoids, fitsType, onlyTypes, type Job, type Live, type Machine, type State } from './state.js';
import type { Entry, JobSpec, MachineId, Team, Wall } from './types.js';
import { chunked } from './chunked.js';
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
  /** Seconds in which jobs of a class should be done; 0 where their start is what counts. */
  within: (c: string) => number;
  /** Whether a task still waits for its image. */
  fetching: (l: Live) => boolean;
  /** Whether more of a type, zone and kind may be had. */
  rentable: (type: string, zone: string, spot: boolean) => boolean;
  /** Machines that the last round held or emptied for a gang: other work goes elsewhere if it can. */
  held: ReadonlySet<Machine>;
  /** At most this many starts in one round. */
  most: number;
}

export interface PlacementResult {
  entries: Entry[];
  starts: number;
  /** Tasks that found no room, job by job in order of claim; zone: where the rest of a gang has places. */
  unplaced: { job: Job; tasks: number; guaranteed: boolean; zone: string | null }[];
  /** Machines that are not idle though they look so: work starts there, or places are held. */
  keep: Set<Machine>;
  /** Those of them that wait for a gang. */
  held: Set<Machine>;
  room: (m: Machine) => Resources;
  /** What tasks that are being stopped will add to it. */
  soon: (m: Machine) => Resources;
}

interface Room extends Resources {
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

const hasImage = (r: Room, j: Job): boolean => r.m.images.has(j.spec.image) || r.pulls.has(j.spec.image);

/**
 * Jobs in order of their claim: guarantees first, then what never got a place, then priority, then
 * those that can still be in time, then age.
 */
export function claims(
  state: State,
  teams: readonly Team[],
  /** Jobs that will miss their aim whatever is done now. */
  hopeless: (j: Job) => boolean,
  /** Jobs of which nothing ever started, for too long: they come before what is only more urgent. */
  starving: (j: Job) => boolean = () => false,
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
      Number(starving(b.job)) - Number(starving(a.job)) ||
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

const needsAll = (s: JobSpec): boolean => s.gang && s.tasks > 1;

/** Seconds until the image is there; for a gang, whose machines wait for the slowest, if fetches share the rate. */
function imageWait(r: Room, j: Job): number {
  const has = hasImage(r, j);
  let s = has ? 0 : j.spec.imageGb / r.fetch;
  if (needsAll(j.spec) && (!has || r.pulls.has(j.spec.image))) for (const left of r.pulls.values()) s += left;
  return s;
}

/** Guards a gang's fetch, which all its machines wait for, against sharing the rate with another. */
const disturbs = (r: Room, j: Job): boolean => r.gangPulls && !hasImage(r, j);

/**
 * Smaller is better, in about seconds: the image's fetch, waking a machine that could be given
 * back, paying the full price, and the room left over.
 */
const score = (r: Room, j: Job, fragile: boolean): number =>
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

interface Share {
  r: Room;
  n: number;
}

/**
 * Finds room for n like tasks: as many as a machine holds are one decision. The best of a few
 * sampled machines while they do; then all machines, ranked once for the whole class.
 */
function fill(
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

/**
 * Sets aside room that tasks are leaving; a gang's as a whole or not at all, but for the places
 * that are free already: those are held for the first gang that needs them, or it would starve
 * behind small work that fills each of them as it comes free.
 */
function reserve(
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

const NONE: Resources = Object.freeze({ cpus: 0, gpus: 0, mem: 0 });

/** Seconds after which a gang that fits nowhere has machines emptied for it. */
const DRAIN_AFTER_S = 45;

/** One round of starts: best fit in a sample of machines, then in all of them. */
export function place(input: PlacementInput): PlacementResult {
  const { state, teams, now, random, sample } = input;
  const rooms: Room[] = [];
  const scarce = onlyTypes(state);
  for (const m of input.usable) {
    const t = state.types.get(m.type);
    if (!t) continue;
    // Work follows what has room or will have: the tasks of all other machines are not looked at.
    const soon = m.stopping > 0 ? { cpus: 0, gpus: 0, mem: 0 } : NONE;
    const pulls = new Map<string, number>();
    let gangPulls = false;
    if (m.stopping > 0 || m.cpus + EPS < t.cpus)
      for (const l of m.live) {
        if (l.stop) add(soon, l.job.spec);
        else if (input.fetching(l)) {
          const s = l.job.spec;
          pulls.set(s.image, Math.max(1, s.imageGb / t.fetch - (now - l.at) / 1000));
          gangPulls ||= needsAll(s);
        }
      }
    rooms.push({
      m,
      cpus: t.cpus - m.cpus,
      gpus: t.gpus - m.gpus,
      mem: t.mem - m.mem,
      pulls,
      gangPulls,
      soon,
      fetch: t.fetch,
      total: t.cpus,
      scarce: scarce.has(t.name),
      held: input.held.has(m),
      awake: m.live.size > 0,
    });
  }
  // Work follows what has room: on a busy day few machines do.
  let some = rooms.filter((r) => r.cpus > EPS);
  const freeing = rooms.filter((r) => r.soon.cpus > EPS);
  const roomOf = new Map(rooms.map((r) => [r.m.id, r]));
  /** Needs that found no machine at all this round. */
  const noRoom = new InVain();
  const use = new Map([...state.teamUse].map(([k, v]) => [k, { ...v }]));
  const entries: Entry[] = [];
  const unplaced: PlacementResult['unplaced'] = [];
  let starts = 0;
  let draining = false;
  const machines = new Map<string, { type: string; zone: string; spot: boolean; n: number }>();
  for (const { m } of rooms) {
    const key = `${m.type}|${m.zone}|${m.spot}`;
    const k = machines.get(key) ?? { type: m.type, zone: m.zone, spot: m.spot, n: 0 };
    machines.set(key, k);
    k.n++;
  }
  /** How many of a job's tasks a zone's machines would hold if all were empty; no end while more can be rented. */
  const inZone = (job: Job, zone: string): number => {
    let n = 0;
    for (const t of state.types.values())
      if (fitsType(job.spec, t) && t.zones.includes(zone))
        for (const spot of [true, false])
          if (allowed(job, { type: t.name, zone, spot }))
            n += input.rentable(t.name, zone, spot)
              ? Infinity
              : slots(t, job.spec) * (machines.get(`${t.name}|${zone}|${spot}`)?.n ?? 0);
    return n;
  };
  const keep = new Set<Machine>();
  const waiting = new Set<Machine>();

  for (const { job, guaranteed } of input.claims) {
    const spec = job.spec;
    // Images are there, or a gang's slow tasks are still fetching: its other places wait for them.
    for (const id of job.places) {
      const r = roomOf.get(id);
      if (!r || !fits(r, spec) || !allowed(job, r.m)) continue;
      add(r, spec, -1);
      keep.add(r.m);
    }
    let want = state.waitingCount(job);
    if (want === 0 || job.notBefore > now) continue;
    const team = teams.find((t) => t.name === spec.team)!;
    const u = use.get(spec.team) ?? { cpus: 0, gpus: 0 };
    use.set(spec.team, u);
    const limit = limitRoom(job, team, u);
    if (spec.gang && limit < want) continue;
    want = Math.min(want, limit, Math.max(0, input.most - starts));
    if (want === 0 || (spec.gang && want < spec.tasks)) continue;

    const inVain = noRoom.has(where(spec), spec);
    const mine = (r: Room): boolean => allowed(job, r.m) && !avoids(job, r.m.id);
    const fitting = inVain ? [] : some.filter((r) => fits(r, spec) && mine(r));
    if (fitting.length === 0 && !inVain && job.errorMachines.size === 0) noRoom.add(where(spec), spec);
    const open = fitting.filter((r) => !disturbs(r, job));
    const fragile = cannotRepeat(job, now, input.within(spec.class));
    const perZone = new Map<string, number>();
    if (spec.oneZone || spec.spread)
      for (const l of job.live.values()) perZone.set(l.machine.zone, (perZone.get(l.machine.zone) ?? 0) + 1);
    const zoneMost = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
    // Guards wrong_place: tasks of a one-zone job stay with those that may still run.
    let zones: (string | null)[] = [null];
    if (spec.oneZone) {
      const held = [...perZone.keys()];
      if (held.length > 1) continue;
      zones = held.length === 1 ? held : [...new Set(open.map((r) => r.m.zone))];
      if (zones.length > 1) {
        const roomIn = new Map<string | null, number>();
        for (const r of open)
          roomIn.set(r.m.zone, (roomIn.get(r.m.zone) ?? 0) + 2000 * slots(r, spec) - score(r, job, fragile));
        zones.sort((a, b) => roomIn.get(b)! - roomIn.get(a)!);
      }
    }
    let shares: Share[] = [];
    for (const zone of zones) {
      const pool = zone === null ? open : open.filter((r) => r.m.zone === zone);
      shares = fill(pool, job, want, sample, random, fragile, (z) => zoneMost - (perZone.get(z) ?? 0));
      // A gang goes whole or not at all; a one-zone array takes the zone that has room.
      if (shares.length > 0 && (!spec.gang || shares.reduce((a, x) => a + x.n, 0) === want)) break;
      for (const x of shares) add(x.r, spec, x.n);
      shares = [];
    }
    let placed = 0;
    if (shares.length > 0) {
      const tasks: [number, number][] = spec.gang
        ? Array.from({ length: spec.tasks }, (_, i) => [i, job.gangTry])
        : state.waiting(job, want);
      const p: [number, number, MachineId][] = [];
      for (const { r, n } of shares) {
        if (!hasImage(r, job)) {
          r.pulls.set(spec.image, spec.imageGb / r.fetch);
          r.gangPulls ||= needsAll(spec);
        }
        r.awake = true;
        // Guards against giving a machine back in the round that gives it work.
        keep.add(r.m);
        for (let i = 0; i < n; i++) p.push([...tasks[placed++]!, r.m.id]);
      }
      u.cpus += spec.cpus * placed;
      u.gpus += spec.gpus * placed;
      starts += placed;
      for (const part of chunked(p, 100)) entries.push({ e: 'start', job: spec.id, p: part });
      some = some.filter((r) => r.cpus > EPS);
    }
    const left = want - placed;
    if (left === 0) continue;
    // Room that is being made for this claim is not left to a lesser one meanwhile.
    // One gang at a time: machines that stand half empty for all of them would serve none.
    const drain: boolean = spec.gang && !draining && now - job.at > DRAIN_AFTER_S * 1000;
    draining ||= drain;
    const could = (r: Room): boolean => {
      const t = state.types.get(r.m.type);
      return mine(r) && t !== undefined && fitsType(spec, t);
    };
    const held = reserve(
      spec.gang ? open : [],
      freeing.filter(mine),
      job,
      left,
      drain ? rooms.filter(could) : [],
      (z) => inZone(job, z),
      waiting,
    );
    if (drain) some = some.filter((r) => r.cpus > EPS);
    if (left > held.n) unplaced.push({ job, tasks: left - held.n, guaranteed, zone: held.zone });
  }
  return {
    entries,
    starts,
    unplaced,
    keep: new Set([...keep, ...waiting]),
    held: waiting,
    room: (m) => plus(roomOf.get(m.id) ?? NONE, NONE),
    soon: (m) => roomOf.get(m.id)?.soon ?? NONE,
  };
}
