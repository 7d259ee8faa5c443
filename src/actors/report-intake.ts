/**
 * What this leader heard of its workers: takes each report once, judges what it proves, and passes its facts on to
 * the log.
 */
import { isAvailable, type Machine } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import type { MachineId, Term, WorkerReport } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { StallMonitor } from './node-pace.js';
import type { PendingFacts } from './pending-facts.js';
import type { TaskProgress } from './task-progress.js';
import { isOlder, repeats, viewOfSession, type WorkerView } from './worker-view.js';

/** Machines with more failures than this are given no work. */
const MOST_FAILURES = 1;
/** Silence counts from so long after a take-over: workers first have to find the new leader. */
const COMING_OVER_MS = 3000;
/** Reports come give or take a quarter of their period. */
export const REPORT_SPREAD = 1.25;
/** A worker that missed a report by so much gets no work. */
const REPORT_LATE_MS = 2000;

export interface ReportIntakeOptions {
  state: ClusterState;
  clock: Clock;
  pace: StallMonitor;
  progress: TaskProgress;
  facts: PendingFacts;
  term: Term;
  reportPeriodS: number;
  /** A worker has seen a higher term than ours. */
  onHigherTerm: (term: Term) => void;
}

export class ReportIntake {
  readonly views = new Map<MachineId, WorkerView>();
  /** When any worker was heard last. */
  private lastHeardAt = -Infinity;
  private readonly state: ClusterState;
  private readonly clock: Clock;
  private readonly pace: StallMonitor;

  constructor(private readonly options: ReportIntakeOptions) {
    this.state = options.state;
    this.clock = options.clock;
    this.pace = options.pace;
  }

  /** Seconds without a report; counted from the take-over at the earliest. */
  secondsSilent(machine: Machine): number {
    const heardAt = this.views.get(machine.id)?.heardAt ?? -Infinity;
    return (this.clock.steady() - Math.max(heardAt, this.pace.observingSince + COMING_OVER_MS)) / 1000;
  }

  canTakeWork(machine: Machine): boolean {
    const view = this.views.get(machine.id);
    return (
      isAvailable(machine) &&
      machine.errors <= MOST_FAILURES &&
      view !== undefined &&
      view.report.session === machine.session &&
      view.report.notice === null &&
      this.clock.steady() - view.heardAt < this.latestMs
    );
  }

  /** Seconds until the cloud takes a machine away; null: no notice. */
  noticeOf(machine: Machine): number | null {
    return this.views.get(machine.id)?.report.notice ?? null;
  }

  /** A worker that was not heard for so long has missed a report. */
  private get latestMs(): number {
    return this.options.reportPeriodS * 1000 * REPORT_SPREAD + REPORT_LATE_MS;
  }

  /** Whether each of at least two machines at work has missed a report, or has not come since the take-over. */
  areAllSilent(): boolean {
    this.pace.noteActivity();
    if (this.clock.steady() - Math.max(this.pace.observingSince, this.lastHeardAt) < this.latestMs)
      return false;
    let up = 0;
    for (const machine of this.state.machines.values()) if (isAvailable(machine)) up++;
    return up >= 2;
  }

  /** How many workers were heard within that time. */
  countHeard(withinMs: number): number {
    let count = 0;
    for (const view of this.views.values()) if (this.clock.steady() - view.heardAt < withinMs) count++;
    return count;
  }

  /**
   * Takes what a report says; null when nothing of it may be answered. `wasSent` is false for reports that answer
   * a direct call: they prove nobody to reach this node, and settle no answer.
   */
  take(report: WorkerReport, wasSent: boolean): WorkerView | null {
    if (report.term > this.options.term) {
      this.options.onHigherTerm(report.term);
      return null;
    }
    const former = this.views.get(report.machine);
    // Reports can be minutes late; an older one than the last says nothing new, and one from before
    // a session that is in the log proves nobody alive, whoever led then.
    if (former && isOlder(report, former.report)) return former;
    const loggedSession = this.state.machines.get(report.machine)?.session ?? 0;
    if (report.session < loggedSession) return former ?? null;
    const isNewSession = !former || report.session > former.report.session;
    const view = isNewSession ? viewOfSession(report, former) : former;
    if (isNewSession) this.views.set(report.machine, view);
    view.report = report;
    this.settle(view, wasSent);
    // A copy that is late by a term proves nothing: a live worker shows ours with its next report.
    const isFresh = view.knowsTerm || report.session > loggedSession;
    if (wasSent && isFresh) this.noteHeard(view);
    this.options.progress.note(report);
    this.options.facts.tell(report);
    return view;
  }

  /** What the view's report shows to have reached the worker, or never to reach it. */
  private settle(view: WorkerView, wasSent: boolean): void {
    const { report, startedInAnswer } = view;
    if (report.term === this.options.term) {
      view.knowsTerm = true;
      view.unsettledCalls.fenceReported(report.fence);
    }
    if (!wasSent) return;
    // A worker sends its next report when it has taken, or given up, the answer to the last.
    for (const [key, seq] of startedInAnswer) if (seq < report.seq) startedInAnswer.delete(key);
  }

  /**
   * What is known of a worker whose report repeats the last one, after which there was nothing to do and
   * nothing changed since; null otherwise.
   */
  unchanged(report: WorkerReport): WorkerView | null {
    const view = this.views.get(report.machine);
    if (!view || view.quietAt === null || !repeats(report, view.report)) return null;
    return this.state.machines.get(report.machine)?.changes === view.quietAt ? view : null;
  }

  /** The worker was heard again, and says what it said before. */
  repeated(view: WorkerView, report: WorkerReport): void {
    view.report = report;
    this.noteHeard(view);
  }

  /** What may have queued during a standstill proves nobody alive. */
  private noteHeard(view: WorkerView): void {
    if (this.pace.mayHaveQueued()) return;
    view.heardAt = this.lastHeardAt = this.clock.steady();
  }

  /** Forgets machines that are gone. */
  forgetGone(): void {
    for (const id of this.views.keys()) if (!this.state.machines.has(id)) this.views.delete(id);
  }

  /** Calls with starts that may still be carried out, of all workers. */
  countUnsettledCalls(): number {
    let count = 0;
    for (const view of this.views.values()) count += view.unsettledCalls.size;
    return count;
  }
}
