/** Whether this node keeps up with its work: standstills of the process, and ticks that come late. */
import type { SteadyMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';

/** Ticks come this often; one that is late by more shows a node that is behind with its work. */
const TICK_MS = 1000;
const LATE_TICK_MS = 500;
/** So long after a late tick the node counts as behind. */
const BEHIND_MS = 2000;
/** Nothing ran here for so long: the process stood still, which says nothing about the machines. */
const STOOD_STILL_MS = 2500;
/** What queued while the process stood still is read within this time after. */
const QUEUED_MS = 500;

export class StallMonitor {
  /** Silence of others counts from here on at the earliest: the take-over, or the end of a standstill. */
  observingSince: SteadyMs;
  private lastStep: SteadyMs;
  private wokeAt = -Infinity;
  private tickedAt = Infinity;
  private behindUntil = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.observingSince = this.lastStep = clock.steady();
  }

  /** To be called whenever something is handled. */
  noteActivity(): void {
    const now = this.clock.steady();
    if (now - this.lastStep > STOOD_STILL_MS) {
      this.logger.info({ ms: Math.round(now - this.lastStep) }, 'stood still');
      this.observingSince = now;
      this.wokeAt = now;
    }
    this.lastStep = now;
  }

  /** To be called each second, as near as the node gets to it. */
  tick(): void {
    const now = this.clock.steady();
    if (now - this.tickedAt > TICK_MS + LATE_TICK_MS) this.behindUntil = now + BEHIND_MS;
    this.tickedAt = now;
  }

  /** Whether more is to be done here than the processor does in time. */
  isBehind(): boolean {
    return this.clock.steady() < this.behindUntil;
  }

  /** Whether what arrives now may have queued during a standstill, so that it proves nobody alive. */
  mayHaveQueued(): boolean {
    return this.clock.steady() - this.wokeAt <= QUEUED_MS;
  }
}
