/** Detects whether this node keeps up with its work: stalls of the process, and late ticks. */
import type { SteadyMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';

/** Interval of a leader's ticks. */
export const TICK_INTERVAL_MS = 1000;
/** A tick that is later than this shows that the node is behind with its work. */
const LATE_TICK_MS = 500;
/** The node counts as behind for this long after a late tick. */
const BEHIND_MS = 2000;
/** If nothing was handled for longer than this, the process was stalled: silence then proves nothing. */
const STALL_MS = 2500;
/** Messages that queued during a stall are read within this time after it. */
const QUEUE_DRAIN_MS = 500;

/** Notes activity and ticks of a node. */
export class StallMonitor {
  /** Start of the time in which silence of others counts: the take-over, or the end of the last stall. */
  observingSince: SteadyMs;
  private lastActivityAt: SteadyMs;
  private resumedAt = -Infinity;
  private lastTickAt = Infinity;
  private behindUntil = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.observingSince = this.lastActivityAt = clock.steady();
  }

  /** To be called whenever a message is handled. */
  noteActivity(): void {
    const now = this.clock.steady();
    if (now - this.lastActivityAt > STALL_MS) {
      this.logger.info({ ms: Math.round(now - this.lastActivityAt) }, 'stood still');
      this.observingSince = now;
      this.resumedAt = now;
    }
    this.lastActivityAt = now;
  }

  /** To be called each second, as closely as the node manages. */
  tick(): void {
    const now = this.clock.steady();
    if (now - this.lastTickAt > TICK_INTERVAL_MS + LATE_TICK_MS) this.behindUntil = now + BEHIND_MS;
    this.lastTickAt = now;
  }

  /** Whether the node has more work than its processor completes in time. */
  isBehind(): boolean {
    return this.clock.steady() < this.behindUntil;
  }

  /** Whether messages that arrive now may have queued during a stall, and prove no sender alive. */
  mayHaveQueued(): boolean {
    return this.clock.steady() - this.resumedAt <= QUEUE_DRAIN_MS;
  }
}
