/** Limits the rate of requests to a service. */
import type { SteadyMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';

/** Allows `perSecond` requests a second, and a burst of those that were not used before. */
export class TokenBucket {
  private tokens: number;
  private refilledAt: SteadyMs;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
    readonly burst: number,
  ) {
    this.tokens = burst;
    this.refilledAt = clock.steady();
  }

  /** Tokens that may be taken now; below zero after more were taken than there were. */
  get available(): number {
    const now = this.clock.steady();
    const refill = ((now - this.refilledAt) / 1000) * this.perSecond;
    this.tokens = Math.min(this.burst, this.tokens + refill);
    this.refilledAt = now;
    return this.tokens;
  }

  take(count: number): void {
    this.tokens = this.available - count;
  }

  /** Milliseconds until a token is there; zero or less when there is one. */
  get waitMs(): number {
    return ((1 - this.available) / this.perSecond) * 1000;
  }
}
