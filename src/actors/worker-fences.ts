/**
 * Raises the fences of one leader's workers. Everything that is sent to a worker from then on carries the
 * higher fence, and the worker refuses earlier calls as soon as it has received any of it.
 */
import type { Fence } from '../core/types.js';
import type { Logger } from '../io/logger.js';
import type { WorkerView } from './worker-view.js';

/** Raises fences, and counts why. */
export class WorkerFences {
  /** Counts since this node began to lead. */
  readonly totals = { raisedForUnanswered: 0, raisedToForget: 0 };

  constructor(private readonly logger: Logger) {}

  /**
   * Raises the fence above that of calls without an answer. Upholds ran_twice and ran_cancelled: these calls
   * may be carried out much later. The worker's next report settles them.
   */
  invalidateUnanswered(view: WorkerView, callFence: Fence): void {
    if (!this.raise(view, callFence)) return;
    this.totals.raisedForUnanswered++;
    const { machine } = view.report;
    const unsettled = view.unsettledCalls.unansweredCount;
    this.logger.debug({ machine, fence: view.fence, unsettled }, 'fence raised');
  }

  /**
   * Raises the fence above that of answered calls, for an answer that tells the worker to forget attempts
   * which they started. Upholds ran_twice and ran_cancelled: a copy of such a call may arrive at any time. A
   * call on its way that is refused for this loses nothing, since the answer carries its starts as well.
   */
  invalidateAnswered(view: WorkerView, callFence: Fence): void {
    if (!this.raise(view, callFence)) return;
    this.totals.raisedToForget++;
    this.logger.debug({ machine: view.report.machine, fence: view.fence }, 'fence raised to forget attempts');
  }

  private raise(view: WorkerView, callFence: Fence): boolean {
    if (callFence < view.fence) return false;
    view.fence = (callFence + 1) as Fence;
    return true;
  }
}
