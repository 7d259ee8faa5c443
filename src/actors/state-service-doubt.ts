/**
 * Whether a holder of the lock gets nothing done at the state service though a peer does: it then keeps a right
 * alive that it can't use, and keeps everybody else out.
 */
import type { SteadyMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import type { ReceivedStatus } from '../io/peers.js';

/** Of a lease's time without a renewal answered in time: peers are asked whether the state service answers them. */
const DOUBT_AFTER_LEASES = 1 / 2;
/** Records that don't get through for so many leases' time raise the same doubt, and end it. */
const STUCK_DOUBT_LEASES = 1;
const STUCK_MOST_LEASES = 4;
/** A status of a peer says something for so long: three of its intervals. */
export const STATUS_MAX_AGE_MS = 1500;
/**
 * A node that gave the lock away for this reason is no evidence for so long. What slows all of them down then
 * moves the lock to each node once at the most, and leaves it there.
 */
export const GAVE_WAY_EXCLUSION_MS = 60_000;

/** How the holder of the lock fares at the state service. */
export interface HolderProgress {
  /** Milliseconds since a renewal was answered in time. */
  sinceTimelyRenewalMs: number;
  /** Milliseconds that its present write, or its take-over, has been under way. */
  pendingMs: number;
}

export class StateServiceMonitor {
  /** Since when a peer has been reaching the state service without a break, while this node is in doubt. */
  private peerReachesSince: SteadyMs | null = null;
  private doubting = false;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    /** The lease's time, in milliseconds. */
    private readonly lifeMs: number,
  ) {}

  /** Peers that see this ask the state service, and say whether it answers. */
  get isInDoubt(): boolean {
    return this.doubting;
  }

  /** Nothing is held any more. */
  reset(): void {
    this.doubting = false;
    this.peerReachesSince = null;
  }

  /**
   * Why to give the lock away now; null: keep it. A full outage is no reason, since no peer is answered then: a
   * peer has to be answered for a lease's time, in which each renewal of this node had its chance.
   */
  check(progress: HolderProgress, peers: readonly ReceivedStatus[]): string | null {
    const isLate = progress.sinceTimelyRenewalMs > this.lifeMs * DOUBT_AFTER_LEASES;
    const isStuck = progress.pendingMs > this.lifeMs * STUCK_DOUBT_LEASES;
    this.note(isLate || isStuck, progress);
    const peerReaches = peers.some(
      ({ status, ageMs: age }) => age < STATUS_MAX_AGE_MS && status.reachesState && !status.gaveWay,
    );
    if (!this.doubting || !peerReaches) {
      this.peerReachesSince = null;
      return null;
    }
    this.peerReachesSince ??= this.clock.steady();
    if (this.clock.steady() - this.peerReachesSince < this.lifeMs) return null;
    if (isLate) return 'renewals are answered too late, and a peer is answered in time';
    if (progress.pendingMs < this.lifeMs * STUCK_MOST_LEASES) return null;
    return 'records do not get through, and the state service answers a peer';
  }

  private note(isDoubting: boolean, progress: HolderProgress): void {
    if (isDoubting === this.doubting) return;
    this.doubting = isDoubting;
    const untimelyMs = Math.round(progress.sinceTimelyRenewalMs);
    const stuckMs = Math.round(progress.pendingMs);
    this.logger.info(
      { untimelyMs, stuckMs },
      isDoubting ? 'state service in doubt' : 'state service answers again',
    );
  }
}
