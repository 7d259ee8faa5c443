/** The leader lock: a key of the state service on a lease, written together with the next term. */
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
} from '../wire/state-service.js';
import { RenewedLease, type RenewalStatistics } from './lease.js';

const MIN_LOCK_LEASE_MS = 2500;
/** Processor time that the lease allows for; with a small share of a core it takes longer to get it. */
const LOCK_LEASE_PROCESSOR_MS = 340;
/** Largest share of a worker's lease: a take-over after the leader fails has to fit into the rest of it. */
const MAX_SHARE_OF_WORKER_LEASE = 1 / 3;
/** Maximum reads of the leader key after the transaction that writes it got no answer. */
const MAX_READS = 3;
const READ_INTERVAL_MS = 100;

/**
 * Lease of the leader key, in milliseconds: long enough that a leader's own work does not make it lose the
 * lock.
 */
export const lockLeaseDurationMs = (cpuShare: number, workerLeaseS: number): number => {
  const longestMs = workerLeaseS * 1000 * MAX_SHARE_OF_WORKER_LEASE;
  return Math.round(Math.max(MIN_LOCK_LEASE_MS, Math.min(LOCK_LEASE_PROCESSOR_MS / cpuShare, longestMs)));
};

/** The lock as it was acquired: the term, and the version of the leader key. */
export interface HeldLock {
  term: Term;
  version: Version;
}

/** Holder of the leader key, as far as it could be read. */
type Holder = { who: 'self'; version: Version } | { who: 'other' | 'none' | 'unknown' };
const NOT_READ: Holder = { who: 'unknown' };

export interface LockOptions {
  store: StateServiceClient;
  clock: Clock;
  logger: Logger;
  measure: Measure;
  /** Value of the leader key; the term is filled in when the lock is acquired. */
  identity: LeaderValue;
  leaseDurationMs: number;
  onLost: (why: string) => void;
}

/** The leader lock as one node sees it. */
export class Lock {
  /** Whether the transaction that takes the lock is under way: it may have been carried out already. */
  isAcquiring = false;
  private lease: RenewedLease | null = null;
  private current: HeldLock | null = null;

  constructor(private readonly options: LockOptions) {}

  /**
   * Whether the lease has certainly not expired. Without this a leader decides nothing, and asserts nothing
   * that another leader could have changed.
   */
  isCertain(): boolean {
    return this.current !== null && this.lease !== null && this.lease.isValid();
  }

  /** End of the time for which the lock is, or was, certain to be held. */
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

  /** The lock if this node holds it, certain or not. */
  get held(): HeldLock | null {
    return this.current;
  }

  /** Renewal statistics of the lease that is, or was last, used for the lock. */
  renewalStatistics(): RenewalStatistics | null {
    return this.lease?.statistics ?? null;
  }

  /** Tries once to acquire the lock; null if it is not acquired. The same transaction raises the term. */
  async tryAcquire(): Promise<HeldLock | null> {
    const { leaseDurationMs, store } = this.options;
    const previous = await store.get(TERM_KEY, leaseDurationMs);
    if (previous === undefined) return null;
    const previousTerm = previous === null ? 0 : readTermValue(previous.value);
    // An unreadable term has no known successor, and terms must never decrease.
    if (previousTerm === null) return null;
    const term = (previousTerm + 1) as Term;
    const lease = await this.newLease();
    if (!lease) return null;
    this.isAcquiring = true;
    const version = await this.writeKeys(lease.id, term, previous?.version ?? 0);
    this.isAcquiring = false;
    if (version === null || this.lease !== lease) {
      void lease.revoke();
      return null;
    }
    this.current = { term, version };
    return this.current;
  }

  /** Creates a lease and renews it from now on: the requests that follow may take longer than it lasts. */
  private async newLease(): Promise<RenewedLease | null> {
    const { clock, leaseDurationMs, logger, measure, store } = this.options;
    const requestedAt = clock.steady();
    const id = await store.grantLease(leaseDurationMs, leaseDurationMs);
    if (id === undefined) return null;
    const lease: RenewedLease = new RenewedLease({
      ...{ store, clock, logger, measure, id, leaseDurationMs, requestedAt },
      onEnded: () => this.onLeaseEnded(lease),
    });
    this.lease = lease;
    return lease;
  }

  private onLeaseEnded(lease: RenewedLease): void {
    lease.stop();
    if (this.lease !== lease) return;
    if (this.current) this.markLost('the lease ended');
    else this.lease = null;
  }

  /**
   * Writes the leader key and the term. Returns the version of the leader key if this node holds it; null if
   * it does not, or if that cannot be found out.
   */
  private async writeKeys(lease: LeaseId, term: Term, termVersion: Version): Promise<Version | null> {
    const answer = this.sendTransaction(lease, term, termVersion);
    const isInTime = await Promise.race([
      answer.then(() => true),
      sleep(this.options.clock, ANSWER_TIMEOUT_MS).then(() => false),
    ]);
    // The transaction may have been carried out although its answer is late or lost: the key shows it.
    const earlyHolder = isInTime ? NOT_READ : await this.readHolder(lease, term);
    if (earlyHolder.who === 'self') return earlyHolder.version;
    if (earlyHolder.who === 'other') return null;
    const result = await answer;
    if (result.outcome === 'done') return result.revision;
    return result.outcome === 'unknown' ? this.readOwnVersion(lease, term) : null;
  }

  private sendTransaction(lease: LeaseId, term: Term, termVersion: Version): Promise<TransactionResult> {
    const { leaseDurationMs, identity, store } = this.options;
    const guards = [
      { key: LEADER_KEY, stamp: 0 },
      { key: TERM_KEY, stamp: termVersion },
    ];
    const operations = [
      { put: LEADER_KEY, value: { ...identity, term }, lease },
      { put: TERM_KEY, value: { term } },
    ];
    return store.transact(guards, operations, leaseDurationMs);
  }

  /** Finds out from the leader key whether a transaction without an answer was carried out. */
  private async readOwnVersion(lease: LeaseId, term: Term): Promise<Version | null> {
    for (let reads = 0; reads < MAX_READS; reads++) {
      const holder = await this.readHolder(lease, term);
      if (holder.who === 'self') return holder.version;
      if (holder.who !== 'unknown') return null;
      await sleep(this.options.clock, READ_INTERVAL_MS);
    }
    return null;
  }

  private async readHolder(lease: LeaseId, term: Term): Promise<Holder> {
    const { leaseDurationMs, identity, store } = this.options;
    const item = await store.get(LEADER_KEY, leaseDurationMs);
    if (item === undefined) return NOT_READ;
    if (item === null) return { who: 'none' };
    const value = readLeaderValue(item.value);
    const isOwn = value?.run === identity.run && value.term === term && item.leaseId === lease;
    return isOwn ? { who: 'self', version: item.version } : { who: 'other' };
  }

  /** Notes that the lock is lost: another node leads, or may lead. */
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

  /** Releases the lock, so that another node need not wait for the lease to expire. */
  release(why: string): void {
    const { current: held, lease } = this;
    this.markLost(why);
    if (held && lease) void lease.revoke();
  }
}
