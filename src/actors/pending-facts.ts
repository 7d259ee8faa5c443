/** Facts of reports on their way into the log: each is told once until its write is settled. */
import { attemptKey, unrecordedFacts, type TaskEnd } from '../core/recovery.js';
import type { TaskAttempt } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import type { LogEntry, WorkerReport } from '../core/types.js';
import type { LogActor } from './log.js';

const endKey = ([job, task, attempt]: TaskEnd): string => `end ${attemptKey(job, task, attempt)}`;

export class PendingFacts {
  /** Keys of facts told to the log and not yet in a record. */
  private readonly pending = new Set<string>();

  constructor(
    private readonly state: ClusterState,
    private readonly log: LogActor,
    /** Facts were written. */
    private readonly onWritten: () => void,
  ) {}

  /** Tells the log what a report shows and the log does not hold. */
  tell(report: WorkerReport): void {
    const { up, ends } = unrecordedFacts(this.state, report);
    const upKey = `up ${report.machine} ${report.session}`;
    const isNewUp = up !== null && !this.pending.has(upKey);
    const newEnds = this.notPending(ends);
    const entries: LogEntry[] = isNewUp ? [up] : [];
    if (newEnds.length > 0) entries.push({ e: 'end', p: newEnds });
    if (entries.length === 0) return;
    const keys = newEnds.map(endKey);
    if (isNewUp) keys.push(upKey);
    this.append(entries, keys, this.onWritten);
  }

  /** Tells the log that starts which were stopped before anything carried them will never happen. */
  tellNeverStarted(lives: readonly TaskAttempt[]): void {
    const ends = lives.map((live): TaskEnd => [live.job.spec.id, live.task, live.attempt, 'void', false]);
    const newEnds = this.notPending(ends);
    if (newEnds.length > 0) this.append([{ e: 'end', p: newEnds }], newEnds.map(endKey));
  }

  /** Whether the end of a task was told, though it may not be in a record yet. */
  hasEnd(live: TaskAttempt): boolean {
    return this.pending.has(endKey([live.job.spec.id, live.task, live.attempt, 'void', false]));
  }

  private notPending(ends: readonly TaskEnd[]): TaskEnd[] {
    return ends.filter((end) => !this.pending.has(endKey(end)));
  }

  private append(entries: LogEntry[], keys: string[], then?: () => void): void {
    for (const key of keys) this.pending.add(key);
    this.log.tell({
      entries,
      onSettled: (ok) => {
        for (const key of keys) this.pending.delete(key);
        if (ok) then?.();
      },
    });
  }
}
