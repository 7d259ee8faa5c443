/** Frees resources for unplaced jobs by stopping tasks of other jobs. */
import { chunked } from './chunked.js';
import type { Claim } from './claims.js';
import { InfeasibleRequests } from './candidates.js';
import { constraintKey, fitsOffer, type ZoneAllowance } from './constraints.js';
import { avoidsMachine, type Job, type Machine, type TaskAttempt } from './model.js';
import type { PlacementResult, Unplaced } from './placement.js';
import { addTo, fits, sumOf, type Resources } from './resources.js';
import type { ClusterState } from './state.js';
import { RESOURCE_EPSILON, priorityRank } from './types.js';
import type { JobSpec, LogEntry, Team, WallMs } from './types.js';

export interface PreemptionInput {
  state: ClusterState;
  /** In claim order. */
  claims: readonly Claim[];
  teams: readonly Team[];
  usable: Machine[];
  now: WallMs;
  unplaced: Unplaced[];
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
  unplaced: Unplaced[];
}

/** What will be free on a machine when the tasks being stopped have ended, less what was assigned since. */
interface FutureCapacity extends Resources {
  machine: Machine;
}

/** A place for one task of a job: the machine, and the tasks to stop there. */
interface Place {
  capacity: FutureCapacity;
  victims: TaskAttempt[];
  cost: number;
}

/** A job's position among the claims, and whether it is within its team's guarantee. */
interface ClaimPosition {
  position: number;
  guaranteed: boolean;
}

/** A run of less than this does not count as a start towards any objective. */
const MIN_COUNTED_RUN_S = 30;
/** What stopping such a run costs beside the work that is lost, in seconds. */
const UNCOUNTED_START_COST_S = 15;
/** Cost of stopping a task that does not run yet, in seconds. */
const NOT_RUNNING_COST_S = 2;
/** Cost of a machine without the job's image, in seconds. */
const IMAGE_FETCH_COST_S = 4;
/** A longer list would not fit into a log record beside others. */
const MAX_STOPS_PER_ENTRY = 500;

/** Cost of stopping a task, roughly the work that is lost, in CPU seconds. */
function preemptionCost(attempt: TaskAttempt, secondsRun: number | null): number {
  const spec = attempt.job.spec;
  if (secondsRun === null) return spec.cpus * NOT_RUNNING_COST_S;
  const secondsLost = spec.checkpoint > 0 ? spec.save : Math.max(secondsRun, 1);
  return spec.cpus * (secondsLost + (secondsRun < MIN_COUNTED_RUN_S ? UNCOUNTED_START_COST_S : 0));
}

/**
 * Stops tasks to free resources for unplaced jobs, as far as the rules allow: tasks of jobs with lower
 * priority, and, for a job within its team's guarantee, tasks that another team runs beyond its own
 * guarantee.
 */
export function preempt(input: PreemptionInput): PreemptionResult {
  if (input.unplaced.length === 0) return { entries: [], unplaced: [] };
  return new PreemptionRound(input).run();
}

/** Plans the stops of one round; holds what is assigned and chosen so far. */
class PreemptionRound {
  private readonly claimPositions = new Map<Job, ClaimPosition>();
  private readonly teamsBeyondGuarantee: ReadonlySet<string>;
  private readonly capacities: FutureCapacity[];
  /** Capacities where tasks are being stopped: the only places that placement can't have found. */
  private readonly releasing: FutureCapacity[];
  private readonly running: Job[];
  /** Requests that found no place, keyed by what determines which tasks may be stopped for them. */
  private readonly infeasible = new InfeasibleRequests();
  private readonly chosen = new Set<TaskAttempt>();

  constructor(private readonly input: PreemptionInput) {
    input.claims.forEach(({ job, guaranteed }, position) =>
      this.claimPositions.set(job, { position, guaranteed }),
    );
    this.teamsBeyondGuarantee = teamsBeyondGuarantee(input.state, input.teams);
    this.capacities = input.usable.map((machine) => ({
      machine,
      ...sumOf(input.freeResources(machine), input.releasingResources(machine)),
    }));
    this.releasing = this.capacities.filter(
      ({ machine }) => input.releasingResources(machine).cpus > RESOURCE_EPSILON,
    );
    this.running = input.claims.map(({ job }) => job).filter((job) => job.live.size > 0);
  }

  run(): PreemptionResult {
    const unplaced = this.input.unplaced.flatMap((one) => this.placeByPreemption(one) ?? []);
    return { entries: stopEntries(this.chosen), unplaced };
  }

  /** Chooses places for a job's tasks; returns what is left without one, or null. */
  private placeByPreemption(unplaced: Unplaced): Unplaced | null {
    const { allowance, guaranteed, job, tasks } = unplaced;
    const { spec } = job;
    const key = `${spec.team}|${spec.priority}|${guaranteed}|${constraintKey(spec)}`;
    if (this.infeasible.has(key, spec)) return unplaced;
    const preemptible = new Set(this.running.filter((other) => this.mayPreempt(job, guaranteed, other)));
    const ranked = this.rankPlaces(unplaced, preemptible);
    if (ranked.length === 0 && allowance.isUnused && job.errorMachines.size === 0)
      this.infeasible.add(key, spec);
    for (const zone of allowance.zoneChoices(ranked.map(({ capacity }) => capacity.machine.zone))) {
      const places = this.takePlaces(unplaced, preemptible, ranked, zone);
      if (places.length === tasks) return null;
      // A gang can't start with a part of its tasks.
      if (places.length > 0 && !spec.gang) return { ...unplaced, tasks: tasks - places.length };
      this.giveBack(places, spec, allowance);
    }
    return unplaced;
  }

  /** Whether tasks of `other` may be stopped for the job. */
  private mayPreempt(job: Job, guaranteed: boolean, other: Job): boolean {
    const own = this.claimPositions.get(job);
    const its = this.claimPositions.get(other);
    if (!own || !its || its.position <= own.position || (other.spec.gang && other.spec.tasks > 1))
      return false;
    const rank = priorityRank[job.spec.priority];
    if (priorityRank[other.spec.priority] < rank && rank >= this.input.minRank) return true;
    return (
      guaranteed &&
      !its.guaranteed &&
      other.spec.team !== job.spec.team &&
      this.teamsBeyondGuarantee.has(other.spec.team)
    );
  }

  /** Whether a task of the job may run on the machine once the machine is empty. */
  private isEligible(job: Job, machine: Machine): boolean {
    const type = this.input.state.machineTypes.get(machine.type);
    return (
      type !== undefined &&
      fitsOffer(job.spec, type, machine.zone, machine.spot) &&
      !avoidsMachine(job, machine.id, this.input.now)
    );
  }

  /** The best place on each machine, the cheapest first. The tasks of a job are alike: one ranking is enough. */
  private rankPlaces({ allowance, job }: Unplaced, preemptible: ReadonlySet<Job>): Place[] {
    const candidates = preemptible.size > 0 ? this.capacities : this.releasing;
    return candidates
      .filter(({ machine }) => this.isEligible(job, machine) && allowance.remaining(machine.zone) > 0)
      .flatMap((capacity) => this.placeOn(capacity, job.spec, preemptible) ?? [])
      .sort((a, b) => a.cost - b.cost);
  }

  /** A place for one more task of the job on a machine; null if stopping all that may be stopped frees too little. */
  private placeOn(capacity: FutureCapacity, spec: JobSpec, preemptible: ReadonlySet<Job>): Place | null {
    if (fits(capacity, spec)) return { capacity, victims: [], cost: 0 };
    if (preemptible.size === 0) return null;
    const stoppable = [...capacity.machine.live].filter(
      (attempt) => !attempt.stop && preemptible.has(attempt.job) && !this.chosen.has(attempt),
    );
    const available = { cpus: capacity.cpus, gpus: capacity.gpus, mem: capacity.mem };
    for (const attempt of stoppable) addTo(available, attempt.job.spec);
    if (!fits(available, spec)) return null;
    return this.cheapestVictims(capacity, spec, stoppable);
  }

  /** Chooses the tasks to stop, those that cost least for their CPUs first. */
  private cheapestVictims(capacity: FutureCapacity, spec: JobSpec, stoppable: TaskAttempt[]): Place {
    const byCost = stoppable.map((attempt) => ({
      attempt,
      cost: preemptionCost(attempt, this.input.secondsRun(attempt)),
    }));
    byCost.sort((a, b) => a.cost / a.attempt.job.spec.cpus - b.cost / b.attempt.job.spec.cpus);
    const available = { cpus: capacity.cpus, gpus: capacity.gpus, mem: capacity.mem };
    const victims: TaskAttempt[] = [];
    let cost = capacity.machine.images.has(spec.image) ? 0 : spec.cpus * IMAGE_FETCH_COST_S;
    for (const victim of byCost) {
      if (fits(available, spec)) break;
      victims.push(victim.attempt);
      cost += victim.cost;
      addTo(available, victim.attempt.job.spec);
    }
    return { capacity, victims, cost };
  }

  /** Takes up to as many places as the job's tasks need, in the order of the ranking. */
  private takePlaces(
    { allowance, job, tasks }: Unplaced,
    preemptible: ReadonlySet<Job>,
    ranked: readonly Place[],
    zone: string | null,
  ): Place[] {
    const places: Place[] = [];
    for (const first of ranked) {
      const machineZone = first.capacity.machine.zone;
      if (zone !== null && machineZone !== zone) continue;
      const count = Math.min(tasks - places.length, allowance.remaining(machineZone));
      for (let left = count, place: Place | null = first; left > 0 && place; left--) {
        this.take(place, job.spec, allowance);
        places.push(place);
        place = this.placeOn(first.capacity, job.spec, preemptible);
      }
    }
    return places;
  }

  private take({ capacity, victims }: Place, spec: JobSpec, allowance: ZoneAllowance): void {
    for (const victim of victims) {
      this.chosen.add(victim);
      addTo(capacity, victim.job.spec);
    }
    addTo(capacity, spec, -1);
    allowance.take(capacity.machine.zone, 1);
  }

  private giveBack(places: readonly Place[], spec: JobSpec, allowance: ZoneAllowance): void {
    for (const { capacity, victims } of places) {
      addTo(capacity, spec);
      allowance.take(capacity.machine.zone, -1);
      for (const victim of victims) {
        this.chosen.delete(victim);
        addTo(capacity, victim.job.spec, -1);
      }
    }
  }
}

/** Names of the teams that use more than their guarantee. */
function teamsBeyondGuarantee(state: ClusterState, teams: readonly Team[]): Set<string> {
  const beyond = teams.filter((team) => {
    const usage = state.teamUsage.get(team.name);
    return usage && (usage.cpus > team.cpus + RESOURCE_EPSILON || usage.gpus > team.gpus + RESOURCE_EPSILON);
  });
  return new Set(beyond.map((team) => team.name));
}

/** Entries that stop the attempts, with time to save for those that can. */
function stopEntries(attempts: ReadonlySet<TaskAttempt>): LogEntry[] {
  const tasksByJob = new Map<Job, number[]>();
  for (const { job, task } of attempts) {
    const tasks = tasksByJob.get(job) ?? [];
    tasksByJob.set(job, tasks);
    tasks.push(task);
  }
  return [...tasksByJob].flatMap(([{ spec }, tasks]) =>
    chunked(tasks, MAX_STOPS_PER_ENTRY).map((p): LogEntry => ({
      e: 'stop',
      job: spec.id,
      p,
      grace: spec.checkpoint > 0 ? spec.save + 1 : 0,
      why: 'preempted',
    })),
  );
}
