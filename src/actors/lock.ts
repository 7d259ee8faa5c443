/** The lock of the leader: a key on a lease, taken together with the next term. */
import type { Term } from '../core/types.js';
import { sleep, type Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import type { Measure } from '../io/metrics.js';
import { LEADER_KEY, readLeaderValue, readTermValue, TERM_KEY, type LeaderValue } from '../wire/keys.js';
import {
  ANSWER_TIMEOUT_MS,
  type LeaseId,
  type Version,
  type StateServiceClient,
  type TransactionResult,
} from '../wire/store.js';
import { RenewedLease, type RenewalStatistics } from './lease.js';

/** The shortest lease of the leader key. */
const SHORTEST_LOCK_MS = 2500;
/** Processor time that may pass between two renewals: on a small share of a core it takes longer. */
const LOCK_PROCESSOR_MS = 340;
/** Of a worker's lease: a take-over after the leader's end has to fit in with the rest of it. */
const LOCK_OF_WORKER_LEASE = 1 / 3;
/** Times that the leader key is read when the transaction that takes it got no answer. */
const MOST_READS = 3;
const READS_APART_MS = 100;

/** The lease of the leader key, in milliseconds: a leader must not lose it to its own work. */
export const lockLeaseDurationMs = (cpuShare: number, workerLeaseS: number): number => {
  const longest = workerLeaseS * 1000 * LOCK_OF_WORKER_LEASE;
  return Math.round(Math.max(SHORTEST_LOCK_MS, Math.min(LOCK_PROCESSOR_MS / cpuShare, longest)));
};

export interface HeldLock {
  term: Term;
  version: Version;
}

/** Who holds the leader key, as far as could be read. */
type Holder = { who: 'us'; stamp: Version } | { who: 'another' | 'nobody' | 'unknown' };
const NOT_READ: Holder = { who: 'unknown' };

export interface LockOptions {
  store: StateServiceClient;
  clock: Clock;
  logger: Logger;
  measure: Measure;
  /** Who takes it; the term is filled in. */
  identity: LeaderValue;
  /** The lease's time, in milliseconds. */
  leaseDurationMs: number;
  onLost: (why: string) => void;
}

export class Lock {
  /** A take-over is under way: what becomes of it is not known. */
  isAcquiring = false;
  private lease: RenewedLease | null = null;
  private current: HeldLock | null = null;

  constructor(private readonly options: LockOptions) {}

  /** Past this a leader decides nothing and asserts nothing that could have changed. */
  isCertain(): boolean {
    return this.current !== null && this.lease !== null && this.lease.isValid();
  }

  /** Until when the lock is certain, or was. */
  get certainUntil(): number {
    return this.current && this.lease ? this.lease.earliestExpiry : -Infinity;
  }

  /** Milliseconds since the lock was last certain; 0 while it is. */
  uncertainForMs(): number {
    return Math.max(0, this.options.clock.steady() - this.certainUntil);
  }

  /** Milliseconds since a renewal was answered in time; 0 without the lock. */
  get sinceTimelyRenewalMs(): number {
    return this.current && this.lease ? this.lease.sinceTimelyRenewalMs : 0;
  }

  get held(): HeldLock | null {
    return this.current;
  }

  /** Of the lock that is held, or was held last. */
  renewalStatistics(): RenewalStatistics | null {
    return this.lease?.statistics ?? null;
  }

  /** Tries to take the free lock. The term is raised in the same transaction. */
  async tryAcquire(): Promise<HeldLock | null> {
    const { leaseDurationMs: lifeMs, store } = this.options;
    const former = await store.get(TERM_KEY, lifeMs);
    if (former === undefined) return null;
    const formerTerm = former === null ? 0 : readTermValue(former.value);
    // Guards the terms' order: no next one follows from what can't be read.
    if (formerTerm === null) return null;
    const term = (formerTerm + 1) as Term;
    const lease = await this.newLease();
    if (!lease) return null;
    this.isAcquiring = true;
    const version = await this.take(lease.id, term, former?.version ?? 0);
    this.isAcquiring = false;
    if (version === null || this.lease !== lease) {
      void lease.end();
      return null;
    }
    this.current = { term, version };
    return this.current;
  }

  /** A lease that is renewed from now on: what is still to be asked may take longer than it lasts. */
  private async newLease(): Promise<RenewedLease | null> {
    const { clock, leaseDurationMs: lifeMs, logger, measure, store } = this.options;
    const askedAt = clock.steady();
    const id = await store.grantLease(lifeMs, lifeMs);
    if (id === undefined) return null;
    const lease: RenewedLease = new RenewedLease({
      ...{ store, clock, logger, measure, id, leaseDurationMs: lifeMs, requestedAt: askedAt },
      onEnded: () => this.leaseEnded(lease),
    });
    this.lease = lease;
    return lease;
  }

  private leaseEnded(lease: RenewedLease): void {
    lease.stop();
    if (this.lease !== lease) return;
    if (this.current) this.markLost('the lease ended');
    else this.lease = null;
  }

  /** The version of the leader key once it is ours; null: it is not, or nobody knows. */
  private async take(lease: LeaseId, term: Term, termStamp: Version): Promise<Version | null> {
    const answer = this.askFor(lease, term, termStamp);
    const isInTime = await Promise.race([
      answer.then(() => true),
      sleep(this.options.clock, ANSWER_TIMEOUT_MS).then(() => false),
    ]);
    // It may have been carried out, and only its answer be lost or late: the key says so.
    const early = isInTime ? NOT_READ : await this.readHolder(lease, term);
    if (early.who === 'us') return early.stamp;
    if (early.who === 'another') return null;
    const result = await answer;
    if (result.outcome === 'done') return result.revision;
    return result.outcome === 'unknown' ? this.readWhetherOurs(lease, term) : null;
  }

  private askFor(lease: LeaseId, term: Term, termStamp: Version): Promise<TransactionResult> {
    const { leaseDurationMs: lifeMs, identity: me, store } = this.options;
    const guards = [
      { key: LEADER_KEY, stamp: 0 },
      { key: TERM_KEY, stamp: termStamp },
    ];
    const ops = [
      { put: LEADER_KEY, value: { ...me, term }, lease },
      { put: TERM_KEY, value: { term } },
    ];
    return store.transact(guards, ops, lifeMs);
  }

  /** No answer will come any more. */
  private async readWhetherOurs(lease: LeaseId, term: Term): Promise<Version | null> {
    for (let reads = 0; reads < MOST_READS; reads++) {
      const holder = await this.readHolder(lease, term);
      if (holder.who === 'us') return holder.stamp;
      if (holder.who !== 'unknown') return null;
      await sleep(this.options.clock, READS_APART_MS);
    }
    return null;
  }

  private async readHolder(lease: LeaseId, term: Term): Promise<Holder> {
    const { leaseDurationMs: lifeMs, identity: me, store } = this.options;
    const item = await store.get(LEADER_KEY, lifeMs);
    if (item === undefined) return NOT_READ;
    if (item === null) return { who: 'nobody' };
    const value = readLeaderValue(item.value);
    const isOurs = value?.run === me.run && value.term === term && item.leaseId === lease;
    return isOurs ? { who: 'us', stamp: item.version } : { who: 'another' };
  }

  /** Somebody else leads, or may lead. */
  markLost(why: string): void {
    if (!this.current) return;
    this.options.logger.info(
      { term: this.current.term, why, renewals: this.renewalStatistics() },
      'lock lost',
    );
    this.current = null;
    this.lease?.stop();
    this.options.onLost(why);
  }

  /** Gives the lock away, so that another need not wait for the lease to run out. */
  release(why: string): void {
    const { current: held, lease } = this;
    this.markLost(why);
    if (held && lease) void lease.end();
  }
}
