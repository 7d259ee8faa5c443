/** Writes records to the state service, in one guarded transaction that is repeated until its result is known. */
import type { LogRecord, RecordNumber } from '../core/types.js';
import { sleep, type Clock } from '../io/clock.js';
import { LEADER_KEY, recordKey } from '../wire/keys.js';
import type { StateServiceClient, TransactionResult, Version } from '../wire/state-service.js';
import { COPY_TIMEOUT_MS, HedgedTransaction } from './hedged-transaction.js';

/** Delay before a write is repeated, for each result that does not settle it. */
const RETRY_AFTER_MS: Record<Exclude<TransactionResult['outcome'], 'rejected'>, number> = {
  ...{ done: 0, failed: 100, refused: 150, no_lease: 30, unknown: 30 },
};

/** What became of a write; `rejected`: the state service can't take these records, however often they are sent. */
export type WriteResult = { outcome: 'written' | 'abandoned' } | { outcome: 'rejected'; error: string };

export interface RecordWriterOptions {
  store: StateServiceClient;
  clock: Clock;
  /** Version of the leader key, which guards each write. */
  leaderVersion: Version;
  /** Called when a write is refused because another node leads. */
  onDeposed: (why: string) => void;
}

/** Writes the records of one leader. */
export class RecordWriter {
  constructor(
    private readonly options: RecordWriterOptions,
    private readonly isStopped: () => boolean,
  ) {}

  /**
   * Writes the records until it is known whether they are written. The records don't change until they are settled: a write without an answer is repeated
   * as it is, and the guard on the absence of their keys lets only one of the copies through.
   */
  async write(first: RecordNumber, records: readonly LogRecord[]): Promise<WriteResult> {
    const { clock, leaderVersion, onDeposed, store } = this.options;
    const puts = records.map((record, index) => ({ put: recordKey(first + index), value: record }));
    const absent = puts.map(({ put }) => ({ key: put, stamp: 0 }));
    const guards = [{ key: LEADER_KEY, stamp: leaderVersion }, ...absent];
    const copies = new HedgedTransaction(clock, () => store.transact(guards, puts, COPY_TIMEOUT_MS));
    while (!this.isStopped()) {
      const result = await copies.next();
      if (this.isStopped()) break;
      if (result.outcome === 'done') return { outcome: 'written' };
      if (result.outcome === 'rejected') return result;
      const isOurs = result.outcome === 'failed' ? await this.isWrittenByUs(first, records[0]!) : null;
      if (this.isStopped()) break;
      if (isOurs) return { outcome: 'written' };
      if (isOurs === false) {
        const refused = result.outcome === 'failed' ? result.keys.join(', ') : '';
        onDeposed(`record ${first} was refused (${refused})`);
        break;
      }
      await sleep(clock, RETRY_AFTER_MS[result.outcome]);
    }
    return { outcome: 'abandoned' };
  }

  /** Whether a refused record was written already by another copy; null when it can't be read. */
  private async isWrittenByUs(recordNumber: RecordNumber, record: LogRecord): Promise<boolean | null> {
    const item = await this.options.store.get(recordKey(recordNumber), COPY_TIMEOUT_MS);
    if (item === undefined) return null;
    const stored = item?.value as LogRecord | undefined;
    return stored !== undefined && stored.term === record.term && stored.tag === record.tag;
  }
}
