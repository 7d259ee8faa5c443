import type { AppendRequest } from '../../src/actors/log.js';
import type { WorkerStatistics, WorkersActor } from '../../src/actors/workers.js';
import { ClusterState } from '../../src/core/state.js';
import { waitingTasks } from '../../src/core/waiting-tasks.js';
import type { LogEntry, JobId, MachineId, Term } from '../../src/core/types.js';
import type { HttpResponse, HttpCall } from '../../src/io/http-client.js';
import { readReport } from '../../src/wire/reports.js';
import { readJob, writeRedirect, writeReportAnswer } from '../../src/wire/schemas.js';
import { Checker, type JobOnWire, type MachineInfo } from './checker.js';
import { VirtualTime } from './clock.js';
import { createWorkersActor, REPORT_PERIOD_S } from './leading.js';
import { FakeWorker } from './worker.js';
import { box, write } from './world.js';

/** What becomes of one direct call: when it reaches the worker, and whether its answer gets back. */
export interface CallFate {
  deliveredAfterMs: number;
  answered: boolean;
  /** Something between the two answers 200 at once, with a body that is no report. */
  garbled?: boolean;
}

const PROMPT: CallFate = { deliveredAfterMs: 2, answered: true };
const ANSWER_MS = 2;
const WRITE_MS = 15;
const TICK_MS = 1000;
const TASKS = 4;
const PLACE: MachineInfo = { id: 'vm-1', type: 'box', zone: 'a', spot: false };

/** Tells of each start of a task on the worker. */
class StartsChecker extends Checker {
  onStart: (job: string, task: number) => void = () => {};
  override start(id: string, task: number, place: MachineInfo): void {
    super.start(id, task, place);
    this.onStart(id, task);
  }
}

interface DirectBody {
  orders: { verb: string }[];
}

/**
 * One worker, the leader that it reports to, and the log between them, on virtual time. A test says what
 * becomes of each direct call that carries a start; each start on the worker is held against the log.
 */
export class OneWorker {
  readonly time = new VirtualTime();
  readonly state = new ClusterState();
  readonly checker: StartsChecker;
  readonly worker: FakeWorker;
  readonly machine = PLACE.id as MachineId;
  /** Starts of attempts whose end is in the log already: each breaks `ran_twice` or `ran_cancelled`. */
  readonly violations: string[] = [];
  /** Fates of the next direct calls with a start, in order; what comes after them is prompt. */
  fates: CallFate[] = [];
  /** Direct calls with a start that were sent. */
  startsSent = 0;
  /** Until then the worker's reports are lost. */
  private mutedUntil = 0;
  /** Until then answers to direct calls are lost. */
  private silentUntil = 0;
  /** Until then answers to reports are lost. */
  private deafUntil = 0;
  /** The next report arrives again after so long; 0: it does not. */
  private copyAfterMs = 0;
  private hungUntil = 0;
  private term = 1;
  private jobs = 0;
  private leader: WorkersActor;

  constructor() {
    this.checker = new StartsChecker(() => this.time.now, [], [box], 45_000);
    this.checker.onStart = (job, task) => this.checkStart(job, task);
    this.leader = this.lead();
    write(this.state, [
      { e: 'types', types: [box] },
      { e: 'up', m: this.machine, addr: 'vm-1:1', type: 'box', zone: 'a', spot: false, s: 1 as never },
    ]);
    const settings = { report_s: REPORT_PERIOD_S, lease_s: 16, gang_wait_s: 30, gang_peer_s: 5 };
    this.worker = new FakeWorker(PLACE, 'vm-1:1', this.reports(), {
      ...{ time: this.time, random: () => 0.5, checker: this.checker, settings, failing: new Set<string>() },
      nodes: [{ name: 'n0', address: 'n0:80' }],
      type: () => box,
      runMs: (job) => job.reckon_s * 1000,
      workers: new Map(),
    });
    this.tick();
  }

  /** A leader that has heard its worker, and a job of four tasks. */
  static async withRunningJob(runSeconds = 1000): Promise<OneWorker> {
    const one = new OneWorker();
    one.submit(runSeconds);
    await one.time.run(6000);
    return one;
  }

  get job(): JobId {
    return `wk-${this.jobs}` as JobId;
  }

  submit(runSeconds: number): void {
    this.jobs++;
    const job: JobOnWire = {
      ...{ name_id: this.job, duty: 'any', desk: 'red', shape: 'array', urgency: 'standard', shifts: TASKS },
      ...{ cpus: 1, accelerators: 0, mem_gb: 1, kit: 'img', image_gb: 0, breeds: null, yard: null },
      ...{ together: false, spread: false, loaners: true, reckon_s: runSeconds, waymark_s: 0, stow_s: 0 },
      due_s: null,
    };
    this.checker.submitted(job);
    const read = readJob(job);
    if ('error' in read) throw new Error(read.error);
    write(this.state, [{ e: 'job', spec: read.spec }]);
  }

  /** The leader decides: written, applied, and told to the worker. */
  appendDecision(entry: LogEntry): void {
    if (entry.e === 'withdraw') this.leader.tell({ kind: 'cancelling', job: entry.job, isUnderWay: true });
    this.append(this.leader, {
      entries: [entry],
      onSettled: (ok) => {
        if (entry.e === 'withdraw')
          this.leader.tell({ kind: 'cancelling', job: entry.job, isUnderWay: false });
        if (ok) this.sendCommands();
      },
    });
  }

  /** Starts a waiting task of the latest job on the worker, if there is one. */
  start(): void {
    const job = this.state.jobs.get(this.job);
    const next = job && !job.withdrawn ? waitingTasks(job, 1)[0] : undefined;
    if (next) this.appendDecision({ e: 'start', job: this.job, p: [[next[0], next[1], this.machine]] });
  }

  /** Stops what runs of the latest job, as for a preemption. */
  stop(): void {
    const tasks = [...(this.state.jobs.get(this.job)?.live.keys() ?? [])];
    if (tasks.length > 0)
      this.appendDecision({ e: 'stop', job: this.job, p: tasks, grace: 0, why: 'preempted' });
  }

  cancel(): void {
    if (this.state.jobs.has(this.job)) this.appendDecision({ e: 'withdraw', job: this.job });
  }

  /** What the leader would tell the worker now goes out directly. */
  sendCommands(): void {
    this.leader.tell({ kind: 'commandsDue', machines: [this.machine] });
  }

  /** Tasks that run on the worker complete. */
  completeTasks(): void {
    for (const task of this.worker.tasks.values())
      if (task.standing === 'running') this.worker.exit(task, 'done', true);
  }

  changeLeader(): void {
    this.leader.stop();
    this.term++;
    this.leader = this.lead();
  }

  /** The worker's reports are lost. */
  dropReports(ms: number): void {
    this.mutedUntil = this.time.now + ms;
  }

  /** Nothing that the worker sends gets through, reports and answers alike. */
  dropAllFromWorker(ms: number): void {
    this.dropReports(ms);
    this.silentUntil = this.time.now + ms;
  }

  /** The worker's reports arrive; no answer to them gets back. */
  dropReportResponses(ms: number): void {
    this.deafUntil = this.time.now + ms;
  }

  /** A copy of the next report arrives again, at whoever leads then. */
  duplicateNextReport(afterMs: number): void {
    this.copyAfterMs = afterMs;
  }

  /** Tasks on the worker that the log does not have there: in quiet times there are none. */
  strayTasks(): string[] {
    const onWorker = [...this.worker.tasks.values()].filter((task) => task.standing !== 'ended');
    return onWorker
      .filter((task) => {
        const live = this.state.jobs.get(task.job.name_id as JobId)?.live.get(task.task);
        return live?.attempt !== task.attempt;
      })
      .map((task) => `${task.job.name_id}/${task.task} attempt ${task.attempt} stands, though it has ended`);
  }

  /** The machine stands still; what reaches it waits. */
  hang(ms: number): void {
    this.hungUntil = this.time.now + ms;
    this.worker.hang(ms);
  }

  statistics(): WorkerStatistics {
    return this.leader.statistics();
  }

  private lead(): WorkersActor {
    const leader: WorkersActor = createWorkersActor({
      state: this.state,
      time: this.time,
      call: this.directCalls(),
      append: (append) => this.append(leader, append),
      term: this.term,
    });
    return leader;
  }

  private tick(): void {
    this.time.after(TICK_MS, () => this.tick());
    this.leader.tell({ kind: 'tick' });
  }

  /** A write takes a while; that of a leader that was deposed meanwhile is refused. */
  private append(by: WorkersActor, append: AppendRequest): void {
    this.time.after(WRITE_MS, () => {
      if (by !== this.leader) return append.onSettled?.(false);
      write(this.state, append.entries);
      append.onSettled?.(true);
    });
  }

  private checkStart(job: string, task: number): void {
    const started = [...this.worker.tasks.values()].find(
      (t) => t.job.name_id === job && t.task === task && t.standing === 'fetching',
    );
    const live = this.state.jobs.get(job as JobId)?.live.get(task);
    if (live && live.attempt === started?.attempt) return;
    const seconds = (this.time.now / 1000).toFixed(1);
    this.violations.push(`${job}/${task} attempt ${started?.attempt} starts at ${seconds} s, after its end`);
  }

  private reports(): HttpCall {
    return (_address, _method, _path, body, timeoutMs) =>
      new Promise((resolve) => {
        this.time.after(timeoutMs, () => resolve(null));
        this.time.after(ANSWER_MS, () => {
          if (this.time.now < this.mutedUntil) return;
          this.answerReport(body, (answer) => {
            if (this.time.now >= this.deafUntil) resolve(answer);
          });
          if (this.copyAfterMs > 0)
            this.time.after(this.copyAfterMs, () => this.answerReport(body, () => {}));
          this.copyAfterMs = 0;
        });
      });
  }

  private answerReport(body: unknown, resolve: (answer: HttpResponse) => void): void {
    const report = readReport(JSON.parse(JSON.stringify(body)));
    const term = this.term as Term;
    this.leader.tell({
      kind: 'report',
      report: report!,
      reply: (answer) =>
        resolve(
          answer
            ? { status: 200, body: writeReportAnswer(term, answer.fence, answer.commands) }
            : { status: 421, body: writeRedirect(null) },
        ),
    });
  }

  private directCalls(): HttpCall {
    return (_address, _method, path, body, timeoutMs) =>
      new Promise((resolve) => {
        const fate = this.fateOf(body as DirectBody);
        this.time.after(timeoutMs, () => resolve(null));
        if (fate.garbled) this.time.after(ANSWER_MS, () => resolve({ status: 200, body: undefined }));
        this.time.after(fate.deliveredAfterMs, () => this.deliver(path, body, fate.answered, resolve));
      });
  }

  private fateOf(body: DirectBody): CallFate {
    if (!body.orders.some((order) => order.verb === 'launch')) return PROMPT;
    this.startsSent++;
    return this.fates.shift() ?? PROMPT;
  }

  private deliver(
    path: string,
    body: unknown,
    answered: boolean,
    resolve: (answer: HttpResponse | null) => void,
  ): void {
    if (this.hungUntil > this.time.now)
      return void this.time.after(this.hungUntil - this.time.now, () =>
        this.deliver(path, body, answered, resolve),
      );
    const answer = this.worker.handle(path, JSON.parse(JSON.stringify(body)));
    if (!answered || this.time.now < this.silentUntil) return;
    this.time.after(ANSWER_MS, () => resolve(JSON.parse(JSON.stringify(answer)) as HttpResponse));
  }
}
