/** The tasks of a job that wait to be started. */
import type { Job } from './model.js';
import type { ClusterState } from './state.js';

/** The first `limit` tasks of an array job that may be started now, with the numbers of their attempts. */
export function waitingTasks(job: Job, limit: number): [task: number, attempt: number][] {
  const waiting: [number, number][] = [];
  for (const [task, attempt] of job.back) {
    if (waiting.length >= limit) return waiting;
    waiting.push([task, attempt]);
  }
  for (let task = job.fresh; task < job.spec.tasks && waiting.length < limit; task++) waiting.push([task, 1]);
  return waiting;
}

/** How many tasks of a job wait to be started; of a gang, all or none. */
export function countWaitingTasks(state: ClusterState, job: Job): number {
  if (job.withdrawn || state.outcomes.has(job.spec.id)) return 0;
  if (job.spec.gang) return job.live.size === 0 && !job.broken ? job.spec.tasks : 0;
  return job.back.size + job.spec.tasks - job.fresh;
}
