/** What a leader knows of one worker in one of its sessions. */
import type { ObservedWorker } from '../core/recovery.js';
import type { Fence, SteadyMs, WorkerReport } from '../core/types.js';
import { UnsettledCalls } from '../core/unsettled-calls.js';

export interface WorkerView extends ObservedWorker {
  /** When it was last heard. */
  heardAt: SteadyMs;
  /** What this worker is sent from now on goes under this fence: all under lower ones is void. */
  fence: Fence;
  /** This worker has seen our term, so nothing of an earlier one reaches it any more. */
  knowsTerm: boolean;
  /** The machine's count of changes when its last report called for nothing; null: it may call for something. */
  quietAt: number | null;
}

const NEVER = -Infinity as SteadyMs;

/**
 * The view of a worker's new session. Calls to an earlier session carry its number, so the worker refuses them:
 * none of them is kept. The fence goes on, since the worker keeps the highest token that it has seen.
 */
export const viewOfSession = (report: WorkerReport, former: WorkerView | undefined): WorkerView => ({
  report,
  heardAt: former?.heardAt ?? NEVER,
  fence: former?.fence ?? (0 as Fence),
  knowsTerm: false,
  quietAt: null,
  unsettledCalls: new UnsettledCalls(),
  startedInAnswer: new Map(),
});

/** Whether a report says nothing newer than the last one of its worker. */
export const isOlder = (report: WorkerReport, last: WorkerReport): boolean =>
  report.session < last.session || (report.session === last.session && report.seq <= last.seq);

/** Whether a report says what the one before said, and is newer. */
export const repeats = (report: WorkerReport, last: WorkerReport): boolean =>
  report.tasks === last.tasks &&
  report.seq > last.seq &&
  report.session === last.session &&
  report.term === last.term &&
  report.fence === last.fence &&
  report.notice === last.notice;
