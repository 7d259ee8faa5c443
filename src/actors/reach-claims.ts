/**
 * Reach claims: a controller that hears nothing from the leader, and that workers contact, says so in the
 * state service. There is no other way to a leader that is cut off from everything but the state service.
 */
import type { NodeId, SteadyMs, Term } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import { REACH_PREFIX, reachKey, readReachClaim, type ReachClaim } from '../wire/keys.js';
import type { StateServiceClient } from '../wire/state-service.js';

/** Shortest interval between two claims of a node. */
const CLAIM_INTERVAL_MS = 1000;

/** Writes the claims of this node, and reads those of all nodes. */
export class ReachClaims {
  private publishedAt = -Infinity as SteadyMs;

  constructor(
    private readonly store: StateServiceClient,
    private readonly clock: Clock,
    private readonly nodeId: NodeId,
  ) {}

  /** Writes how many workers contact this node, under the term of the leader that it can't hear. */
  publish(term: Term, workers: number): void {
    if (this.clock.steady() - this.publishedAt < CLAIM_INTERVAL_MS) return;
    this.publishedAt = this.clock.steady();
    void this.store.transact([], [{ put: reachKey(this.nodeId), value: { term, workers } }]);
  }

  /** The latest claim of each node; empty if they can't be read. Malformed claims are left out. */
  async read(): Promise<ReachClaim[]> {
    const list = await this.store.list(REACH_PREFIX, null);
    return (list?.items ?? []).flatMap((item) => readReachClaim(item) ?? []);
  }
}
