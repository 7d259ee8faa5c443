/**
 * Calls that tell workers of a new leader's term. A worker that a former leader still holds drops that one's
 * answers from then on. Whoever was not reached is called again, after ever longer pauses.
 */
import type { MachineId, SteadyMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import { DIRECT_CALL_MS } from './direct-calls.js';

const FIRST_PAUSE_MS = 2000;
const LONGEST_PAUSE_MS = 15_000;

export class Introductions {
  private readonly attempts = new Map<MachineId, { nextAt: SteadyMs; pauseMs: number }>();

  constructor(private readonly clock: Clock) {}

  /** Whether a machine is to be called now; if so, the next call is planned. */
  isDue(machine: MachineId): boolean {
    const now = this.clock.steady();
    const { nextAt, pauseMs } = this.attempts.get(machine) ?? { nextAt: now, pauseMs: FIRST_PAUSE_MS };
    if (nextAt > now) return false;
    this.attempts.set(machine, {
      nextAt: (now + DIRECT_CALL_MS + pauseMs) as SteadyMs,
      pauseMs: Math.min(LONGEST_PAUSE_MS, pauseMs * 2),
    });
    return true;
  }

  /** Forgets machines that are gone. */
  keepOnly(machines: ReadonlyMap<MachineId, unknown>): void {
    for (const id of this.attempts.keys()) if (!machines.has(id)) this.attempts.delete(id);
  }
}
