import { GANG_BROKEN, JOB_CANCELLED, isAvailable } from './model.js';
import type { Job, JobOutcome, Machine, RentalRequest, TaskAttempt } from './model.js';
import type { AttemptNumber, EndCause, JobId, JobSpec, LogEntry, LogRecord } from './types.js';
import type { MachineId, MachineType, RecordNumber, Session, WallMs } from './types.js';

const num = (m: MachineId): number => Number(m.replace(/^\D+/, ''));

/**
 * What the log says. Only apply() changes it, on the leader, on followers and in replay alike;
 * it uses nothing but the record, so that all of them come to the same state.
 */
export class ClusterState {
  nextRecord = 1 as RecordNumber;
  processedUpTo = 0;
  jobs = new Map<JobId, Job>();
  outcomes = new Map<JobId, JobOutcome>();
  machines = new Map<MachineId, Machine>();
  pendingRentals = new Map<string, RentalRequest>();
  machineTypes = new Map<string, MachineType>();
  teamUsage = new Map<string, { cpus: number; gpus: number }>();
  removedMachines = new Set<MachineId>();
  nextJobOrder = 0;

  apply(no: RecordNumber, rec: LogRecord): void {
    if (no !== this.nextRecord) throw new Error(`record ${no} applied where ${this.nextRecord} is due`);
    for (const e of rec.entries) this.entry(e, rec.at);
    this.nextRecord = (no + 1) as RecordNumber;
  }

  private entry(e: LogEntry, at: WallMs): void {
    switch (e.e) {
      case 'job':
        return this.addJob(e.spec, at);
      case 'withdraw':
        return this.withdraw(e.job, at);
      case 'up':
        return this.up(e, at);
      case 'start':
        for (const [task, attempt, m] of e.p) this.start(e.job, task, attempt as AttemptNumber, m, at);
        return;
      case 'stop':
        return this.stop(e, at);
      case 'end':
        for (const [job, task, attempt, cause, saved] of e.p)
          this.end(job, task, attempt as AttemptNumber, cause, saved, at);
        return;
      case 'hire':
        this.pendingRentals.set(e.name, {
          name: e.name,
          type: e.type,
          zone: e.zone,
          spot: e.spot,
          n: e.n,
          at,
        });
        return;
      case 'hired': {
        const h = this.pendingRentals.get(e.name);
        if (!h) return;
        this.pendingRentals.delete(e.name);
        // From the answer on: the request may have been repeated for long, and a machine is not late
        // to boot because the cloud was late to answer.
        for (const m of e.m)
          if (!this.machines.has(m) && !this.removedMachines.has(m)) this.machine(m, h, at);
        return;
      }
      case 'drop':
        for (const id of e.m) {
          const m = this.machines.get(id);
          if (!m) continue;
          m.drop ??= e.why;
          m.changes++;
        }
        return;
      case 'gone':
        for (const id of e.m) this.remove(id, at);
        return;
      case 'types':
        this.machineTypes = new Map(e.types.map((t) => [t.name, t]));
        return;
      case 'mark':
        this.processedUpTo = Math.max(this.processedUpTo, e.upto);
        return;
    }
  }

  private machine(
    id: MachineId,
    of: { type: string; zone: string; spot: boolean },
    hiredAt: WallMs,
    addr = '',
  ): Machine {
    const m: Machine = {
      id,
      addr,
      type: of.type,
      zone: of.zone,
      spot: of.spot,
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
    this.machines.set(id, m);
    return m;
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

  private withdraw(id: JobId, at: WallMs): void {
    const job = this.jobs.get(id);
    // A job that is done stays done: went_back.
    if (!job || this.outcomes.has(id)) return;
    job.withdrawn = true;
    // Guards ran_cancelled: what may be on a machine is stopped at once, without grace.
    for (const l of job.live.values()) {
      if (!l.stop) l.machine.stopping++;
      l.stop = { grace: 0, at, why: JOB_CANCELLED };
      l.machine.changes++;
    }
    this.outcomes.set(id, { state: 'cancelled', done: job.done });
    this.tidy(job);
  }

  private up(e: Extract<LogEntry, { e: 'up' }>, at: WallMs): void {
    if (this.removedMachines.has(e.m)) return;
    const m = this.machines.get(e.m) ?? this.machine(e.m, e, at, e.addr);
    if (e.s <= m.session) return;
    if (m.session === 0) m.upAt = at;
    m.addr = e.addr;
    m.type = e.type;
    m.zone = e.zone;
    m.spot = e.spot;
    m.session = e.s;
    m.changes++;
    // A worker in a later session has killed all tasks of the earlier ones.
    for (const l of [...m.live])
      if (l.session < e.s) this.end(l.job.spec.id, l.task, l.attempt, 'lost', false, at);
    m.images.clear();
  }

  /** Whether this start may be: decisions and replay ask the same question. */
  canStart(job: Job, task: number, attempt: number): boolean {
    if (job.withdrawn || task >= job.spec.tasks || job.live.has(task)) return false;
    // Guards ran_twice and not_done: a task starts only while nothing of it may be anywhere.
    if (job.spec.gang) return attempt === job.gangTry && !job.broken;
    const again = job.back.get(task);
    return again === undefined ? task >= job.fresh && attempt === 1 : attempt === again;
  }

  private start(id: JobId, task: number, attempt: AttemptNumber, mid: MachineId, at: WallMs): void {
    const job = this.jobs.get(id);
    const m = this.machines.get(mid);
    if (!job || !m || !isAvailable(m) || !this.canStart(job, task, attempt)) return;
    if (!job.spec.gang) {
      if (!job.back.delete(task)) {
        // Tasks skipped over can still start.
        for (let i = job.fresh; i < task; i++) job.back.set(i, 1);
        job.fresh = task + 1;
      }
    }
    this.addAttempt({ job, task, attempt, machine: m, session: m.session, startedAt: at, stop: null });
    m.changes++;
    m.images.delete(job.spec.image);
    m.images.set(job.spec.image, job.spec.imageGb);
    if (m.images.size > 16) m.images.delete(m.images.keys().next().value!);
  }

  /** Counts a task as present on its machine; for `apply` and for loading a snapshot alone. */
  addAttempt(live: TaskAttempt): void {
    live.job.live.set(live.task, live);
    live.machine.live.add(live);
    if (live.stop) live.machine.stopping++;
    this.use(live, 1);
  }

  private use(l: TaskAttempt, sign: 1 | -1): void {
    const s = l.job.spec;
    const t = this.teamUsage.get(s.team) ?? { cpus: 0, gpus: 0 };
    this.teamUsage.set(s.team, t);
    for (const x of [t, l.machine]) {
      x.cpus += sign * s.cpus;
      x.gpus += sign * s.gpus;
    }
    l.machine.mem += sign * s.mem;
  }

  private stop(e: Extract<LogEntry, { e: 'stop' }>, at: WallMs): void {
    const job = this.jobs.get(e.job);
    if (!job) return;
    for (const task of e.p) {
      const l = job.live.get(task);
      if (!l) continue;
      l.machine.changes++;
      if (!l.stop) l.machine.stopping++;
      if (!l.stop || l.stop.grace > e.grace) l.stop = { grace: e.grace, at, why: e.why };
      if (job.spec.gang) job.broken = true;
    }
  }

  private end(
    id: JobId,
    task: number,
    attempt: AttemptNumber,
    cause: EndCause,
    saved: boolean,
    at: WallMs,
  ): void {
    const job = this.jobs.get(id);
    const l = job?.live.get(task);
    if (!job || !l || l.attempt !== attempt) return;
    job.live.delete(task);
    const m = l.machine;
    m.live.delete(l);
    m.changes++;
    if (l.stop) m.stopping--;
    this.use(l, -1);
    if (m.live.size === 0) {
      m.idleSince = at;
      m.cpus = m.gpus = m.mem = 0;
    }
    if (cause === 'done') {
      m.errors = 0;
      job.errors = 0;
    }
    if (cause === 'error') {
      // A job that fails wherever it runs spoils no machine's name: only jobs that have not
      // failed on other machines count against this one.
      job.errors++;
      job.errorMachines.add(m.id);
      if (job.errorMachines.size <= 2) m.errors++;
      job.notBefore = (at + Math.min(60_000, 1000 * 2 ** Math.min(job.errors, 6))) as WallMs;
    }
    if (cause === 'no_room' || cause === 'busy' || cause === 'unknown')
      job.notBefore = Math.max(job.notBefore, at + 2000) as WallMs;
    if (job.spec.gang) {
      if (cause === 'done') job.done = job.spec.tasks;
      else job.broken = true;
      if (cause === 'alone' || l.stop?.why === GANG_BROKEN) job.places.push(m.id);
      if (job.live.size === 0 && job.broken) {
        job.gangTry++;
        job.broken = false;
        job.places = [];
      }
    } else if (cause === 'done') job.done++;
    else if (!job.withdrawn) job.back.set(task, attempt + 1);
    // Guards not_done: done only when the end of every task is in a record.
    if (!job.withdrawn && job.done >= job.spec.tasks && !this.outcomes.has(id))
      this.outcomes.set(id, { state: 'done', done: job.done });
    this.tidy(job);
  }

  private tidy(job: Job): void {
    if (this.outcomes.has(job.spec.id) && job.live.size === 0) this.jobs.delete(job.spec.id);
  }

  private remove(id: MachineId, at: WallMs): void {
    const m = this.machines.get(id);
    if (m) for (const l of [...m.live]) this.end(l.job.spec.id, l.task, l.attempt, 'lost', false, at);
    this.machines.delete(id);
    this.removedMachines.add(id);
    if (this.removedMachines.size > 4000) {
      const low = [...this.removedMachines].sort((a, b) => num(a) - num(b)).slice(0, 2000);
      for (const g of low) this.removedMachines.delete(g);
    }
  }
}
