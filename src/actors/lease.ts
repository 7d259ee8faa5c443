/** A lease of the state service that is kept alive by periodic renewals. */
import type { SteadyMs } from '../core/types.js';
import type { Cancel, Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import type { Measure } from '../io/metrics.js';
import type { LeaseId, RenewalResult, StateServiceClient } from '../wire/state-service.js';

/** Largest relative drift between two steady clocks, with a safety factor of two. */
export const MAX_CLOCK_DRIFT = 0.001;
/**
 * Renewals sent per lease duration. As many may be open at once, since none is waited for longer than that.
 */
const RENEWALS_PER_LEASE = 4;
/** Attempts to revoke a lease, until one is answered. */
const MAX_REVOKE_REQUESTS = 4;

/** Results of the renewals of a lease. */
export interface RenewalStatistics {
  sent: number;
  /** Answered at least one renewal interval before the lease could expire. */
  timely: number;
  /** Answered later than that. */
  late: number;
  refused: number;
  /** Given up, because an answer could no longer prove that the lease lasts. */
  unanswered: number;
  /** Milliseconds for which the lease was not known to last, until an answer showed that it did. */
  uncertainMs: number;
}

export interface LeaseOptions {
  store: StateServiceClient;
  clock: Clock;
  logger: Logger;
  measure: Measure;
  id: LeaseId;
  leaseDurationMs: number;
  /** When the request that created the lease was sent. */
  requestedAt: SteadyMs;
  /** Called when the state service says that the lease has ended. */
  onEnded: () => void;
}

/**
 * Renews a lease from its creation on. The lease counts as valid from when the answered request was *sent*:
 * it can't have started earlier than that, so it can't expire before the time that is assumed here. An answer
 * is waited for as long as it can still prove that the lease lasts, which is the lease duration.
 */
export class RenewedLease {
  readonly statistics: RenewalStatistics = {
    ...{ sent: 0, timely: 0, late: 0, refused: 0, unanswered: 0 },
    uncertainMs: 0,
  };
  private validUntil: number;
  private lastTimelyAt: number;
  private stopped = false;
  private cancelRenewal: Cancel;

  constructor(private readonly options: LeaseOptions) {
    const { requestedAt, clock } = options;
    this.validUntil = this.expiryIfSentAt(requestedAt);
    this.lastTimelyAt = clock.steady();
    // Half of the lease may be over when its id arrives, so the first renewal counts from the request.
    const sinceRequestMs = clock.steady() - requestedAt;
    this.cancelRenewal = clock.after(Math.max(0, this.renewalIntervalMs - sinceRequestMs), () =>
      this.renew(),
    );
  }

  get id(): LeaseId {
    return this.options.id;
  }

  /** The lease does not expire before this time. */
  get earliestExpiry(): number {
    return this.validUntil;
  }

  /** Whether the lease has certainly not expired. */
  isValid(): boolean {
    return this.options.clock.steady() < this.validUntil;
  }

  /** Milliseconds since a renewal was last answered in time. */
  get sinceTimelyRenewalMs(): number {
    return this.options.clock.steady() - this.lastTimelyAt;
  }

  /** Sends no more renewals; open ones may still be carried out. */
  stop(): void {
    this.stopped = true;
    this.cancelRenewal();
  }

  /** Revokes the lease, so that its keys are removed before it would expire. */
  async revoke(): Promise<void> {
    this.stop();
    for (let attempt = 0; attempt < MAX_REVOKE_REQUESTS; attempt++)
      if (await this.options.store.revokeLease(this.id)) return;
  }

  private get renewalIntervalMs(): number {
    return this.options.leaseDurationMs / RENEWALS_PER_LEASE;
  }

  private expiryIfSentAt(sentAt: SteadyMs): number {
    return sentAt + this.options.leaseDurationMs * (1 - MAX_CLOCK_DRIFT);
  }

  private renew(): void {
    const { clock, leaseDurationMs, store } = this.options;
    if (this.stopped) return;
    this.cancelRenewal = clock.after(this.renewalIntervalMs, () => this.renew());
    const sentAt = clock.steady();
    this.statistics.sent++;
    void store.renewLease(this.id, leaseDurationMs).then((answer) => this.noteAnswer(answer, sentAt));
  }

  private noteAnswer(answer: RenewalResult, sentAt: SteadyMs): void {
    const { clock, leaseDurationMs, logger, measure, onEnded } = this.options;
    const tookMs = clock.steady() - sentAt;
    const isTimely = answer === 'ok' && tookMs <= leaseDurationMs - this.renewalIntervalMs;
    this.countAnswer(answer, isTimely);
    if (!isTimely) logger.debug({ lease: this.id, answer, tookMs, ...this.statistics }, 'renewal');
    if (this.stopped) return;
    if (answer === 'ended') onEnded();
    if (answer !== 'ok') return;
    measure('renewal', tookMs);
    if (isTimely) this.lastTimelyAt = clock.steady();
    this.extend(this.expiryIfSentAt(sentAt));
  }

  private countAnswer(answer: RenewalResult, isTimely: boolean): void {
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
