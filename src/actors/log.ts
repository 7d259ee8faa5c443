/** Writes the leader's entries to the state service, as records of guarded transactions. */
import { Subject } from 'rxjs';
import type { ClusterState } from '../core/state.js';
import type { LogEntry, JobId, LogRecord, RecordNumber, Term } from '../core/types.js';
import { sleep, type Cancel, type Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import { LEADER_KEY, recordKey } from '../wire/keys.js';
import type { StateServiceClient, TransactionResult } from '../wire/store.js';
import { Actor } from './actor.js';
import { TokenBucket } from './token-bucket.js';
import { COPY_TIMEOUT_MS, HedgedTransaction } from './write-copies.js';

export interface AppendRequest {
  entries: LogEntry[];
  /** A user waits for it: it goes before the rest, and is not held back to be written with more. */
  urgent?: boolean;
  onSettled?: (ok: boolean) => void;
}

export interface LogOptions {
  state: ClusterState;
  store: StateServiceClient;
  clock: Clock;
  logger: Logger;
  /** Of the state service, as the settings have them. */
  limits: { write_rps: number; value_kb: number; txn_ops: number };
  term: Term;
  /** The revision of the leader key: each write is guarded by it. */
  leaderVersion: number;
  /** A write was refused: another leads. */
  onDeposed: (why: string) => void;
  /** A write was answered, after so many milliseconds. */
  onWritten: (ms: number) => void;
}

/** Seconds of the write rate that may be used at once. */
const BURST_S = 0.4;
/** What one leader uses of the state service's writes. */
const SHARE = 0.85;
/** Entries that nobody waits for are gathered for so long, as the paper's batches are. */
const GATHER_MS = 100;
/** A transaction's limit, less its guards and frame. */
const TXN_BYTES = 60 * 1024;

/** Of a value's limit, for what a record holds beside its entries. */
const RECORD_FRAME_BYTES = 300;
/** A write is tried again so long after each kind of result that settles nothing. */
const RETRY_AFTER_MS: Record<TransactionResult['outcome'], number> = {
  ...{ done: 0, failed: 100, refused: 150, no_lease: 30, unknown: 30 },
};

interface Waiting extends AppendRequest {
  bytes: number;
}
interface Batch {
  items: Waiting[];
  record: LogRecord;
}

/** As many of the items from there on as fit into one record; one at the least. */
function itemsOfRecord(all: readonly Waiting[], from: number, mostBytes: number): Waiting[] {
  const items: Waiting[] = [];
  let bytes = 0;
  for (const item of all.slice(from)) {
    if (items.length > 0 && bytes + item.bytes > mostBytes) break;
    bytes += item.bytes;
    items.push(item);
  }
  return items;
}

/**
 * The leader's writer of the log: group commits, one transaction at a time, each guarded by the leader key's
 * stamp. A burst fills several records of one transaction.
 */
export class LogActor extends Actor<AppendRequest> {
  private urgent: Waiting[] = [];
  private queue: Waiting[] = [];
  private writing = false;
  private writingSince = 0;
  private lastStart = -Infinity;
  private tag = 0;
  private readonly state: ClusterState;
  private readonly clock: Clock;
  private readonly limits: LogOptions['limits'];
  private readonly bucket: TokenBucket;
  private cancelWait: Cancel | null = null;
  readonly committed = new Subject<{ no: RecordNumber; record: LogRecord }>();
  readonly writes = { count: 0, ms: 0 };

  constructor(private readonly options: LogOptions) {
    super();
    const { clock, limits } = options;
    this.state = options.state;
    this.clock = clock;
    this.limits = limits;
    const burst = Math.max(1, Math.floor(limits.write_rps * BURST_S));
    this.bucket = new TokenBucket(clock, limits.write_rps * SHARE, burst);
  }

  /** Folding takes writes that the pen leaves over: never more than this at once. */
  get maxSpareWrites(): number {
    return Math.max(1, Math.floor(this.bucket.burst / 2));
  }

  /** Takes so many writes for folding, if enough are left for a burst of records. */
  takeSpareWrites(n: number): boolean {
    const { available: left, burst } = this.bucket;
    if (left < Math.min(burst, n + burst / 2)) return false;
    this.bucket.take(n);
    return true;
  }

  /** Users' entries not yet in a record. */
  get pendingUrgent(): number {
    return this.urgent.length;
  }

  /** What is being written: it may be in the log already, and others may have read it there. */
  private flight: Batch[] = [];
  private readonly landed: (() => void)[] = [];

  /** Whether what is being written may change what there is to say of a job. */
  hasWriteInFlightFor(id: JobId): boolean {
    return this.flight.some((b) =>
      b.record.entries.some((e) => {
        if (e.e === 'job') return e.spec.id === id;
        return e.e === 'withdraw' ? e.job === id : e.e === 'end' && e.p.some((p) => p[0] === id);
      }),
    );
  }

  /** Resolves when what is being written is settled, or a time is over; false then. */
  whenSettled(mostMs: number): Promise<boolean> {
    if (this.flight.length === 0) return Promise.resolve(true);
    return new Promise((resolve) => {
      const cancel = this.clock.after(mostMs, () => resolve(false));
      this.landed.push(() => {
        cancel();
        resolve(!this.stopped);
      });
    });
  }

  private land(): void {
    this.flight = [];
    for (const l of this.landed.splice(0)) l();
  }

  /** How long the present write has gone unanswered. */
  get unansweredWriteMs(): number {
    return this.writing ? this.clock.steady() - this.writingSince : 0;
  }

  protected receive(m: AppendRequest): void {
    if (m.entries.length === 0) return m.onSettled?.(true);
    const w = { ...m, bytes: Buffer.byteLength(JSON.stringify(m.entries)) };
    (m.urgent ? this.urgent : this.queue).push(w);
    this.pump();
  }

  private pump(): void {
    if (this.writing || this.stopped) return;
    this.cancelWait?.();
    this.cancelWait = null;
    if (this.urgent.length + this.queue.length === 0) return;
    const wait = Math.max(
      this.bucket.waitMs,
      this.urgent.length > 0 ? 0 : this.lastStart + GATHER_MS - this.clock.steady(),
    );
    if (wait > 0) this.cancelWait = this.clock.after(Math.ceil(wait), () => this.pump());
    else void this.write();
  }

  /** Takes what waits, as far as one transaction and the write rate hold it; urgent entries first. */
  private takeBatches(): Batch[] {
    const valueBytes = this.limits.value_kb * 1024;
    const rateAllows = Math.max(1, Math.floor(this.bucket.available));
    const mostRecords = Math.min(rateAllows, this.limits.txn_ops, Math.floor(TXN_BYTES / valueBytes));
    const all = [...this.urgent, ...this.queue];
    const at = this.clock.wall();
    const batches: Batch[] = [];
    let used = 0;
    while (batches.length < Math.max(1, mostRecords) && used < all.length) {
      const items = itemsOfRecord(all, used, valueBytes - RECORD_FRAME_BYTES);
      used += items.length;
      const entries = items.flatMap((item) => item.entries);
      batches.push({ items, record: { term: this.options.term, tag: ++this.tag, at, entries } });
    }
    this.queue = all.slice(Math.max(used, this.urgent.length));
    this.urgent = this.urgent.slice(used);
    return batches;
  }

  private async write(): Promise<void> {
    if (this.stopped) return;
    this.writing = true;
    const batches = this.takeBatches();
    this.flight = batches;
    this.bucket.take(batches.length);
    const first = this.state.nextRecord as RecordNumber;
    const from = this.clock.steady();
    this.lastStart = this.writingSince = from;
    if (!(await this.settle(first, batches))) return this.drop(batches.flatMap(({ items }) => items));
    const tookMs = this.clock.steady() - from;
    this.writes.count++;
    this.writes.ms += tookMs;
    this.options.onWritten(tookMs);
    this.commit(first, batches);
    this.land();
    this.writing = false;
    this.pump();
  }

  /**
   * Writes the records, and resolves when they are known to be written; false when they never will be by this
   * leader. What is being written is fixed until it is settled: a write without an answer is repeated as it is, and
   * the guard on the absent keys lets only one of the copies through.
   */
  private async settle(first: RecordNumber, batches: readonly Batch[]): Promise<boolean> {
    const puts = batches.map(({ record }, index) => ({ put: recordKey(first + index), value: record }));
    const absent = puts.map(({ put }) => ({ key: put, stamp: 0 }));
    const guards = [{ key: LEADER_KEY, stamp: this.options.leaderVersion }, ...absent];
    const copies = new HedgedTransaction(this.clock, () =>
      this.options.store.transact(guards, puts, COPY_TIMEOUT_MS),
    );
    while (!this.stopped) {
      const result = await copies.next();
      if (this.stopped) return false;
      if (result.outcome === 'done') return true;
      const isOurs = result.outcome === 'failed' ? await this.isWrittenByUs(first, batches[0]!.record) : null;
      if (this.stopped) return false;
      if (isOurs) return true;
      if (isOurs === false) {
        const refused = result.outcome === 'failed' ? result.keys.join(', ') : '';
        this.options.onDeposed(`record ${first} was refused (${refused})`);
        return false;
      }
      await sleep(this.clock, RETRY_AFTER_MS[result.outcome]);
    }
    return false;
  }

  /** Whether a refused record is there already by another copy; null when it can't be read. */
  private async isWrittenByUs(no: RecordNumber, record: LogRecord): Promise<boolean | null> {
    const item = await this.options.store.get(recordKey(no), COPY_TIMEOUT_MS);
    if (item === undefined) return null;
    const there = item?.value as LogRecord | undefined;
    return there !== undefined && there.term === record.term && there.tag === record.tag;
  }

  private commit(first: RecordNumber, batches: readonly Batch[]): void {
    // Guards starts after a confirmed cancellation: a launch of the first record must not leave when the
    // cancellation in the second is written already.
    for (const [index, { record }] of batches.entries())
      this.state.apply((first + index) as RecordNumber, record);
    for (const [index, { items, record }] of batches.entries()) {
      const no = (first + index) as RecordNumber;
      for (const item of items) item.onSettled?.(true);
      this.committed.next({ no, record });
      this.options.logger.debug({ no, entries: record.entries.map((entry) => entry.e) }, 'record written');
    }
  }

  private drop(items: AppendRequest[]): void {
    for (const i of items) i.onSettled?.(false);
  }

  override stop(): void {
    super.stop();
    this.cancelWait?.();
    this.land();
    const q = [...this.urgent, ...this.queue];
    this.urgent = [];
    this.queue = [];
    for (const i of q) i.onSettled?.(false);
  }
}
