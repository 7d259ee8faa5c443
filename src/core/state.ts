import { GANG_BROKEN, JOB_CANCELLED, isAvailable } from './model.js';
import type { Job, JobOutcome, Machine, RentalRequest, TaskAttempt } from './model.js';
import type { AttemptNumber, EndCause, JobId, JobSpec, LogEntry, LogRecord } from './types.js';
import type { MachineId, MachineType, RecordNumber, Session, WallMs } from './types.js';

/** The number in a machine's id; a lower one is taken to be older. */
const numberOf = (id: MachineId): number => Number(id.replace(/^\D+/, ''));

/**
 * The replicated state machine: the leader, its followers and a replay change it by apply() alone, which uses
 * nothing but the record, so that all of them reach the same state.
 */
export class ClusterState {
  nextRecord = 1 as RecordNumber;
  /** The commands of all records up to this one were carried out, as workers' reports show. */
  processedUpTo = 0;
  jobs = new Map<JobId, Job>();
  outcomes = new Map<JobId, JobOutcome>();
  machines = new Map<MachineId, Machine>();
  pendingRentals = new Map<string, RentalRequest>();
  machineTypes = new Map<string, MachineType>();
  teamUsage = new Map<string, { cpus: number; gpus: number }>();
  /** Machines that a late entry or report must not bring back. */
  removedMachines = new Set<MachineId>();
  nextJobOrder = 0;

  apply(number: RecordNumber, record: LogRecord): void {
    if (number !== this.nextRecord) throw new Error(`record ${number} applied, expected ${this.nextRecord}`);
    for (const entry of record.entries) this.applyEntry(entry, record.at);
    this.nextRecord = (number + 1) as RecordNumber;
  }

  private applyEntry(entry: LogEntry, at: WallMs): void {
    switch (entry.e) {
      case 'job':
        return this.addJob(entry.spec, at);
      case 'withdraw':
        return this.cancelJob(entry.job, at);
      case 'up':
        return this.registerWorker(entry, at);
      case 'start':
        for (const [task, attempt, machine] of entry.p)
          this.startAttempt(entry.job, task, attempt as AttemptNumber, machine, at);
        return;
      case 'stop':
        return this.stopAttempts(entry, at);
      case 'end':
        for (const [job, task, attempt, cause, saved] of entry.p)
          this.endAttempt(job, task, attempt as AttemptNumber, cause, saved, at);
        return;
      case 'hire':
        this.pendingRentals.set(entry.name, {
          name: entry.name,
          type: entry.type,
          zone: entry.zone,
          spot: entry.spot,
          n: entry.n,
          at,
        });
        return;
      case 'hired': {
        const rental = this.pendingRentals.get(entry.name);
        if (!rental) return;
        this.pendingRentals.delete(entry.name);
        // Boot time counts from the answer: the cloud may have answered only after many repetitions.
        for (const id of entry.m)
          if (!this.machines.has(id) && !this.removedMachines.has(id)) this.addMachine(id, rental, at);
        return;
      }
      case 'drop':
        for (const id of entry.m) {
          const machine = this.machines.get(id);
          if (!machine) continue;
          machine.drop ??= entry.why;
          machine.changes++;
        }
        return;
      case 'gone':
        for (const id of entry.m) this.removeMachine(id, at);
        return;
      case 'types':
        this.machineTypes = new Map(entry.types.map((type) => [type.name, type]));
        return;
      case 'mark':
        this.processedUpTo = Math.max(this.processedUpTo, entry.upto);
        return;
    }
  }

  private addMachine(
    id: MachineId,
    offer: { type: string; zone: string; spot: boolean },
    hiredAt: WallMs,
    addr = '',
  ): Machine {
    const machine: Machine = {
      id,
      addr,
      type: offer.type,
      zone: offer.zone,
      spot: offer.spot,
      session: 0 as Session,
      hiredAt,
      upAt: hiredAt,
      drop: null,
      errors: 0,
      live: new Set(),
      stopping: 0,
      changes: 0,
      images: new Map(),
      idleSince: hiredAt,
      cpus: 0,
      gpus: 0,
      mem: 0,
    };
    this.machines.set(id, machine);
    return machine;
  }

  private addJob(spec: JobSpec, at: WallMs): void {
    if (this.jobs.has(spec.id) || this.outcomes.has(spec.id)) return;
    this.jobs.set(spec.id, {
      spec,
      at,
      order: this.nextJobOrder++,
      withdrawn: false,
      fresh: 0,
      back: new Map(),
      live: new Map(),
      done: 0,
      gangTry: 1,
      broken: false,
      places: [],
      errors: 0,
      errorMachines: new Set(),
      notBefore: 0 as WallMs,
    });
  }

  private cancelJob(id: JobId, at: WallMs): void {
    const job = this.jobs.get(id);
    // Upholds went_back: a job that is done stays done.
    if (!job || this.outcomes.has(id)) return;
    job.withdrawn = true;
    // Upholds ran_cancelled: every attempt that may be on a machine is stopped at once, without grace.
    for (const attempt of job.live.values()) {
      if (!attempt.stop) attempt.machine.stopping++;
      attempt.stop = { grace: 0, at, why: JOB_CANCELLED };
      attempt.machine.changes++;
    }
    this.outcomes.set(id, { state: 'cancelled', done: job.done });
    this.removeIfEnded(job);
  }

  private registerWorker(entry: Extract<LogEntry, { e: 'up' }>, at: WallMs): void {
    if (this.removedMachines.has(entry.m)) return;
    const machine = this.machines.get(entry.m) ?? this.addMachine(entry.m, entry, at, entry.addr);
    if (entry.s <= machine.session) return;
    if (machine.session === 0) machine.upAt = at;
    machine.addr = entry.addr;
    machine.type = entry.type;
    machine.zone = entry.zone;
    machine.spot = entry.spot;
    machine.session = entry.s;
    machine.changes++;
    // A worker in a later session has killed all tasks of the earlier ones.
    for (const old of [...machine.live])
      if (old.session < entry.s) this.endAttempt(old.job.spec.id, old.task, old.attempt, 'lost', false, at);
    machine.images.clear();
  }

  /** Whether a task may start with this attempt; decisions and apply() check the same. */
  canStart(job: Job, task: number, attempt: number): boolean {
    if (job.withdrawn || task >= job.spec.tasks || job.live.has(task)) return false;
    // Upholds ran_twice and not_done: a task starts only while no attempt of it may be on a machine.
    if (job.spec.gang) return attempt === job.gangTry && !job.broken;
    const nextAttempt = job.back.get(task);
    return nextAttempt === undefined ? task >= job.fresh && attempt === 1 : attempt === nextAttempt;
  }

  private startAttempt(id: JobId, task: number, attempt: AttemptNumber, on: MachineId, at: WallMs): void {
    const job = this.jobs.get(id);
    const machine = this.machines.get(on);
    if (!job || !machine || !isAvailable(machine) || !this.canStart(job, task, attempt)) return;
    if (!job.spec.gang) {
      if (!job.back.delete(task)) {
        // Tasks skipped over can still start.
        for (let skipped = job.fresh; skipped < task; skipped++) job.back.set(skipped, 1);
        job.fresh = task + 1;
      }
    }
    this.addAttempt({ job, task, attempt, machine, session: machine.session, startedAt: at, stop: null });
    machine.changes++;
    machine.images.delete(job.spec.image);
    machine.images.set(job.spec.image, job.spec.imageGb);
    if (machine.images.size > 16) machine.images.delete(machine.images.keys().next().value!);
  }

  /** Counts an attempt as present on its machine; only for apply() and for loading a snapshot. */
  addAttempt(attempt: TaskAttempt): void {
    attempt.job.live.set(attempt.task, attempt);
    attempt.machine.live.add(attempt);
    if (attempt.stop) attempt.machine.stopping++;
    this.addUsage(attempt, 1);
  }

  /** Adds the resources of an attempt to what its team and its machine use, or takes them from it. */
  private addUsage(attempt: TaskAttempt, sign: 1 | -1): void {
    const spec = attempt.job.spec;
    const team = this.teamUsage.get(spec.team) ?? { cpus: 0, gpus: 0 };
    this.teamUsage.set(spec.team, team);
    for (const used of [team, attempt.machine]) {
      used.cpus += sign * spec.cpus;
      used.gpus += sign * spec.gpus;
    }
    attempt.machine.mem += sign * spec.mem;
  }

  private stopAttempts(entry: Extract<LogEntry, { e: 'stop' }>, at: WallMs): void {
    const job = this.jobs.get(entry.job);
    if (!job) return;
    for (const task of entry.p) {
      const attempt = job.live.get(task);
      if (!attempt) continue;
      attempt.machine.changes++;
      if (!attempt.stop) attempt.machine.stopping++;
      if (!attempt.stop || attempt.stop.grace > entry.grace)
        attempt.stop = { grace: entry.grace, at, why: entry.why };
      if (job.spec.gang) job.broken = true;
    }
  }

  private endAttempt(
    id: JobId,
    task: number,
    attempt: AttemptNumber,
    cause: EndCause,
    saved: boolean,
    at: WallMs,
  ): void {
    const job = this.jobs.get(id);
    const ended = job?.live.get(task);
    if (!job || !ended || ended.attempt !== attempt) return;
    job.live.delete(task);
    const machine = ended.machine;
    machine.live.delete(ended);
    machine.changes++;
    if (ended.stop) machine.stopping--;
    this.addUsage(ended, -1);
    if (machine.live.size === 0) {
      machine.idleSince = at;
      machine.cpus = machine.gpus = machine.mem = 0;
    }
    if (cause === 'done') {
      machine.errors = 0;
      job.errors = 0;
    }
    if (cause === 'error') {
      job.errors++;
      job.errorMachines.add(machine.id);
      // Failures of a job that fails on any machine don't count against the machines.
      if (job.errorMachines.size <= 2) machine.errors++;
      job.notBefore = (at + Math.min(60_000, 1000 * 2 ** Math.min(job.errors, 6))) as WallMs;
    }
    if (cause === 'no_room' || cause === 'busy' || cause === 'unknown')
      job.notBefore = Math.max(job.notBefore, at + 2000) as WallMs;
    if (job.spec.gang) {
      if (cause === 'done') job.done = job.spec.tasks;
      else job.broken = true;
      if (cause === 'alone' || ended.stop?.why === GANG_BROKEN) job.places.push(machine.id);
      if (job.live.size === 0 && job.broken) {
        job.gangTry++;
        job.broken = false;
        job.places = [];
      }
    } else if (cause === 'done') job.done++;
    else if (!job.withdrawn) job.back.set(task, attempt + 1);
    // Upholds not_done: a job is done only when the end of every task is in a record.
    if (!job.withdrawn && job.done >= job.spec.tasks && !this.outcomes.has(id))
      this.outcomes.set(id, { state: 'done', done: job.done });
    this.removeIfEnded(job);
  }

  private removeIfEnded(job: Job): void {
    if (this.outcomes.has(job.spec.id) && job.live.size === 0) this.jobs.delete(job.spec.id);
  }

  private removeMachine(id: MachineId, at: WallMs): void {
    const machine = this.machines.get(id);
    if (machine)
      for (const attempt of [...machine.live])
        this.endAttempt(attempt.job.spec.id, attempt.task, attempt.attempt, 'lost', false, at);
    this.machines.delete(id);
    this.removedMachines.add(id);
    if (this.removedMachines.size > 4000) {
      const oldest = [...this.removedMachines].sort((a, b) => numberOf(a) - numberOf(b)).slice(0, 2000);
      for (const old of oldest) this.removedMachines.delete(old);
    }
  }
}
