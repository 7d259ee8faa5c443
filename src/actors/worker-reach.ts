/**
 * Whether a leader that no worker reaches should give the lock away: only to a peer that is alive and that workers
 * do reach.
 */
import type { SteadyMs, Term } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { ReceivedStatus } from '../io/peers.js';
import type { ReachClaim } from '../wire/keys.js';
import type { ReachClaims } from './reach-claims.js';

/**
 * A worker that a peer sends to this leader is here at once or after up to half a second. Longer than that, with
 * the time that a status takes, and it can't reach this node.
 */
const COMES_OVER_MS = 2000;
const STATUS_FRESH_MS = 3000;
/** Claims of one peer, each newer than the one before: it is alive, and workers go on asking it. */
const CLAIMS_NEEDED = 2;
/** Claims are read at most this often. */
const READS_APART_MS = 700;

export interface WorkerReachabilityOptions {
  clock: Clock;
  claims: ReachClaims;
  /** How many other controllers there are. */
  peerCount: number;
}

export class WorkerReachability {
  private betterReachedSince: SteadyMs | null = null;
  /** The latest claim seen of each peer that can't be heard, and how often it changed since workers fell silent. */
  private claimsReadAt = -Infinity;
  private readonly claimed = new Map<string, { stamp: number; changes: number }>();

  constructor(private readonly options: WorkerReachabilityOptions) {}

  /** Workers are heard, or nobody leads here. */
  reset(): void {
    this.betterReachedSince = null;
    this.claimed.clear();
  }

  /** Called again and again while no worker is heard: why to give the lock away now; null: keep it. */
  async check(term: Term, peers: readonly ReceivedStatus[]): Promise<string | null> {
    const { clock, claims, peerCount: others } = this.options;
    const heard = peers.filter(({ ageMs: age }) => age < STATUS_FRESH_MS).map(({ status }) => status);
    const isBetterReached = heard.some(({ workers, leaderTerm }) => workers > 0 && leaderTerm === term);
    if (!isBetterReached) this.betterReachedSince = null;
    else this.betterReachedSince ??= clock.steady();
    if (this.betterReachedSince !== null && clock.steady() - this.betterReachedSince >= COMES_OVER_MS)
      return 'no worker reaches this node, and workers reach a peer';
    if (heard.length === others || clock.steady() - this.claimsReadAt < READS_APART_MS) return null;
    this.claimsReadAt = clock.steady();
    for (const claim of await claims.read()) this.note(claim, term);
    const isClaimed = [...this.claimed.values()].some(({ changes }) => changes >= CLAIMS_NEEDED);
    return isClaimed ? 'neither workers nor a peer that workers reach get through to this node' : null;
  }

  private note({ node, version: stamp, term: claimedTerm }: ReachClaim, term: Term): void {
    const former = this.claimed.get(node);
    if (!former) this.claimed.set(node, { stamp, changes: 0 });
    else if (former.stamp !== stamp && claimedTerm === term)
      this.claimed.set(node, { stamp, changes: former.changes + 1 });
  }
}
