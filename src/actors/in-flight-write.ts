/**
 * The log write whose result is not known yet. Its records may be in the log already: other nodes may have
 * read them there and answered users from them.
 */
import type { JobId, LogRecord, SteadyMs } from '../core/types.js';

/**
 * A write without an answer for this long is unsettled: users who wait for it get 503 and ask another node, and
 * its cancellations count as confirmed by one.
 */
export const WRITE_TIMEOUT_MS = 1500;

/** One transaction of the log, from its first copy until its result is known. */
export class InFlightWrite {
  /** The jobs that it cancels. */
  readonly cancelledJobs: ReadonlySet<JobId>;

  constructor(
    private readonly records: readonly LogRecord[],
    private readonly startedAt: SteadyMs,
  ) {
    const entries = records.flatMap((record) => record.entries);
    this.cancelledJobs = new Set(entries.flatMap((entry) => (entry.e === 'withdraw' ? [entry.job] : [])));
  }

  /** How long it has been under way. */
  ageMs(now: SteadyMs): number {
    return now - this.startedAt;
  }

  /** Whether its result has not been known for so long that other nodes may have answered users from it. */
  isUnsettled(now: SteadyMs): boolean {
    return this.ageMs(now) > WRITE_TIMEOUT_MS;
  }

  /** Whether it may change the status of a job. */
  concerns(id: JobId): boolean {
    return this.records.some((record) =>
      record.entries.some((entry) => {
        if (entry.e === 'job') return entry.spec.id === id;
        return entry.e === 'withdraw'
          ? entry.job === id
          : entry.e === 'end' && entry.p.some((end) => end[0] === id);
      }),
    );
  }
}
