/** The lock of the leader: a key on a lease, taken together with the next term. */
import type { Term } from '../core/types.js';
import { sleep, type Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import type { Measure } from '../io/metrics.js';
import { LEADER, TERM, type LeaderValue } from '../wire/keys.js';
import type { LeaseId, Stamp, Store } from '../wire/store.js';
import { KeptLease, type RenewalFigures } from './lease.js';

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
export const lockMs = (cpuShare: number, workerLeaseS: number): number => {
  const longest = workerLeaseS * 1000 * LOCK_OF_WORKER_LEASE;
  return Math.round(Math.max(SHORTEST_LOCK_MS, Math.min(LOCK_PROCESSOR_MS / cpuShare, longest)));
};

export interface Held {
  term: Term;
  stamp: Stamp;
}

export interface LockOptions {
  store: Store;
  clock: Clock;
  logger: Logger;
  measure: Measure;
  /** Who takes it; the term is filled in. */
  me: LeaderValue;
  /** The lease's time, in milliseconds. */
  lifeMs: number;
  onLost: (why: string) => void;
}

export class Lock {
  /** A take-over is under way: what becomes of it is not known. */
  contending = false;
  private lease: KeptLease | null = null;
  private held: Held | null = null;

  constructor(private readonly options: LockOptions) {}

  /** Past this a leader decides nothing and asserts nothing that could have changed. */
  certain(): boolean {
    return this.held !== null && this.lease !== null && this.lease.isValid();
  }

  /** Until when the lock is certain, or was. */
  get endsAt(): number {
    return this.held && this.lease ? this.lease.endsAt : -Infinity;
  }

  /** Milliseconds since the lock was last certain; 0 while it is. */
  uncertainFor(): number {
    return Math.max(0, this.options.clock.steady() - this.endsAt);
  }

  /** Milliseconds since a renewal was answered in time; 0 without the lock. */
  get untimelyMs(): number {
    return this.held && this.lease ? this.lease.untimelyMs : 0;
  }

  get holding(): Held | null {
    return this.held;
  }

  /** Of the lock that is held, or was held last. */
  figures(): RenewalFigures | null {
    return this.lease?.figures ?? null;
  }

  /** Tries to take the free lock. The term is raised in the same transaction. */
  async contend(): Promise<Held | null> {
    const { lifeMs, store } = this.options;
    const former = await store.get(TERM, lifeMs);
    if (former === undefined) return null;
    const term = ((former === null ? 0 : (former.value as { term: number }).term) + 1) as Term;
    const lease = await this.newLease();
    if (!lease) return null;
    this.contending = true;
    const stamp = await this.take(lease.id, term, former?.stamp ?? 0);
    this.contending = false;
    if (stamp === null || this.lease !== lease) {
      void lease.end();
      return null;
    }
    this.held = { term, stamp };
    return this.held;
  }

  /** A lease that is renewed from now on: what is still to be asked may take longer than it lasts. */
  private async newLease(): Promise<KeptLease | null> {
    const { clock, lifeMs, logger, measure, store } = this.options;
    const askedAt = clock.steady();
    const id = await store.lease(lifeMs, lifeMs);
    if (id === undefined) return null;
    const lease: KeptLease = new KeptLease({
      ...{ store, clock, logger, measure, id, lifeMs, askedAt },
      onEnded: () => this.leaseEnded(lease),
    });
    this.lease = lease;
    return lease;
  }

  private leaseEnded(lease: KeptLease): void {
    lease.stop();
    if (this.lease !== lease) return;
    if (this.held) this.lose('the lease ended');
    else this.lease = null;
  }

  private async take(lease: LeaseId, term: Term, termStamp: Stamp): Promise<Stamp | null> {
    const { lifeMs, me, store } = this.options;
    const answer = await store.txn(
      [
        { key: LEADER, stamp: 0 },
        { key: TERM, stamp: termStamp },
      ],
      [
        { put: LEADER, value: { ...me, term }, lease },
        { put: TERM, value: { term } },
      ],
      lifeMs,
    );
    if (answer.r === 'done') return answer.revision;
    return answer.r === 'unknown' ? this.readTaken(lease, term) : null;
  }

  /** The transaction got no answer: the key says whether it was carried out. */
  private async readTaken(lease: LeaseId, term: Term): Promise<Stamp | null> {
    const { clock, lifeMs, me, store } = this.options;
    for (let reads = 0; reads < MOST_READS; reads++) {
      const item = await store.get(LEADER, lifeMs);
      const value = item?.value as LeaderValue | undefined;
      if (item && value?.run === me.run && value.term === term && item.lease === lease) return item.stamp;
      if (item !== undefined) return null;
      await sleep(clock, READS_APART_MS);
    }
    return null;
  }

  /** Somebody else leads, or may lead. */
  lose(why: string): void {
    if (!this.held) return;
    this.options.logger.info({ term: this.held.term, why, renewals: this.figures() }, 'lock lost');
    this.held = null;
    this.lease?.stop();
    this.options.onLost(why);
  }

  /** Gives the lock away, so that another need not wait for the lease to run out. */
  release(why: string): void {
    const { held, lease } = this;
    this.lose(why);
    if (held && lease) void lease.end();
  }
}
