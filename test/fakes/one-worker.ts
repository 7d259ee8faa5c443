import type { AppendRequest } from '../../src/actors/record-batches.js';
import type { WorkerStatistics } from '../../src/actors/worker-messages.js';
import type { WorkersActor } from '../../src/actors/workers.js';
import { ClusterState } from '../../src/core/state.js';
import { waitingTasks } from '../../src/core/waiting-tasks.js';
import type { LogEntry, JobId, MachineId, Term } from '../../src/core/types.js';
import type { HttpResponse, HttpCall } from '../../src/io/http-client.js';
import { readReport } from '../../src/wire/reports.js';
import { readJob, writeRedirect, writeReportAnswer } from '../../src/wire/schemas.js';
import { Checker, type JobOnWire, type MachineInfo } from './checker.js';
import { VirtualTime } from './clock.js';
import { createWorkersActor, REPORT_PERIOD_S } from './workers-actor.js';
import { FakeWorker } from './worker.js';
import { box, write } from './world.js';

/** When a direct call reaches the worker, and whether its answer gets back to the leader. */
export interface CallFate {
  deliveredAfterMs: number;
  answered: boolean;
  /** An intermediary answers 200 at once, with a body that is not a report. */
  garbled?: boolean;
  /** When copies of the call reach the worker again after it was carried out and answered. */
  copiesAfterMs?: readonly number[];
}

const PROMPT_CALL: CallFate = { deliveredAfterMs: 2, answered: true };
const NETWORK_DELAY_MS = 2;
const LOG_WRITE_MS = 15;
const TICK_INTERVAL_MS = 1000;
const TASKS_PER_JOB = 4;
const MACHINE: MachineInfo = { id: 'vm-1', type: 'box', zone: 'a', spot: false };

/** Calls `onStart` for each start of a task on the worker. */
class StartsChecker extends Checker {
  onStart: (job: string, task: number) => void = () => {};
  override start(id: string, task: number, machine: MachineInfo): void {
    super.start(id, task, machine);
    this.onStart(id, task);
  }
}

/** Body of a direct call, in the terms of the protocol. */
interface DirectBody {
  orders: { verb: string }[];
}

/**
 * One worker, the leader that it reports to, and the log, in virtual time. A test determines the delay and
 * the loss of each direct call that carries a start; each start on the worker is checked against the log.
 */
export class OneWorker {
  readonly time = new VirtualTime();
  readonly state = new ClusterState();
  readonly checker: StartsChecker;
  readonly worker: FakeWorker;
  readonly machine = MACHINE.id as MachineId;
  /** Starts of attempts whose end is already in the log: each would violate ran_twice or ran_cancelled. */
  readonly violations: string[] = [];
  /** Delays and losses of the next direct calls with a start, in order; later calls are prompt. */
  fates: CallFate[] = [];
  /** When copies of each direct call that has no fate of its own reach the worker after it was carried out. */
  copiesAfterMs: readonly number[] = [];
  /** Number of direct calls with a start that were sent. */
  startsSent = 0;
  /** Number of direct calls, copies excluded, that the worker refused. */
  callsRefused = 0;
  /** Number of copies of direct calls that reached the worker. */
  copiesDelivered = 0;
  /** Until then the worker's reports are lost. */
  private reportsDroppedUntil = 0;
  /** Until then answers to direct calls are lost. */
  private callAnswersDroppedUntil = 0;
  /** Until then answers to reports are lost. */
  private reportAnswersDroppedUntil = 0;
  /** Delay of a duplicate of the next report; 0: none. */
  private duplicateAfterMs = 0;
  /** Until then the machine hangs, and direct calls wait. */
  private hungUntil = 0;
  private term = 1;
  /** Number of jobs submitted. */
  private jobCount = 0;
  private leader: WorkersActor;

  constructor() {
    this.checker = new StartsChecker(() => this.time.now, [], [box], 45_000);
    this.checker.onStart = (job, task) => this.checkStart(job, task);
    this.leader = this.createLeader();
    write(this.state, [
      { e: 'types', types: [box] },
      { e: 'up', m: this.machine, addr: 'vm-1:1', type: 'box', zone: 'a', spot: false, s: 1 as never },
    ]);
    const settings = { report_s: REPORT_PERIOD_S, lease_s: 16, gang_wait_s: 30, gang_peer_s: 5 };
    this.worker = new FakeWorker(MACHINE, 'vm-1:1', this.reportCalls(), {
      ...{ time: this.time, random: () => 0.5, checker: this.checker, settings, failing: new Set<string>() },
      nodes: [{ name: 'n0', address: 'n0:80' }],
      type: () => box,
      runMs: (job) => job.reckon_s * 1000,
      workers: new Map(),
    });
    this.tick();
  }

  /** A leader that has received its worker's report, and a job of four tasks. */
  static async withRunningJob(runSeconds = 1000): Promise<OneWorker> {
    const fixture = new OneWorker();
    fixture.submit(runSeconds);
    await fixture.time.run(6000);
    return fixture;
  }

  /** The job submitted last. */
  get job(): JobId {
    return `wk-${this.jobCount}` as JobId;
  }

  /** Submits a job whose tasks run for so long. */
  submit(runSeconds: number): void {
    this.jobCount++;
    const job: JobOnWire = {
      ...{
        name_id: this.job,
        duty: 'any',
        desk: 'red',
        shape: 'array',
        urgency: 'standard',
        shifts: TASKS_PER_JOB,
      },
      ...{ cpus: 1, accelerators: 0, mem_gb: 1, kit: 'img', image_gb: 0, breeds: null, yard: null },
      ...{ together: false, spread: false, loaners: true, reckon_s: runSeconds, waymark_s: 0, stow_s: 0 },
      due_s: null,
    };
    this.checker.submitted(job);
    const parsed = readJob(job);
    if ('error' in parsed) throw new Error(parsed.error);
    write(this.state, [{ e: 'job', spec: parsed.spec }]);
  }

  /** Appends a decision of the leader to the log, applies it and sends its commands to the worker. */
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

  /** Starts waiting tasks of the job submitted last, if there are any. */
  start(count = 1): void {
    const job = this.state.jobs.get(this.job);
    const waiting = job && !job.withdrawn ? waitingTasks(job, count) : [];
    if (waiting.length === 0) return;
    const starts = waiting.map(([task, attempt]): [number, number, MachineId] => [
      task,
      attempt,
      this.machine,
    ]);
    this.appendDecision({ e: 'start', job: this.job, p: starts });
  }

  /** Stops the tasks of the job submitted last, as for a preemption. */
  stop(): void {
    const tasks = [...(this.state.jobs.get(this.job)?.live.keys() ?? [])];
    if (tasks.length > 0)
      this.appendDecision({ e: 'stop', job: this.job, p: tasks, grace: 0, why: 'preempted' });
  }

  /** Cancels the job submitted last. */
  cancel(): void {
    if (this.state.jobs.has(this.job)) this.appendDecision({ e: 'withdraw', job: this.job });
  }

  /** Sends the commands that are due for the worker in a direct call. */
  sendCommands(): void {
    this.leader.tell({ kind: 'commandsDue', machines: [this.machine] });
  }

  /** Completes all tasks that run on the worker. */
  completeTasks(): void {
    for (const task of this.worker.tasks.values())
      if (task.standing === 'running') this.worker.exit(task, 'done', true);
  }

  /** Ends all tasks that run on the worker with an error. */
  failTasks(): void {
    for (const task of this.worker.tasks.values())
      if (task.standing === 'running') this.worker.exit(task, 'error', true);
  }

  /** From now on copies of each direct call reach the worker so long after it was carried out. */
  copyCalls(afterMs: readonly number[]): void {
    this.copiesAfterMs = afterMs;
  }

  /** Replaces the leader by one with the next term. */
  changeLeader(): void {
    this.leader.stop();
    this.term++;
    this.leader = this.createLeader();
  }

  /** Drops the worker's reports for a while. */
  dropReports(ms: number): void {
    this.reportsDroppedUntil = this.time.now + ms;
  }

  /** Drops all that the worker sends, reports and answers alike, for a while. */
  dropAllFromWorker(ms: number): void {
    this.dropReports(ms);
    this.callAnswersDroppedUntil = this.time.now + ms;
  }

  /** Drops the answers to the worker's reports for a while; the reports arrive. */
  dropReportResponses(ms: number): void {
    this.reportAnswersDroppedUntil = this.time.now + ms;
  }

  /** Delivers a duplicate of the next report later, to the leader of that time. */
  duplicateNextReport(afterMs: number): void {
    this.duplicateAfterMs = afterMs;
  }

  /** Tasks on the worker without a live attempt in the log; none may remain once all calls have arrived. */
  strayTasks(): string[] {
    const onWorker = [...this.worker.tasks.values()].filter((task) => task.standing !== 'ended');
    return onWorker
      .filter((task) => {
        const liveAttempt = this.state.jobs.get(task.job.name_id as JobId)?.live.get(task.task);
        return liveAttempt?.attempt !== task.attempt;
      })
      .map(
        (task) =>
          `${task.job.name_id}/${task.task} attempt ${task.attempt} is still on the worker after its end`,
      );
  }

  /** Hangs the machine for a while: what arrives meanwhile waits. */
  hang(ms: number): void {
    this.hungUntil = this.time.now + ms;
    this.worker.hang(ms);
  }

  statistics(): WorkerStatistics {
    return this.leader.statistics();
  }

  private createLeader(): WorkersActor {
    const leader: WorkersActor = createWorkersActor({
      state: this.state,
      time: this.time,
      call: this.directCalls(),
      append: (request) => this.append(leader, request),
      term: this.term,
    });
    return leader;
  }

  private tick(): void {
    this.time.after(TICK_INTERVAL_MS, () => this.tick());
    this.leader.tell({ kind: 'tick' });
  }

  /** Writes after a delay; the write of a leader that was replaced meanwhile is refused. */
  private append(writer: WorkersActor, request: AppendRequest): void {
    this.time.after(LOG_WRITE_MS, () => {
      if (writer !== this.leader) return request.onSettled?.(false);
      write(this.state, request.entries);
      request.onSettled?.(true);
    });
  }

  /** Records a violation if the attempt that starts is not the live one in the log. */
  private checkStart(job: string, task: number): void {
    const started = [...this.worker.tasks.values()].find(
      (candidate) =>
        candidate.job.name_id === job && candidate.task === task && candidate.standing === 'fetching',
    );
    const liveAttempt = this.state.jobs.get(job as JobId)?.live.get(task);
    if (liveAttempt && liveAttempt.attempt === started?.attempt) return;
    const seconds = (this.time.now / 1000).toFixed(1);
    this.violations.push(
      `${job}/${task} attempt ${started?.attempt} starts at ${seconds} s, after its recorded end`,
    );
  }

  private reportCalls(): HttpCall {
    return (_address, _method, _path, body, timeoutMs) =>
      new Promise((resolve) => {
        this.time.after(timeoutMs, () => resolve(null));
        this.time.after(NETWORK_DELAY_MS, () => {
          if (this.time.now < this.reportsDroppedUntil) return;
          this.answerReport(body, (answer) => {
            if (this.time.now >= this.reportAnswersDroppedUntil) resolve(answer);
          });
          if (this.duplicateAfterMs > 0)
            this.time.after(this.duplicateAfterMs, () => this.answerReport(body, () => {}));
          this.duplicateAfterMs = 0;
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
        if (fate.garbled) this.time.after(NETWORK_DELAY_MS, () => resolve({ status: 200, body: undefined }));
        this.time.after(fate.deliveredAfterMs, () =>
          this.whenResumed(() => this.deliver(path, body, fate, resolve)),
        );
      });
  }

  private fateOf(body: DirectBody): CallFate {
    const prompt = { ...PROMPT_CALL, copiesAfterMs: this.copiesAfterMs };
    if (!body.orders.some((order) => order.verb === 'launch')) return prompt;
    this.startsSent++;
    return this.fates.shift() ?? prompt;
  }

  private deliver(
    path: string,
    body: unknown,
    fate: CallFate,
    resolve: (answer: HttpResponse | null) => void,
  ): void {
    const answer = this.worker.handle(path, JSON.parse(JSON.stringify(body)));
    if (answer?.status === 409) this.callsRefused++;
    for (const ms of fate.copiesAfterMs ?? [])
      this.time.after(ms, () => this.whenResumed(() => this.deliverCopy(path, body)));
    if (!fate.answered || this.time.now < this.callAnswersDroppedUntil) return;
    this.time.after(NETWORK_DELAY_MS, () => resolve(JSON.parse(JSON.stringify(answer)) as HttpResponse));
  }

  /** Runs at once, or when the machine resumes. */
  private whenResumed(run: () => void): void {
    if (this.hungUntil > this.time.now)
      this.time.after(this.hungUntil - this.time.now, () => this.whenResumed(run));
    else run();
  }

  /** Delivers a copy of a call; nobody waits for the answer. */
  private deliverCopy(path: string, body: unknown): void {
    this.copiesDelivered++;
    this.worker.handle(path, JSON.parse(JSON.stringify(body)));
  }
}
