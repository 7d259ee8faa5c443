/** Wall clock, steady clock and timers. */
import type { SteadyMs, WallMs } from '../core/types.js';

/** Cancels a timer; has no effect once it has fired. */
export type Cancel = () => void;

/** Source of time and timers for the actors; tests replace it with a virtual clock. */
export interface Clock {
  /** Never set back; for durations and deadlines within one process. */
  steady(): SteadyMs;
  /** Time of day; for times that are stored or sent to other nodes. */
  wall(): WallMs;
  after(ms: number, callback: () => void): Cancel;
}

export const realClock: Clock = {
  steady: () => (Number(process.hrtime.bigint() / 1000n) / 1000) as SteadyMs,
  wall: () => Date.now() as WallMs,
  after: (ms, callback) => {
    const timer = setTimeout(callback, ms);
    return () => clearTimeout(timer);
  },
};

export const sleep = (clock: Clock, ms: number): Promise<void> =>
  new Promise((resolve) => void clock.after(ms, resolve));
