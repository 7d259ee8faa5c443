import TinyQueue from 'tinyqueue';
import type { SteadyMs, WallMs } from '../../src/core/types.js';
import type { Cancel, Clock } from '../../src/io/clock.js';

/** Settles when all promise callbacks and immediates that are due have run. */
const settlePromises = (): Promise<void> => new Promise((done) => setImmediate(done));

interface Timer {
  at: number;
  /** Timers of the same instant run in the order in which they were set. */
  seq: number;
  /** null: cancelled. */
  run: (() => void) | null;
}

/** Simulated time with its timers. It advances only in `run` and `runUntil`. */
export class VirtualTime {
  now = 0;
  private seq = 0;
  private readonly timers = new TinyQueue<Timer>([], (a, b) => a.at - b.at || a.seq - b.seq);

  after(ms: number, run: () => void): Cancel {
    const timer: Timer = { at: this.now + Math.max(0, ms), seq: this.seq++, run };
    this.timers.push(timer);
    return () => (timer.run = null);
  }

  /** The next timer that was not cancelled. */
  private next(): Timer | undefined {
    while (this.timers.peek()?.run === null) this.timers.pop();
    return this.timers.peek();
  }

  /** Advances the time by `ms` and runs the timers that become due on the way. */
  async run(ms: number): Promise<void> {
    const end = this.now + ms;
    await settlePromises();
    for (;;) {
      const timer = this.next();
      if (!timer || timer.at > end) break;
      this.timers.pop();
      this.now = timer.at;
      timer.run?.();
      // Timers of the same instant run together; promises settle before the time advances.
      if (this.next()?.at !== this.now) await settlePromises();
    }
    this.now = end;
  }

  /** Advances the time until the condition holds, at most by `maxMs`; returns whether it holds. */
  async runUntil(condition: () => boolean, maxMs: number): Promise<boolean> {
    for (const end = this.now + maxMs; this.now < end;) {
      if (condition()) return true;
      await this.run(100);
    }
    return condition();
  }
}

/**
 * The clocks of one node: the steady clock runs at `rate`, the wall clock is `offsetMs` ahead, and the timers
 * of a node that has crashed don't fire.
 */
export class NodeClock implements Clock {
  /** The process has crashed. */
  dead = false;
  /** Until then the process is paused: its timers are held back while its clocks run on. */
  frozenUntil = 0;
  constructor(
    private readonly time: VirtualTime,
    private readonly rate: number,
    private readonly offsetMs: number,
  ) {}
  steady(): SteadyMs {
    return (this.time.now * this.rate) as SteadyMs;
  }
  wall(): WallMs {
    return Math.round(1_700_000_000_000 + this.time.now + this.offsetMs) as WallMs;
  }
  after(ms: number, run: () => void): Cancel {
    let cancel: Cancel = () => {};
    const fire = (): void => {
      if (this.frozenUntil > this.time.now) cancel = this.time.after(this.frozenUntil - this.time.now, fire);
      else if (!this.dead) run();
    };
    cancel = this.time.after(ms / this.rate, fire);
    return () => cancel();
  }
}
