import type { Term } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import { LEADER, TERM, type LeaderValue } from '../wire/keys.js';
import type { LeaseId, Stamp, Store } from '../wire/store.js';

export interface Held {
  term: Term;
  stamp: Stamp;
}

/** The worst difference between two steady clocks, doubled. */
export const DRIFT = 0.001;

/**
 * The leader key on a lease of ours. Its time counts from when the renewal was sent: the lease
 * can't have started earlier than that, so it can't end before what is believed here.
 */
export class Lock {
  private lease: LeaseId | null = null;
  private until = -Infinity;
  private held: Held | null = null;
  private stopRenewing: (() => void) | null = null;

  constructor(
    private readonly store: Store,
    private readonly clock: Clock,
    private readonly me: LeaderValue,
    private readonly ttl: number,
    private readonly log: Logger,
    private readonly onLost: (why: string) => void,
  ) {}

  /** Past this a leader decides nothing and asserts nothing that could have changed. */
  certain(): boolean {
    return this.held !== null && this.clock.steady() < this.until;
  }

  /** Until when the lock is certain, or was. */
  get endsAt(): number {
    return this.until;
  }

  /** A take-over is under way: what becomes of it is not known. */
  contending = false;

  /** Milliseconds since the lock was last certain; 0 while it is. */
  uncertainFor(): number {
    return Math.max(0, this.clock.steady() - this.until);
  }

  get holding(): Held | null {
    return this.held;
  }

  /** Tries to take the free lock. The term is raised in the same transaction. */
  async contend(): Promise<Held | null> {
    const t = await this.store.get(TERM);
    if (t === undefined) return null;
    const old = t === null ? 0 : (t.value as { term: number }).term;
    const sent = this.clock.steady();
    const lease = await this.store.lease(this.ttl);
    if (lease === undefined) return null;
    const term = (old + 1) as Term;
    this.contending = true;
    const stamp = await this.take(lease, term, t?.stamp ?? 0);
    this.contending = false;
    if (stamp === null) {
      void this.store.endLease(lease);
      return null;
    }
    this.lease = lease;
    this.until = sent + this.ttl * (1 - DRIFT);
    this.held = { term, stamp };
    this.renewLoop();
    return this.held;
  }

  private async take(lease: LeaseId, term: Term, termStamp: Stamp): Promise<Stamp | null> {
    const r = await this.store.txn(
      [
        { key: LEADER, stamp: 0 },
        { key: TERM, stamp: termStamp },
      ],
      [
        { put: LEADER, value: { ...this.me, term }, lease },
        { put: TERM, value: { term } },
      ],
    );
    if (r.r === 'done') return r.revision;
    if (r.r !== 'unknown') return null;
    const k = await this.store.get(LEADER);
    const v = k?.value as LeaderValue | undefined;
    return k && v?.run === this.me.run && v.term === term && k.lease === lease ? k.stamp : null;
  }

  private renewLoop(): void {
    const mine = this.held;
    const every = this.ttl / 4;
    let open = 0;
    const tick = (): void => {
      if (this.held !== mine || this.lease === null) return;
      this.stopRenewing = this.clock.after(every, tick);
      if (open >= 2) return;
      open++;
      const sent = this.clock.steady();
      void this.store.renew(this.lease).then((r) => {
        open--;
        if (this.held !== mine) return;
        if (r === 'ok') this.until = Math.max(this.until, sent + this.ttl * (1 - DRIFT));
        else
          this.log.debug({ term: mine?.term, answer: r, sentMsAgo: this.clock.steady() - sent }, 'renewal');
        if (r === 'ended') this.lose('the lease ended');
      });
    };
    this.stopRenewing = this.clock.after(every, tick);
  }

  lose(why: string): void {
    if (!this.held) return;
    this.log.info({ term: this.held.term, why }, 'lock lost');
    this.held = null;
    this.until = -Infinity;
    this.stopRenewing?.();
    this.onLost(why);
  }

  /** Gives the lock away, so that another need not wait for the lease to run out. */
  release(why: string): void {
    const l = this.lease;
    this.lose(why);
    this.lease = null;
    if (l !== null) void this.store.endLease(l);
  }
}
