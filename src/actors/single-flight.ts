/** Coalesces calls of a costly operation. */
import type { SteadyMs } from '../core/types.js';
import { sleep, type Clock } from '../io/clock.js';

/**
 * Runs an operation at most once at a time for all callers. A run that began before a call can't answer it,
 * so calls during a run share the next one; runs begin at least `intervalMs` apart.
 */
export class SingleFlight<T> {
  private current: Promise<T> | null = null;
  private next: Promise<T> | null = null;
  private startedAt: SteadyMs | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly intervalMs: number,
    private readonly operation: () => Promise<T>,
  ) {}

  /** The result of a run that begins at this call or later. */
  get(): Promise<T> {
    if (!this.current) return (this.current = this.run());
    this.next ??= this.current.then(() => {
      this.next = null;
      return (this.current = this.run());
    });
    return this.next;
  }

  private async run(): Promise<T> {
    const earliest = this.startedAt === null ? 0 : this.startedAt + this.intervalMs;
    await sleep(this.clock, Math.max(0, earliest - this.clock.steady()));
    this.startedAt = this.clock.steady();
    try {
      return await this.operation();
    } finally {
      this.current = null;
    }
  }
}
