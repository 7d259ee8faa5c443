/**
 * Decides whether a leader that no worker reaches releases the lock: only if there is a peer that is alive
 * and that workers reach.
 */
import type { SteadyMs, Term } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { ReceivedStatus } from '../io/peers.js';
import type { ReachClaim } from '../wire/keys.js';
import type { ReachClaims } from './reach-claims.js';

/**
 * A worker that a peer redirects to this leader contacts it at once or within half a second. If none has done
 * so after this time, which allows for the delay of a status, workers can't reach this node.
 */
const REDIRECT_WAIT_MS = 2000;
/** Age up to which a peer's status counts here. */
const REACH_STATUS_MAX_AGE_MS = 3000;
/** Newer claims of one peer that prove that it is alive and that workers still contact it. */
const MIN_NEWER_CLAIMS = 2;
const CLAIM_READ_INTERVAL_MS = 700;

export interface WorkerReachabilityOptions {
  clock: Clock;
  claims: ReachClaims;
  /** Number of other controllers. */
  peerCount: number;
}

/** Compares how workers reach this leader and its peers. */
export class WorkerReachability {
  /** Since when workers have reached a peer that redirects them to this leader. */
  private peerReachedSince: SteadyMs | null = null;
  private claimsReadAt = -Infinity;
  /** Version of each peer's latest claim, and how often it changed since this leader last heard a worker. */
  private readonly claimsByNode = new Map<string, { version: number; changes: number }>();

  constructor(private readonly options: WorkerReachabilityOptions) {}

  /** To be called while workers are heard, or this node does not lead. */
  reset(): void {
    this.peerReachedSince = null;
    this.claimsByNode.clear();
  }

  /** Called periodically while no worker is heard: the reason to release the lock now, or null to keep it. */
  async check(term: Term, peers: readonly ReceivedStatus[]): Promise<string | null> {
    const { clock, claims, peerCount } = this.options;
    const heard = peers.filter(({ ageMs }) => ageMs < REACH_STATUS_MAX_AGE_MS).map(({ status }) => status);
    const isPeerReached = heard.some(({ workers, leaderTerm }) => workers > 0 && leaderTerm === term);
    if (!isPeerReached) this.peerReachedSince = null;
    else this.peerReachedSince ??= clock.steady();
    if (this.peerReachedSince !== null && clock.steady() - this.peerReachedSince >= REDIRECT_WAIT_MS)
      return 'no worker reaches this node, and workers reach a peer';
    if (heard.length === peerCount || clock.steady() - this.claimsReadAt < CLAIM_READ_INTERVAL_MS)
      return null;
    this.claimsReadAt = clock.steady();
    for (const claim of await claims.read()) this.noteClaim(claim, term);
    const isClaimed = [...this.claimsByNode.values()].some(({ changes }) => changes >= MIN_NEWER_CLAIMS);
    return isClaimed ? 'neither workers nor a peer that workers reach get through to this node' : null;
  }

  private noteClaim({ node, version, term: claimedTerm }: ReachClaim, term: Term): void {
    const previous = this.claimsByNode.get(node);
    if (!previous) this.claimsByNode.set(node, { version, changes: 0 });
    else if (previous.version !== version && claimedTerm === term)
      this.claimsByNode.set(node, { version, changes: previous.changes + 1 });
  }
}
