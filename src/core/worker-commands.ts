/** Compares a worker's report with the log: commands due to the worker, and facts to be recorded. */
import { JOB_CANCELLED, type TaskAttempt, type Machine } from './model.js';
import type { ClusterState } from './state.js';
import type { AttemptNumber, EndCause, Command, LogEntry, Fence, JobId } from './types.js';
import type { TaskReport, WorkerReport } from './types.js';
import type { AttemptKey, UnsettledCalls } from './unsettled-calls.js';

/** What this leader knows of one worker. */
export interface ObservedWorker {
  report: WorkerReport;
  /** Direct calls whose starts the worker may still carry out. */
  unsettledCalls: UnsettledCalls;
  /** Attempts started in the answer to a report, with that report's number; the next report settles them. */
  startedInAnswer: Map<AttemptKey, number>;
}

/**
 * Jobs whose cancellation is in a write without an answer. Other nodes may have read the record and told users
 * that the job is cancelled, so its tasks are stopped. If the record was never written, the reported ends of
 * its tasks make them start again.
 */
export type UnsettledCancellations = ReadonlySet<JobId>;
export const NO_CANCELLATIONS: UnsettledCancellations = new Set();

export const attemptKey = (job: string, task: number, attempt: number): AttemptKey =>
  `${job}/${task}#${attempt}`;

/** What identifies an attempt in a command. */
interface AttemptReference {
  job: JobId;
  task: number;
  attempt: AttemptNumber;
}

/** The end of one attempt, as a log entry holds it. */
export type TaskEnd = [job: JobId, task: number, attempt: number, cause: EndCause, saved: boolean];

/** What a report shows and the log does not hold yet: a new session of the worker, and ends of attempts. */
export function unrecordedFacts(
  state: ClusterState,
  report: WorkerReport,
): { up: LogEntry | null; ends: TaskEnd[] } {
  const machine = state.machines.get(report.machine);
  const up: LogEntry | null =
    (!machine || report.session > machine.session) && !state.removedMachines.has(report.machine)
      ? {
          e: 'up',
          m: report.machine,
          addr: report.addr,
          type: report.type,
          zone: report.zone,
          spot: report.spot,
          s: report.session,
        }
      : null;
  const ends: TaskEnd[] = [];
  for (const reported of report.tasks) {
    if (reported.state !== 'exited') continue;
    const attempt = state.jobs.get(reported.job)?.live.get(reported.task);
    if (attempt && attempt.attempt === reported.attempt && attempt.machine.id === report.machine)
      ends.push([
        reported.job,
        reported.task,
        reported.attempt,
        reported.cause ?? 'stopped',
        reported.saved === true,
      ]);
  }
  return { up, ends };
}

export interface WorkerCommands {
  commands: Command[];
  /** Attempts that were stopped before their start was sent, so that nothing starts them any more. */
  undeliveredStarts: TaskAttempt[];
  /** The highest fence of calls that must not start anything any more: the worker's must become higher. */
  fenceToExceed: Fence | null;
  /** If there are attempts to forget: the fence that the worker must have exceeded then, if there is one. */
  forgetAboveFence?: Fence;
}

/**
 * The commands that bring a worker from what it reports to what the log says. They are derived from committed
 * records alone, so a decision is never sent before its record is written, and a new leader sends again
 * exactly the starts that the report does not show. Stops of unsettled cancellations are the exception.
 */
export function commandsForWorker(
  state: ClusterState,
  worker: ObservedWorker,
  /** False until the workers have reported to this leader, or have had time to. */
  mayStart: boolean,
  unsettled: UnsettledCancellations = NO_CANCELLATIONS,
): WorkerCommands {
  const { report } = worker;
  const machine = state.machines.get(report.machine);
  const due: WorkerCommands = { commands: [], undeliveredStarts: [], fenceToExceed: null };
  if (!machine || machine.session !== report.session) return due;
  const reportedAttempts = new Set<TaskAttempt>();
  for (const reported of report.tasks) {
    const logged = loggedAttempt(state, machine, reported);
    if (logged) reportedAttempts.add(logged);
    const isUnsettled = unsettled.has(reported.job);
    // The usual case, a task that runs as logged, ends here: most reports show nothing new.
    if (logged && !logged.stop && !isUnsettled && reported.state !== 'exited') continue;
    if (reported.state === 'exited') addForExited(due, worker, reported, logged !== null);
    else addStop(due, reported, isUnsettled ? null : logged);
  }
  if (reportedAttempts.size === machine.live.size) return due;
  for (const attempt of machine.live) {
    if (attempt.session !== machine.session || reportedAttempts.has(attempt)) continue;
    const mustNotStart = attempt.stop !== null || unsettled.has(attempt.job.spec.id);
    if (mustNotStart) addForUndelivered(due, worker, attempt, mayStart);
    else if (mayStart && !machine.drop) due.commands.push({ op: 'start', ...referenceTo(attempt) });
  }
  return due;
}

/** The attempt that the log has on the machine; null if it does not have the reported one there. */
function loggedAttempt(state: ClusterState, machine: Machine, reported: TaskReport): TaskAttempt | null {
  const logged = state.jobs.get(reported.job)?.live.get(reported.task);
  return logged?.attempt === reported.attempt && logged.machine === machine ? logged : null;
}

const referenceTo = ({ job, task, attempt }: TaskAttempt): AttemptReference => ({
  ...{ job: job.spec.id, task, attempt },
});

function raiseFenceAbove(due: WorkerCommands, fence: Fence): void {
  due.fenceToExceed = Math.max(due.fenceToExceed ?? 0, fence) as Fence;
}

/**
 * Upholds ran_twice and ran_cancelled: a worker that has forgotten an attempt runs it again if a call with its
 * start arrives late or once more. It may forget the attempt only when its end is in a record, every such call
 * has been answered or invalidated, and together with a fence above those of the answered ones.
 */
function addForExited(
  due: WorkerCommands,
  worker: ObservedWorker,
  { job, task, attempt }: TaskReport,
  isLive: boolean,
): void {
  const { unsettledCalls } = worker;
  const fence = unsettledCalls.highestFenceOf(attemptKey(job, task, attempt));
  if (fence !== null) return raiseFenceAbove(due, fence);
  if (isLive) return;
  due.commands.push({ op: 'forget', job, task, attempt });
  due.forgetAboveFence = unsettledCalls.answeredFence ?? undefined;
}

/** Stops a reported task as the log says; at once if the log does not know the attempt. */
function addStop(
  due: WorkerCommands,
  { job, task, attempt, state }: TaskReport,
  logged: TaskAttempt | null,
): void {
  const grace = logged?.stop?.grace ?? 0;
  if (state !== 'saving' || grace === 0) due.commands.push({ op: 'stop', job, task, attempt, grace });
}

/**
 * Prevents starts after a confirmed cancellation: a start that may still arrive is neither repeated nor stopped
 * (the worker does not know the task yet), but invalidated by a higher fence.
 */
function addForUndelivered(
  due: WorkerCommands,
  worker: ObservedWorker,
  attempt: TaskAttempt,
  mayStart: boolean,
): void {
  const { job, task, attempt: number } = referenceTo(attempt);
  const key = attemptKey(job, task, number);
  const fence = worker.unsettledCalls.highestFenceOf(key);
  if (fence !== null) raiseFenceAbove(due, fence);
  else if (attempt.stop && !worker.startedInAnswer.has(key) && mayStart) due.undeliveredStarts.push(attempt);
}

/** Whether an attempt is stopped because its job was cancelled. */
export const isCancelled = (attempt: TaskAttempt): boolean => attempt.stop?.why === JOB_CANCELLED;

/** Whether a user may have been told that an attempt's job is cancelled. */
export const mayBeCancelled = (attempt: TaskAttempt, unsettled: UnsettledCancellations): boolean =>
  isCancelled(attempt) || unsettled.has(attempt.job.spec.id);

/** Whether tasks of jobs that are cancelled, or may be, may be on a machine. */
export function hasCancelledTasks(machine: Machine, unsettled: UnsettledCancellations): boolean {
  if (machine.stopping === 0 && unsettled.size === 0) return false;
  for (const attempt of machine.live) if (mayBeCancelled(attempt, unsettled)) return true;
  return false;
}

/**
 * The stop commands for tasks of cancelled jobs. A cancellation in the log is final and sending its stops is
 * no new decision, so the leader need not be certain of its lock. Without a report, the log alone says which
 * tasks may be on the machine.
 */
export function stopsForCancelledJobs(
  state: ClusterState,
  machine: Machine,
  report: WorkerReport | null,
  unsettled: UnsettledCancellations = NO_CANCELLATIONS,
): Command[] {
  const commands: Command[] = [];
  const stop = (job: JobId, task: number, attempt: AttemptNumber): void =>
    void commands.push({ op: 'stop', job, task, attempt, grace: 0 });
  const exited = new Set<string>();
  for (const reported of report?.tasks ?? []) {
    const { job, task, attempt } = reported;
    if (reported.state === 'exited') exited.add(attemptKey(job, task, attempt));
    else if (state.outcomes.get(job)?.state === 'cancelled' && !state.jobs.get(job)?.live.has(task))
      stop(job, task, attempt);
  }
  if (!hasCancelledTasks(machine, unsettled)) return commands;
  for (const attempt of machine.live) {
    const job = attempt.job.spec.id;
    const hasExited = exited.has(attemptKey(job, attempt.task, attempt.attempt));
    if (mayBeCancelled(attempt, unsettled) && !hasExited) stop(job, attempt.task, attempt.attempt);
  }
  return commands;
}
