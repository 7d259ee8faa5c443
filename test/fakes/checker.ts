/** Checks the guarantees of the service (ran_twice, ran_cancelled, forgotten, ...) during simulations. */
import type { MachineType, Team } from '../../src/core/types.js';
import { canEverRun } from './placement-oracle.js';

/** A job in the form in which users submit it. */
export interface JobOnWire {
  name_id: string;
  duty: string;
  desk: string;
  shape: 'array' | 'ensemble';
  urgency: string;
  shifts: number;
  cpus: number;
  accelerators: number;
  mem_gb: number;
  kit: string;
  image_gb: number;
  breeds: string[] | null;
  yard: string | null;
  together: boolean;
  spread: boolean;
  loaners: boolean;
  reckon_s: number;
  waymark_s: number;
  stow_s: number;
  due_s: number | null;
}

/** A machine, as far as it matters for where a task may run. */
export interface MachineInfo {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
}

/** A machine and what no task uses of it. */
export interface FreeMachine {
  place: MachineInfo;
  cpus: number;
  mem: number;
}

/** Fields that an accepted job must have. */
const FIELDS = [
  'duty',
  'desk',
  'shape',
  'urgency',
  'shifts',
  'cpus',
  'accelerators',
  'mem_gb',
  'kit',
  'image_gb',
  'together',
  'spread',
  'loaners',
  'reckon_s',
  'waymark_s',
  'stow_s',
] as const;

/** What the user of a job was told. */
type ReportedStanding = 'accepted' | 'done' | 'aborted';

/** Observes what the workers run and what the users are told, and records each violation of a rule. */
export class Checker {
  /** One line for each violation: the rule, what was seen, and when. */
  readonly violations: string[] = [];
  /** Number of task starts. */
  starts = 0;
  /** Tasks, as `job/task`, that started after the cancellation of their job was confirmed. */
  readonly startsAfterCancellation: string[] = [];
  /** Called when the last task of a job has completed. */
  onJobCompleted: (id: string) => void = () => {};
  private readonly jobs = new Map<string, JobOnWire>();
  private readonly reportedStandings = new Map<string, ReportedStanding>();
  private readonly cancellationRequests = new Set<string>();
  private readonly cancelledAt = new Map<string, number>();
  private readonly completedTasks = new Map<string, Set<number>>();
  /** The machines on which each task runs, by job and then by `job/task`. */
  private readonly placements = new Map<string, Map<string, Map<string, MachineInfo>>>();
  /** CPUs in use by each team's tasks. */
  private readonly cpusUsed = new Map<string, number>();

  constructor(
    private readonly now: () => number,
    private readonly teams: readonly Team[],
    readonly types: readonly MachineType[],
    private readonly cancelMs: number,
  ) {}

  private report(rule: string, details: string): void {
    this.violations.push(`${rule}: ${details} at ${(this.now() / 1000).toFixed(1)} s`);
  }

  /** Registers a job that a user submits. */
  submitted(job: JobOnWire): void {
    this.jobs.set(job.name_id, job);
  }
  job(id: string): JobOnWire | undefined {
    return this.jobs.get(id);
  }
  /** A user is about to ask for the cancellation of a job. */
  cancellationRequested(id: string): void {
    this.cancellationRequests.add(id);
  }

  /** Number of task starts of a job. */
  startCountOf(id: string): number {
    return this.startCounts.get(id) ?? 0;
  }
  private readonly startCounts = new Map<string, number>();

  /** A task starts on a machine. Checks ran_twice, invented, wrong_place, quota and ran_cancelled. */
  start(id: string, task: number, machine: MachineInfo): void {
    this.starts++;
    this.startCounts.set(id, this.startCountOf(id) + 1);
    const key = `${id}/${task}`;
    const others = [...(this.machinesOf(id, key)?.keys() ?? [])].filter((other) => other !== machine.id);
    if (others.length > 0) this.report('ran_twice', `${key} on ${machine.id} and ${others.join()}`);
    this.addPlacement(id, key, machine);
    const job = this.jobs.get(id);
    if (!job) return this.report('invented', `${key} was started and nobody submitted it`);
    const isForbidden =
      (job.breeds && !job.breeds.includes(machine.type)) ||
      (job.yard && job.yard !== machine.zone) ||
      (!job.loaners && machine.spot);
    const zones = new Map<string, number>();
    if (job.together || job.spread)
      for (const machines of this.placements.get(id)!.values())
        for (const on of machines.values()) zones.set(on.zone, (zones.get(on.zone) ?? 0) + 1);
    const isSplit = job.together && zones.size > 1;
    const isCrowded = job.spread && Math.max(...zones.values()) > Math.ceil(job.shifts / 2);
    if (isForbidden || isSplit || isCrowded) this.report('wrong_place', `${key} on ${machine.id}`);
    const team = this.teams.find((t) => t.name === job.desk);
    const cpusInUse = this.cpusUsed.get(job.desk)!;
    if (team && cpusInUse > team.cpusMax + 1e-6) this.report('quota', `${job.desk} uses ${cpusInUse} CPUs`);
    if (this.cancelledAt.has(id)) this.startsAfterCancellation.push(key);
    this.checkCancelled(key, id);
  }

  private machinesOf(id: string, key: string): Map<string, MachineInfo> | undefined {
    return this.placements.get(id)?.get(key);
  }

  private addCpus(id: string, sign: 1 | -1): void {
    const job = this.jobs.get(id);
    if (job) this.cpusUsed.set(job.desk, (this.cpusUsed.get(job.desk) ?? 0) + sign * job.cpus);
  }

  private addPlacement(id: string, key: string, machine: MachineInfo): void {
    const tasks = this.placements.get(id) ?? new Map<string, Map<string, MachineInfo>>();
    this.placements.set(id, tasks);
    const machines = tasks.get(key) ?? new Map<string, MachineInfo>();
    tasks.set(key, machines);
    if (!machines.has(machine.id)) this.addCpus(id, 1);
    machines.set(machine.id, machine);
  }

  private removePlacement(id: string, key: string, machine: MachineInfo): void {
    const machines = this.machinesOf(id, key);
    if (!machines?.delete(machine.id)) return;
    this.addCpus(id, -1);
    if (machines.size === 0) this.placements.get(id)!.delete(key);
  }

  private checkCancelled(key: string, id: string): void {
    const confirmedAt = this.cancelledAt.get(id);
    if (confirmedAt !== undefined && this.now() > confirmedAt + this.cancelMs)
      this.report('ran_cancelled', key);
  }

  /** A task that had started ends on a machine. Checks ran_cancelled. */
  end(id: string, task: number, machine: MachineInfo, done: boolean): void {
    const key = `${id}/${task}`;
    this.checkCancelled(key, id);
    this.removePlacement(id, key, machine);
    if (!done) return;
    const completed = this.completedTasks.get(id) ?? new Set<number>();
    this.completedTasks.set(id, completed.add(task));
    if (completed.size === this.jobs.get(id)?.shifts) this.onJobCompleted(id);
  }

  /**
   * A user receives the answer to a submission, a status query or a cancellation. Checks forgotten, invented,
   * unfit, not_done and went_back.
   */
  answer(kind: 'submit' | 'show' | 'withdraw', id: string, status: number, standing?: string): void {
    const before = this.reportedStandings.get(id);
    if (status === 404 && kind === 'show' && before) this.report('forgotten', `${id} is answered with 404`);
    if ((status === 400 || status === 422) && kind === 'submit' && before)
      this.report('forgotten', `${id} is answered with ${status}`);
    if (status !== 200 && status !== 201) return;
    if (!this.jobs.has(id)) return this.report('invented', id);
    if (kind === 'submit' && !before) this.checkFit(this.jobs.get(id)!);
    if (standing === 'done') {
      if ((this.completedTasks.get(id)?.size ?? 0) < this.jobs.get(id)!.shifts) this.report('not_done', id);
      if (before === 'aborted') this.report('went_back', `${id} from aborted to done`);
      this.reportedStandings.set(id, 'done');
    } else if (standing === 'aborted') {
      if (before === 'done') this.report('went_back', `${id} from done to aborted`);
      if (!this.cancellationRequests.has(id)) this.report('went_back', `${id} was not cancelled by its user`);
      this.reportedStandings.set(id, 'aborted');
      // However the user learns of it: by the cancellation, a question or a repeated submission.
      if (!this.cancelledAt.has(id)) this.cancelledAt.set(id, this.now());
    } else {
      if (before === 'done' || before === 'aborted')
        this.report('went_back', `${id} from ${before} to ${standing}`);
      this.reportedStandings.set(id, before ?? 'accepted');
    }
  }

  private isAllowed(job: JobOnWire, machine: MachineInfo): boolean {
    return (
      (!job.breeds || job.breeds.includes(machine.type)) &&
      (!job.yard || job.yard === machine.zone) &&
      (job.loaners || !machine.spot)
    );
  }

  /** Checks unfit: an accepted job has every field, and can run at all. */
  private checkFit(job: JobOnWire): void {
    const missing = FIELDS.filter((f) => job[f] === undefined);
    if (missing.length > 0) this.report('unfit', `${job.name_id} lacks the fields ${missing.join()}`);
    else if (!canEverRun(job, this.types, this.teams)) this.report('unfit', `${job.name_id} can never run`);
  }

  /**
   * Checks waits: a job must not wait longer than `maxWaitMs` while its tasks fit on the given free resources
   * and its team is below its limit. Called repeatedly once the failures are over, with the free resources of
   * each machine in use.
   */
  checkWaiting(
    machines: readonly FreeMachine[],
    failing: (id: string) => boolean = () => false,
    maxWaitMs = 90_000,
  ): void {
    for (const id of this.reportedStandings.keys())
      if (failing(id) || !this.isWaitingBesideRoom(id, machines)) this.waitingSince.delete(id);
      else if (!this.waitingSince.has(id)) this.waitingSince.set(id, this.now());
      else if (this.now() - this.waitingSince.get(id)! > maxWaitMs)
        this.report('waits', `${id} although a machine has room for it`);
  }

  private isWaitingBesideRoom(id: string, machines: readonly FreeMachine[]): boolean {
    if (this.reportedStandings.get(id) !== 'accepted' || this.cancellationRequests.has(id)) return false;
    const job = this.jobs.get(id)!;
    const tasks = job.shape === 'ensemble' ? job.shifts : 1;
    const cpusMax = this.teams.find((t) => t.name === job.desk)!.cpusMax;
    if ((this.cpusUsed.get(job.desk) ?? 0) + job.cpus * tasks > cpusMax) return false;
    if (this.placesFor(job, machines) < tasks) return false;
    const completed = this.completedTasks.get(id);
    for (let i = 0; i < job.shifts; i++)
      if (!completed?.has(i) && (this.machinesOf(id, `${id}/${i}`)?.size ?? 0) === 0) return true;
    return false;
  }

  /** How many more tasks of a job could be present at once on the machines, beside those that are. */
  private placesFor(job: JobOnWire, machines: readonly FreeMachine[]): number {
    const present = new Map<string, number>();
    for (const on of this.placements.get(job.name_id)?.values() ?? [])
      for (const { zone } of on.values()) present.set(zone, (present.get(zone) ?? 0) + 1);
    const free = new Map<string, number>();
    for (const { place, cpus, mem } of machines) {
      if (!this.isAllowed(job, place)) continue;
      const slots = Math.floor(Math.min(cpus / job.cpus, mem / job.mem_gb) + 1e-6);
      free.set(place.zone, (free.get(place.zone) ?? 0) + slots);
    }
    const perZone = [...free].map(([zone, places]) => {
      const occupiedElsewhere = [...present.keys()].some((other) => other !== zone);
      if (job.together && occupiedElsewhere) return 0;
      const most = job.spread ? Math.ceil(job.shifts / 2) - (present.get(zone) ?? 0) : Infinity;
      return Math.min(places, most);
    });
    return job.together ? Math.max(0, ...perZone) : perZone.reduce((sum, places) => sum + places, 0);
  }
  private readonly waitingSince = new Map<string, number>();

  /** Checks, at the end of a test, ran_cancelled for the tasks that still run, and nothing_ran. */
  finish(): void {
    for (const [id, tasks] of this.placements) for (const key of tasks.keys()) this.checkCancelled(key, id);
    if (this.starts === 0) this.report('nothing_ran', 'no task was started');
  }

  /** Jobs whose users have been told a standing. */
  accepted(): string[] {
    return [...this.reportedStandings.keys()];
  }
  /** What the user of a job was told last. */
  standing(id: string): ReportedStanding | undefined {
    return this.reportedStandings.get(id);
  }
}
