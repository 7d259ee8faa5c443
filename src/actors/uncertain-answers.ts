/**
 * How long a node whose lock is not certain may go on answering reports. Each answer renews a worker's lease, and
 * with it the tasks of jobs that another leader may have confirmed as cancelled.
 */
import type { SteadyMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { PeerStatus } from '../io/peers.js';
import type { Settings } from '../wire/settings.js';
import { MAX_CLOCK_DRIFT } from './lease.js';
import type { Lock } from './lock.js';

/** Workers end their tasks this soon after their lease. */
const TASKS_END_MS = 1000;

export class UncertainAnswers {
  /** When each other node was asked the question to which it answered that it has not led since. */
  private readonly vouchedAt = new Map<string, SteadyMs>();

  constructor(
    private readonly lock: Lock,
    private readonly clock: Clock,
    private readonly settings: Settings,
  ) {}

  /** A take-over begins: what others said before counts no more. */
  reset(): void {
    this.vouchedAt.clear();
  }

  /** A peer answered a question put at that time: it has not led since `noOtherLedUntil`, and is not about to. */
  vouch(status: PeerStatus, askedAt: SteadyMs): void {
    if (status.term > (this.lock.held?.term ?? 0) || status.takingOver) return;
    // A node that came up later knows nothing of what its former run did.
    const remembersFrom = this.clock.steady() - status.remembersMs * (1 - MAX_CLOCK_DRIFT);
    if (remembersFrom > this.noOtherLedUntil()) return;
    this.vouchedAt.set(status.node, askedAt);
  }

  /**
   * Guards ran_cancelled: whether reports may be answered without a certain lock. A cancellation that another
   * leader confirmed, and that this node does not know of, is later than `noOtherLedUntil`; its tasks end with the
   * lease that is not renewed, so no lease may last longer than what a cancellation has from then on.
   */
  areAllowed(): boolean {
    const { lease_s, cancel_s } = this.settings.cluster.workers;
    const longestMs = lease_s * 1000 + cancel_s * 1000 * MAX_CLOCK_DRIFT + TASKS_END_MS;
    return this.clock.steady() + longestMs < this.noOtherLedUntil() + cancel_s * 1000;
  }

  /** The latest moment at which, as far as is known here, no other node can have led. */
  private noOtherLedUntil(): number {
    const others = this.settings.seeds.map((seed) => this.vouchedAt.get(seed.node) ?? -Infinity);
    return Math.max(this.lock.certainUntil, Math.min(Infinity, ...others));
  }
}
