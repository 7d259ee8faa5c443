/**
 * Claims in the state service: a controller that hears nothing of the leader, and that workers ask, says so there.
 * It is the only way to a leader that is cut off from all but the state service.
 */
import type { NodeId, SteadyMs, Term } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import { REACH_PREFIX, reachKey, readReachClaim, type ReachClaim } from '../wire/keys.js';
import type { StateServiceClient } from '../wire/store.js';

/** Claims of one node keep this distance. */
const CLAIMS_APART_MS = 1000;

export class ReachClaims {
  private claimedAt = -Infinity as SteadyMs;

  constructor(
    private readonly store: StateServiceClient,
    private readonly clock: Clock,
    private readonly me: NodeId,
  ) {}

  /** Says that so many workers ask this node, under the term of the leader that it can't hear. */
  publish(term: Term, workers: number): void {
    if (this.clock.steady() - this.claimedAt < CLAIMS_APART_MS) return;
    this.claimedAt = this.clock.steady();
    void this.store.transact([], [{ put: reachKey(this.me), value: { term, workers } }]);
  }

  /** What the nodes claimed last; empty when it can't be read. What is no claim proves nothing. */
  async read(): Promise<ReachClaim[]> {
    const found = await this.store.list(REACH_PREFIX, null);
    return (found?.items ?? []).flatMap((item) => readReachClaim(item) ?? []);
  }
}
