/**
 * What a leader knows of its workers from their reports. Takes each report once, evaluates what it proves and
 * passes its facts on to the log.
 */
import { isAvailable, type Machine } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import type { MachineId, Term, WorkerReport } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import type { StallMonitor } from './stall-monitor.js';
import type { PendingFacts } from './pending-facts.js';
import type { TaskProgress } from './task-progress.js';
import { isOutdated, repeatsReport, newSessionView, type WorkerView } from './worker-view.js';

/** A machine with more failed tasks than this gets no work. */
const MAX_FAILURES = 1;
/** Silence counts only from this long after a take-over: workers first have to find the new leader. */
const TAKE_OVER_GRACE_MS = 3000;
/** Intervals between reports vary by up to a quarter of the period. */
export const REPORT_JITTER_FACTOR = 1.25;
/** A worker whose report is late by more than this gets no work. */
const REPORT_DELAY_TOLERANCE_MS = 2000;

export interface ReportIntakeOptions {
  state: ClusterState;
  clock: Clock;
  stallMonitor: StallMonitor;
  progress: TaskProgress;
  pendingFacts: PendingFacts;
  logger: Logger;
  term: Term;
  reportPeriodS: number;
  /** Called when a worker has seen a higher term than this leader's. */
  onHigherTerm: (term: Term) => void;
}

/** Holds a view of each worker and updates it from reports. */
export class ReportIntake {
  readonly views = new Map<MachineId, WorkerView>();
  /** When any worker was last heard. */
  private lastHeardAt = -Infinity;
  private readonly state: ClusterState;
  private readonly clock: Clock;
  private readonly monitor: StallMonitor;

  constructor(private readonly options: ReportIntakeOptions) {
    this.state = options.state;
    this.clock = options.clock;
    this.monitor = options.stallMonitor;
  }

  /**
   * Seconds without a report, counted from the take-over at the earliest. Negative during the grace period
   * after it.
   */
  secondsSilent(machine: Machine): number {
    const heardAt = this.views.get(machine.id)?.heardAt ?? -Infinity;
    return (this.clock.steady() - Math.max(heardAt, this.monitor.observingSince + TAKE_OVER_GRACE_MS)) / 1000;
  }

  /** Whether new tasks may be placed on a machine. */
  canTakeWork(machine: Machine): boolean {
    const view = this.views.get(machine.id);
    return (
      isAvailable(machine) &&
      machine.errors <= MAX_FAILURES &&
      view !== undefined &&
      view.report.session === machine.session &&
      view.report.notice === null &&
      this.clock.steady() - view.heardAt < this.reportTimeoutMs
    );
  }

  /** Seconds until the cloud reclaims a machine; null if it has not given notice. */
  noticeOf(machine: Machine): number | null {
    return this.views.get(machine.id)?.report.notice ?? null;
  }

  /** A worker that has been silent for longer than this has missed a report. */
  private get reportTimeoutMs(): number {
    return this.options.reportPeriodS * 1000 * REPORT_JITTER_FACTOR + REPORT_DELAY_TOLERANCE_MS;
  }

  /**
   * Whether at least two machines are available and all of them have missed a report, or have not reported
   * since the take-over.
   */
  areAllSilent(): boolean {
    this.monitor.noteActivity();
    if (this.clock.steady() - Math.max(this.monitor.observingSince, this.lastHeardAt) < this.reportTimeoutMs)
      return false;
    let available = 0;
    for (const machine of this.state.machines.values()) if (isAvailable(machine)) available++;
    return available >= 2;
  }

  /** Number of workers heard within the last `withinMs` milliseconds. */
  countHeard(withinMs: number): number {
    let count = 0;
    for (const view of this.views.values()) if (this.clock.steady() - view.heardAt < withinMs) count++;
    return count;
  }

  /**
   * Takes a report and returns the updated view of its worker; null if the report may not be answered.
   * `isUnsolicited` is false for reports in the response to a direct call: these do not prove that the worker
   * can reach this node, and do not settle the answer to its last report.
   */
  take(report: WorkerReport, isUnsolicited: boolean): WorkerView | null {
    if (report.term > this.options.term) {
      this.options.onHigherTerm(report.term);
      return null;
    }
    const previous = this.views.get(report.machine);
    // Reports can arrive minutes late. One that is older than the last report adds nothing, and one from
    // before the session in the log does not prove that its worker is alive, whoever led then.
    if (previous && isOutdated(report, previous.report)) return previous;
    const loggedSession = this.state.machines.get(report.machine)?.session ?? 0;
    if (report.session < loggedSession) return previous ?? null;
    const isNewSession = !previous || report.session > previous.report.session;
    const view = isNewSession ? newSessionView(report, previous) : previous;
    if (isNewSession) this.views.set(report.machine, view);
    view.report = report;
    this.settle(view, isUnsolicited);
    // A delayed copy from an earlier term proves nothing: a live worker shows this term in its next report.
    const isFresh = view.hasSeenTerm || report.session > loggedSession;
    if (isUnsolicited && isFresh) this.noteHeard(view);
    this.options.progress.update(report);
    this.options.pendingFacts.submitReport(report);
    return view;
  }

  /**
   * Settles the calls and answers that, according to the view's report, have reached the worker or never
   * will.
   */
  private settle(view: WorkerView, isUnsolicited: boolean): void {
    const { report, startedInAnswer } = view;
    if (report.term === this.options.term) {
      view.hasSeenTerm = true;
      view.unsettledCalls.fenceReported(report.fence);
      this.adoptHigherFence(view);
    }
    if (!isUnsolicited) return;
    // A worker sends its next report only after it has processed the answer to the last one or given up
    // waiting for it.
    for (const [key, seq] of startedInAnswer) if (seq < report.seq) startedInAnswer.delete(key);
  }

  /** A worker drops everything under a lower fence than it has seen, wherever that one came from. */
  private adoptHigherFence(view: WorkerView): void {
    const { machine, fence } = view.report;
    if (fence > view.fence) {
      this.options.logger.warn({ machine, fence, expected: view.fence }, 'a worker has seen a higher fence');
      view.fence = fence;
    }
  }

  /**
   * The view of a worker whose report repeats the last one, provided that the last one needed no commands and
   * nothing has changed since; null otherwise.
   */
  unchangedView(report: WorkerReport): WorkerView | null {
    const view = this.views.get(report.machine);
    if (!view || view.settledAtChange === null || !repeatsReport(report, view.report)) return null;
    return this.state.machines.get(report.machine)?.changes === view.settledAtChange ? view : null;
  }

  /** Notes a report that repeats the last one. */
  noteRepeated(view: WorkerView, report: WorkerReport): void {
    view.report = report;
    this.noteHeard(view);
  }

  /**
   * Notes that the worker was heard, unless the report may have been queued during a stall of this process:
   * then it does not prove that the worker is alive.
   */
  private noteHeard(view: WorkerView): void {
    if (this.monitor.mayHaveQueued()) return;
    view.heardAt = this.lastHeardAt = this.clock.steady();
  }

  /** Removes the views of machines that are no longer in the cluster. */
  removeGoneMachines(): void {
    for (const id of this.views.keys()) if (!this.state.machines.has(id)) this.views.delete(id);
  }

  /** Number of calls with starts that may still be carried out, over all workers. */
  countUnsettledCalls(): number {
    let count = 0;
    for (const view of this.views.values()) count += view.unsettledCalls.unansweredCount;
    return count;
  }

  /** Number of workers that copies of answered calls could make start what they have forgotten. */
  countWorkersWithAnsweredStarts(): number {
    let count = 0;
    for (const view of this.views.values()) if (view.unsettledCalls.answeredFence !== null) count++;
    return count;
  }
}
