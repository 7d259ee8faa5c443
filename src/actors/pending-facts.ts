/**
 * Facts from reports that are being written to the log. Each is submitted only once until its write has
 * completed or failed.
 */
import { attemptKey, unrecordedFacts, type TaskEnd } from '../core/worker-commands.js';
import type { TaskAttempt } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import type { LogEntry, WorkerReport } from '../core/types.js';
import type { LogActor } from './log.js';

const endKey = ([job, task, attempt]: TaskEnd): string => `end ${attemptKey(job, task, attempt)}`;

/** Submits facts to the log, each once at a time. */
export class PendingFacts {
  /** Keys of facts that were submitted to the log and are not in a record yet. */
  private readonly pending = new Set<string>();

  constructor(
    private readonly state: ClusterState,
    private readonly log: LogActor,
    /** Called when facts of a report have been written. */
    private readonly onWritten: () => void,
  ) {}

  /** Submits to the log what a report shows and the log does not contain. */
  submitReport(report: WorkerReport): void {
    const { up, ends } = unrecordedFacts(this.state, report);
    const upKey = `up ${report.machine} ${report.session}`;
    const isNewUp = up !== null && !this.pending.has(upKey);
    const newEnds = this.withoutPending(ends);
    const entries: LogEntry[] = isNewUp ? [up] : [];
    if (newEnds.length > 0) entries.push({ e: 'end', p: newEnds });
    if (entries.length === 0) return;
    const keys = newEnds.map(endKey);
    if (isNewUp) keys.push(upKey);
    this.append(entries, keys, this.onWritten);
  }

  /**
   * Submits void ends of attempts that were stopped before their start was delivered, and that will therefore
   * never run.
   */
  submitNeverStarted(attempts: readonly TaskAttempt[]): void {
    const ends = attempts.map((attempt): TaskEnd => [
      attempt.job.spec.id,
      attempt.task,
      attempt.attempt,
      'void',
      false,
    ]);
    const newEnds = this.withoutPending(ends);
    if (newEnds.length > 0) this.append([{ e: 'end', p: newEnds }], newEnds.map(endKey));
  }

  /** Whether the end of an attempt was submitted and is not in a record yet. */
  hasPendingEnd(attempt: TaskAttempt): boolean {
    return this.pending.has(endKey([attempt.job.spec.id, attempt.task, attempt.attempt, 'void', false]));
  }

  private withoutPending(ends: readonly TaskEnd[]): TaskEnd[] {
    return ends.filter((end) => !this.pending.has(endKey(end)));
  }

  private append(entries: LogEntry[], keys: string[], onWritten?: () => void): void {
    for (const key of keys) this.pending.add(key);
    this.log.tell({
      entries,
      onSettled: (ok) => {
        for (const key of keys) this.pending.delete(key);
        if (ok) onWritten?.();
      },
    });
  }
}
