/** Handles users' requests on the leader: submissions, status queries and cancellations. */
import { checkAdmission } from '../core/fit.js';
import type { Job } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import type { LogEntry, JobId, JobSpec, Team } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import { writeJobStatus, type JobStatus } from '../wire/schemas.js';
import { Actor } from './actor.js';
import { WRITE_TIMEOUT_MS } from './in-flight-write.js';
import type { LogActor } from './log.js';

/** The reply to a user's request: HTTP status, body and retry time. */
export interface Reply {
  status: number;
  body: object;
  /** Seconds after which the user should retry. */
  retryAfter?: number;
}

/** A user's request, as the admission actor takes it. */
export type UserRequest =
  | { kind: 'submit'; spec: JobSpec; reply: (r: Reply) => void }
  | { kind: 'show'; job: JobId; reply: (r: Reply) => void }
  | { kind: 'withdraw'; job: JobId; reply: (r: Reply) => void };

/** A refusal with the time after which the user should retry. */
export const retryLater = (why: string, seconds = 1, status = 503): Reply => ({
  status,
  body: { error: why },
  retryAfter: seconds,
});

/**
 * The reply about a finished job; null if the job has not finished. The outcome in the log is final, so any
 * node may report it at any time.
 */
export function outcomeReply(state: ClusterState, id: JobId): Reply | null {
  const outcome = state.outcomes.get(id);
  return outcome
    ? { status: 200, body: writeJobStatus(id, outcome.state, { done: outcome.done, running: 0 }) }
    : null;
}

/** The reply about a job according to the log; null if the log knows no such job. */
export function jobStatusReply(
  state: ClusterState,
  id: JobId,
  countRunning: (job: Job) => number,
): Reply | null {
  const outcome = outcomeReply(state, id);
  if (outcome) return outcome;
  const job = state.jobs.get(id);
  if (!job) return null;
  const running = countRunning(job);
  const status: JobStatus = running > 0 ? 'running' : 'queued';
  return { status: 200, body: writeJobStatus(id, status, { done: job.done, running }) };
}

export const jobNotFound: Reply = { status: 404, body: { error: 'no such job' } };

/** What the admission actor uses from the rest of the leader. */
export interface AdmissionOptions {
  state: ClusterState;
  log: LogActor;
  clock: Clock;
  teams: readonly Team[];
  /** Maximum size of a value in the state service, in KiB: a job description has to fit into one. */
  maxValueKb: number;
  /** Whether the lock is certain to be held. */
  isCertain: () => boolean;
  /** Number of running tasks of a job. */
  countRunningTasks: (job: Job) => number;
  /** Called when a cancellation is about to be written, and again when its write has completed or failed. */
  onCancelling: (job: JobId, isUnderWay: boolean) => void;
}

/**
 * While a write has been unanswered for longer than this, requests that need a record are refused at once.
 */
const MAX_UNANSWERED_WRITE_MS = 700;
/** How long a status query waits for a write that is in progress. */
export const PENDING_WRITE_TIMEOUT_MS = 1000;
/**
 * Requests that need a record are refused while more than this many urgent entries are waiting to be written.
 */
const MAX_PENDING_URGENT = 400;
/** Part of a value's size limit that is kept for the record and the entry around a job description. */
const JOB_ENTRY_FRAME_BYTES = 400;

/** Handles users' requests on the leader. Replies are derived from recorded state only. */
export class AdmissionActor extends Actor<UserRequest> {
  /** Callbacks of the requests that wait for the same entry, by kind of request and job. */
  private readonly waitingByKey = new Map<string, ((ok: boolean) => void)[]>();

  private readonly state: ClusterState;
  private readonly log: LogActor;

  constructor(private readonly options: AdmissionOptions) {
    super();
    this.state = options.state;
    this.log = options.log;
  }

  protected receive(request: UserRequest): void {
    if (request.kind === 'submit') this.submit(request.spec, request.reply);
    else if (request.kind === 'show') this.show(request.job, request.reply);
    else this.withdraw(request.job, request.reply);
  }

  private statusReply(id: JobId): Reply | null {
    return jobStatusReply(this.state, id, this.options.countRunningTasks);
  }

  private show(id: JobId, reply: (r: Reply) => void): void {
    const outcome = outcomeReply(this.state, id);
    if (outcome) return reply(outcome);
    // Upholds forgotten, and that no reply shows an older state than an earlier reply: only a leader that
    // certainly holds its lock may report what can still change.
    if (!this.options.isCertain()) return reply(retryLater('not certain to lead'));
    if (this.log.hasWriteInFlightFor(id)) return this.afterPendingWrites(reply, () => this.show(id, reply));
    reply(this.statusReply(id) ?? jobNotFound);
  }

  /**
   * Runs `then` when the writes in progress have completed. Upholds forgotten, and that no reply shows an
   * older state than an earlier reply: other nodes may have read a record, and told users of it, before its
   * writer gets the answer.
   */
  private afterPendingWrites(reply: (r: Reply) => void, then: () => void): void {
    void this.log
      .whenSettled(PENDING_WRITE_TIMEOUT_MS)
      .then((ok) => (ok ? then() : reply(retryLater('a write is not answered'))));
  }

  private submit(spec: JobSpec, reply: (r: Reply) => void): void {
    const outcome = outcomeReply(this.state, spec.id);
    if (outcome) return reply(outcome);
    if (!this.options.isCertain()) return reply(retryLater('not certain to lead'));
    // Upholds forgotten: the earlier submission may be accepted already, whatever this one's body says.
    if (this.waitingByKey.has(`s ${spec.id}`)) return this.writeJob(spec, reply);
    if (this.log.hasWriteInFlightFor(spec.id))
      return this.afterPendingWrites(reply, () => this.submit(spec, reply));
    const known = this.statusReply(spec.id);
    if (known) return reply(known);
    const refusal = checkAdmission(spec, this.options.teams, this.state.machineTypes.values());
    if (refusal)
      return reply(
        refusal.status === 503
          ? retryLater(refusal.reason)
          : { status: 422, body: { error: refusal.reason } },
      );
    // An entry that does not fit into any record would block the log for ever.
    if (Buffer.byteLength(JSON.stringify(spec)) > this.options.maxValueKb * 1024 - JOB_ENTRY_FRAME_BYTES)
      return reply({
        status: 400,
        body: { error: 'the job description is too long for one value of the state service' },
      });
    this.writeJob(spec, reply);
  }

  private writeJob(spec: JobSpec, reply: (r: Reply) => void): void {
    this.write(`s ${spec.id}`, { e: 'job', spec }, reply, () => ({
      ...(this.statusReply(spec.id) ?? retryLater('not written')),
      status: this.state.jobs.has(spec.id) || this.state.outcomes.has(spec.id) ? 201 : 503,
    }));
  }

  private withdraw(id: JobId, reply: (r: Reply) => void): void {
    const outcome = outcomeReply(this.state, id);
    if (outcome) return reply(outcome);
    if (!this.options.isCertain()) return reply(retryLater('not certain to lead'));
    if (!this.state.jobs.has(id)) {
      // Its submission may still be in progress.
      return reply(this.waitingByKey.has(`s ${id}`) ? retryLater('being submitted') : jobNotFound);
    }
    this.write(
      `w ${id}`,
      { e: 'withdraw', job: id },
      reply,
      () => outcomeReply(this.state, id) ?? retryLater('not written'),
    );
  }

  /** Appends an entry and replies once it is written. Requests with the same key share one entry. */
  private write(
    key: string,
    entry: LogEntry,
    reply: (r: Reply) => void,
    replyWhenWritten: () => Reply,
  ): void {
    // A request that cannot be written soon is refused at once, with the time after which to retry.
    if (this.log.unansweredWriteMs > MAX_UNANSWERED_WRITE_MS)
      return reply(retryLater('the state service does not answer'));
    if (this.log.pendingUrgent > MAX_PENDING_URGENT) return reply(retryLater('too much at once', 2, 429));
    let isAnswered = false;
    const answer = (result: Reply): void => {
      if (isAnswered) return;
      isAnswered = true;
      cancelTimeout();
      reply(result);
    };
    const cancelTimeout = this.options.clock.after(WRITE_TIMEOUT_MS, () =>
      answer(retryLater('not written in time')),
    );
    const onSettled = (ok: boolean): void =>
      answer(ok && this.options.isCertain() ? replyWhenWritten() : retryLater('not written'));
    const waiting = this.waitingByKey.get(key);
    if (waiting) return void waiting.push(onSettled);
    const callbacks = [onSettled];
    this.waitingByKey.set(key, callbacks);
    if (entry.e === 'withdraw') this.options.onCancelling(entry.job, true);
    this.log.tell({
      entries: [entry],
      urgent: true,
      onSettled: (ok) => {
        this.waitingByKey.delete(key);
        if (entry.e === 'withdraw') this.options.onCancelling(entry.job, false);
        for (const callback of callbacks) callback(ok);
      },
    });
  }
}
