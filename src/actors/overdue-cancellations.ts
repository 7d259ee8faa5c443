/**
 * Finds cancelled tasks that their stops have not ended in time: their machine hangs or can't be reached, and
 * has to be returned.
 */
import type { Job, Machine, TaskAttempt } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import type { WallMs } from '../core/types.js';
import { hasCancelledTasks, isCancelled } from '../core/worker-commands.js';
import type { Clock } from '../io/clock.js';
import { WORKER_HEARD_MAX_AGE_MS } from './leader-tracker.js';
import type { LogActor } from './log.js';
import type { WorkersActor } from './workers.js';

/** Time that returning a machine takes: a record, a call to the cloud, and its retries. */
const MACHINE_RETURN_S = 12;

export interface OverdueCancellationsOptions {
  state: ClusterState;
  clock: Clock;
  log: LogActor;
  workers: WorkersActor;
  /** Lease of the workers, and the time that a cancellation may take, in seconds. */
  limits: { lease_s: number; cancel_s: number };
  /** Whether no other node can be leading. */
  isSoleLeader: () => boolean;
  /** Whether a controller has just said that it knows of no later leader. */
  isStillFollowed: () => boolean;
}

/** Knows since when the tasks of each cancelled job are being stopped. */
export class OverdueCancellations {
  /** When this leader began to stop the tasks of a job; the time in the record may be much earlier. */
  private readonly stoppedSince = new WeakMap<Job, WallMs>();

  constructor(private readonly options: OverdueCancellationsOptions) {}

  /** Notes that the tasks of a job are being stopped from now on. */
  noteStopped(job: Job): void {
    if (!this.stoppedSince.has(job)) this.stoppedSince.set(job, this.options.clock.wall());
  }

  /** Notes the jobs whose cancellation is in an unsettled write; to be called periodically. */
  noteUnsettled(): void {
    const { log, state } = this.options;
    for (const id of log.unsettledCancellations) {
      const job = state.jobs.get(id);
      if (job) this.noteStopped(job);
    }
  }

  /**
   * Upholds ran_cancelled: whether the machine of a cancelled task has to be returned. If stops sent for the
   * length of a worker's lease have not ended the task, the machine hangs or is unreachable; it is returned
   * early enough for the cancellation to be met in time.
   */
  isOverdue(attempt: TaskAttempt): boolean {
    const { clock, limits, workers } = this.options;
    const since = this.stopsSentSince(attempt);
    if (since === null || workers.hasReportedEnd(attempt)) return false;
    const ageS = (clock.wall() - since) / 1000;
    if (ageS <= limits.lease_s) return false;
    const isLastMoment = ageS > limits.cancel_s - MACHINE_RETURN_S;
    return isCancelled(attempt)
      ? this.mayReturnWhenLogged(isLastMoment)
      : this.mayReturnWhileUnsettled(isLastMoment);
  }

  /** The machines with an overdue task. */
  overdueMachines(): Machine[] {
    const { log, state } = this.options;
    const unsettled = log.unsettledCancellations;
    return [...state.machines.values()].filter(
      (machine) =>
        hasCancelledTasks(machine, unsettled) && [...machine.live].some((attempt) => this.isOverdue(attempt)),
    );
  }

  /** Since when stops are sent to an attempt; null if it need not be stopped. */
  private stopsSentSince(attempt: TaskAttempt): WallMs | null {
    const noted = this.stoppedSince.get(attempt.job) ?? null;
    if (isCancelled(attempt)) return noted ?? attempt.stop!.at;
    return this.options.log.unsettledCancellations.has(attempt.job.spec.id) ? noted : null;
  }

  /**
   * Whether a machine may be returned for a cancellation in an unsettled write. Another leader would know the
   * result, return the machine itself, or run other work on it. So all controllers have to rule one out, or,
   * at the last moment, some controller or worker must still take this node for the leader.
   */
  private mayReturnWhileUnsettled(isLastMoment: boolean): boolean {
    return this.options.isSoleLeader() || (isLastMoment && this.isTakenForLeader());
  }

  /**
   * Whether a machine may be returned for a logged cancellation. After a stall of this process another leader
   * may use the machine, so the workers must have reported since, or had time to; at the last moment it is
   * enough that some controller or worker takes this node for the leader.
   */
  private mayReturnWhenLogged(isLastMoment: boolean): boolean {
    const { isSoleLeader, workers } = this.options;
    return workers.isReconciled() || (isLastMoment && (isSoleLeader() || this.isTakenForLeader()));
  }

  /** Whether, since the last stall, some controller or worker has taken this node for the leader. */
  private isTakenForLeader(): boolean {
    const { isStillFollowed, workers } = this.options;
    const maxAgeMs = Math.min(WORKER_HEARD_MAX_AGE_MS, workers.sinceStallMs);
    return isStillFollowed() || workers.intake.countHeard(maxAgeMs) > 0;
  }
}
