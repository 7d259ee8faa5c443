import { allowed, claims, type PlacementResult } from './placement.js';
import { avoids, type Job, type Live, type Machine, type State } from './state.js';
import type { Entry, Team } from './types.js';
import { EPS, rank } from './types.js';

export interface PreemptionInput {
  state: State;
  teams: readonly Team[];
  usable: Machine[];
  unplaced: PlacementResult['unplaced'];
  /** Rooms as this round's own starts leave them. */
  room: (m: Machine) => { cpus: number; gpus: number; mem: number };
  /** Seconds since the task was first shown running; null before that. */
  ran: (l: Live) => number | null;
  /** Only claims of at least this rank stop the work of a lower one. */
  least: number;
  hopeless?: (j: Job) => boolean;
}

export interface PreemptionResult {
  entries: Entry[];
  /** What finds no room even where tasks are being stopped. */
  unplaced: PlacementResult['unplaced'];
}

interface Soon {
  m: Machine;
  cpus: number;
  gpus: number;
  mem: number;
}

/** What stopping a task throws away, in seconds of a CPU. */
function loss(l: Live, ran: number | null): number {
  const s = l.job.spec;
  if (ran === null) return s.cpus * 2;
  const lost = s.checkpoint > 0 ? s.save : Math.max(ran, 1);
  // A start that lasted under 30 s counts for no aim.
  return s.cpus * (lost + (ran < 30 ? 15 : 0));
}

/**
 * Makes room by stopping tasks, only as the rules allow: work of a lower priority, or what
 * another team runs beyond its guarantee for a team that is within its own.
 */
export function preempt(input: PreemptionInput): PreemptionResult {
  const { state, teams } = input;
  const order = new Map<Job, { at: number; guaranteed: boolean }>();
  claims(state, teams, input.hopeless).forEach((c, i) =>
    order.set(c.job, { at: i, guaranteed: c.guaranteed }),
  );
  const over = (job: Job): boolean => {
    const t = teams.find((x) => x.name === job.spec.team);
    const u = state.teamUse.get(job.spec.team);
    return t !== undefined && u !== undefined && (u.cpus > t.cpus + EPS || u.gpus > t.gpus + EPS);
  };
  const may = (job: Job, guaranteed: boolean, v: Job): boolean => {
    const a = order.get(job);
    const b = order.get(v);
    if (!a || !b || b.at <= a.at || (v.spec.gang && v.spec.tasks > 1)) return false;
    if (rank[v.spec.priority] < rank[job.spec.priority] && rank[job.spec.priority] >= input.least)
      return true;
    return guaranteed && !b.guaranteed && v.spec.team !== job.spec.team && over(v);
  };
  const soon: Soon[] = input.usable.map((m) => {
    const r = input.room(m);
    for (const l of m.live)
      if (l.stop) {
        r.cpus += l.job.spec.cpus;
        r.gpus += l.job.spec.gpus;
        r.mem += l.job.spec.mem;
      }
    return { m, ...r };
  });
  const victims = new Map<Job, Set<number>>();
  const chosen = new Set<Live>();
  const left: PlacementResult['unplaced'] = [];
  const fits = (r: Soon, j: Job): boolean =>
    r.cpus + EPS >= j.spec.cpus && r.gpus + EPS >= j.spec.gpus && r.mem + EPS >= j.spec.mem;
  const take = (r: Soon, j: Job): void => {
    r.cpus -= j.spec.cpus;
    r.gpus -= j.spec.gpus;
    r.mem -= j.spec.mem;
  };

  for (const u of input.unplaced) {
    const { job } = u;
    const s = job.spec;
    let zone: string | null = null;
    for (const l of job.live.values()) if (s.oneZone) zone = l.machine.zone;
    let missing = u.tasks;
    const picks: { r: Soon; v: Live[] }[] = [];
    const open = soon.filter((r) => allowed(job, r.m) && !avoids(job, r.m.id));
    while (missing > 0) {
      const pool = zone === null ? open : open.filter((r) => r.m.zone === zone);
      let best: { r: Soon; v: Live[]; cost: number } | null = null;
      for (const r of pool) {
        if (fits(r, job)) {
          best = { r, v: [], cost: 0 };
          break;
        }
        if (s.spread) continue;
        const stoppable = [...r.m.live]
          .filter((l) => !l.stop && !chosen.has(l) && may(job, u.guaranteed, l.job))
          .map((l) => ({ l, cost: loss(l, input.ran(l)) }))
          .sort((a, b) => a.cost / a.l.job.spec.cpus - b.cost / b.l.job.spec.cpus);
        const got = { m: r.m, cpus: r.cpus, gpus: r.gpus, mem: r.mem };
        const v: Live[] = [];
        let cost = r.m.images.has(s.image) ? 0 : s.cpus * 4;
        for (const x of stoppable) {
          if (fits(got, job)) break;
          v.push(x.l);
          cost += x.cost;
          got.cpus += x.l.job.spec.cpus;
          got.gpus += x.l.job.spec.gpus;
          got.mem += x.l.job.spec.mem;
        }
        if (fits(got, job) && (!best || cost < best.cost)) best = { r, v, cost };
      }
      if (!best) break;
      for (const l of best.v) {
        chosen.add(l);
        best.r.cpus += l.job.spec.cpus;
        best.r.gpus += l.job.spec.gpus;
        best.r.mem += l.job.spec.mem;
      }
      take(best.r, job);
      picks.push(best);
      if (s.oneZone) zone ??= best.r.m.zone;
      missing--;
    }
    if (missing > 0 && s.gang) {
      // Half a gang is none: what was taken for it is given back.
      for (const p of picks) {
        p.r.cpus += s.cpus;
        p.r.gpus += s.gpus;
        p.r.mem += s.mem;
        for (const l of p.v) {
          chosen.delete(l);
          p.r.cpus -= l.job.spec.cpus;
          p.r.gpus -= l.job.spec.gpus;
          p.r.mem -= l.job.spec.mem;
        }
      }
      left.push(u);
      continue;
    }
    for (const p of picks)
      for (const l of p.v) victims.set(l.job, (victims.get(l.job) ?? new Set()).add(l.task));
    if (missing > 0) left.push({ ...u, tasks: missing });
  }
  const entries: Entry[] = [...victims].map(([job, tasks]) => ({
    e: 'stop',
    job: job.spec.id,
    p: [...tasks],
    grace: job.spec.checkpoint > 0 ? job.spec.save + 1 : 0,
    why: 'preempted',
  }));
  return { entries, unplaced: left };
}
