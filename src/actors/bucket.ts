import type { Steady } from '../core/types.js';
import type { Clock } from '../io/clock.js';

/** What may be asked of a service: so many a second, and a burst that has been saved up. */
export class Bucket {
  private tokens: number;
  private at: Steady;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
    readonly burst: number,
  ) {
    this.tokens = burst;
    this.at = clock.steady();
  }

  get left(): number {
    const now = this.clock.steady();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    return this.tokens;
  }

  take(n: number): void {
    this.tokens = this.left - n;
  }

  /** Milliseconds until one may be taken; none or less when one may be now. */
  get wait(): number {
    return ((1 - this.left) / this.perSecond) * 1000;
  }
}
