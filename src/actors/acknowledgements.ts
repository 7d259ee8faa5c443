/** Which records' commands the workers' reports show to be carried out, oldest first (Ravana's "event processed"). */
import type { TaskAttempt } from '../core/model.js';
import type { RecordNumber } from '../core/types.js';

export class Acknowledgements {
  /** Records whose starts and stops no report has shown yet. */
  private readonly outstanding = new Map<RecordNumber, TaskAttempt[]>();

  constructor(private readonly wasReported: (live: TaskAttempt) => boolean) {}

  /** A record was written whose commands concern these tasks. */
  noteWritten(record: RecordNumber, lives: TaskAttempt[]): void {
    if (lives.length > 0) this.outstanding.set(record, lives);
  }

  /** The last record up to which all commands were shown; `next` is the number of the next record. */
  processedUpTo(next: RecordNumber): number {
    for (const [record, lives] of this.outstanding) {
      const open = lives.filter((live) => this.isOpen(live));
      if (open.length > 0) {
        this.outstanding.set(record, open);
        return record - 1;
      }
      this.outstanding.delete(record);
    }
    return next - 1;
  }

  private isOpen(live: TaskAttempt): boolean {
    if (live.job.live.get(live.task) !== live) return false;
    return live.stop !== null || !this.wasReported(live);
  }
}
