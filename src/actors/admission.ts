/** Takes users' requests on the leader. */
import { checkAdmission } from '../core/fit.js';
import type { Job } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import type { LogEntry, JobId, JobSpec, Team } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import { writeJobStatus, type JobStatus } from '../wire/schemas.js';
import { Actor } from './actor.js';
import type { LogActor } from './log.js';

export interface Reply {
  status: number;
  body: object;
  /** Seconds after which to come back. */
  retryAfter?: number;
}

export type UserRequest =
  | { kind: 'submit'; spec: JobSpec; reply: (r: Reply) => void }
  | { kind: 'show'; job: JobId; reply: (r: Reply) => void }
  | { kind: 'withdraw'; job: JobId; reply: (r: Reply) => void };

export const retryLater = (why: string, seconds = 1, status = 503): Reply => ({
  status,
  body: { error: why },
  retryAfter: seconds,
});

/** What the log says of a finished job is final, so any node may say it at any time. */
export function finalAnswer(state: ClusterState, id: JobId): Reply | null {
  const f = state.outcomes.get(id);
  return f ? { status: 200, body: writeJobStatus(id, f.state, { done: f.done, running: 0 }) } : null;
}

/** What the log says of a job; null when it knows no such job. */
export function jobStatusReply(
  state: ClusterState,
  id: JobId,
  runningOf: (job: Job) => number,
): Reply | null {
  const f = finalAnswer(state, id);
  if (f) return f;
  const job = state.jobs.get(id);
  if (!job) return null;
  const running = runningOf(job);
  const s: JobStatus = running > 0 ? 'running' : 'queued';
  return { status: 200, body: writeJobStatus(id, s, { done: job.done, running }) };
}

export const jobNotFound: Reply = { status: 404, body: { error: 'no such job' } };

export interface AdmissionOptions {
  state: ClusterState;
  log: LogActor;
  clock: Clock;
  teams: readonly Team[];
  /** The size of a value of the state service, in KiB: a job has to fit into one. */
  maxValueKb: number;
  /** Whether the lock is certain to be held. */
  isCertain: () => boolean;
  /** How many tasks of a job run. */
  countRunningTasks: (job: Job) => number;
  /** A cancellation is on its way into a record, or no more. */
  onCancelling: (job: JobId, isUnderWay: boolean) => void;
}

/** A request whose record is not written by then is answered with 503. */
const ANSWER_MS = 1500;
/** While a write has gone unanswered for longer, what needs a record is refused at once. */
const STUCK_MS = 700;
/** How long a question waits for a write under way. */
export const SETTLE_MS = 1000;
/** More requests than this don't wait for a record. */
const QUEUE_MOST = 400;

/** Takes users' requests on the leader; answers come from recorded state only. */
export class AdmissionActor extends Actor<UserRequest> {
  /** Requests that wait for the same record. */
  private readonly open = new Map<string, ((ok: boolean) => void)[]>();

  private readonly state: ClusterState;
  private readonly log: LogActor;

  constructor(private readonly options: AdmissionOptions) {
    super();
    this.state = options.state;
    this.log = options.log;
  }

  protected receive(m: UserRequest): void {
    if (m.kind === 'submit') this.submit(m.spec, m.reply);
    else if (m.kind === 'show') this.show(m.job, m.reply);
    else this.withdraw(m.job, m.reply);
  }

  private standing(id: JobId): Reply | null {
    return jobStatusReply(this.state, id, this.options.countRunningTasks);
  }

  private show(id: JobId, reply: (r: Reply) => void): void {
    const f = finalAnswer(this.state, id);
    if (f) return reply(f);
    // Guards forgotten and older answers: only a leader that holds its lock may say what can change.
    if (!this.options.isCertain()) return reply(retryLater('not certain to lead'));
    if (this.log.hasWriteInFlightFor(id)) return this.afterWrite(reply, () => this.show(id, reply));
    reply(this.standing(id) ?? jobNotFound);
  }

  /**
   * Guards forgotten and older answers: what is being written may have been read by others, and said to
   * users, before its answer is here.
   */
  private afterWrite(reply: (r: Reply) => void, then: () => void): void {
    void this.log
      .whenSettled(SETTLE_MS)
      .then((ok) => (ok ? then() : reply(retryLater('a write is not answered'))));
  }

  private submit(spec: JobSpec, reply: (r: Reply) => void): void {
    const f = finalAnswer(this.state, spec.id);
    if (f) return reply(f);
    if (!this.options.isCertain()) return reply(retryLater('not certain to lead'));
    if (this.log.hasWriteInFlightFor(spec.id) && !this.open.has(`s ${spec.id}`))
      return this.afterWrite(reply, () => this.submit(spec, reply));
    const known = this.standing(spec.id);
    if (known) return reply(known);
    const no = checkAdmission(spec, this.options.teams, this.state.machineTypes.values());
    if (no)
      return reply(no.status === 503 ? retryLater(no.reason) : { status: 422, body: { error: no.reason } });
    // What no record can hold would stop the pen for good.
    if (Buffer.byteLength(JSON.stringify(spec)) > this.options.maxValueKb * 1024 - 400)
      return reply({ status: 400, body: { error: 'the description is too long to be kept' } });
    this.write(`s ${spec.id}`, { e: 'job', spec }, reply, () => ({
      ...(this.standing(spec.id) ?? retryLater('not written')),
      status: this.state.jobs.has(spec.id) || this.state.outcomes.has(spec.id) ? 201 : 503,
    }));
  }

  private withdraw(id: JobId, reply: (r: Reply) => void): void {
    const f = finalAnswer(this.state, id);
    if (f) return reply(f);
    if (!this.options.isCertain()) return reply(retryLater('not certain to lead'));
    if (!this.state.jobs.has(id)) {
      // Its submission may be on its way into a record.
      return reply(this.open.has(`s ${id}`) ? retryLater('being submitted') : jobNotFound);
    }
    this.write(
      `w ${id}`,
      { e: 'withdraw', job: id },
      reply,
      () => finalAnswer(this.state, id) ?? retryLater('not written'),
    );
  }

  private write(key: string, entry: LogEntry, reply: (r: Reply) => void, then: () => Reply): void {
    // What can't be written soon is refused at once: the user is told when to come back.
    if (this.log.unansweredWriteMs > STUCK_MS) return reply(retryLater('the state service does not answer'));
    if (this.log.pendingUrgent > QUEUE_MOST) return reply(retryLater('too much at once', 2, 429));
    let answered = false;
    const end = (r: Reply): void => {
      if (answered) return;
      answered = true;
      cancel();
      reply(r);
    };
    const cancel = this.options.clock.after(ANSWER_MS, () => end(retryLater('not written in time')));
    const done = (ok: boolean): void =>
      end(ok && this.options.isCertain() ? then() : retryLater('not written'));
    const same = this.open.get(key);
    if (same) return void same.push(done);
    const list = [done];
    this.open.set(key, list);
    if (entry.e === 'withdraw') this.options.onCancelling(entry.job, true);
    this.log.tell({
      entries: [entry],
      urgent: true,
      onSettled: (ok) => {
        this.open.delete(key);
        if (entry.e === 'withdraw') this.options.onCancelling(entry.job, false);
        for (const d of list) d(ok);
      },
    });
  }
}
