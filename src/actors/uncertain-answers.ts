/**
 * Decides how long a node whose lock is not certain may continue to answer reports, and whether another node
 * may be leading meanwhile. Each answer renews a
 * worker's lease, and so also prolongs tasks of jobs whose cancellation another leader may have confirmed.
 */
import type { SteadyMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { PeerStatus } from '../io/peers.js';
import type { Settings } from '../wire/settings.js';
import { MAX_CLOCK_DRIFT } from './lease.js';
import type { Lock } from './lock.js';
import { STATUS_MAX_AGE_MS } from './state-service-monitor.js';

/** Workers end their tasks within this time after their lease expires. */
const TASK_END_DELAY_MS = 1000;

/** Decides what a leader may do while its lock is not certain. */
export class UncertainAnswerPolicy {
  /**
   * For each peer, the time up to which it is known not to have led: when the question that it answered was
   * sent.
   */
  private readonly notLedUntil = new Map<string, SteadyMs>();

  constructor(
    private readonly lock: Lock,
    private readonly clock: Clock,
    private readonly settings: Settings,
  ) {}

  /** Discards the peers' earlier answers at the beginning of a take-over. */
  reset(): void {
    this.notLedUntil.clear();
  }

  /**
   * Takes a peer's answer to a question that was sent at `askedAt`. If it shows that the peer has not led
   * since `noOtherLeaderUntil` and is not about to, notes that the peer has not led up to `askedAt`.
   */
  noteStatus(status: PeerStatus, askedAt: SteadyMs): void {
    if (status.term > (this.lock.held?.term ?? 0) || status.takingOver) return;
    // A node that started later does not know what its former run did.
    const observesSince = this.clock.steady() - status.remembersMs * (1 - MAX_CLOCK_DRIFT);
    if (observesSince > this.noOtherLeaderUntil()) return;
    this.notLedUntil.set(status.node, askedAt);
  }

  /**
   * Whether reports may be answered while the lock is not certain. Upholds ran_cancelled: a cancellation that
   * another leader confirmed without this node's knowledge is later than `noOtherLeaderUntil`, and its tasks
   * end with the lease that is not renewed. So no lease may last longer than the time a cancellation may take
   * from then on. What a follower confirmed from this leader's own log is stopped in each answer.
   */
  isAllowed(): boolean {
    const { lease_s, cancel_s } = this.settings.cluster.workers;
    const longestMs = lease_s * 1000 + cancel_s * 1000 * MAX_CLOCK_DRIFT + TASK_END_DELAY_MS;
    return this.clock.steady() + longestMs < this.noOtherLeaderUntil() + cancel_s * 1000;
  }

  /**
   * Whether no other node can be leading: the lock is certain, or all peers have just said that they have not
   * led.
   */
  isSoleLeader(): boolean {
    return this.isRecent(this.noOtherLeaderUntil());
  }

  /** Whether a peer has just said that it has not led and knows of no later leader. */
  isStillFollowed(): boolean {
    return [...this.notLedUntil.values()].some((askedAt) => this.isRecent(askedAt));
  }

  private isRecent(time: number): boolean {
    return this.clock.steady() - time < STATUS_MAX_AGE_MS;
  }

  /** The latest time up to which, as far as this node knows, no other node can have led. */
  private noOtherLeaderUntil(): number {
    const others = this.settings.seeds.map((seed) => this.notLedUntil.get(seed.node) ?? -Infinity);
    return Math.max(this.lock.certainUntil, Math.min(Infinity, ...others));
  }
}
