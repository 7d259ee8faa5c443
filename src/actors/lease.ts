/** A lease of the state service that is kept alive by renewals. */
import type { SteadyMs } from '../core/types.js';
import type { Cancel, Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import type { Measure } from '../io/metrics.js';
import type { LeaseId, RenewalResult, StateServiceClient } from '../wire/store.js';

/** The worst difference between two steady clocks, doubled. */
export const MAX_CLOCK_DRIFT = 0.001;
/** Renewals are sent this often in a lease's time. As many may be open at once, since none waits for longer. */
const RENEWALS_PER_LEASE = 4;
/** Requests to end a lease, until one is answered. */
const MOST_END_REQUESTS = 4;

/** What became of the renewals of a lease. */
export interface RenewalStatistics {
  sent: number;
  /** Answered so soon that the next one overlaps. */
  timely: number;
  /** Answered later than that. */
  late: number;
  refused: number;
  /** Given up: an answer could prove nothing any more. */
  unanswered: number;
  /** Milliseconds in which the lease was not known to last, before an answer showed that it does. */
  uncertainMs: number;
}

export interface LeaseOptions {
  store: StateServiceClient;
  clock: Clock;
  logger: Logger;
  measure: Measure;
  id: LeaseId;
  /** The lease's time, in milliseconds. */
  leaseDurationMs: number;
  /** When the request was sent that made it. */
  requestedAt: SteadyMs;
  /** The state service says that it ended. */
  onEnded: () => void;
}

/**
 * Keeps a lease alive from when it is made. Its time counts from when the answered request was *sent*: the lease
 * can't have started earlier than that, so it can't end before what is believed here. An answer is waited for as
 * long as it can still prove something, which is the lease's time.
 */
export class RenewedLease {
  readonly statistics: RenewalStatistics = {
    ...{ sent: 0, timely: 0, late: 0, refused: 0, unanswered: 0 },
    uncertainMs: 0,
  };
  private validUntil: number;
  private timelyAt: number;
  private stopped = false;
  private cancelRenewal: Cancel;

  constructor(private readonly options: LeaseOptions) {
    const { requestedAt: askedAt, clock } = options;
    this.validUntil = this.validFrom(askedAt);
    this.timelyAt = clock.steady();
    // The lease's time may be half over when its number is known: the first renewal is due by then.
    const sinceAskedMs = clock.steady() - askedAt;
    this.cancelRenewal = clock.after(Math.max(0, this.renewalMs - sinceAskedMs), () => this.renew());
  }

  get id(): LeaseId {
    return this.options.id;
  }

  /** The lease lasts until then at the least. */
  get earliestExpiry(): number {
    return this.validUntil;
  }

  /** Whether the lease is certain to last at this moment. */
  isValid(): boolean {
    return this.options.clock.steady() < this.validUntil;
  }

  /** Milliseconds since a renewal was answered in time. */
  get sinceTimelyRenewalMs(): number {
    return this.options.clock.steady() - this.timelyAt;
  }

  /** No more renewals; what is open may still be carried out. */
  stop(): void {
    this.stopped = true;
    this.cancelRenewal();
  }

  /** Ends the lease now, so that its keys need not wait for its time to run out. */
  async end(): Promise<void> {
    this.stop();
    for (let requests = 0; requests < MOST_END_REQUESTS; requests++)
      if (await this.options.store.revokeLease(this.id)) return;
  }

  private get renewalMs(): number {
    return this.options.leaseDurationMs / RENEWALS_PER_LEASE;
  }

  private validFrom(sentAt: SteadyMs): number {
    return sentAt + this.options.leaseDurationMs * (1 - MAX_CLOCK_DRIFT);
  }

  private renew(): void {
    const { clock, leaseDurationMs: lifeMs, store } = this.options;
    if (this.stopped) return;
    this.cancelRenewal = clock.after(this.renewalMs, () => this.renew());
    const sentAt = clock.steady();
    this.statistics.sent++;
    void store.renewLease(this.id, lifeMs).then((answer) => this.take(answer, sentAt));
  }

  private take(answer: RenewalResult, sentAt: SteadyMs): void {
    const { clock, leaseDurationMs: lifeMs, logger, measure, onEnded } = this.options;
    const tookMs = clock.steady() - sentAt;
    const isTimely = answer === 'ok' && tookMs <= lifeMs - this.renewalMs;
    this.count(answer, isTimely);
    if (!isTimely) logger.debug({ lease: this.id, answer, tookMs, ...this.statistics }, 'renewal');
    if (this.stopped) return;
    if (answer === 'ended') onEnded();
    if (answer !== 'ok') return;
    measure('renewal', tookMs);
    if (isTimely) this.timelyAt = clock.steady();
    this.extend(this.validFrom(sentAt));
  }

  private count(answer: RenewalResult, isTimely: boolean): void {
    if (answer === 'unanswered') this.statistics.unanswered++;
    else if (answer !== 'ok') this.statistics.refused++;
    else if (isTimely) this.statistics.timely++;
    else this.statistics.late++;
  }

  private extend(until: number): void {
    const now = this.options.clock.steady();
    if (until <= this.validUntil) return;
    if (now > this.validUntil && now < until) this.statistics.uncertainMs += now - this.validUntil;
    this.validUntil = until;
  }
}
