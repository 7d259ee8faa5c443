/**
 * Takes the reports of one leader's workers and sends them commands. Commands follow from committed state and
 * the worker's own last report. They are sent in the answer to its next report and, to save time, in a direct
 * call before that.
 */
import {
  attemptKey,
  commandsForWorker,
  hasCancelledTasks,
  stopsForCancelledJobs,
  type UnsettledCancellations,
  type WorkerCommands,
} from '../core/worker-commands.js';
import { reasonFor } from '../core/command-reasons.js';
import { HIGHEST_FENCE_FOR_STARTS } from '../core/fences.js';
import { isAvailable, type Job, type TaskAttempt, type Machine } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import type { Command, Fence, JobId, MachineId, WorkerReport } from '../core/types.js';
import type { AttemptKey } from '../core/unsettled-calls.js';
import type { HttpResponse } from '../io/http-client.js';
import { readReport } from '../wire/reports.js';
import { Actor } from './actor.js';
import { DirectCalls } from './direct-calls.js';
import { FirstReports } from './first-reports.js';
import { TermAnnouncements } from './term-announcements.js';
import { StallMonitor } from './stall-monitor.js';
import { PendingFacts } from './pending-facts.js';
import { ReportIntake } from './report-intake.js';
import { TaskProgress } from './task-progress.js';
import type { FencedCommands, WorkerMessage, WorkersOptions, WorkerStatistics } from './worker-messages.js';
import { WorkerFences } from './worker-fences.js';
import type { WorkerView } from './worker-view.js';

/** Above this many unsettled calls to a worker, starts are sent only in the answers to its reports. */
const MAX_UNSETTLED_CALLS = 16;
const startedAttempts = (commands: readonly Command[]): AttemptKey[] =>
  commands.filter((c) => c.op === 'start').map((c) => attemptKey(c.job, c.task, c.attempt));

const mayStartDirectly = (view: WorkerView): boolean =>
  view.unsettledCalls.unansweredCount < MAX_UNSETTLED_CALLS && view.fence <= HIGHEST_FENCE_FOR_STARTS;

/** Only answers to reports carry `forget`, since a direct call may be carried out late. */
const maySendDirectly = (command: Command, view: WorkerView): boolean =>
  command.op === 'stop' || (command.op === 'start' && mayStartDirectly(view));

/** Communicates with the workers of one leader during one term. */
export class WorkersActor extends Actor<WorkerMessage> {
  readonly progress: TaskProgress;
  private readonly state: ClusterState;
  /** What is known of each worker from its reports. */
  readonly intake: ReportIntake;
  private readonly stallMonitor: StallMonitor;
  private readonly firstReports: FirstReports;
  private readonly pendingFacts: PendingFacts;
  private readonly directCalls: DirectCalls;
  private readonly termAnnouncements: TermAnnouncements;
  /** Machines with an open call that carries commands, and those to be called again after it. */
  private readonly machinesInCall = new Set<MachineId>();
  private readonly machinesToCallAgain = new Set<MachineId>();
  /** Jobs whose cancellation is being written. */
  private readonly jobsBeingCancelled = new Set<JobId>();
  private readonly fences: WorkerFences;

  constructor(private readonly options: WorkersOptions) {
    super();
    const { state, log, clock, logger, term } = options;
    this.state = state;
    this.progress = new TaskProgress(state, clock);
    this.stallMonitor = new StallMonitor(clock, logger);
    this.pendingFacts = new PendingFacts(state, log, options.onFactWritten);
    const { stallMonitor: monitor, progress, pendingFacts } = this;
    this.intake = new ReportIntake({ ...options, stallMonitor: monitor, progress, pendingFacts });
    this.firstReports = new FirstReports(state, this.intake.views, monitor, clock, options.reportPeriodS);
    this.termAnnouncements = new TermAnnouncements(clock);
    this.fences = new WorkerFences(logger);
    this.directCalls = new DirectCalls({
      ...{ call: options.call, clock, logger, term, maxOpen: options.maxOpenCalls },
      onCallAvailable: (machine) => this.sendCommandsDirectly(machine),
    });
  }

  /** Whether each available worker has reported to this leader, or one report period has passed. */
  isReconciled(): boolean {
    return this.firstReports.areComplete();
  }

  /** Whether the end of an attempt, or a later session, was reported, even if no record holds it yet. */
  hasReportedEnd(attempt: TaskAttempt): boolean {
    const session = this.intake.views.get(attempt.machine.id)?.report.session ?? attempt.session;
    return session > attempt.session || this.pendingFacts.hasPendingEnd(attempt);
  }

  /** Jobs that users may have been told are cancelled although the log does not say so yet. */
  private get unsettledCancellations(): UnsettledCancellations {
    return this.options.log.unsettledCancellations;
  }

  /** Milliseconds since the take-over or the end of the last stall of this node. */
  get sinceStallMs(): number {
    this.stallMonitor.noteActivity();
    return this.options.clock.steady() - this.stallMonitor.observingSince;
  }

  /** Number of running tasks of a job. */
  countRunningTasks(job: Job): number {
    return this.progress.countRunning(job);
  }

  /** Whether this node has more work than its processor can handle in time. */
  isBehind(): boolean {
    return this.stallMonitor.isBehind();
  }

  statistics(): WorkerStatistics {
    return {
      directCalls: { ...this.directCalls.totals, open: this.directCalls.currentlyOpen },
      unsettledCalls: this.intake.countUnsettledCalls(),
      workersWithAnsweredStarts: this.intake.countWorkersWithAnsweredStarts(),
      fencesRaised: this.fences.totals.raisedForUnanswered,
      fencesRaisedToForget: this.fences.totals.raisedToForget,
      unsettledCancellations: this.unsettledCancellations.size,
    };
  }

  protected receive(message: WorkerMessage): void {
    this.stallMonitor.noteActivity();
    if (message.kind === 'report') message.reply(this.answerReport(message.report));
    else if (message.kind === 'commandsDue') for (const id of message.machines) this.sendCommandsDirectly(id);
    else if (message.kind === 'tick') this.tick();
    else if (message.isUnderWay) this.jobsBeingCancelled.add(message.job);
    else this.jobsBeingCancelled.delete(message.job);
  }

  override stop(): void {
    super.stop();
    this.directCalls.stop();
  }

  private answerReport(report: WorkerReport): FencedCommands | null {
    const isCertain = this.options.isCertain();
    const unsettled = this.unsettledCancellations;
    const machine = this.state.machines.get(report.machine);
    const mayNeedStops = unsettled.size > 0 && machine !== undefined && hasCancelledTasks(machine, unsettled);
    const unchanged = isCertain && !mayNeedStops ? this.intake.unchangedView(report) : null;
    if (unchanged) {
      this.intake.noteRepeated(unchanged, report);
      return { fence: unchanged.fence, commands: [] };
    }
    const view = this.intake.take(report, true);
    if (!view) return null;
    if (!isCertain && !this.options.mayAnswerWhileUncertain()) return null;
    // Upholds ran_cancelled: every answer that renews a lease carries the stops of cancelled jobs.
    if (!isCertain || view.report !== report)
      return {
        fence: view.fence,
        commands: machine ? stopsForCancelledJobs(this.state, machine, view.report, unsettled) : [],
      };
    const { commands, forgetAboveFence } = this.commandsFor(view);
    if (forgetAboveFence !== undefined) this.fences.invalidateAnswered(view, forgetAboveFence);
    this.directCalls.dequeue(report.machine);
    for (const key of startedAttempts(commands)) view.startedInAnswer.set(key, report.seq);
    view.settledAtChange = machine && this.needsNoCommands(view, commands) ? machine.changes : null;
    if (commands.length > 0) this.logAnswer(view, commands);
    return { fence: view.fence, commands };
  }

  /** Whether the next report needs no commands, as long as it repeats this one and nothing changes. */
  private needsNoCommands(view: WorkerView, commands: readonly Command[]): boolean {
    const isSettled = view.unsettledCalls.unansweredCount === 0 && view.startedInAnswer.size === 0;
    const isFenceReported = view.fence <= view.report.fence;
    return commands.length === 0 && isSettled && isFenceReported && view.hasSeenTerm && this.isReconciled();
  }

  private logAnswer(view: WorkerView, commands: Command[]): void {
    const { machine, session, seq } = view.report;
    const unsettled = view.unsettledCalls.unansweredCount;
    this.options.logger.debug(
      {
        machine,
        session,
        seq,
        fence: view.fence,
        unsettled,
        orders: commands,
        why: this.reasonsFor(commands),
      },
      'report answered',
    );
  }

  private reasonsFor(commands: readonly Command[]): string[] {
    return commands.map((command) => reasonFor(this.state, command, this.unsettledCancellations));
  }

  /** The commands that a worker is due. May raise its fence and record starts that were not delivered. */
  private commandsFor(view: WorkerView): Pick<WorkerCommands, 'commands' | 'forgetAboveFence'> {
    const { commands, undeliveredStarts, fenceToExceed, forgetAboveFence } = commandsForWorker(
      this.state,
      view,
      this.isReconciled(),
      this.unsettledCancellations,
    );
    if (fenceToExceed !== null) this.fences.invalidateUnanswered(view, fenceToExceed);
    if (undeliveredStarts.length > 0 && view.hasSeenTerm)
      this.pendingFacts.submitNeverStarted(undeliveredStarts);
    const isHeldBack = (command: Command): boolean =>
      command.op === 'start' && this.jobsBeingCancelled.has(command.job);
    const sendable = this.jobsBeingCancelled.size > 0 ? commands.filter((c) => !isHeldBack(c)) : commands;
    return { commands: sendable, forgetAboveFence };
  }

  /** Sends a worker the commands that may be sent now in a direct call, if there are any. */
  private sendCommandsDirectly(id: MachineId): void {
    const machine = this.state.machines.get(id);
    if (!machine?.addr || this.stopped) return;
    if (this.machinesInCall.has(id)) return void this.machinesToCallAgain.add(id);
    const view = this.intake.views.get(id);
    const unsettled = this.unsettledCancellations;
    const isUrgent = hasCancelledTasks(machine, unsettled);
    const maySendAll = this.options.isCertain() && !machine.drop && view !== undefined;
    if (!maySendAll && !isUrgent) return;
    // The answer to the machine's next report carries the same commands at a fraction of the cost.
    if (!isUrgent && this.stallMonitor.isBehind()) return;
    // The number of calls is limited, however many machines a record concerns. The others wait until a call
    // can be opened or their worker sends its next report.
    if (!this.directCalls.hasCapacity) return this.directCalls.enqueue(id, isUrgent);
    const due = maySendAll ? this.commandsFor(view).commands : [];
    const commands = view ? due.filter((command) => maySendDirectly(command, view)) : [];
    if (isUrgent && commands.length === 0) {
      const report = view?.report.session === machine.session ? view.report : null;
      commands.push(...stopsForCancelledJobs(this.state, machine, report, unsettled));
    }
    const hasCallToInvalidate = view?.hasSeenTerm && view.unsettledCalls.unansweredCount > 0;
    const hasNewFence = hasCallToInvalidate && view.fence > view.report.fence;
    if (commands.length > 0 || hasNewFence) this.sendCall(machine, view, commands);
  }

  private sendCall(machine: Machine, view: WorkerView | undefined, commands: Command[]): void {
    const attempts = new Set(startedAttempts(commands));
    const fence = view?.fence ?? (0 as Fence);
    const session = view?.report.session ?? machine.session;
    this.machinesInCall.add(machine.id);
    const why = this.reasonsFor(commands);
    const call = { machine: machine.id, address: machine.addr, session, fence, commands, why };
    const number = this.directCalls.send(call, (response) => {
      // Removed whatever became of the session; otherwise the worker would never be called again.
      this.machinesInCall.delete(machine.id);
      if (this.takeResponse(machine, response)) view?.unsettledCalls.answered(number);
      else if (view && attempts.size > 0) this.fences.invalidateUnanswered(view, fence);
      if (this.machinesToCallAgain.delete(machine.id)) this.sendCommandsDirectly(machine.id);
    });
    if (attempts.size > 0) view?.unsettledCalls.sent({ number, fence, attempts });
  }

  /** Takes the report in the response to a direct call; false if the worker may not have handled the call. */
  private takeResponse(machine: Machine, response: HttpResponse | null): boolean {
    const wasHandled = response?.status === 200 || response?.status === 409;
    const report = wasHandled ? readReport(response.body) : null;
    if (report?.machine !== machine.id) return false;
    this.intake.take(report, false);
    return true;
  }

  private tick(): void {
    this.stallMonitor.tick();
    this.termAnnouncements.keepOnly(this.state.machines);
    this.intake.removeGoneMachines();
    // Upholds ran_cancelled: stops of cancelled jobs are repeated until a report shows the end, whether the
    // lock is certain or not. They carry the term, so the worker no longer accepts a former leader's answers.
    const unsettled = this.unsettledCancellations;
    for (const machine of this.state.machines.values())
      if (hasCancelledTasks(machine, unsettled)) this.sendCommandsDirectly(machine.id);
    // Most workers report by themselves within a report period, when a new leader is busiest.
    if (this.firstReports.isPeriodOver()) this.announceTerm();
  }

  /** Announces the term to workers that have not seen it, so that they drop a former leader's answers. */
  private announceTerm(): void {
    for (const machine of this.state.machines.values()) {
      if (!this.directCalls.hasCapacity || this.stallMonitor.isBehind()) return;
      const { id, addr: address, session } = machine;
      const view = this.intake.views.get(id);
      if (!isAvailable(machine) || !address || view?.hasSeenTerm || this.machinesInCall.has(id)) continue;
      if (!this.termAnnouncements.scheduleIfDue(id)) continue;
      const fence = view?.fence ?? (0 as Fence);
      const call = { machine: id, address, session, fence, commands: [], why: ['term announced'] };
      this.directCalls.send(call, (response) => void this.takeResponse(machine, response));
    }
  }
}
