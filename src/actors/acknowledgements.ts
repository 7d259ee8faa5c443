/** Tracks up to which log record all commands are confirmed by reports (Ravana's "event processed"). */
import type { TaskAttempt } from '../core/model.js';
import type { RecordNumber } from '../core/types.js';

/** The log records whose commands are not all confirmed by reports. */
export class Acknowledgements {
  /** Attempts whose starts and stops no report has confirmed yet, by record, oldest first. */
  private readonly unconfirmed = new Map<RecordNumber, TaskAttempt[]>();

  constructor(private readonly wasReported: (attempt: TaskAttempt) => boolean) {}

  /** Registers a written record with the task attempts that its commands concern. */
  noteWritten(record: RecordNumber, attempts: TaskAttempt[]): void {
    if (attempts.length > 0) this.unconfirmed.set(record, attempts);
  }

  /** The last record up to which all commands are confirmed; `next` is the number of the next record. */
  processedUpTo(next: RecordNumber): number {
    for (const [record, attempts] of this.unconfirmed) {
      const remaining = attempts.filter((attempt) => this.isUnconfirmed(attempt));
      if (remaining.length > 0) {
        this.unconfirmed.set(record, remaining);
        return record - 1;
      }
      this.unconfirmed.delete(record);
    }
    return next - 1;
  }

  private isUnconfirmed(attempt: TaskAttempt): boolean {
    if (attempt.job.live.get(attempt.task) !== attempt) return false;
    return attempt.stop !== null || !this.wasReported(attempt);
  }
}
