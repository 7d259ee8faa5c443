/** Frees resources for unplaced jobs by stopping tasks of other jobs. */
import { chunked } from './chunked.js';
import type { Claim } from './claims.js';
import type { PlacementResult } from './placement.js';
import { constraintKey, InfeasibleRequests, meetsConstraints } from './candidates.js';
import { addTo, fits, sumOf, type Resources } from './resources.js';
import { fitsType } from './fit.js';
import { avoidsMachine, type Job, type Machine, type TaskAttempt } from './model.js';
import type { ClusterState } from './state.js';
import { RESOURCE_EPSILON, priorityRank, type LogEntry, type Team, type WallMs } from './types.js';

export interface PreemptionInput {
  state: ClusterState;
  /** In claim order. */
  claims: readonly Claim[];
  teams: readonly Team[];
  usable: Machine[];
  now: WallMs;
  unplaced: PlacementResult['unplaced'];
  /** What this round's own starts leave free on a machine. */
  freeResources: PlacementResult['freeResources'];
  releasingResources: PlacementResult['releasingResources'];
  /** Seconds since a task was first reported running; null if it was not yet. */
  secondsRun: (attempt: TaskAttempt) => number | null;
  /** Lowest priority rank of the jobs that may preempt jobs of lower priority. */
  minRank: number;
}

export interface PreemptionResult {
  entries: LogEntry[];
  /** Tasks that have no place even when all tasks being stopped have ended. */
  unplaced: PlacementResult['unplaced'];
}

/** What will be free on a machine when the tasks being stopped have ended, less what was assigned since. */
interface FutureCapacity extends Resources {
  machine: Machine;
}

/** Cost of stopping a task, roughly the work that is lost, in CPU seconds. */
function preemptionCost(attempt: TaskAttempt, secondsRun: number | null): number {
  const spec = attempt.job.spec;
  if (secondsRun === null) return spec.cpus * 2;
  const secondsLost = spec.checkpoint > 0 ? spec.save : Math.max(secondsRun, 1);
  // A run of less than 30 s does not count as a start towards any objective.
  return spec.cpus * (secondsLost + (secondsRun < 30 ? 15 : 0));
}

/**
 * Stops tasks to free resources for unplaced jobs, as far as the rules allow: tasks of jobs with lower
 * priority, and, for a job within its team's guarantee, tasks that another team runs beyond its own
 * guarantee.
 */
export function preempt(input: PreemptionInput): PreemptionResult {
  const { state, teams } = input;
  if (input.unplaced.length === 0) return { entries: [], unplaced: [] };
  const claimOrder = new Map<Job, { position: number; guaranteed: boolean }>();
  input.claims.forEach((claim, position) =>
    claimOrder.set(claim.job, { position, guaranteed: claim.guaranteed }),
  );
  /** Names of the teams that use more than their guarantee. */
  const exceeds = new Set<string>();
  for (const team of teams) {
    const usage = state.teamUsage.get(team.name);
    if (usage && (usage.cpus > team.cpus + RESOURCE_EPSILON || usage.gpus > team.gpus + RESOURCE_EPSILON))
      exceeds.add(team.name);
  }
  /** Whether tasks of `other` may be stopped for the job. */
  const mayPreempt = (job: Job, guaranteed: boolean, other: Job): boolean => {
    const own = claimOrder.get(job);
    const its = claimOrder.get(other);
    if (!own || !its || its.position <= own.position || (other.spec.gang && other.spec.tasks > 1))
      return false;
    if (
      priorityRank[other.spec.priority] < priorityRank[job.spec.priority] &&
      priorityRank[job.spec.priority] >= input.minRank
    )
      return true;
    return guaranteed && !its.guaranteed && other.spec.team !== job.spec.team && exceeds.has(other.spec.team);
  };
  const capacities: FutureCapacity[] = input.usable.map((machine) => ({
    machine,
    ...sumOf(input.freeResources(machine), input.releasingResources(machine)),
  }));
  const running = input.claims.filter((claim) => claim.job.live.size > 0);
  // Without preemption, only machines with releasing resources can have places that placement did not find.
  const releasing = capacities.filter(
    (capacity) => input.releasingResources(capacity.machine).cpus > RESOURCE_EPSILON,
  );
  /** Requests that found no place, keyed by what determines which tasks may be stopped for them. */
  const infeasible = new InfeasibleRequests();
  const tasksToStop = new Map<Job, Set<number>>();
  const chosen = new Set<TaskAttempt>();
  const stillUnplaced: PlacementResult['unplaced'] = [];

  for (const unplaced of input.unplaced) {
    const { job } = unplaced;
    const spec = job.spec;
    const preemptible = new Set<Job>();
    const key = `${spec.team}|${spec.priority}|${unplaced.guaranteed}|${constraintKey(spec)}`;
    if (infeasible.has(key, spec)) {
      stillUnplaced.push(unplaced);
      continue;
    }
    for (const claim of running)
      if (mayPreempt(job, unplaced.guaranteed, claim.job)) preemptible.add(claim.job);
    let zone = unplaced.zone;
    if (spec.oneZone) for (const attempt of job.live.values()) zone = attempt.machine.zone;
    /** Tasks to stop on a machine for one more task of the job; null if stopping all of them frees too little. */
    const planFor = (
      capacity: FutureCapacity,
    ): { capacity: FutureCapacity; victims: TaskAttempt[]; cost: number } | null => {
      if (fits(capacity, spec)) return { capacity, victims: [], cost: 0 };
      if (spec.spread || preemptible.size === 0) return null;
      const available = { cpus: capacity.cpus, gpus: capacity.gpus, mem: capacity.mem };
      const stoppable: TaskAttempt[] = [];
      for (const attempt of capacity.machine.live) {
        if (attempt.stop || !preemptible.has(attempt.job) || chosen.has(attempt)) continue;
        stoppable.push(attempt);
        addTo(available, attempt.job.spec);
      }
      if (!fits(available, spec)) return null;
      const byCost = stoppable.map((attempt) => ({
        attempt,
        cost: preemptionCost(attempt, input.secondsRun(attempt)),
      }));
      byCost.sort((a, b) => a.cost / a.attempt.job.spec.cpus - b.cost / b.attempt.job.spec.cpus);
      Object.assign(available, { cpus: capacity.cpus, gpus: capacity.gpus, mem: capacity.mem });
      const victims: TaskAttempt[] = [];
      let totalCost = capacity.machine.images.has(spec.image) ? 0 : spec.cpus * 4;
      for (const victim of byCost) {
        if (fits(available, spec)) break;
        victims.push(victim.attempt);
        totalCost += victim.cost;
        addTo(available, victim.attempt.job.spec);
      }
      return { capacity, victims, cost: totalCost };
    };
    let missing = unplaced.tasks;
    const plans: { capacity: FutureCapacity; victims: TaskAttempt[]; cost: number }[] = [];
    // The tasks of a job are alike, so machines are ranked once for all of them.
    const types = new Set(
      [...state.machineTypes.values()].filter((type) => fitsType(spec, type)).map((type) => type.name),
    );
    const ranked = (preemptible.size > 0 ? capacities : releasing)
      .filter(
        (capacity) =>
          types.has(capacity.machine.type) &&
          meetsConstraints(job, capacity.machine) &&
          !avoidsMachine(job, capacity.machine.id, input.now) &&
          (zone === null || capacity.machine.zone === zone),
      )
      .flatMap((capacity) => planFor(capacity) ?? [])
      .sort((a, b) => a.cost - b.cost);
    if (ranked.length === 0 && zone === null && job.errorMachines.size === 0) infeasible.add(key, spec);
    for (const first of ranked) {
      if (missing === 0) break;
      if (spec.oneZone && zone !== null && first.capacity.machine.zone !== zone) continue;
      for (let plan: typeof first | null = first; plan && missing > 0; plan = planFor(first.capacity)) {
        for (const victim of plan.victims) {
          chosen.add(victim);
          addTo(plan.capacity, victim.job.spec);
        }
        addTo(plan.capacity, spec, -1);
        plans.push(plan);
        missing--;
        if (spec.oneZone) zone ??= plan.capacity.machine.zone;
      }
    }
    if (missing > 0 && spec.gang) {
      // A gang can't start with a part of its tasks: the plans are undone.
      for (const plan of plans) {
        addTo(plan.capacity, spec);
        for (const victim of plan.victims) {
          chosen.delete(victim);
          addTo(plan.capacity, victim.job.spec, -1);
        }
      }
      stillUnplaced.push(unplaced);
      continue;
    }
    for (const plan of plans)
      for (const victim of plan.victims)
        tasksToStop.set(victim.job, (tasksToStop.get(victim.job) ?? new Set()).add(victim.task));
    if (missing > 0) stillUnplaced.push({ ...unplaced, tasks: missing });
  }
  const entries = [...tasksToStop].flatMap(([job, tasks]) =>
    chunked([...tasks], 500).map((p): LogEntry => ({
      e: 'stop',
      job: job.spec.id,
      p,
      grace: job.spec.checkpoint > 0 ? job.spec.save + 1 : 0,
      why: 'preempted',
    })),
  );
  return { entries, unplaced: stillUnplaced };
}
