/** The progress of each attempt, as workers last reported it to this leader. */
import type { Job, TaskAttempt } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import type { SteadyMs, TaskState, WorkerReport } from '../core/types.js';
import type { Clock } from '../io/clock.js';

/** Tracks the reported state of each attempt. */
export class TaskProgress {
  private readonly reportedStates = new WeakMap<TaskAttempt, TaskState>();
  /** When an attempt was first reported as running; absent while it is not running. */
  private readonly runningSinceByAttempt = new WeakMap<TaskAttempt, SteadyMs>();

  constructor(
    private readonly state: ClusterState,
    private readonly clock: Clock,
  ) {}

  /** Takes the task states of a report, for the attempts that the log has on that machine. */
  update(report: WorkerReport): void {
    for (const task of report.tasks) {
      const attempt = this.state.jobs.get(task.job)?.live.get(task.task);
      if (!attempt || attempt.attempt !== task.attempt || attempt.machine.id !== report.machine) continue;
      this.reportedStates.set(attempt, task.state);
      if (task.state !== 'running' && task.state !== 'saving') this.runningSinceByAttempt.delete(attempt);
      else if (!this.runningSinceByAttempt.has(attempt))
        this.runningSinceByAttempt.set(attempt, this.clock.steady());
    }
  }

  /** When an attempt was first reported as running; null if it is not running. */
  runningSince(attempt: TaskAttempt): SteadyMs | null {
    return this.runningSinceByAttempt.get(attempt) ?? null;
  }

  /** Number of running tasks of a job. */
  countRunning(job: Job): number {
    let count = 0;
    for (const attempt of job.live.values()) if (this.runningSinceByAttempt.has(attempt)) count++;
    return count;
  }

  /** Whether an attempt waits only for the rest of its gang. */
  isWaitingForGang(attempt: TaskAttempt): boolean {
    return this.reportedStates.get(attempt) === 'waiting';
  }

  /** Whether an attempt still waits for its image, as far as this leader knows. */
  isFetching(attempt: TaskAttempt): boolean {
    return (this.reportedStates.get(attempt) ?? 'fetching') === 'fetching';
  }

  /** Whether the worker has reported this attempt. */
  wasReported(attempt: TaskAttempt): boolean {
    return this.reportedStates.has(attempt);
  }
}
