import type { HttpResponse, HttpCall } from '../../src/io/http-client.js';
import type { MachineType } from '../../src/core/types.js';
import type { Checker, FreeMachine, JobOnWire, MachineInfo } from './checker.js';
import type { VirtualTime } from './clock.js';

/** An attempt of a task on a worker, with the standing and cause of the protocol. */
export interface WorkerTask {
  job: JobOnWire;
  task: number;
  attempt: number;
  standing: 'fetching' | 'waiting' | 'running' | 'flushing' | 'ended';
  cause?: string;
  stored?: boolean;
  /** Incremented when timers of the task that are pending must no longer fire. */
  version: number;
}

/** Shortest interval between two checks of the lease. */
const MIN_LEASE_CHECK_INTERVAL_MS = 100;

/** A command on the wire. */
interface WireCommand {
  verb: string;
  shift: string;
  try: number;
  leeway_s?: number;
}

/** What the workers of a simulation share. */
export interface WorkerEnvironment {
  time: VirtualTime;
  random: () => number;
  checker: Checker;
  nodes: { name: string; address: string }[];
  type: (name: string) => MachineType;
  /** Run time of a job's tasks. */
  runMs: (job: JobOnWire) => number;
  /** Jobs whose tasks fail on every machine. */
  failing: Set<string>;
  workers: Map<string, FakeWorker>;
  settings: { report_s: number; lease_s: number; gang_wait_s: number; gang_peer_s: number };
}

/** The worker on one machine: reports, fence, sessions, lease, images, arrays and gangs. */
export class FakeWorker {
  session = 1;
  /** The highest fence received; commands with a lower one are refused. */
  highestFence = 0;
  /** Attempts by `job/task#attempt`, until the controller clears them. */
  tasks = new Map<string, WorkerTask>();
  alive = true;
  /** Every task on the machine ends with an error. */
  failsTasks = false;
  /** Factor on the time to fetch an image. */
  fetchTimeFactor = 1;
  /** Seconds until the cloud reclaims the machine, once it has given notice. */
  reclaimNoticeS: number | null = null;
  private reportNumber = 0;
  private sessionStartedAt: number;
  /** When the last report was sent that got an answer; the lease runs from then. */
  private leaseRenewedAt: number | null = null;
  /** Index of the node that the worker reports to. */
  private nodeIndex: number;
  private isReporting = false;
  private lastReportAt = -Infinity;
  /** Something has changed since the last report. */
  private hasUnreportedChanges = false;
  private cancelTimer: (() => void) | null = null;
  private readonly cachedImages = new Set<string>();

  constructor(
    readonly place: MachineInfo,
    readonly addr: string,
    private readonly call: HttpCall,
    private readonly environment: WorkerEnvironment,
  ) {
    this.sessionStartedAt = environment.time.now;
    this.nodeIndex = Math.floor(environment.random() * environment.nodes.length);
    this.schedule(10);
    this.watchLease();
  }

  /** The machine is gone, and its tasks with it. */
  terminate(): void {
    this.alive = false;
    for (const task of this.tasks.values()) this.abandon(task, false);
    this.tasks.clear();
    this.environment.workers.delete(this.place.id);
  }

  /** Hangs the machine. Afterwards its tasks continue if its lease has not expired meanwhile. */
  hang(ms: number): void {
    this.hungUntil = this.environment.time.now + ms;
    this.environment.time.after(ms, () => this.checkLease());
  }
  private hungUntil = 0;

  /** Runs at once, or when the machine resumes. */
  private whenResumed(run: () => void): void {
    if (this.hungUntil > this.environment.time.now)
      this.environment.time.after(this.hungUntil - this.environment.time.now, () => this.whenResumed(run));
    else run();
  }

  private checkLease(): void {
    if (
      this.alive &&
      this.environment.time.now - (this.leaseRenewedAt ?? this.sessionStartedAt) >
        this.environment.settings.lease_s * 1000
    )
      this.startNewSession();
  }

  /** Checks the lease when it would expire, and again if it was renewed meanwhile. */
  private watchLease(): void {
    const remainingMs =
      (this.leaseRenewedAt ?? this.sessionStartedAt) +
      this.environment.settings.lease_s * 1000 -
      this.environment.time.now;
    this.environment.time.after(Math.max(MIN_LEASE_CHECK_INTERVAL_MS, remainingMs + 1), () =>
      this.whenResumed(() => {
        this.checkLease();
        if (this.alive) this.watchLease();
      }),
    );
  }

  /** The lease has expired or the machine has restarted: all tasks end, and a new session begins. */
  startNewSession(): void {
    for (const task of this.tasks.values()) this.abandon(task, false);
    this.tasks.clear();
    this.session++;
    this.sessionStartedAt = this.environment.time.now;
    this.leaseRenewedAt = null;
    this.reportSoon();
  }

  private schedule(ms: number): void {
    this.cancelTimer?.();
    this.cancelTimer = this.environment.time.after(ms, () => this.whenResumed(() => void this.report()));
  }

  /** Schedules a report of a change. Reports are at least 500 ms apart. */
  private reportSoon(): void {
    this.hasUnreportedChanges = true;
    if (!this.isReporting) this.schedule(Math.max(5, this.lastReportAt + 500 - this.environment.time.now));
  }

  /** A report in the terms of the protocol. */
  reportBody(): object {
    return {
      mount: this.place.id,
      addr: this.addr,
      breed: this.place.type,
      yard: this.place.zone,
      loaners: this.place.spot,
      stint: this.session,
      tally: ++this.reportNumber,
      warrant: this.highestFence,
      recall_s: this.reclaimNoticeS,
      shifts: [...this.tasks.values()].map((task) => ({
        shift: `${task.job.name_id}/${task.task}`,
        try: task.attempt,
        standing: task.standing,
        cause: task.cause,
        stored: task.stored,
      })),
    };
  }

  private async report(): Promise<void> {
    if (!this.alive || this.isReporting) return;
    this.isReporting = true;
    this.hasUnreportedChanges = false;
    const { time, nodes, settings, random } = this.environment;
    const sentAt = (this.lastReportAt = time.now);
    const session = this.session;
    const target = nodes[this.nodeIndex]!;
    const answer = await this.call(target.address, 'POST', '/hello', this.reportBody(), 4000);
    this.isReporting = false;
    if (!this.alive) return;
    let nextMs = settings.report_s * 1000 * (0.75 + random() * 0.5);
    if (answer?.status === 200) {
      const body = answer.body as { warrant?: number; orders?: WireCommand[] };
      if (body.warrant !== undefined && body.warrant >= this.highestFence && session === this.session) {
        this.highestFence = body.warrant;
        this.leaseRenewedAt = sentAt;
        this.execute(body.orders ?? []);
      }
    } else {
      const steward =
        answer?.status === 421 ? (answer.body as { steward?: string } | undefined)?.steward : undefined;
      const leaderIndex = nodes.findIndex((node) => node.name === steward);
      if (leaderIndex >= 0 && leaderIndex !== this.nodeIndex) {
        this.nodeIndex = leaderIndex;
        nextMs = random() * 500;
      } else {
        this.nodeIndex = (this.nodeIndex + 1) % nodes.length;
        nextMs = 1000;
      }
    }
    if (this.hasUnreportedChanges) nextMs = Math.min(nextMs, Math.max(5, this.lastReportAt + 500 - time.now));
    this.schedule(nextMs);
  }

  /** Answers a direct call of a controller; null: no answer, since the machine is gone. */
  handle(path: string, body: unknown): HttpResponse | null {
    if (!this.alive) return null;
    if (path === '/show') return { status: 200, body: this.reportBody() };
    const call = body as { warrant?: number; stint?: number; orders?: WireCommand[] };
    if (call.warrant === undefined || call.stint === undefined) return { status: 400, body: {} };
    if (call.warrant < this.highestFence || call.stint !== this.session)
      return { status: 409, body: this.reportBody() };
    this.highestFence = call.warrant;
    this.execute(call.orders ?? []);
    return { status: 200, body: this.reportBody() };
  }

  private execute(commands: WireCommand[]): void {
    for (const command of commands) {
      const key = `${command.shift}#${command.try}`;
      const task = this.tasks.get(key);
      if (command.verb === 'launch') {
        if (!task) this.start(command);
      } else if (command.verb === 'clear') {
        if (task?.standing === 'ended') this.tasks.delete(key);
      } else if (task && task.standing !== 'ended') this.stop(task, command.leeway_s ?? 0);
    }
  }

  private start(command: WireCommand): void {
    const slash = command.shift.lastIndexOf('/');
    const job = this.environment.checker.job(command.shift.slice(0, slash));
    if (!job) throw new Error(`start of ${command.shift}, whose job was not submitted`);
    const task: WorkerTask = {
      job,
      task: Number(command.shift.slice(slash + 1)),
      attempt: command.try,
      standing: 'fetching',
      version: 0,
    };
    const unfinished = [...this.tasks.values()].filter((other) => other.standing !== 'ended');
    this.tasks.set(`${command.shift}#${command.try}`, task);
    const type = this.environment.type(this.place.type);
    if (unfinished.some((other) => other.job === job && other.task === task.task))
      return this.exit(task, 'in_use');
    const cpus = unfinished.reduce((sum, other) => sum + other.job.cpus, job.cpus);
    const mem = unfinished.reduce((sum, other) => sum + other.job.mem_gb, job.mem_gb);
    if (cpus > type.cpus + 1e-6 || mem > type.mem + 1e-6) return this.exit(task, 'full');
    this.reportSoon();
    this.runLater(
      task,
      this.cachedImages.has(job.kit) ? 5 : (job.image_gb / type.fetch) * 1000 * this.fetchTimeFactor,
      () => {
        this.cachedImages.add(job.kit);
        this.environment.checker.start(job.name_id, task.task, this.place);
        if (this.failsTasks || this.environment.failing.has(job.name_id))
          return this.runLater(task, 1000, () => this.exit(task, 'error', true));
        if (job.shape === 'ensemble') {
          task.standing = 'waiting';
          this.reportSoon();
          this.runLater(task, this.environment.settings.gang_wait_s * 1000, () =>
            this.exit(task, 'incomplete', true),
          );
          this.startCompleteGang(task);
        } else this.run(task);
      },
    );
  }

  /** Runs after a delay, unless the task's version has changed or the machine is gone. */
  private runLater(task: WorkerTask, ms: number, run: () => void): void {
    const version = task.version;
    const runIfCurrent = (): void => {
      if (
        this.alive &&
        task.version === version &&
        this.tasks.get(`${task.job.name_id}/${task.task}#${task.attempt}`) === task
      )
        run();
    };
    this.environment.time.after(ms, () => this.whenResumed(runIfCurrent));
  }

  private gangMembers(task: WorkerTask): { task: WorkerTask; on: FakeWorker }[] {
    const members: { task: WorkerTask; on: FakeWorker }[] = [];
    for (const on of this.environment.workers.values())
      for (const other of on.tasks.values())
        if (other.job === task.job && other.attempt === task.attempt && other.standing !== 'ended')
          members.push({ task: other, on });
    return members;
  }

  /** Starts the gang once all its tasks wait. */
  private startCompleteGang(task: WorkerTask): void {
    const waiting = this.gangMembers(task).filter((member) => member.task.standing === 'waiting');
    if (waiting.length < task.job.shifts) return;
    const ms = this.environment.runMs(task.job);
    for (const member of waiting) member.on.run(member.task, ms);
  }

  private run(task: WorkerTask, ms = this.environment.runMs(task.job)): void {
    task.version++;
    task.standing = 'running';
    this.reportSoon();
    this.runLater(task, ms, () => {
      if (task.job.shape === 'ensemble')
        for (const member of this.gangMembers(task)) member.on.exit(member.task, 'done', true);
      else this.exit(task, 'done', true);
    });
  }

  private stop(task: WorkerTask, leewayS: number): void {
    if (task.standing === 'flushing') {
      if (leewayS === 0) this.exit(task, 'stopped', true);
      return;
    }
    if (task.standing === 'running' && task.job.waymark_s > 0 && leewayS >= task.job.stow_s) {
      task.version++;
      task.standing = 'flushing';
      this.reportSoon();
      this.runLater(task, task.job.stow_s * 1000, () => {
        task.stored = true;
        this.exit(task, 'stopped', true);
      });
    } else this.exit(task, 'stopped', task.standing !== 'fetching');
  }

  /** Ends a task with a cause; `started` tells whether the checker saw its start. */
  exit(task: WorkerTask, cause: string, started = false): void {
    const wasRunning = task.standing === 'running' || task.standing === 'flushing';
    task.version++;
    if (started) this.environment.checker.end(task.job.name_id, task.task, this.place, cause === 'done');
    task.standing = 'ended';
    task.cause = cause;
    this.reportSoon();
    if (wasRunning && cause !== 'done' && task.job.shape === 'ensemble') this.failGang(task);
  }

  /** The other tasks of a gang notice the loss of one and end. */
  private failGang(task: WorkerTask): void {
    for (const member of this.gangMembers(task))
      if (member.task.standing === 'running') {
        // A gang that has lost a task makes no progress, so none of the others can complete.
        member.task.version++;
        member.on.runLater(member.task, this.environment.settings.gang_peer_s * 900, () =>
          member.on.exit(member.task, 'peers', true),
        );
      }
  }

  /** CPUs and memory that no task uses. */
  get freeResources(): FreeMachine {
    const type = this.environment.type(this.place.type);
    const unfinished = [...this.tasks.values()].filter((task) => task.standing !== 'ended');
    const total = (amountOf: (job: JobOnWire) => number): number =>
      unfinished.reduce((sum, task) => sum + amountOf(task.job), 0);
    return {
      place: this.place,
      cpus: type.cpus - total((job) => job.cpus),
      mem: type.mem - total((job) => job.mem_gb),
    };
  }

  /** Ends a task without an exit, because the lease has expired or the machine is gone. */
  private abandon(task: WorkerTask, done: boolean): void {
    const wasRunning = task.standing === 'running' || task.standing === 'flushing';
    const started = wasRunning || task.standing === 'waiting';
    task.version++;
    if (started) this.environment.checker.end(task.job.name_id, task.task, this.place, done);
    task.standing = 'ended';
    if (wasRunning && task.job.shape === 'ensemble') this.failGang(task);
  }
}
