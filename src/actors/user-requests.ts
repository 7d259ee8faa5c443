/**
 * Routes users' requests on any node: to the leader on this node, to this node's copy of the log where that
 * is enough, or over the link between controllers to the leader on another node.
 */
import type { JobId, JobSpec } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { PeerResponse, PeerRequest, Peers } from '../io/peers.js';
import {
  outcomeReply,
  retryLater,
  jobNotFound,
  PENDING_WRITE_TIMEOUT_MS,
  jobStatusReply,
  type Reply,
  type UserRequest,
} from './admission.js';
import type { Follower } from './follower.js';
import type { LeaderActor } from './leader.js';
import type { Lock } from './lock.js';
import { SingleFlight } from './single-flight.js';

/**
 * Minimum interval between queries for the leader's log position, and the time limit for the local log to
 * reach it.
 */
const POSITION_QUERY_INTERVAL_MS = 50;
const CATCH_UP_TIMEOUT_MS = 600;

/** A user's request about one job. */
export interface JobRequest {
  kind: UserRequest['kind'];
  job: JobId;
  /** The job description; for submissions only. */
  spec?: JobSpec;
}

export interface UserRequestsOptions {
  clock: Clock;
  follower: Follower;
  lock: Lock;
  /** The leader on this node; null while it follows. */
  localLeader: () => LeaderActor | null;
  /** The node that leads elsewhere, as far as is known. */
  remoteLeader: () => string | null;
  peers: () => Peers | null;
}

/** Routes users' requests to wherever they can be answered. */
export class UserRequests {
  private readonly leaderPositions: SingleFlight<number | null>;

  constructor(private readonly options: UserRequestsOptions) {
    this.leaderPositions = new SingleFlight(options.clock, POSITION_QUERY_INTERVAL_MS, () =>
      this.queryLeaderPosition(),
    );
  }

  /** Answers a request of a user of this node. */
  async answer(request: JobRequest): Promise<Reply> {
    const { follower } = this.options;
    const local = this.askLocalLeader(request);
    if (local) return local;
    const outcome = outcomeReply(follower.state, request.job);
    if (outcome) return outcome;
    const atReadIndex = request.kind === 'show' ? await this.readIndex(request.job) : null;
    if (atReadIndex) return atReadIndex;
    const response = await this.askRemoteLeader({
      kind: request.kind,
      job: request.job,
      spec: request.spec ? JSON.stringify(request.spec) : undefined,
    });
    if (response && response.status !== 503) return toReply(response, response.retryAfter || undefined);
    const fromLog = await this.readFromLog(request);
    if (fromLog) return fromLog;
    if (response) return toReply(response, response.retryAfter || 1);
    return retryLater(this.options.remoteLeader() ? 'the leader does not answer' : 'no leader known');
  }

  /** Answers a request that a peer forwards. */
  async answerPeer(request: PeerRequest): Promise<PeerResponse> {
    if (request.kind === 'position') return this.answerPosition();
    const spec = request.spec ? (JSON.parse(request.spec) as JobSpec) : undefined;
    const reply =
      (await this.askLocalLeader({ kind: request.kind, job: request.job as JobId, spec })) ??
      retryLater('not leading');
    return { status: reply.status, body: JSON.stringify(reply.body), retryAfter: reply.retryAfter ?? 0 };
  }

  /**
   * Answers with the number of the next record. Upholds that no reply shows an older state than an
   * earlier reply: only a leader that certainly holds its lock knows this number.
   */
  private async answerPosition(): Promise<PeerResponse> {
    const { follower, localLeader, lock } = this.options;
    const ok = (await localLeader()?.log.whenSettled(PENDING_WRITE_TIMEOUT_MS)) === true && lock.isCertain();
    return {
      status: ok ? 200 : 503,
      body: JSON.stringify({ next: follower.state.nextRecord }),
      retryAfter: 0,
    };
  }

  private askLocalLeader({ kind, job, spec }: JobRequest): Promise<Reply> | null {
    const leader = this.options.localLeader();
    if (!leader) return null;
    return new Promise((reply) => {
      if (kind === 'submit') leader.admission.tell({ kind, spec: spec!, reply });
      else leader.admission.tell({ kind, job, reply });
    });
  }

  private async askRemoteLeader(request: PeerRequest): Promise<PeerResponse | null> {
    const leader = this.options.remoteLeader();
    const peers = this.options.peers();
    return leader && peers ? peers.ask(leader, request) : null;
  }

  /**
   * The reply that the leader would give, from this node's log once it has reached the leader's position (the
   * read index of Raft). One position query serves all requests that wait, so that many of them cost the
   * leader little. Null if the leader has to be asked itself.
   */
  private async readIndex(job: JobId): Promise<Reply | null> {
    if (!this.options.remoteLeader()) return null;
    const { follower } = this.options;
    const next = await this.leaderPositions.get();
    if (next === null || !(await follower.waitForRecord(next, CATCH_UP_TIMEOUT_MS))) return null;
    return jobStatusReply(follower.state, job, (known) => known.live.size) ?? jobNotFound;
  }

  private async queryLeaderPosition(): Promise<number | null> {
    const response = await this.askRemoteLeader({ kind: 'position', job: '' });
    return response?.status === 200 ? (JSON.parse(response.body) as { next: number }).next : null;
  }

  /**
   * The reply from the log, read up to the present, while no leader is reached; null for requests that need a
   * record, or if the log cannot be read on. Upholds forgotten, and that no reply shows an older state
   * than an earlier reply: any leader would derive the same reply from the log.
   */
  private async readFromLog({ kind, job }: JobRequest): Promise<Reply | null> {
    const { follower } = this.options;
    const isKnown = kind === 'submit' && follower.state.jobs.has(job);
    if ((kind !== 'show' && !isKnown) || !(await follower.readLatest())) return null;
    return jobStatusReply(follower.state, job, (known) => known.live.size) ?? (isKnown ? null : jobNotFound);
  }
}

const toReply = ({ status, body }: PeerResponse, retryAfter: number | undefined): Reply => ({
  ...{ status, body: JSON.parse(body) as object, retryAfter },
});
