import { allowed, type PlacementResult } from './placement.js';
import type { Live, Machine, State } from './state.js';
import { avoids, fitsType } from './state.js';
import type { Entry, MachineId, MachineType, Wall } from './types.js';
import { add, fits, type Resources } from './resources.js';
import type { Policy } from './policy.js';
import { EPS, rank } from './types.js';

export interface CapacityInput {
  state: State;
  zones: readonly string[];
  now: Wall;
  unplaced: PlacementResult['unplaced'];
  /** Until when no more is asked of a type, zone and kind that had none to give. */
  backoff: (type: string, zone: string, spot: boolean) => boolean;
  nextName: () => string;
  /** Machines that take work, and the room this round leaves on each. */
  usable: Machine[];
  room: PlacementResult['room'];
  /** Seconds until a task is likely to be over. */
  remaining: (l: Live) => number;
  /** Seconds without a report. */
  silent: (m: Machine) => number;
  /** Most machines are silent at once. */
  deaf: boolean;
  leaseS: number;
  policy: Policy;
  bootMost: (t: MachineType | undefined) => number;
}

interface Bin extends Resources {
  type: MachineType;
  zone: string;
  spot: boolean;
  isNew: boolean;
  /** A machine at work whose tasks will be over before a new one could be up. */
  soon: MachineId | null;
}

const priceOf = (t: MachineType, spot: boolean): number => (spot ? t.spotPrice : t.price);

/** What to rent for the tasks that found no room, machines on their way counted first. */
export function rent(input: CapacityInput): Entry[] {
  const { state, now } = input;
  const bins: Bin[] = [];
  const bin = (type: MachineType, zone: string, spot: boolean, isNew: boolean): Bin => {
    const b = { type, zone, spot, cpus: type.cpus, gpus: type.gpus, mem: type.mem, isNew, soon: null };
    bins.push(b);
    return b;
  };
  for (const m of state.machines.values()) {
    const t = state.types.get(m.type);
    if (t && m.session === 0 && !m.drop && now - m.hiredAt < t.boot * 3000) bin(t, m.zone, m.spot, false);
  }
  for (const h of state.hires.values()) {
    const t = state.types.get(h.type);
    if (t) for (let i = 0; i < h.n; i++) bin(t, h.zone, h.spot, false);
  }
  // A place that comes free before a new machine could be up is better waited for.
  for (const m of input.usable) {
    const t = state.types.get(m.type);
    if (!t) continue;
    const r = input.room(m);
    for (const l of m.live) if (input.remaining(l) < Math.min(t.boot, 20)) add(r, l.job.spec);
    if (r.cpus > EPS) bins.push({ type: t, zone: m.zone, spot: m.spot, ...r, isNew: false, soon: m.id });
  }
  const zoneOf = new Map<string, string>();
  for (const { job, tasks } of input.unplaced) {
    const s = job.spec;
    const types = [...state.types.values()].filter((t) => fitsType(s, t));
    for (let left = tasks; left > 0;) {
      const z = s.oneZone ? zoneOf.get(s.id) : undefined;
      const fit = bins.find(
        (b) =>
          (b.soon === null || (rank[s.priority] < rank.high && !avoids(job, b.soon))) &&
          fits(b, s) &&
          allowed(job, { type: b.type.name, zone: b.zone, spot: b.spot }) &&
          (z === undefined || b.zone === z),
      );
      let b = fit;
      if (!b) {
        let cost = Infinity;
        let pick: { t: MachineType; zone: string; spot: boolean } | null = null;
        for (const t of types)
          for (const zone of t.zones) {
            if (!input.zones.includes(zone) || (s.zone && zone !== s.zone) || (z !== undefined && zone !== z))
              continue;
            for (const spot of s.spot && input.policy.rentSpot(s) ? [true, false] : [false]) {
              if (input.backoff(t.name, zone, spot)) continue;
              const per = Math.max(
                1,
                Math.min(
                  left,
                  Math.floor((t.cpus + EPS) / Math.max(s.cpus, EPS)),
                  Math.floor((t.mem + EPS) / Math.max(s.mem, EPS)),
                ),
              );
              const c = (priceOf(t, spot) / per) * (1 + t.boot / 600);
              if (c < cost) [cost, pick] = [c, { t, zone, spot }];
            }
          }
        if (!pick) break;
        b = bin(pick.t, pick.zone, pick.spot, true);
      }
      if (s.oneZone) zoneOf.set(s.id, b.zone);
      const n = Math.max(
        1,
        Math.min(
          left,
          Math.floor((b.cpus + EPS) / Math.max(s.cpus, EPS)),
          Math.floor((b.mem + EPS) / Math.max(s.mem, EPS)),
        ),
      );
      add(b, s, -n);
      left -= n;
    }
  }
  const groups = new Map<string, { b: Bin; n: number }>();
  for (const b of bins) {
    if (!b.isNew) continue;
    const k = `${b.type.name}|${b.zone}|${b.spot}`;
    const g = groups.get(k) ?? { b, n: 0 };
    g.n++;
    groups.set(k, g);
  }
  return [...groups.values()].map(({ b, n }) => ({
    e: 'hire',
    name: input.nextName(),
    type: b.type.name,
    zone: b.zone,
    spot: b.spot,
    n: Math.min(n, 50),
  }));
}

/** Machines to give back: silent, never up, set aside or idle for too long. */
export function giveBack(input: CapacityInput): Entry[] {
  const { state, now } = input;
  const by = new Map<string, MachineId[]>();
  const add = (why: string, m: Machine): void => void by.set(why, [...(by.get(why) ?? []), m.id]);
  for (const m of state.machines.values()) {
    if (m.drop) continue;
    const of = { zone: m.zone, spot: m.spot, type: state.types.get(m.type) };
    if (m.session === 0) {
      if (now - m.hiredAt > input.bootMost(state.types.get(m.type)) * 1000) add('never up', m);
      continue;
    }
    const silent = input.silent(m);
    // When most are silent at once, the way to them may be what is broken; but past their lease
    // nothing is left on them that waiting could save.
    const most = input.deaf
      ? Math.max(input.policy.silence(of), input.leaseS * 1.25 + 3)
      : input.policy.silence(of);
    if (silent > most) add('silent', m);
    else if (m.errors >= 2) add('faulty', m);
    else if (
      m.live.size === 0 &&
      now - m.hiredAt > 50_000 &&
      now - m.idleSince > input.policy.idle(of) * 1000
    )
      add('idle', m);
  }
  return [...by].map(([why, m]) => ({ e: 'drop', m, why }));
}
