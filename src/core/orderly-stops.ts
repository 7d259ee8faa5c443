/** Stop entries for tasks on machines about to be taken away, and for gangs that can't start any more. */
import { GANG_BROKEN, type Job, type TaskAttempt, type Machine } from './model.js';
import type { ClusterState } from './state.js';
import type { LogEntry } from './types.js';

/** Added to the time that a task needs to save. */
const GRACE_MARGIN_S = 1;

type StopEntry = Extract<LogEntry, { e: 'stop' }>;

/** Stops tasks that take checkpoints on machines about to be taken away, with time to save; gangs as a whole. */
export function stopsForNotices(state: ClusterState, hasNotice: (machine: Machine) => boolean): LogEntry[] {
  const stops: LogEntry[] = [];
  const handled = new Set<Job>();
  for (const machine of state.machines.values()) {
    if (machine.drop || !hasNotice(machine)) continue;
    for (const attempt of machine.live) {
      if (attempt.stop || attempt.job.spec.checkpoint === 0 || handled.has(attempt.job)) continue;
      handled.add(attempt.job);
      stops.push(saveAndStop(attempt.job, tasksToStop(attempt, machine)));
    }
  }
  return stops;
}

/** All tasks of a gang; of an array, those on the machine that are not being stopped yet. */
function tasksToStop({ job }: TaskAttempt, machine: Machine): number[] {
  if (job.spec.gang) return [...job.live.keys()];
  return [...machine.live].filter((other) => other.job === job && !other.stop).map((other) => other.task);
}

const saveAndStop = ({ spec }: Job, tasks: number[]): StopEntry => ({
  ...{ e: 'stop', job: spec.id, p: tasks, grace: spec.save + GRACE_MARGIN_S, why: 'notice' },
});

/**
 * Stops the tasks that wait for a gang which has lost a task: they would wait until the gang wait time is
 * over, and delay the next attempt. Tasks that still fetch go on: the next attempt needs their images too.
 */
export function stopsForBrokenGangs(
  jobs: Iterable<Job>,
  waitsForGang: (attempt: TaskAttempt) => boolean,
): LogEntry[] {
  const stops: LogEntry[] = [];
  for (const job of jobs) {
    if (!job.spec.gang || !job.broken) continue;
    const waiting = [...job.live.values()].filter((attempt) => !attempt.stop && waitsForGang(attempt));
    const tasks = waiting.map((attempt) => attempt.task);
    if (tasks.length > 0) stops.push({ e: 'stop', job: job.spec.id, p: tasks, grace: 0, why: GANG_BROKEN });
  }
  return stops;
}
