import type { SteadyMs, WallMs } from '../core/types.js';

export type Cancel = () => void;

/** Time as the actors know it; tests put a virtual one in its place. */
export interface Clock {
  steady(): SteadyMs;
  wall(): WallMs;
  after(ms: number, run: () => void): Cancel;
}

export const realClock: Clock = {
  steady: () => (Number(process.hrtime.bigint() / 1000n) / 1000) as SteadyMs,
  wall: () => Date.now() as WallMs,
  after: (ms, run) => {
    const t = setTimeout(run, ms);
    return () => clearTimeout(t);
  },
};

export const sleep = (clock: Clock, ms: number): Promise<void> =>
  new Promise((done) => void clock.after(ms, done));
