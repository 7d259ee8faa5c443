import { chunked } from './chunked.js';
import type { Claim } from './claims.js';
import type { PlacementResult } from './placement.js';
import { meetsConstraints, InfeasibleRequests, constraintKey } from './rooms.js';
import { addTo, fits, sumOf, type Resources } from './resources.js';
import { fitsType } from './fit.js';
import { avoidsMachine, type Job, type TaskAttempt, type Machine } from './model.js';
import type { ClusterState } from './state.js';
import type { LogEntry, Team } from './types.js';
import { RESOURCE_EPSILON, priorityRank } from './types.js';

export interface PreemptionInput {
  state: ClusterState;
  claims: readonly Claim[];
  teams: readonly Team[];
  usable: Machine[];
  unplaced: PlacementResult['unplaced'];
  /** Rooms as this round's own starts leave them. */
  freeResources: PlacementResult['freeResources'];
  releasingResources: PlacementResult['releasingResources'];
  /** Seconds since the task was first shown running; null before that. */
  secondsRun: (l: TaskAttempt) => number | null;
  /** Only claims of at least this rank stop the work of a lower one. */
  minRank: number;
}

export interface PreemptionResult {
  entries: LogEntry[];
  /** What finds no room even where tasks are being stopped. */
  unplaced: PlacementResult['unplaced'];
}

interface Soon extends Resources {
  m: Machine;
}

/** What stopping a task throws away, in seconds of a CPU. */
function loss(l: TaskAttempt, ran: number | null): number {
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
  if (input.unplaced.length === 0) return { entries: [], unplaced: [] };
  const order = new Map<Job, { at: number; guaranteed: boolean }>();
  input.claims.forEach((c, i) => order.set(c.job, { at: i, guaranteed: c.guaranteed }));
  const beyond = new Set<string>();
  for (const t of teams) {
    const u = state.teamUsage.get(t.name);
    if (u && (u.cpus > t.cpus + RESOURCE_EPSILON || u.gpus > t.gpus + RESOURCE_EPSILON)) beyond.add(t.name);
  }
  const may = (job: Job, guaranteed: boolean, v: Job): boolean => {
    const a = order.get(job);
    const b = order.get(v);
    if (!a || !b || b.at <= a.at || (v.spec.gang && v.spec.tasks > 1)) return false;
    if (
      priorityRank[v.spec.priority] < priorityRank[job.spec.priority] &&
      priorityRank[job.spec.priority] >= input.minRank
    )
      return true;
    return guaranteed && !b.guaranteed && v.spec.team !== job.spec.team && beyond.has(v.spec.team);
  };
  const soon: Soon[] = input.usable.map((m) => ({
    m,
    ...sumOf(input.freeResources(m), input.releasingResources(m)),
  }));
  const running = input.claims.filter((c) => c.job.live.size > 0);
  // Where nothing is being stopped there is no more room than the round has just sought in vain.
  const freeing = soon.filter((r) => input.releasingResources(r.m).cpus > RESOURCE_EPSILON);
  /** Needs of like claims that nothing helped: a later one of the kind may stop no more than they. */
  const inVain = new InfeasibleRequests();
  const victims = new Map<Job, Set<number>>();
  const chosen = new Set<TaskAttempt>();
  const left: PlacementResult['unplaced'] = [];

  for (const u of input.unplaced) {
    const { job } = u;
    const s = job.spec;
    const lesser = new Set<Job>();
    const kind = `${s.team}|${s.priority}|${u.guaranteed}|${constraintKey(s)}`;
    if (inVain.has(kind, s)) {
      left.push(u);
      continue;
    }
    for (const c of running) if (may(job, u.guaranteed, c.job)) lesser.add(c.job);
    let zone = u.zone;
    if (s.oneZone) for (const l of job.live.values()) zone = l.machine.zone;
    /** What must be stopped here for one more task; null when nothing that may be stopped helps. */
    const cost = (r: Soon): { r: Soon; v: TaskAttempt[]; cost: number } | null => {
      if (fits(r, s)) return { r, v: [], cost: 0 };
      if (s.spread || lesser.size === 0) return null;
      const got = { cpus: r.cpus, gpus: r.gpus, mem: r.mem };
      const lower: TaskAttempt[] = [];
      for (const l of r.m.live) {
        if (l.stop || !lesser.has(l.job) || chosen.has(l)) continue;
        lower.push(l);
        addTo(got, l.job.spec);
      }
      if (!fits(got, s)) return null;
      const stoppable = lower.map((l) => ({ l, cost: loss(l, input.secondsRun(l)) }));
      stoppable.sort((a, b) => a.cost / a.l.job.spec.cpus - b.cost / b.l.job.spec.cpus);
      Object.assign(got, { cpus: r.cpus, gpus: r.gpus, mem: r.mem });
      const v: TaskAttempt[] = [];
      let sum = r.m.images.has(s.image) ? 0 : s.cpus * 4;
      for (const x of stoppable) {
        if (fits(got, s)) break;
        v.push(x.l);
        sum += x.cost;
        addTo(got, x.l.job.spec);
      }
      return { r, v, cost: sum };
    };
    let missing = u.tasks;
    const picks: { r: Soon; v: TaskAttempt[]; cost: number }[] = [];
    // Like tasks are one decision: all machines are ranked once for the job.
    const types = new Set([...state.machineTypes.values()].filter((t) => fitsType(s, t)).map((t) => t.name));
    const ranked = (lesser.size > 0 ? soon : freeing)
      .filter(
        (r) =>
          types.has(r.m.type) &&
          meetsConstraints(job, r.m) &&
          !avoidsMachine(job, r.m.id) &&
          (zone === null || r.m.zone === zone),
      )
      .flatMap((r) => cost(r) ?? [])
      .sort((a, b) => a.cost - b.cost);
    if (ranked.length === 0 && zone === null && job.errorMachines.size === 0) inVain.add(kind, s);
    for (const first of ranked) {
      if (missing === 0) break;
      if (s.oneZone && zone !== null && first.r.m.zone !== zone) continue;
      for (let p: typeof first | null = first; p && missing > 0; p = cost(first.r)) {
        for (const l of p.v) {
          chosen.add(l);
          addTo(p.r, l.job.spec);
        }
        addTo(p.r, s, -1);
        picks.push(p);
        missing--;
        if (s.oneZone) zone ??= p.r.m.zone;
      }
    }
    if (missing > 0 && s.gang) {
      // Half a gang is none: what was taken for it is given back.
      for (const p of picks) {
        addTo(p.r, s);
        for (const l of p.v) {
          chosen.delete(l);
          addTo(p.r, l.job.spec, -1);
        }
      }
      left.push(u);
      continue;
    }
    for (const p of picks)
      for (const l of p.v) victims.set(l.job, (victims.get(l.job) ?? new Set()).add(l.task));
    if (missing > 0) left.push({ ...u, tasks: missing });
  }
  const entries = [...victims].flatMap(([job, tasks]) =>
    chunked([...tasks], 500).map((p): LogEntry => ({
      e: 'stop',
      job: job.spec.id,
      p,
      grace: job.spec.checkpoint > 0 ? job.spec.save + 1 : 0,
      why: 'preempted',
    })),
  );
  return { entries, unplaced: left };
}
