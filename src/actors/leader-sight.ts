/** What a node hears of the leader from its peers, and of workers that ask here while another leads. */
import type { MachineId, SteadyMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { PeerStatus } from '../io/peers.js';
import { STATUS_MAX_AGE_MS } from './state-service-doubt.js';

/** Workers count as heard for so long: a report's time and some more. */
export const WORKER_HEARD_MAX_AGE_MS = 4000;

export class LeaderTracker {
  private seenAt = -Infinity;
  private inDoubtAt = -Infinity;
  private readonly callers = new Map<MachineId, SteadyMs>();

  constructor(private readonly clock: Clock) {}

  noteStatus(status: PeerStatus): void {
    if (status.leading) this.seenAt = this.clock.steady();
    if (status.inDoubt) this.inDoubtAt = this.clock.steady();
  }

  /** Whether a peer said within that time that it leads, with a lock that is certain. */
  isLeaderHeard(withinMs = STATUS_MAX_AGE_MS): boolean {
    return this.clock.steady() - this.seenAt < withinMs;
  }

  /** Whether the holder of the lock said lately that it gets little done at the state service. */
  isHolderInDoubt(): boolean {
    return this.clock.steady() - this.inDoubtAt < STATUS_MAX_AGE_MS;
  }

  noteWorkerRequest(machine: MachineId): void {
    this.callers.set(machine, this.clock.steady());
  }

  /** Workers that asked here lately. */
  countRequestingWorkers(): number {
    const from = this.clock.steady() - WORKER_HEARD_MAX_AGE_MS;
    for (const [machine, at] of this.callers) if (at < from) this.callers.delete(machine);
    return this.callers.size;
  }
}
