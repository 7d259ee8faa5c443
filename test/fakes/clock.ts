import type { Steady, Wall } from '../../src/core/types.js';
import type { Cancel, Clock } from '../../src/io/clock.js';

const quiet = (): Promise<void> => new Promise((ok) => setImmediate(ok));

/** Time that passes only when a story says so. */
export class VirtualTime {
  now = 0;
  private seq = 0;
  private timers: { at: number; seq: number; run: () => void }[] = [];

  after(ms: number, run: () => void): Cancel {
    const t = { at: this.now + Math.max(0, ms), seq: this.seq++, run };
    let lo = 0;
    let hi = this.timers.length;
    while (lo < hi) {
      const mid = (lo + hi) >> 1;
      const m = this.timers[mid]!;
      if (m.at < t.at || (m.at === t.at && m.seq < t.seq)) lo = mid + 1;
      else hi = mid;
    }
    this.timers.splice(lo, 0, t);
    return () => {
      const i = this.timers.indexOf(t);
      if (i >= 0) this.timers.splice(i, 1);
    };
  }

  async run(ms: number): Promise<void> {
    const end = this.now + ms;
    await quiet();
    for (;;) {
      const t = this.timers[0];
      if (!t || t.at > end) break;
      this.timers.shift();
      this.now = t.at;
      t.run();
      // Timers of the same instant run together; promises settle before time moves on.
      if (this.timers[0]?.at !== this.now) await quiet();
    }
    this.now = end;
  }

  async until(what: () => boolean, mostMs: number): Promise<boolean> {
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
  steady(): Steady {
    return (this.time.now * this.rate) as Steady;
  }
  wall(): Wall {
    return Math.round(1_700_000_000_000 + this.time.now + this.off) as Wall;
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
