/** Stops that no other work asks for: of tasks whose machine is about to go, and of gangs that can't start. */
import { GANG_BROKEN, type Job, type TaskAttempt, type Machine } from './model.js';
import type { ClusterState } from './state.js';
import type { LogEntry } from './types.js';

/** Seconds that a task has on top of the time that it needs to save. */
const GRACE_MARGIN_S = 1;

type StopEntry = Extract<LogEntry, { e: 'stop' }>;

/** Tasks that can save are stopped with time to do so when their machine got a notice, gangs as a whole. */
export function stopsForNotices(state: ClusterState, hasNotice: (machine: Machine) => boolean): LogEntry[] {
  const stops: LogEntry[] = [];
  const handled = new Set<Job>();
  for (const machine of state.machines.values()) {
    if (machine.drop || !hasNotice(machine)) continue;
    for (const live of machine.live) {
      if (live.stop || live.job.spec.checkpoint === 0 || handled.has(live.job)) continue;
      handled.add(live.job);
      stops.push(saveAndStop(live.job, tasksToStop(live, machine)));
    }
  }
  return stops;
}

/** All tasks of a gang; of an array those on the machine that are not being stopped yet. */
function tasksToStop({ job }: TaskAttempt, machine: Machine): number[] {
  if (job.spec.gang) return [...job.live.keys()];
  return [...machine.live].filter((other) => other.job === job && !other.stop).map((other) => other.task);
}

const saveAndStop = ({ spec }: Job, tasks: number[]): StopEntry => ({
  ...{ e: 'stop', job: spec.id, p: tasks, grace: spec.save + GRACE_MARGIN_S, why: 'notice' },
});

/**
 * Tasks that wait for a gang which lost one: they would wait on for the whole gang wait time, and the next
 * attempt with them. Those that still fetch go on, for the next attempt needs their images too.
 */
export function stopsForBrokenGangs(
  jobs: Iterable<Job>,
  waitsForGang: (live: TaskAttempt) => boolean,
): LogEntry[] {
  const stops: LogEntry[] = [];
  for (const job of jobs) {
    if (!job.spec.gang || !job.broken) continue;
    const waiting = [...job.live.values()].filter((live) => !live.stop && waitsForGang(live));
    const tasks = waiting.map((live) => live.task);
    if (tasks.length > 0) stops.push({ e: 'stop', job: job.spec.id, p: tasks, grace: 0, why: GANG_BROKEN });
  }
  return stops;
}
