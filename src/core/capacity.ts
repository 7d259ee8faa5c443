import { chunked } from './chunked.js';
import type { PlacementResult } from './placement.js';
import { meetsConstraints, isRestartCritical, slotCount } from './rooms.js';
import type { TaskAttempt, Machine } from './model.js';
import type { ClusterState } from './state.js';
import { fitsType, soleFitTypes } from './fit.js';
import { avoidsMachine } from './model.js';
import type { LogEntry, MachineId, MachineType, WallMs } from './types.js';
import { addTo, fits, type Resources } from './resources.js';
import type { Policy } from './policy.js';
import { priorityRank } from './types.js';

export interface CapacityInput {
  state: ClusterState;
  zones: readonly string[];
  now: WallMs;
  unplaced: PlacementResult['unplaced'];
  /** Until when no more is asked of a type, zone and kind that had none to give. */
  isBackedOff: (type: string, zone: string, spot: boolean) => boolean;
  nextRentalName: () => string;
  /** Machines that take work, and the room this round leaves on each. */
  usable: Machine[];
  freeResources: PlacementResult['freeResources'];
  /** Machines whose places are held: they are not idle. */
  retained: PlacementResult['retained'];
  /** Seconds in which jobs of a class should be done; 0 where their start is what counts. */
  completionObjectiveS: (c: string) => number;
  /** Seconds until a task is likely to be over. */
  secondsRemaining: (l: TaskAttempt) => number;
  /** Seconds without a report. */
  secondsSilent: (m: Machine) => number;
  /** Most machines are silent at once. */
  mostAreSilent: boolean;
  /** A cancelled task that stops have not ended in time. */
  isOverdue: (l: TaskAttempt) => boolean;
  leaseS: number;
  policy: Policy;
}

/** So many equal places for work: machines on their way, to be rented, or soon free at work. */
interface Bin extends Resources {
  type: MachineType;
  zone: string;
  spot: boolean;
  isNew: boolean;
  /** A machine at work whose tasks will be over before a new one could be up. */
  soon: MachineId | null;
  count: number;
}

const priceOf = (t: MachineType, spot: boolean): number => (spot ? t.spotPrice : t.price);

/** So many times its type's own time a machine is waited for: before more is rented, before it is returned. */
const BOOT_WAIT = 3;
const BOOT_MOST = 3.5;
/** While nothing of its kind has come up lately, machines at all may be what is late. */
const BOOT_SLOW = 12;
const LATELY_MS = 180_000;

/** How long machines that boot are waited for, by what boots of their type, zone and kind were lately worth. */
export class Boots {
  private readonly kinds = new Map<string, { slowest: number; oldest: WallMs }>();

  constructor(
    private readonly state: ClusterState,
    private readonly now: WallMs,
  ) {
    for (const m of state.machines.values()) {
      const k = this.kinds.get(kindOf(m)) ?? { slowest: 0, oldest: now };
      this.kinds.set(kindOf(m), k);
      if (m.session === 0) k.oldest = Math.min(k.oldest, m.hiredAt) as WallMs;
      else if (now - m.upAt < LATELY_MS) k.slowest = Math.max(k.slowest, m.upAt - m.hiredAt);
    }
  }

  private nominal(m: Machine): number {
    return (this.state.machineTypes.get(m.type)?.boot ?? 30) * 1000;
  }

  /** Whether a machine counts as on its way for work that waits. */
  awaited(m: Machine): boolean {
    const { slowest, oldest } = this.kinds.get(kindOf(m))!;
    const boot = this.nominal(m);
    // Guards against renting in a loop: where nothing comes up, what is late is replaced once.
    const second = slowest === 0 && this.now - oldest > boot * BOOT_WAIT && m.hiredAt - oldest > boot;
    return this.now - m.hiredAt < Math.max(boot * (second ? BOOT_SLOW : BOOT_WAIT), slowest * 1.2);
  }

  /** Guards against returning all machines just before they come up: never, while every boot is late. */
  neverUp(m: Machine): boolean {
    const { slowest } = this.kinds.get(kindOf(m))!;
    const boot = this.nominal(m);
    const most = Math.max(60_000, slowest > 0 ? Math.max(boot * BOOT_MOST, slowest * 1.5) : boot * BOOT_SLOW);
    return this.now - m.hiredAt > most;
  }
}

const kindOf = (m: { type: string; zone: string; spot: boolean }): string => `${m.type}|${m.zone}|${m.spot}`;

/** What to rent for the tasks that found no room, machines on their way counted first. */
export function planRentals(input: CapacityInput): LogEntry[] {
  const { state, now, unplaced } = input;
  if (unplaced.length === 0) return [];
  const offers: { t: MachineType; zone: string; spot: boolean }[] = [];
  for (const t of state.machineTypes.values())
    for (const zone of t.zones)
      for (const spot of [true, false])
        if (input.zones.includes(zone) && !input.isBackedOff(t.name, zone, spot))
          offers.push({ t, zone, spot });
  // On a day that takes all the cloud has there is nothing to count.
  if (offers.length === 0) return [];
  const bins: Bin[] = [];
  const whole = new Map<string, Bin>();
  const group = (type: MachineType, zone: string, spot: boolean, isNew: boolean, n = 1): Bin => {
    const key = `${type.name}|${zone}|${spot}|${isNew}`;
    let b = whole.get(key);
    if (!b) {
      b = { type, zone, spot, cpus: type.cpus, gpus: type.gpus, mem: type.mem, isNew, soon: null, count: 0 };
      whole.set(key, b);
      bins.push(b);
    }
    b.count += n;
    return b;
  };
  /** CPUs that are rented in each zone. */
  const held = new Map<string, number>();
  const boots = new Boots(state, now);
  for (const m of state.machines.values()) {
    const t = state.machineTypes.get(m.type);
    held.set(m.zone, (held.get(m.zone) ?? 0) + (t?.cpus ?? 0));
    if (t && m.session === 0 && !m.drop && boots.awaited(m)) group(t, m.zone, m.spot, false);
  }
  for (const h of state.pendingRentals.values()) {
    const t = state.machineTypes.get(h.type);
    if (t) group(t, h.zone, h.spot, false, h.n);
  }
  // A place that comes free before a new machine could be up is better waited for.
  const least: Resources = { cpus: Infinity, gpus: Infinity, mem: Infinity };
  for (const { job } of unplaced)
    for (const k of ['cpus', 'gpus', 'mem'] as const) least[k] = Math.min(least[k], job.spec[k]);
  const patient = unplaced.some((u) => priorityRank[u.job.spec.priority] < priorityRank.high);
  for (const m of patient ? input.usable : []) {
    const t = state.machineTypes.get(m.type);
    if (!t) continue;
    const r = input.freeResources(m);
    for (const l of m.live) if (input.secondsRemaining(l) < Math.min(t.boot, 20)) addTo(r, l.job.spec);
    if (fits(r, least))
      bins.push({ type: t, zone: m.zone, spot: m.spot, ...r, isNew: false, soon: m.id, count: 1 });
  }
  /** Puts up to so many tasks into equal bins; what is left of each stays for others. */
  const fill = (b: Bin, s: Resources, n: number): number => {
    const per = slotCount(b, s);
    if (per === 0 || b.count === 0 || n === 0) return 0;
    const split = (count: number, k: number): void => {
      if (count === 0) return;
      const rest = { ...b, count };
      addTo(rest, s, -k);
      b.count -= count;
      bins.push(rest);
    };
    const full = Math.min(b.count, Math.floor(n / per));
    split(full, per);
    const odd = b.count > 0 ? n % per : 0;
    if (odd > 0) split(1, odd);
    return full * per + odd;
  };
  const scarce = soleFitTypes(state);
  const rented = new Map<string, { of: Bin; n: number }>();
  for (const { job, tasks, zone } of unplaced) {
    const s = job.spec;
    const types = [...state.machineTypes.values()].filter((t) => fitsType(s, t));
    const waits = priorityRank[s.priority] < priorityRank.high;
    const fragile = isRestartCritical(job, now, input.completionObjectiveS(s.class));
    const may = (b: Bin): boolean =>
      b.count > 0 &&
      (b.soon === null || (waits && !avoidsMachine(job, b.soon))) &&
      fits(b, s) &&
      meetsConstraints(job, { type: b.type.name, zone: b.zone, spot: b.spot });
    const onSpot = s.spot && input.policy.rentSpot(s);
    const kinds = (z: string | null): { t: MachineType; zone: string; spot: boolean; c: number }[] =>
      offers
        .filter(
          (o) =>
            types.includes(o.t) &&
            (!s.zone || o.zone === s.zone) &&
            (z === null || o.zone === z) &&
            (onSpot || !o.spot),
        )
        .map((o) => {
          const per = Math.max(1, Math.min(tasks, slotCount(o.t, s)));
          const c = (priceOf(o.t, o.spot) / per) * (1 + o.t.boot / 600);
          // What only this type can hold should find some of it; a gang loses with any one of its
          // machines what all of them did.
          const wanted = !o.spot && types.length > 1 && scarce.has(o.t.name) ? 1.3 : 1;
          const risk = s.gang ? 1 + 0.15 * s.tasks : fragile ? 3 : 1;
          return { ...o, c: c * wanted * (o.spot ? risk : 1) };
        })
        .sort((a, b) => a.c - b.c);
    let z: string | null = zone;
    let left = tasks;
    if (s.oneZone && z !== null && s.gang && job.live.size === 0 && kinds(z).length === 0) {
      // Nothing more is to be had where the places are: the whole gang may do better elsewhere.
      z = null;
      left = s.tasks;
    }
    if (s.oneZone && z === null) {
      // All of one zone or nothing: the zone that has most of it on its way, if it can give the rest.
      const on = new Map<string, number>();
      for (const b of bins)
        if (may(b)) on.set(b.zone, (on.get(b.zone) ?? 0) + Math.min(left, b.count * slotCount(b, s)));
      const can = new Set(kinds(null).map((k) => k.zone));
      const zones = [...new Set([...on.keys(), ...can])];
      const worth = (x: string): number => {
        const have = Math.min(left, on.get(x) ?? 0);
        return have === left || can.has(x) ? have : -1;
      };
      // Equal zones share the load.
      const by = zones.map((x) => ({ x, w: worth(x), r: held.get(x) ?? 0 }));
      by.sort((a, b) => b.w - a.w || a.r - b.r);
      if (by.length === 0 || by[0]!.w < 0) continue;
      z = by[0]!.x;
    }
    for (let i = 0, n = bins.length; i < n && left > 0; i++) {
      const b = bins[i]!;
      if (may(b) && (z === null || b.zone === z)) left -= fill(b, s, left);
    }
    if (left === 0) continue;
    const pick = kinds(z)[0];
    if (!pick) continue;
    const per = slotCount(pick.t, s);
    const n = Math.ceil(left / per);
    const b = group(pick.t, pick.zone, pick.spot, true, n);
    fill(b, s, left);
    const key = `${pick.t.name}|${pick.zone}|${pick.spot}`;
    const r = rented.get(key) ?? { of: b, n: 0 };
    r.n += n;
    rented.set(key, r);
  }
  return [...rented.values()].flatMap(({ of: b, n }) => {
    const out: LogEntry[] = [];
    for (let left = Math.min(n, MOST_RENTED); left > 0; left -= 50)
      out.push({
        e: 'hire',
        name: input.nextRentalName(),
        type: b.type.name,
        zone: b.zone,
        spot: b.spot,
        n: Math.min(left, 50),
      });
    return out;
  });
}

/** Of one type, zone and kind in one round: the answers say whether there are more. */
const MOST_RENTED = 150;

/** Machines to give back: silent, never up, set aside or idle for too long. */
export function planReturns(input: CapacityInput): LogEntry[] {
  const { state, now } = input;
  const by = new Map<string, MachineId[]>();
  const add = (why: string, m: Machine): void => {
    const of = by.get(why) ?? [];
    by.set(why, of);
    of.push(m.id);
  };
  const boots = new Boots(state, now);
  for (const m of state.machines.values()) {
    if (m.drop) continue;
    const of = { zone: m.zone, spot: m.spot, type: state.machineTypes.get(m.type) };
    if (m.session === 0) {
      if (boots.neverUp(m)) add('never up', m);
      continue;
    }
    const silent = input.secondsSilent(m);
    // When most are silent at once, the way to them may be what is broken; but past their lease
    // nothing is left on them that waiting could save.
    const most = input.mostAreSilent
      ? Math.max(input.policy.silenceTimeoutS(of), input.leaseS * 1.25 + 3)
      : input.policy.silenceTimeoutS(of);
    if (silent > most) add('silent', m);
    else if (m.stopping > 0 && [...m.live].some(input.isOverdue)) add('withdrawn', m);
    else if (m.errors >= 2) add('faulty', m);
    else if (
      m.live.size === 0 &&
      !input.retained.has(m) &&
      now - m.hiredAt > 50_000 &&
      now - m.idleSince > input.policy.idleTimeoutS(of) * 1000
    )
      add('idle', m);
  }
  return [...by].flatMap(([why, all]) => chunked(all, 200).map((m): LogEntry => ({ e: 'drop', m, why })));
}
