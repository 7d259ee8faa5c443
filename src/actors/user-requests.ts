/**
 * Users' requests at any node: answered by the leader here, from the log where it decides, or by the leader
 * elsewhere, which is asked over the link between controllers.
 */
import type { JobId, JobSpec } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { PeerResponse, PeerRequest, Peers } from '../io/peers.js';
import {
  finalAnswer,
  retryLater,
  jobNotFound,
  SETTLE_MS,
  jobStatusReply,
  type Reply,
  type UserRequest,
} from './admission.js';
import type { Follower } from './follower.js';
import type { LeaderActor } from './leader.js';
import type { Lock } from './lock.js';
import { SingleFlight } from './single-flight.js';

/** Questions to the leader of how far its log is keep this distance; so long its log may take to come here. */
const POSITIONS_APART_MS = 50;
const REACH_MS = 600;

/** What a user asks of a job. */
export interface UserAsk {
  kind: UserRequest['kind'];
  job: JobId;
  /** The job; only for submissions. */
  spec?: JobSpec;
}

export interface UserRequestsOptions {
  clock: Clock;
  follower: Follower;
  lock: Lock;
  /** The leader on this node; null while it follows. */
  leading: () => LeaderActor | null;
  /** The node that leads elsewhere, as far as is known. */
  otherLeader: () => string | null;
  peers: () => Peers | null;
}

export class UserRequests {
  private readonly positions: SingleFlight<number | null>;

  constructor(private readonly options: UserRequestsOptions) {
    this.positions = new SingleFlight(options.clock, POSITIONS_APART_MS, () => this.leaderPosition());
  }

  async answer(ask: UserAsk): Promise<Reply> {
    const { follower } = this.options;
    const here = this.askHere(ask);
    if (here) return here;
    const final = finalAnswer(follower.state, ask.job);
    if (final) return final;
    const byReadIndex = ask.kind === 'show' ? await this.readIndex(ask.job) : null;
    if (byReadIndex) return byReadIndex;
    const answer = await this.askLeader({
      kind: ask.kind,
      job: ask.job,
      spec: ask.spec ? JSON.stringify(ask.spec) : undefined,
    });
    if (answer && answer.status !== 503) return replyOf(answer, answer.retryAfter || undefined);
    const fromLog = await this.readFromLog(ask);
    if (fromLog) return fromLog;
    if (answer) return replyOf(answer, answer.retryAfter || 1);
    return retryLater(this.options.otherLeader() ? 'the leader does not answer' : 'no leader known');
  }

  /** A peer passes on what its user asked. */
  async answerPeer(ask: PeerRequest): Promise<PeerResponse> {
    if (ask.kind === 'position') return this.answerPosition();
    const spec = ask.spec ? (JSON.parse(ask.spec) as JobSpec) : undefined;
    const reply =
      (await this.askHere({ kind: ask.kind, job: ask.job as JobId, spec })) ?? retryLater('not leading');
    return { status: reply.status, body: JSON.stringify(reply.body), retryAfter: reply.retryAfter ?? 0 };
  }

  /** The number of the next record. Guards older answers: only a leader that holds its lock knows it. */
  private async answerPosition(): Promise<PeerResponse> {
    const { follower, leading, lock } = this.options;
    const ok = (await leading()?.log.whenSettled(SETTLE_MS)) === true && lock.isCertain();
    return {
      status: ok ? 200 : 503,
      body: JSON.stringify({ next: follower.state.nextRecord }),
      retryAfter: 0,
    };
  }

  private askHere({ kind, job, spec }: UserAsk): Promise<Reply> | null {
    const leader = this.options.leading();
    if (!leader) return null;
    return new Promise((reply) => {
      if (kind === 'submit') leader.admission.tell({ kind, spec: spec!, reply });
      else leader.admission.tell({ kind, job, reply });
    });
  }

  private async askLeader(ask: PeerRequest): Promise<PeerResponse | null> {
    const to = this.options.otherLeader();
    const peers = this.options.peers();
    return to && peers ? peers.ask(to, ask) : null;
  }

  /**
   * What the leader would say of a job, from this node's log: it is asked how far its log is, once for all
   * questions that wait, so that a flood of them costs it little. Null: it must be asked itself.
   */
  private async readIndex(job: JobId): Promise<Reply | null> {
    if (!this.options.otherLeader()) return null;
    const { follower } = this.options;
    const next = await this.positions.get();
    if (next === null || !(await follower.waitForRecord(next, REACH_MS))) return null;
    return jobStatusReply(follower.state, job, (known) => known.live.size) ?? jobNotFound;
  }

  private async leaderPosition(): Promise<number | null> {
    const answer = await this.askLeader({ kind: 'position', job: '' });
    return answer?.status === 200 ? (JSON.parse(answer.body) as { next: number }).next : null;
  }

  /**
   * Guards forgotten and older answers while no leader is reached: the log, read on to this moment,
   * says what any leader would. What needs a record is refused.
   */
  private async readFromLog({ kind, job }: UserAsk): Promise<Reply | null> {
    const { follower } = this.options;
    const isKnown = kind === 'submit' && follower.state.jobs.has(job);
    if ((kind !== 'show' && !isKnown) || !(await follower.readLatest())) return null;
    return jobStatusReply(follower.state, job, (known) => known.live.size) ?? (isKnown ? null : jobNotFound);
  }
}

const replyOf = ({ status, body }: PeerResponse, retryAfter: number | undefined): Reply => ({
  ...{ status, body: JSON.parse(body) as object, retryAfter },
});
