/** When a holder of the lock gives it away though its lease lasts, and how long it then stays back. */
import type { NodeId, SteadyMs, Term } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import type { ReceivedStatus } from '../io/peers.js';
import type { StateServiceClient } from '../wire/store.js';
import type { LeaderActor } from './leader.js';
import type { HeldLock, Lock } from './lock.js';
import { ReachClaims } from './reach-claims.js';
import { GAVE_WAY_EXCLUSION_MS, StateServiceMonitor, type HolderProgress } from './state-service-doubt.js';
import { WorkerReachability } from './worker-reach.js';

/** A former holder stays back for so many leases' time: the lease may have to run out, and another has to win. */
const STAY_BACK_LEASES = 2;

export interface HandOverOptions {
  clock: Clock;
  logger: Logger;
  store: StateServiceClient;
  lock: Lock;
  /** The lease's time, in milliseconds. */
  leaseDurationMs: number;
  nodeId: NodeId;
  /** How many other controllers there are. */
  peerCount: number;
}

export class HandOver {
  private readonly claims: ReachClaims;
  private readonly doubt: StateServiceMonitor;
  private readonly reach: WorkerReachability;
  private stayBackUntil = -Infinity;
  private gaveWayAt = -Infinity;
  private heldSince: { held: HeldLock; at: SteadyMs } | null = null;

  constructor(private readonly options: HandOverOptions) {
    const { clock, leaseDurationMs: lifeMs, logger, nodeId: me, peerCount: others, store } = options;
    this.claims = new ReachClaims(store, clock, me);
    this.doubt = new StateServiceMonitor(clock, logger, lifeMs);
    this.reach = new WorkerReachability({ clock, claims: this.claims, peerCount: others });
  }

  /** Whether this node may try to take the lock. */
  mayAcquireLock(): boolean {
    return this.options.clock.steady() >= this.stayBackUntil;
  }

  /** Whether this node holds the lock, and gets little done at the state service. */
  get isInDoubt(): boolean {
    return this.doubt.isInDoubt;
  }

  /** Whether this node gave the lock away lately because it got too little done at the state service. */
  gaveWayRecently(): boolean {
    return this.options.clock.steady() - this.gaveWayAt < GAVE_WAY_EXCLUSION_MS;
  }

  /** Called again and again: gives the lock away where that serves. `leader` is null while the log is read on. */
  async check(leader: LeaderActor | null, peers: readonly ReceivedStatus[]): Promise<void> {
    const { lock } = this.options;
    const held = lock.held;
    if (!held) {
      this.doubt.reset();
      this.reach.reset();
      return;
    }
    const tooLate = this.doubt.check(this.progress(held, leader), peers);
    if (tooLate) {
      this.gaveWayAt = this.options.clock.steady();
      return this.give(tooLate);
    }
    const unreached = leader ? await this.unreached(leader, held.term, peers) : null;
    if (unreached && lock.held === held) this.give(unreached);
  }

  /** Says to a leader that this node can't hear that workers ask here. */
  publishReachClaim(term: Term, workers: number): void {
    this.claims.publish(term, workers);
  }

  private give(why: string): void {
    const { clock, leaseDurationMs: lifeMs, lock } = this.options;
    this.stayBackUntil = clock.steady() + lifeMs * STAY_BACK_LEASES;
    this.doubt.reset();
    this.reach.reset();
    lock.release(why);
  }

  private progress(held: HeldLock, leader: LeaderActor | null): HolderProgress {
    const { clock, lock } = this.options;
    if (this.heldSince?.held !== held) this.heldSince = { held, at: clock.steady() };
    const pendingMs = leader ? leader.log.unansweredWriteMs : clock.steady() - this.heldSince.at;
    return { sinceTimelyRenewalMs: lock.sinceTimelyRenewalMs, pendingMs };
  }

  /** Guards the workers' leases: while the state service is out nobody could take over from this node. */
  private async unreached(
    { workers }: LeaderActor,
    term: Term,
    peers: readonly ReceivedStatus[],
  ): Promise<string | null> {
    if (this.options.lock.isCertain() && workers.intake.areAllSilent()) return this.reach.check(term, peers);
    this.reach.reset();
    return null;
  }
}
