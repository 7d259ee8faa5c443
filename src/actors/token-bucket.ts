/** A token bucket that limits the rate of requests to a service. */
import type { SteadyMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';

/** Allows `perSecond` requests per second and bursts of up to `burst` requests. */
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

  /** Number of tokens available now; negative if more were taken than were available. */
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

  /** Milliseconds until a token is available; zero or less if one is available now. */
  get waitMs(): number {
    return ((1 - this.available) / this.perSecond) * 1000;
  }
}
