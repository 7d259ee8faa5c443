import { JOB_CANCELLED, type TaskAttempt, type Machine } from './model.js';
import type { ClusterState } from './state.js';
import type { EndCause, Command, LogEntry, Fence, JobId, WorkerReport } from './types.js';
import type { AttemptKey, UnsettledCalls } from './unsettled-calls.js';

/** What one worker has shown, as far as this leader has seen it. */
export interface ObservedWorker {
  report: WorkerReport;
  /** Direct calls with starts that may still be carried out. */
  unsettledCalls: UnsettledCalls;
  /** Attempts started in the answer to a report, and that report's number: the next report settles them. */
  startedInAnswer: Map<AttemptKey, number>;
}

export const attemptKey = (job: string, task: number, attempt: number): AttemptKey =>
  `${job}/${task}#${attempt}`;

/** The end of one attempt, as an entry of the log holds it. */
export type TaskEnd = [job: JobId, task: number, attempt: number, cause: EndCause, saved: boolean];

/** The report's facts that the log does not hold yet. */
export function unrecordedFacts(
  state: ClusterState,
  r: WorkerReport,
): { up: LogEntry | null; ends: TaskEnd[] } {
  const m = state.machines.get(r.machine);
  const up: LogEntry | null =
    (!m || r.session > m.session) && !state.removedMachines.has(r.machine)
      ? { e: 'up', m: r.machine, addr: r.addr, type: r.type, zone: r.zone, spot: r.spot, s: r.session }
      : null;
  const ends: TaskEnd[] = [];
  for (const t of r.tasks) {
    if (t.state !== 'exited') continue;
    const l = state.jobs.get(t.job)?.live.get(t.task);
    if (l && l.attempt === t.attempt && l.machine.id === r.machine)
      ends.push([t.job, t.task, t.attempt, t.cause ?? 'stopped', t.saved === true]);
  }
  return { up, ends };
}

export interface WorkerCommands {
  commands: Command[];
  /** Starts that were stopped and that no launch will reach any more. */
  undeliveredStarts: TaskAttempt[];
  /** Fences whose launches may be on their way and must not start anything: the worker's next is higher. */
  fenceToExceed: Fence | null;
}

/**
 * The commands that bring a worker from what it reports to what the log says. They follow from
 * committed state alone, so a decision is never sent before its record is written, and a new
 * leader resends exactly the starts that the report does not show.
 */
export function commandsForWorker(
  state: ClusterState,
  seen: ObservedWorker,
  mayStart: boolean,
): WorkerCommands {
  const r = seen.report;
  const m = state.machines.get(r.machine);
  const orders: Command[] = [];
  const unsent: TaskAttempt[] = [];
  let above: Fence | null = null;
  const settle = (fence: Fence): void => void (above = Math.max(above ?? 0, fence) as Fence);
  if (!m || m.session !== r.session)
    return { commands: orders, undeliveredStarts: unsent, fenceToExceed: above };
  const shown = new Set<TaskAttempt>();
  for (const t of r.tasks) {
    const l = state.jobs.get(t.job)?.live.get(t.task);
    const ours = l !== undefined && l.attempt === t.attempt && l.machine === m;
    if (ours) shown.add(l);
    // A report that shows nothing new costs no more than this.
    if (ours && !l.stop && t.state !== 'exited') continue;
    const ref = { job: t.job, task: t.task, attempt: t.attempt };
    if (t.state === 'exited') {
      // Guards ran_twice and ran_cancelled: forgetting an attempt lets a late start run it again, so the end
      // is recorded first, and no copy of its start may still be on its way, whichever copy was answered.
      const fence = seen.unsettledCalls.highestFenceOf(attemptKey(t.job, t.task, t.attempt));
      if (fence !== null) settle(fence);
      else if (!ours) orders.push({ op: 'forget', ...ref });
    } else if (!ours) orders.push({ op: 'stop', ...ref, grace: 0 });
    else if (l.stop && (t.state !== 'saving' || l.stop.grace === 0))
      orders.push({ op: 'stop', ...ref, grace: l.stop.grace });
  }
  if (shown.size === m.live.size)
    return { commands: orders, undeliveredStarts: unsent, fenceToExceed: above };
  for (const l of m.live) {
    if (l.session !== m.session || shown.has(l)) continue;
    const key = attemptKey(l.job.spec.id, l.task, l.attempt);
    if (!l.stop) {
      if (mayStart && !m.drop)
        orders.push({ op: 'start', job: l.job.spec.id, task: l.task, attempt: l.attempt });
      continue;
    }
    // Guards starts after a confirmed cancellation: a start that may still arrive is neither repeated
    // nor stopped (the worker knows nothing to stop), but made void by a higher fence.
    const fence = seen.unsettledCalls.highestFenceOf(key);
    if (fence !== null) settle(fence);
    else if (!seen.startedInAnswer.has(key) && mayStart) unsent.push(l);
  }
  return { commands: orders, undeliveredStarts: unsent, fenceToExceed: above };
}

/** Whether a task is stopped because its job was cancelled. */
export const isCancelled = (l: TaskAttempt): boolean => l.stop?.why === JOB_CANCELLED;

/** Whether tasks of cancelled jobs may be on a machine. */
export function hasCancelledTasks(m: Machine): boolean {
  if (m.stopping > 0) for (const l of m.live) if (isCancelled(l)) return true;
  return false;
}

/**
 * The stops of cancelled jobs: a cancellation in the log is final, so telling of it is no decision, and
 * needs no certain lock. Without a report the log alone says what may be there.
 */
export function stopsForCancelledJobs(state: ClusterState, m: Machine, r: WorkerReport | null): Command[] {
  const orders: Command[] = [];
  const exited = new Set<string>();
  for (const t of r?.tasks ?? []) {
    if (t.state === 'exited') exited.add(attemptKey(t.job, t.task, t.attempt));
    else if (state.outcomes.get(t.job)?.state === 'cancelled' && !state.jobs.get(t.job)?.live.has(t.task))
      orders.push({ op: 'stop', job: t.job, task: t.task, attempt: t.attempt, grace: 0 });
  }
  if (m.stopping > 0)
    for (const l of m.live)
      if (isCancelled(l) && !exited.has(attemptKey(l.job.spec.id, l.task, l.attempt)))
        orders.push({ op: 'stop', job: l.job.spec.id, task: l.task, attempt: l.attempt, grace: 0 });
  return orders;
}
