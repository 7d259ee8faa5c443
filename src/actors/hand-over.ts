/** Decides when the holder of the lock releases it early, and how long it then leaves it to other nodes. */
import type { NodeId, SteadyMs, Term } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import type { ReceivedStatus } from '../io/peers.js';
import type { StateServiceClient } from '../wire/state-service.js';
import type { LeaderActor } from './leader.js';
import type { HeldLock, Lock } from './lock.js';
import { ReachClaims } from './reach-claims.js';
import { GAVE_WAY_EXCLUSION_MS, StateServiceMonitor, type HolderProgress } from './state-service-monitor.js';
import { WorkerReachability } from './worker-reachability.js';

/**
 * After a hand-over a node does not acquire the lock for this many lease durations: the lease may have to
 * expire, and another node has to win the lock.
 */
const ACQUIRE_PAUSE_LEASES = 2;

export interface HandOverOptions {
  clock: Clock;
  logger: Logger;
  store: StateServiceClient;
  lock: Lock;
  leaseDurationMs: number;
  nodeId: NodeId;
  /** Number of other controllers. */
  peerCount: number;
}

/** Releases the lock when another node can make better use of it. */
export class HandOver {
  private readonly claims: ReachClaims;
  private readonly stateServiceMonitor: StateServiceMonitor;
  private readonly workerReachability: WorkerReachability;
  private noAcquireUntil = -Infinity;
  private gaveWayAt = -Infinity;
  private heldSince: { held: HeldLock; at: SteadyMs } | null = null;

  constructor(private readonly options: HandOverOptions) {
    const { clock, leaseDurationMs, logger, nodeId, peerCount, store } = options;
    this.claims = new ReachClaims(store, clock, nodeId);
    this.stateServiceMonitor = new StateServiceMonitor(clock, logger, leaseDurationMs);
    this.workerReachability = new WorkerReachability({ clock, claims: this.claims, peerCount });
  }

  /** Whether this node may try to take the lock. */
  mayAcquireLock(): boolean {
    return this.options.clock.steady() >= this.noAcquireUntil;
  }

  /** Whether this node holds the lock, and the state service answers it too late or not at all. */
  get isInDoubt(): boolean {
    return this.stateServiceMonitor.isInDoubt;
  }

  /** Whether this node recently released the lock because the state service did not answer it in time. */
  gaveWayRecently(): boolean {
    return this.options.clock.steady() - this.gaveWayAt < GAVE_WAY_EXCLUSION_MS;
  }

  /**
   * Called periodically: releases the lock if another node can make better use of it. `leader` is null while
   * the node still reads the log.
   */
  async check(leader: LeaderActor | null, peers: readonly ReceivedStatus[]): Promise<void> {
    const { lock } = this.options;
    const held = lock.held;
    if (!held) {
      this.stateServiceMonitor.reset();
      this.workerReachability.reset();
      return;
    }
    const stateServiceReason = this.stateServiceMonitor.check(this.progressOf(held, leader), peers);
    if (stateServiceReason) {
      this.gaveWayAt = this.options.clock.steady();
      return this.release(stateServiceReason);
    }
    const workersReason = leader ? await this.unreachedReason(leader, held.term, peers) : null;
    if (workersReason && lock.held === held) this.release(workersReason);
  }

  /** Tells a leader that this node can't hear, through the state service, that workers contact this node. */
  publishReachClaim(term: Term, workers: number): void {
    this.claims.publish(term, workers);
  }

  private release(why: string): void {
    const { clock, leaseDurationMs, lock } = this.options;
    this.noAcquireUntil = clock.steady() + leaseDurationMs * ACQUIRE_PAUSE_LEASES;
    this.stateServiceMonitor.reset();
    this.workerReachability.reset();
    lock.release(why);
  }

  private progressOf(held: HeldLock, leader: LeaderActor | null): HolderProgress {
    const { clock, lock } = this.options;
    if (this.heldSince?.held !== held) this.heldSince = { held, at: clock.steady() };
    const pendingMs = leader ? leader.log.unansweredWriteMs : clock.steady() - this.heldSince.at;
    return { sinceTimelyRenewalMs: lock.sinceTimelyRenewalMs, pendingMs };
  }

  /**
   * The reason to release the lock because workers do not reach this node, or null. Only a certain lock is
   * released: during an outage of the state service no other node could take over and renew the workers'
   * leases.
   */
  private async unreachedReason(
    { workers }: LeaderActor,
    term: Term,
    peers: readonly ReceivedStatus[],
  ): Promise<string | null> {
    if (this.options.lock.isCertain() && workers.intake.areAllSilent())
      return this.workerReachability.check(term, peers);
    this.workerReachability.reset();
    return null;
  }
}
