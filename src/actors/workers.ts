/**
 * Hears the workers of one leader, and tells them what the log says. Commands follow from committed state and a
 * worker's own last report; they travel in the answer to its next report, and in a direct call before that.
 */
import { attemptKey, commandsForWorker, hasCancelledTasks, stopsForCancelledJobs } from '../core/recovery.js';
import { isAvailable, type Job, type TaskAttempt, type Machine } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import type { Command, Fence, JobId, MachineId, Term, WorkerReport } from '../core/types.js';
import type { AttemptKey } from '../core/unsettled-calls.js';
import type { Clock } from '../io/clock.js';
import type { HttpResponse, HttpCall } from '../io/http-client.js';
import type { Logger } from '../io/logger.js';
import { readReport } from '../wire/reports.js';
import { Actor } from './actor.js';
import { DirectCalls } from './direct-calls.js';
import { FirstReports } from './first-reports.js';
import { Introductions } from './introductions.js';
import type { LogActor } from './log.js';
import { StallMonitor } from './node-pace.js';
import { PendingFacts } from './pending-facts.js';
import { ReportIntake } from './report-intake.js';
import { TaskProgress } from './task-progress.js';
import type { WorkerView } from './worker-view.js';

/** What a report is answered with: commands, and the fence that they go under. */
export interface FencedCommands {
  fence: Fence;
  commands: Command[];
}

export type WorkerMessage =
  /** `reply` gets null when this node may not answer: the worker is to go elsewhere. */
  | { kind: 'report'; report: WorkerReport; reply: (answer: FencedCommands | null) => void }
  /** A record was written: its commands may leave. */
  | { kind: 'commandsDue'; machines: Iterable<MachineId> }
  /** A cancellation is on its way into a record (or no more): no start of the job leaves meanwhile. */
  | { kind: 'cancelling'; job: JobId; isUnderWay: boolean }
  | { kind: 'tick' };

export interface WorkersOptions {
  state: ClusterState;
  log: LogActor;
  call: HttpCall;
  clock: Clock;
  logger: Logger;
  term: Term;
  /** Seconds between two reports of a worker, as the settings have it. */
  reportPeriodS: number;
  /** Direct calls open at once. */
  maxOpenCalls: number;
  /** Whether the lock is certain to be held. */
  isCertain: () => boolean;
  /** Whether reports may be answered without a certain lock. */
  mayAnswerUncertain: () => boolean;
  /** A fact of a report was written. */
  onFactWritten: () => void;
  /** A worker has seen a higher term than ours. */
  onHigherTerm: (term: Term) => void;
}

/** Figures for operators, counted since this node began to lead. */
export interface WorkerStatistics {
  directCalls: { sent: number; answered: number; givenUp: number; open: number };
  /** Calls with starts that may still be carried out: open ones, and given up ones that are not yet void. */
  unsettledCalls: number;
  fencesRaised: number;
}

/** Unsettled calls with starts to one worker; past it starts travel in the answers to its reports only. */
const MOST_UNSETTLED_CALLS = 16;
const startsOf = (orders: readonly Command[]): AttemptKey[] =>
  orders.filter((order) => order.op === 'start').map((o) => attemptKey(o.job, o.task, o.attempt));

/** Only the answer to a report forgets, since a direct call may be carried out late. */
const mayGoDirectly = (order: Command, view: WorkerView): boolean =>
  order.op === 'stop' || (order.op === 'start' && view.unsettledCalls.size < MOST_UNSETTLED_CALLS);

export class WorkersActor extends Actor<WorkerMessage> {
  readonly progress: TaskProgress;
  private readonly state: ClusterState;
  /** What was heard of each worker. */
  readonly intake: ReportIntake;
  private readonly pace: StallMonitor;
  private readonly firstReports: FirstReports;
  private readonly facts: PendingFacts;
  private readonly calls: DirectCalls;
  private readonly introductions: Introductions;
  /** Machines to which a call with commands is open, and those that have more to be told after it. */
  private readonly inCall = new Set<MachineId>();
  private readonly callAgain = new Set<MachineId>();
  /** Jobs whose cancellation is being written. */
  private readonly cancelling = new Set<JobId>();
  private fencesRaised = 0;

  constructor(private readonly options: WorkersOptions) {
    super();
    const { state, log, clock, logger, term } = options;
    this.state = state;
    this.progress = new TaskProgress(state, clock);
    this.pace = new StallMonitor(clock, logger);
    this.facts = new PendingFacts(state, log, options.onFactWritten);
    const { pace, progress, facts } = this;
    this.intake = new ReportIntake({ ...options, pace, progress, facts });
    this.firstReports = new FirstReports(state, this.intake.views, pace, clock, options.reportPeriodS);
    this.introductions = new Introductions(clock);
    this.calls = new DirectCalls({
      ...{ call: options.call, clock, logger, term, mostOpen: options.maxOpenCalls },
      onFree: (machine) => this.callWithCommands(machine),
    });
  }

  /** Every live worker has reported to us, or one report period has passed. */
  isReconciled(): boolean {
    return this.firstReports.areIn();
  }

  /** Whether a task's end was shown, though it may not be in a record yet. */
  hasReportedEnd(live: TaskAttempt): boolean {
    return this.facts.hasEnd(live);
  }

  /** How many tasks of a job run. */
  countRunningTasks(job: Job): number {
    return this.progress.running(job);
  }

  /** Whether more is to be done here than the processor does in time. */
  isBehind(): boolean {
    return this.pace.isBehind();
  }

  statistics(): WorkerStatistics {
    return {
      directCalls: { ...this.calls.totals, open: this.calls.openNow },
      unsettledCalls: this.intake.countUnsettledCalls(),
      fencesRaised: this.fencesRaised,
    };
  }

  protected receive(message: WorkerMessage): void {
    this.pace.noteActivity();
    if (message.kind === 'report') message.reply(this.answerReport(message.report));
    else if (message.kind === 'commandsDue') for (const id of message.machines) this.callWithCommands(id);
    else if (message.kind === 'tick') this.tick();
    else if (message.isUnderWay) this.cancelling.add(message.job);
    else this.cancelling.delete(message.job);
  }

  override stop(): void {
    super.stop();
    this.calls.stop();
  }

  private answerReport(report: WorkerReport): FencedCommands | null {
    const isCertain = this.options.isCertain();
    const quiet = isCertain ? this.intake.unchanged(report) : null;
    if (quiet) {
      this.intake.repeated(quiet, report);
      return { fence: quiet.fence, commands: [] };
    }
    const view = this.intake.take(report, true);
    if (!view) return null;
    if (!isCertain && !this.options.mayAnswerUncertain()) return null;
    const machine = this.state.machines.get(report.machine);
    // Guards ran_cancelled: whatever renews a lease carries the stops of cancelled jobs.
    if (!isCertain || view.report !== report)
      return {
        fence: view.fence,
        commands: machine ? stopsForCancelledJobs(this.state, machine, view.report) : [],
      };
    const orders = this.commandsFor(view);
    this.calls.waitNoMore(report.machine);
    for (const key of startsOf(orders)) view.startedInAnswer.set(key, report.seq);
    view.quietAt = machine && this.callsForNothing(view, orders) ? machine.changes : null;
    if (orders.length > 0) this.logAnswer(view, orders);
    return { fence: view.fence, commands: orders };
  }

  /** Whether a worker's next report needs no look as long as it repeats the last and nothing changes. */
  private callsForNothing(view: WorkerView, orders: readonly Command[]): boolean {
    const isSettled = view.unsettledCalls.size === 0 && view.startedInAnswer.size === 0;
    const fenceIsShown = view.fence <= view.report.fence;
    return orders.length === 0 && isSettled && fenceIsShown && view.knowsTerm && this.isReconciled();
  }

  private logAnswer(view: WorkerView, orders: Command[]): void {
    const { machine, session, seq } = view.report;
    const unsettled = view.unsettledCalls.size;
    this.options.logger.debug(
      { machine, session, seq, fence: view.fence, unsettled, orders },
      'report answered',
    );
  }

  private commandsFor(view: WorkerView): Command[] {
    const {
      commands: orders,
      undeliveredStarts: unsent,
      fenceToExceed: above,
    } = commandsForWorker(this.state, view, this.isReconciled());
    if (above !== null) this.raiseFence(view, above);
    if (unsent.length > 0 && view.knowsTerm) this.facts.tellNeverStarted(unsent);
    if (this.cancelling.size === 0) return orders;
    return orders.filter((order) => order.op !== 'start' || !this.cancelling.has(order.job));
  }

  /**
   * Guards ran_twice and ran_cancelled: a call that got no answer may be carried out much later. What is sent
   * from now on goes under a higher fence, so the worker refuses the late call once it has heard anything
   * newer, and its next report settles the call.
   */
  private raiseFence(view: WorkerView, above: Fence): void {
    if (above < view.fence) return;
    view.fence = (above + 1) as Fence;
    this.fencesRaised++;
    const { machine } = view.report;
    this.options.logger.debug(
      { machine, fence: view.fence, unsettled: view.unsettledCalls.size },
      'fence raised',
    );
  }

  /** Calls a worker directly if it is due commands that may leave now. */
  private callWithCommands(id: MachineId): void {
    const machine = this.state.machines.get(id);
    if (!machine?.addr || this.stopped) return;
    if (this.inCall.has(id)) return void this.callAgain.add(id);
    const view = this.intake.views.get(id);
    const isUrgent = hasCancelledTasks(machine);
    const mayTellAll = this.options.isCertain() && !machine.drop && view !== undefined;
    if (!mayTellAll && !isUrgent) return;
    // The answer to the machine's next report carries the same at a fraction of the cost.
    if (!isUrgent && this.pace.isBehind()) return;
    // Bounded however many machines a record touches: what is over it waits for a free call, or for
    // the worker's next report.
    if (!this.calls.isFree) return this.calls.wait(id, isUrgent);
    const orders = mayTellAll ? this.commandsFor(view).filter((order) => mayGoDirectly(order, view)) : [];
    if (isUrgent && orders.length === 0) {
      const report = view?.report.session === machine.session ? view.report : null;
      orders.push(...stopsForCancelledJobs(this.state, machine, report));
    }
    const hasFenceToShow = view?.knowsTerm && view.fence > view.report.fence;
    if (orders.length > 0 || hasFenceToShow) this.sendCommands(machine, view, orders);
  }

  private sendCommands(machine: Machine, view: WorkerView | undefined, orders: Command[]): void {
    const attempts = new Set(startsOf(orders));
    const fence = view?.fence ?? (0 as Fence);
    const session = view?.report.session ?? machine.session;
    this.inCall.add(machine.id);
    const call = { machine: machine.id, address: machine.addr, session, fence, commands: orders };
    const number = this.calls.send(call, (answer) => {
      // Guards against a worker that is never called again, whatever became of its session meanwhile.
      this.inCall.delete(machine.id);
      if (this.takeAnswer(machine, answer)) view?.unsettledCalls.answered(number);
      else if (view && attempts.size > 0) this.raiseFence(view, fence);
      if (this.callAgain.delete(machine.id)) this.callWithCommands(machine.id);
    });
    if (attempts.size > 0) view?.unsettledCalls.sent({ number, fence, attempts });
  }

  /** Takes the report that answers a direct call; false when the call may not have been dealt with. */
  private takeAnswer(machine: Machine, answer: HttpResponse | null): boolean {
    const wasDealtWith = answer?.status === 200 || answer?.status === 409;
    const report = wasDealtWith ? readReport(answer.body) : null;
    if (report?.machine !== machine.id) return false;
    this.intake.take(report, false);
    return true;
  }

  private tick(): void {
    this.pace.tick();
    this.introductions.keepOnly(this.state.machines);
    this.intake.forgetGone();
    // Guards ran_cancelled: stops of cancelled jobs go out again until a report shows the end, certain
    // lock or not. They carry the term, so a former leader's answers hold the task no longer.
    for (const machine of this.state.machines.values())
      if (hasCancelledTasks(machine)) this.callWithCommands(machine.id);
    // Most come by themselves within a report's time, when a new leader has the most to do.
    if (this.firstReports.periodIsOver()) this.introduce();
  }

  /** Workers still held by a former leader learn of the new term, and drop that one's answers. */
  private introduce(): void {
    for (const machine of this.state.machines.values()) {
      if (!this.calls.isFree || this.pace.isBehind()) return;
      const { id, addr: address, session } = machine;
      const view = this.intake.views.get(id);
      if (!isAvailable(machine) || !address || view?.knowsTerm || this.inCall.has(id)) continue;
      if (!this.introductions.isDue(id)) continue;
      const call = { machine: id, address, session, fence: view?.fence ?? (0 as Fence), commands: [] };
      this.calls.send(call, (answer) => void this.takeAnswer(machine, answer));
    }
  }
}
