/** Places tasks: best fit among sampled machines, then among all; a gang as a whole or not at all. */
import { chunked } from './chunked.js';
import { tasksWithinLimit, type Claim } from './claims.js';
import { allocate, countTasks, releaseAllocations, type Allocation, type Random } from './allocation.js';
import { allowsOffer, constraintKey, fitsOffer, ZoneAllowance } from './constraints.js';
import { soleFitTypes } from './fit.js';
import { avoidsMachine, type Job, type Machine, type TaskAttempt } from './model.js';
import type { Offer } from './offers.js';
import { reserve } from './reserve.js';
import { addTo, fits, sumOf, type Resources } from './resources.js';
import { delaysGangFetch, hasImage, isMultiTaskGang } from './candidates.js';
import { InfeasibleRequests, isRestartCritical, type Candidate } from './candidates.js';
import type { ClusterState } from './state.js';
import { RESOURCE_EPSILON, type JobSpec, type LogEntry, type MachineId } from './types.js';
import type { Team, WallMs } from './types.js';
import { countWaitingTasks, waitingTasks } from './waiting-tasks.js';
import { ZoneCapacities } from './zone-capacities.js';
import { candidateZones } from './zones.js';

export interface PlacementInput {
  state: ClusterState;
  claims: readonly Claim[];
  teams: readonly Team[];
  now: WallMs;
  random: Random;
  sampleSize: number;
  /** Machines that may take work and whose workers have reported recently. */
  usable: Machine[];
  /** Seconds within which a class's jobs are to finish; 0 if it has no objective, or one for the start. */
  completionObjectiveS: (className: string) => number;
  isFetching: (attempt: TaskAttempt) => boolean;
  /** Whether machines of the offer may be rented for the job now. */
  canRent: (spec: JobSpec, offer: Offer) => boolean;
  /** Machines that the previous round reserved or drained for a gang; other jobs avoid them if they can. */
  reserved: ReadonlySet<Machine>;
  maxStarts: number;
}

/** Tasks of one job that could not be placed. */
export interface Unplaced {
  job: Job;
  tasks: number;
  /** Whether the job is within its team's guarantee. */
  guaranteed: boolean;
  /** How many more tasks of the job a zone may take, beside those that have a place. */
  allowance: ZoneAllowance;
}

export interface PlacementResult {
  entries: LogEntry[];
  starts: number;
  /** In claim order. */
  unplaced: Unplaced[];
  /** Machines that must not be returned as idle: tasks start on them, or places on them are reserved. */
  retained: Set<Machine>;
  /** Those of them that are reserved for a gang. */
  reserved: Set<Machine>;
  /** What the starts and reservations of this round leave free on a machine. */
  freeResources: (machine: Machine) => Resources;
  /** What tasks that are being stopped will release on a machine. */
  releasingResources: (machine: Machine) => Resources;
}

const NO_RESOURCES: Resources = Object.freeze({ cpus: 0, gpus: 0, mem: 0 });
/** Age from which machines are drained for a gang that fits nowhere. */
const DRAIN_AFTER_S = 45;
/** A larger entry would not fit into a log record beside others. */
const MAX_STARTS_PER_ENTRY = 100;

export const place = (input: PlacementInput): PlacementResult => new PlacementRound(input).run();

/** Places the tasks of all claims, in order; holds what the round has assigned so far. */
class PlacementRound {
  private readonly candidates: Candidate[];
  private readonly candidateById: ReadonlyMap<MachineId, Candidate>;
  /** Candidates with free CPUs. Only these are searched for places: on a busy cluster they are few. */
  private free: Candidate[];
  /** Candidates on which tasks are being stopped. */
  private readonly releasing: Candidate[];
  private readonly infeasible = new InfeasibleRequests();
  private readonly teamUsage: Map<string, { cpus: number; gpus: number }>;
  private readonly zoneCapacities: ZoneCapacities;
  private readonly entries: LogEntry[] = [];
  private readonly unplaced: Unplaced[] = [];
  private readonly retained = new Set<Machine>();
  private readonly reserved = new Set<Machine>();
  private starts = 0;
  private isDraining = false;

  constructor(private readonly input: PlacementInput) {
    this.candidates = createCandidates(input);
    this.candidateById = new Map(this.candidates.map((candidate) => [candidate.machine.id, candidate]));
    this.free = this.candidates.filter((candidate) => candidate.cpus > RESOURCE_EPSILON);
    this.releasing = this.candidates.filter((candidate) => candidate.releasing.cpus > RESOURCE_EPSILON);
    this.teamUsage = new Map([...input.state.teamUsage].map(([team, usage]) => [team, { ...usage }]));
    this.zoneCapacities = new ZoneCapacities(input.state, input.usable, input.canRent);
  }

  run(): PlacementResult {
    for (const claim of this.input.claims) this.placeClaim(claim);
    return {
      entries: this.entries,
      starts: this.starts,
      unplaced: this.unplaced,
      retained: new Set([...this.retained, ...this.reserved]),
      reserved: this.reserved,
      freeResources: (machine) => sumOf(this.candidateById.get(machine.id) ?? NO_RESOURCES, NO_RESOURCES),
      releasingResources: (machine) => this.candidateById.get(machine.id)?.releasing ?? NO_RESOURCES,
    };
  }

  private placeClaim({ job, guaranteed }: Claim): void {
    this.retainGangPlaces(job);
    const waiting = countWaitingTasks(this.input.state, job);
    if (waiting === 0 || job.notBefore > this.input.now) return;
    const wanted = this.startableTasks(job, waiting);
    if (wanted === 0) return;
    const feasible = this.feasibleCandidates(job).filter((candidate) => !delaysGangFetch(candidate, job));
    const allowance = ZoneAllowance.beside(job);
    const allocations = this.allocate(job, wanted, feasible, allowance);
    if (allocations.length > 0) this.start(job, wanted, allocations);
    const tasks = wanted - countTasks(allocations);
    if (tasks > 0) this.reserveFor({ job, tasks, guaranteed, allowance }, feasible);
  }

  /** Keeps a broken gang's places, where images are present or being fetched, for its next attempt. */
  private retainGangPlaces(job: Job): void {
    for (const id of job.places) {
      const candidate = this.candidateById.get(id);
      if (!candidate || !fits(candidate, job.spec) || !allowsOffer(job.spec, candidate.machine)) continue;
      addTo(candidate, job.spec, -1);
      this.retained.add(candidate.machine);
    }
  }

  private usageOf(team: string): { cpus: number; gpus: number } {
    const usage = this.teamUsage.get(team) ?? { cpus: 0, gpus: 0 };
    this.teamUsage.set(team, usage);
    return usage;
  }

  /** How many tasks may start within the limits of the team and of the round; for a gang all or none. */
  private startableTasks(job: Job, waiting: number): number {
    const { spec } = job;
    const team = this.input.teams.find((one) => one.name === spec.team)!;
    const limit = tasksWithinLimit(job, team, this.usageOf(spec.team));
    if (spec.gang && limit < waiting) return 0;
    const startable = Math.min(waiting, limit, Math.max(0, this.input.maxStarts - this.starts));
    return spec.gang && startable < spec.tasks ? 0 : startable;
  }

  private isEligible(job: Job, { machine }: Candidate): boolean {
    return allowsOffer(job.spec, machine) && !avoidsMachine(job, machine.id, this.input.now);
  }

  private feasibleCandidates(job: Job): Candidate[] {
    const { spec } = job;
    if (this.infeasible.has(constraintKey(spec), spec)) return [];
    const feasible = this.free.filter(
      (candidate) => fits(candidate, spec) && this.isEligible(job, candidate),
    );
    if (feasible.length === 0 && job.errorMachines.size === 0) this.infeasible.add(constraintKey(spec), spec);
    return feasible;
  }

  /** Allocates places and takes them from the candidates; none if no task of the job may be placed now. */
  private allocate(job: Job, wanted: number, feasible: Candidate[], allowance: ZoneAllowance): Allocation[] {
    const { now, random, sampleSize, completionObjectiveS } = this.input;
    const { spec } = job;
    const restartCritical = isRestartCritical(job, now, completionObjectiveS(spec.class));
    for (const zone of candidateZones(job, allowance, feasible, restartCritical)) {
      const pool = zone === null ? feasible : feasible.filter((candidate) => candidate.machine.zone === zone);
      const allocations = allocate(pool, job, wanted, sampleSize, random, restartCritical, allowance);
      // A gang is placed as a whole or not at all; a one-zone array takes the first zone with a place.
      if (allocations.length > 0 && (!spec.gang || countTasks(allocations) === wanted)) return allocations;
      releaseAllocations(allocations, job, allowance);
    }
    return [];
  }

  private start(job: Job, wanted: number, allocations: Allocation[]): void {
    const { spec } = job;
    const tasks: [number, number][] = spec.gang
      ? Array.from({ length: spec.tasks }, (_, task) => [task, job.gangTry])
      : waitingTasks(job, wanted);
    const placed: [number, number, MachineId][] = [];
    for (const { candidate, taskCount } of allocations) {
      this.recordStart(candidate, job);
      for (let i = 0; i < taskCount; i++) placed.push([...tasks[placed.length]!, candidate.machine.id]);
    }
    const usage = this.usageOf(spec.team);
    usage.cpus += spec.cpus * placed.length;
    usage.gpus += spec.gpus * placed.length;
    this.starts += placed.length;
    for (const chunk of chunked(placed, MAX_STARTS_PER_ENTRY))
      this.entries.push({ e: 'start', job: spec.id, p: chunk });
    this.free = this.free.filter((candidate) => candidate.cpus > RESOURCE_EPSILON);
  }

  private recordStart(candidate: Candidate, job: Job): void {
    if (!hasImage(candidate, job)) {
      candidate.fetches.set(job.spec.image, job.spec.imageGb / candidate.fetchRate);
      candidate.isGangFetching ||= isMultiTaskGang(job.spec);
    }
    candidate.isOccupied = true;
    // Prevents the machine's return in the round that starts work on it.
    this.retained.add(candidate.machine);
  }

  /** Reserves resources that are being released for the job, so that later claims don't take them. */
  private reserveFor(unplaced: Unplaced, feasible: Candidate[]): void {
    const { job, tasks } = unplaced;
    const wasDraining = this.isDraining;
    const reservedCount = reserve({
      job,
      taskCount: tasks,
      allowance: unplaced.allowance,
      feasible,
      releasing: this.releasing.filter((candidate) => this.isEligible(job, candidate)),
      drainable: () => this.drainableFor(job),
      zoneCapacities: () => this.zoneCapacities.of(job.spec),
      reserved: this.reserved,
    });
    if (this.isDraining !== wasDraining)
      this.free = this.free.filter((candidate) => candidate.cpus > RESOURCE_EPSILON);
    if (reservedCount < tasks) this.unplaced.push({ ...unplaced, tasks: tasks - reservedCount });
  }

  /** Machines that may be drained for a gang; none while it is young, or another one's are being drained. */
  private drainableFor(job: Job): Candidate[] {
    // One gang at a time: machines drained for several gangs would stand half empty and serve none of them.
    if (this.isDraining || this.input.now - job.at <= DRAIN_AFTER_S * 1000) return [];
    this.isDraining = true;
    return this.candidates.filter((candidate) => this.isDrainable(job, candidate));
  }

  /** Whether a task would fit the machine if it were empty. */
  private isDrainable(job: Job, candidate: Candidate): boolean {
    const { type: typeName, zone, spot } = candidate.machine;
    const type = this.input.state.machineTypes.get(typeName);
    return type !== undefined && fitsOffer(job.spec, type, zone, spot) && this.isEligible(job, candidate);
  }
}

function createCandidates(input: PlacementInput): Candidate[] {
  const soleFits = soleFitTypes(input.state);
  const candidates: Candidate[] = [];
  for (const machine of input.usable) {
    const type = input.state.machineTypes.get(machine.type);
    if (!type) continue;
    const candidate: Candidate = {
      machine,
      cpus: type.cpus - machine.cpus,
      gpus: type.gpus - machine.gpus,
      mem: type.mem - machine.mem,
      fetches: new Map(),
      isGangFetching: false,
      releasing: machine.stopping > 0 ? { cpus: 0, gpus: 0, mem: 0 } : NO_RESOURCES,
      fetchRate: type.fetch,
      totalCpus: type.cpus,
      isSoleFit: soleFits.has(type.name),
      isReserved: input.reserved.has(machine),
      isOccupied: machine.live.size > 0,
    };
    // Full machines on which no task is being stopped can't be chosen, so their tasks aren't examined.
    if (machine.stopping > 0 || machine.cpus + RESOURCE_EPSILON < type.cpus) recordAttempts(candidate, input);
    candidates.push(candidate);
  }
  return candidates;
}

/** Records what the attempts on a machine will release, and what they are fetching. */
function recordAttempts(candidate: Candidate, { isFetching, now }: PlacementInput): void {
  for (const attempt of candidate.machine.live) {
    const { spec } = attempt.job;
    if (attempt.stop) addTo(candidate.releasing, spec);
    else if (isFetching(attempt)) {
      candidate.fetches.set(
        spec.image,
        Math.max(1, spec.imageGb / candidate.fetchRate - (now - attempt.startedAt) / 1000),
      );
      candidate.isGangFetching ||= isMultiTaskGang(spec);
    }
  }
}
