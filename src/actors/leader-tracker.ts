/** What a node that does not lead learns of the leader from its peers, and which workers contact it. */
import type { MachineId, SteadyMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { PeerStatus } from '../io/peers.js';
import { STATUS_MAX_AGE_MS } from './state-service-monitor.js';

/** A worker counts as heard for this long after a report: a report period and a margin. */
export const WORKER_HEARD_MAX_AGE_MS = 4000;

/** Tracks the leader and the workers as seen by one node. */
export class LeaderTracker {
  private leaderHeardAt = -Infinity;
  private holderInDoubtAt = -Infinity;
  private readonly requestedAt = new Map<MachineId, SteadyMs>();

  constructor(private readonly clock: Clock) {}

  noteStatus(status: PeerStatus): void {
    if (status.leading) this.leaderHeardAt = this.clock.steady();
    if (status.inDoubt) this.holderInDoubtAt = this.clock.steady();
  }

  /** Whether a peer has said within this time that it leads with a lock that is certain. */
  isLeaderHeard(withinMs = STATUS_MAX_AGE_MS): boolean {
    return this.clock.steady() - this.leaderHeardAt < withinMs;
  }

  /** Whether the holder of the lock has recently said that the state service does not answer it in time. */
  isHolderInDoubt(): boolean {
    return this.clock.steady() - this.holderInDoubtAt < STATUS_MAX_AGE_MS;
  }

  noteWorkerRequest(machine: MachineId): void {
    this.requestedAt.set(machine, this.clock.steady());
  }

  /** Number of workers that contacted this node recently. */
  countRequestingWorkers(): number {
    const oldest = this.clock.steady() - WORKER_HEARD_MAX_AGE_MS;
    for (const [machine, at] of this.requestedAt) if (at < oldest) this.requestedAt.delete(machine);
    return this.requestedAt.size;
  }
}
