/** What workers last showed each task doing, as this leader heard it. */
import type { Job, TaskAttempt } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import type { SteadyMs, TaskState, WorkerReport } from '../core/types.js';
import type { Clock } from '../io/clock.js';

export class TaskProgress {
  private readonly reported = new WeakMap<TaskAttempt, TaskState>();
  /** When a task was first shown running, while it is. */
  private readonly runningSinceByAttempt = new WeakMap<TaskAttempt, SteadyMs>();

  constructor(
    private readonly state: ClusterState,
    private readonly clock: Clock,
  ) {}

  /** Notes what a report shows of tasks that the log has on that machine. */
  note(report: WorkerReport): void {
    for (const task of report.tasks) {
      const live = this.state.jobs.get(task.job)?.live.get(task.task);
      if (!live || live.attempt !== task.attempt || live.machine.id !== report.machine) continue;
      this.reported.set(live, task.state);
      if (task.state !== 'running' && task.state !== 'saving') this.runningSinceByAttempt.delete(live);
      else if (!this.runningSinceByAttempt.has(live))
        this.runningSinceByAttempt.set(live, this.clock.steady());
    }
  }

  /** When a task was first shown running; null while it is not. */
  runningSince(live: TaskAttempt): SteadyMs | null {
    return this.runningSinceByAttempt.get(live) ?? null;
  }

  /** How many tasks of a job run. */
  running(job: Job): number {
    let count = 0;
    for (const live of job.live.values()) if (this.runningSinceByAttempt.has(live)) count++;
    return count;
  }

  /** Whether a task only waits for the rest of its gang. */
  waitsForGang(live: TaskAttempt): boolean {
    return this.reported.get(live) === 'waiting';
  }

  /** Whether a task still waits for its image, as far as is known here. */
  fetches(live: TaskAttempt): boolean {
    return (this.reported.get(live) ?? 'fetching') === 'fetching';
  }

  /** Whether the worker has shown this attempt to be known to it. */
  wasReported(live: TaskAttempt): boolean {
    return this.reported.has(live);
  }
}
