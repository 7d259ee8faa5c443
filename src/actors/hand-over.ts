/** When a holder of the lock gives it away though its lease lasts, and how long it then stays back. */
import type { NodeId, SteadyMs, Term } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import type { HeardStatus } from '../io/peers.js';
import type { Store } from '../wire/store.js';
import type { LeaderActor } from './leader.js';
import type { Held, Lock } from './lock.js';
import { ReachClaims } from './reach-claims.js';
import { GAVE_WAY_MS, StateServiceDoubt, type HolderProgress } from './state-service-doubt.js';
import { WorkerReach } from './worker-reach.js';

/** A former holder stays back for so many leases' time: the lease may have to run out, and another has to win. */
const STAY_BACK_LEASES = 2;

export interface HandOverOptions {
  clock: Clock;
  logger: Logger;
  store: Store;
  lock: Lock;
  /** The lease's time, in milliseconds. */
  lifeMs: number;
  me: NodeId;
  /** How many other controllers there are. */
  others: number;
}

export class HandOver {
  private readonly claims: ReachClaims;
  private readonly doubt: StateServiceDoubt;
  private readonly reach: WorkerReach;
  private stayBackUntil = -Infinity;
  private gaveWayAt = -Infinity;
  private heldSince: { held: Held; at: SteadyMs } | null = null;

  constructor(private readonly options: HandOverOptions) {
    const { clock, lifeMs, logger, me, others, store } = options;
    this.claims = new ReachClaims(store, clock, me);
    this.doubt = new StateServiceDoubt(clock, logger, lifeMs);
    this.reach = new WorkerReach({ clock, claims: this.claims, others });
  }

  /** Whether this node may try to take the lock. */
  mayContend(): boolean {
    return this.options.clock.steady() >= this.stayBackUntil;
  }

  /** Whether this node holds the lock, and gets little done at the state service. */
  get isInDoubt(): boolean {
    return this.doubt.isInDoubt;
  }

  /** Whether this node gave the lock away lately because it got too little done at the state service. */
  gaveWayLately(): boolean {
    return this.options.clock.steady() - this.gaveWayAt < GAVE_WAY_MS;
  }

  /** Called again and again: gives the lock away where that serves. `leader` is null while the log is read on. */
  async check(leader: LeaderActor | null, peers: readonly HeardStatus[]): Promise<void> {
    const { lock } = this.options;
    const held = lock.holding;
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
    if (unreached && lock.holding === held) this.give(unreached);
  }

  /** Says to a leader that this node can't hear that workers ask here. */
  claimReach(term: Term, workers: number): void {
    this.claims.claim(term, workers);
  }

  private give(why: string): void {
    const { clock, lifeMs, lock } = this.options;
    this.stayBackUntil = clock.steady() + lifeMs * STAY_BACK_LEASES;
    this.doubt.reset();
    this.reach.reset();
    lock.release(why);
  }

  private progress(held: Held, leader: LeaderActor | null): HolderProgress {
    const { clock, lock } = this.options;
    if (this.heldSince?.held !== held) this.heldSince = { held, at: clock.steady() };
    const stuckMs = leader ? leader.log.unansweredWriteMs : clock.steady() - this.heldSince.at;
    return { untimelyMs: lock.untimelyMs, stuckMs };
  }

  /** Guards the workers' leases: while the state service is out nobody could take over from this node. */
  private async unreached(
    { workers }: LeaderActor,
    term: Term,
    peers: readonly HeardStatus[],
  ): Promise<string | null> {
    if (this.options.lock.certain() && workers.intake.areAllSilent()) return this.reach.check(term, peers);
    this.reach.reset();
    return null;
  }
}
