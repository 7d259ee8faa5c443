/**
 * Detects that the holder of the lock makes no progress at the state service although a peer does. Such a
 * holder keeps renewing a lock that it can't use, and blocks all other nodes.
 */
import type { SteadyMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import type { ReceivedStatus } from '../io/peers.js';

/**
 * The state service is in doubt after this many lease durations without a renewal answered in time; peers
 * then check whether it answers them.
 */
const DOUBT_AFTER_LEASES = 1 / 2;
/** A write that is pending for so many lease durations raises the same doubt, or leads to a hand-over. */
const PENDING_DOUBT_LEASES = 1;
const MAX_PENDING_LEASES = 4;
/** Age up to which a peer's status counts: three of the intervals at which it is sent. */
export const STATUS_MAX_AGE_MS = 1500;
/**
 * For this long a node that released the lock because of the state service does not count as evidence. A
 * slowdown of all nodes then moves the lock to each node once at most, and leaves it there.
 */
export const GAVE_WAY_EXCLUSION_MS = 60_000;

/** Progress of the lock's holder at the state service. */
export interface HolderProgress {
  /** Milliseconds since a renewal was last answered in time. */
  sinceTimelyRenewalMs: number;
  /** Milliseconds for which its current write, or its take-over, has been under way. */
  pendingMs: number;
}

/** Decides whether the holder of the lock releases it because of the state service. */
export class StateServiceMonitor {
  /** Since when a peer has reached the state service without interruption while this node is in doubt. */
  private peerReachesSince: SteadyMs | null = null;
  private inDoubt = false;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly leaseDurationMs: number,
  ) {}

  /** Whether the state service is in doubt. Peers that learn of it check whether the service answers them. */
  get isInDoubt(): boolean {
    return this.inDoubt;
  }

  /** To be called while the lock is not held. */
  reset(): void {
    this.inDoubt = false;
    this.peerReachesSince = null;
  }

  /**
   * Returns the reason to release the lock now, or null to keep it. A full outage is no reason, since no peer
   * is answered then. A peer has to be answered for one lease duration, so that each renewal of this node
   * could have been answered too.
   */
  check(progress: HolderProgress, peers: readonly ReceivedStatus[]): string | null {
    const isLate = progress.sinceTimelyRenewalMs > this.leaseDurationMs * DOUBT_AFTER_LEASES;
    const isStuck = progress.pendingMs > this.leaseDurationMs * PENDING_DOUBT_LEASES;
    this.setInDoubt(isLate || isStuck, progress);
    const peerReaches = peers.some(
      ({ status, ageMs }) => ageMs < STATUS_MAX_AGE_MS && status.reachesState && !status.gaveWay,
    );
    if (!this.inDoubt || !peerReaches) {
      this.peerReachesSince = null;
      return null;
    }
    this.peerReachesSince ??= this.clock.steady();
    if (this.clock.steady() - this.peerReachesSince < this.leaseDurationMs) return null;
    if (isLate) return 'renewals are answered too late, and a peer is answered in time';
    if (progress.pendingMs < this.leaseDurationMs * MAX_PENDING_LEASES) return null;
    return 'records do not get through, and the state service answers a peer';
  }

  private setInDoubt(inDoubt: boolean, progress: HolderProgress): void {
    if (inDoubt === this.inDoubt) return;
    this.inDoubt = inDoubt;
    const untimelyMs = Math.round(progress.sinceTimelyRenewalMs);
    const stuckMs = Math.round(progress.pendingMs);
    this.logger.info(
      { untimelyMs, stuckMs },
      inDoubt ? 'state service in doubt' : 'state service answers again',
    );
  }
}
