import TinyQueue from 'tinyqueue';
import type { SteadyMs, WallMs } from '../../src/core/types.js';
import type { Cancel, Clock } from '../../src/io/clock.js';

const quiet = (): Promise<void> => new Promise((ok) => setImmediate(ok));

interface Timer {
  at: number;
  /** Timers of the same instant run in the order in which they were set. */
  seq: number;
  /** null: cancelled. */
  run: (() => void) | null;
}

/** Time that passes only when a story says so. */
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

  async run(ms: number): Promise<void> {
    const end = this.now + ms;
    await quiet();
    for (;;) {
      const timer = this.next();
      if (!timer || timer.at > end) break;
      this.timers.pop();
      this.now = timer.at;
      timer.run?.();
      // Timers of the same instant run together; promises settle before time moves on.
      if (this.next()?.at !== this.now) await quiet();
    }
    this.now = end;
  }

  async runUntil(what: () => boolean, mostMs: number): Promise<boolean> {
    for (const end = this.now + mostMs; this.now < end;) {
      if (what()) return true;
      await this.run(100);
    }
    return what();
  }
}

/** One node's clocks: the steady one drifts, the wall clock is off, and a dead node has no timers. */
export class NodeClock implements Clock {
  dead = false;
  /** Until then the process stands still, while its clocks run on. */
  frozenUntil = 0;
  constructor(
    private readonly time: VirtualTime,
    private readonly rate: number,
    private readonly off: number,
  ) {}
  steady(): SteadyMs {
    return (this.time.now * this.rate) as SteadyMs;
  }
  wall(): WallMs {
    return Math.round(1_700_000_000_000 + this.time.now + this.off) as WallMs;
  }
  after(ms: number, run: () => void): Cancel {
    let cancel: Cancel = () => {};
    const due = (): void => {
      if (this.frozenUntil > this.time.now) cancel = this.time.after(this.frozenUntil - this.time.now, due);
      else if (!this.dead) run();
    };
    cancel = this.time.after(ms / this.rate, due);
    return () => cancel();
  }
}
