/** What a leader knows of one worker in one of its sessions. */
import type { ObservedWorker } from '../core/worker-commands.js';
import type { Fence, SteadyMs, WorkerReport } from '../core/types.js';
import { UnsettledCalls } from '../core/unsettled-calls.js';

/** The view of one worker; a new session gets a new view. */
export interface WorkerView extends ObservedWorker {
  /** When the worker was last heard. */
  heardAt: SteadyMs;
  /** The fence for everything sent to this worker from now on. Calls under lower fences are invalid. */
  fence: Fence;
  /** Whether this worker has seen this leader's term and therefore refuses everything from earlier terms. */
  hasSeenTerm: boolean;
  /**
   * The machine's change count when its last report needed no commands; null if the next report may need
   * some.
   */
  settledAtChange: number | null;
}

const NEVER = -Infinity as SteadyMs;

/**
 * The view of a worker's new session. Calls to an earlier session carry that session's number and are refused
 * by the worker, so none are kept. The fence is kept, since the worker remembers the highest fencing token
 * that it has seen.
 */
export const newSessionView = (report: WorkerReport, previous: WorkerView | undefined): WorkerView => ({
  report,
  heardAt: previous?.heardAt ?? NEVER,
  fence: previous?.fence ?? (0 as Fence),
  hasSeenTerm: false,
  settledAtChange: null,
  unsettledCalls: new UnsettledCalls(),
  startedInAnswer: new Map(),
});

/** Whether a report contains nothing newer than its worker's last report. */
export const isOutdated = (report: WorkerReport, last: WorkerReport): boolean =>
  report.session < last.session || (report.session === last.session && report.seq <= last.seq);

/** Whether a report is newer than the last one and otherwise the same. */
export const repeatsReport = (report: WorkerReport, last: WorkerReport): boolean =>
  report.tasks === last.tasks &&
  report.seq > last.seq &&
  report.session === last.session &&
  report.term === last.term &&
  report.fence === last.fence &&
  report.notice === last.notice;
