/**
 * Schedules the calls that tell workers about a new leader's term. From then on a worker drops the answers of
 * the former leader. Workers that were not reached are called again, with exponential backoff.
 */
import type { MachineId, SteadyMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import { DIRECT_CALL_TIMEOUT_MS } from './direct-calls.js';

const INITIAL_BACKOFF_MS = 2000;
const MAX_BACKOFF_MS = 15_000;

/** Schedules the announcements of one leader's term. */
export class TermAnnouncements {
  private readonly attempts = new Map<MachineId, { nextAt: SteadyMs; backoffMs: number }>();

  constructor(private readonly clock: Clock) {}

  /** Whether a machine should be called now. If so, schedules the next call to it. */
  scheduleIfDue(machine: MachineId): boolean {
    const now = this.clock.steady();
    const { nextAt, backoffMs } = this.attempts.get(machine) ?? {
      nextAt: now,
      backoffMs: INITIAL_BACKOFF_MS,
    };
    if (nextAt > now) return false;
    this.attempts.set(machine, {
      nextAt: (now + DIRECT_CALL_TIMEOUT_MS + backoffMs) as SteadyMs,
      backoffMs: Math.min(MAX_BACKOFF_MS, backoffMs * 2),
    });
    return true;
  }

  /** Removes machines that are no longer in the cluster. */
  keepOnly(machines: ReadonlyMap<MachineId, unknown>): void {
    for (const id of this.attempts.keys()) if (!machines.has(id)) this.attempts.delete(id);
  }
}
