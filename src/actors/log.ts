/** Appends the leader's entries to the log in the state service, as records in guarded transactions. */
import { Subject } from 'rxjs';
import type { ClusterState } from '../core/state.js';
import type { JobId, LogRecord, RecordNumber, Term, WallMs } from '../core/types.js';
import { NO_CANCELLATIONS, type UnsettledCancellations } from '../core/worker-commands.js';
import type { Cancel, Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import type { StateServiceClient } from '../wire/state-service.js';
import { Actor } from './actor.js';
import { TokenBucket } from './token-bucket.js';
import { InFlightWrite, WRITE_TIMEOUT_MS } from './in-flight-write.js';
import { maxEntriesBytes, requestsForRecord, splitRequest } from './record-batches.js';
import type { AppendRequest, Batch, QueuedRequest } from './record-batches.js';
import { RecordWriter } from './record-writer.js';

export interface LogOptions {
  state: ClusterState;
  store: StateServiceClient;
  clock: Clock;
  logger: Logger;
  /** Limits of the state service, from the settings. */
  limits: { write_rps: number; value_kb: number; txn_ops: number };
  term: Term;
  /** Version of the leader key, which guards each write. */
  leaderVersion: number;
  /** Called when a write is refused because another node leads. */
  onDeposed: (why: string) => void;
  /** Called when a write has succeeded, with its duration in milliseconds. */
  onWritten: (ms: number) => void;
}

/** Burst size, in seconds of the write rate. */
const BURST_S = 0.4;
/** Share of the state service's write rate that one leader uses. */
const WRITE_RATE_SHARE = 0.85;
/** Entries that nobody waits for are batched: their write starts at least this long after the one before. */
const BATCH_DELAY_MS = 100;
/** Size limit of a transaction without its guards and framing. */
const MAX_TXN_BYTES = 60 * 1024;
/**
 * Writes the leader's log by group commit: one transaction at a time, each guarded by the version of the
 * leader key. A burst of entries fills several records of one transaction.
 */
export class LogActor extends Actor<AppendRequest> {
  private urgent: QueuedRequest[] = [];
  private queue: QueuedRequest[] = [];
  /** Requests of rejected writes; each is written alone, before all others. */
  private isolated: QueuedRequest[] = [];
  private isWriting = false;
  private lastWriteAt = -Infinity;
  private lastTag = 0;
  private readonly state: ClusterState;
  private readonly clock: Clock;
  private readonly limits: LogOptions['limits'];
  private readonly rateLimit: TokenBucket;
  private readonly writer: RecordWriter;
  private cancelWait: Cancel | null = null;
  /** Records that were written and applied, in order. */
  readonly committed = new Subject<{ recordNumber: RecordNumber; record: LogRecord }>();
  /** Count of the writes that succeeded, and their total duration. */
  readonly writes = { count: 0, ms: 0 };
  /** Count of the entries that could not be written in any form. */
  rejectedEntries = 0;

  constructor(private readonly options: LogOptions) {
    super();
    const { clock, limits } = options;
    this.state = options.state;
    this.clock = clock;
    this.limits = limits;
    const burst = Math.max(1, Math.floor(limits.write_rps * BURST_S));
    this.writer = new RecordWriter(options, () => this.stopped);
    this.rateLimit = new TokenBucket(clock, limits.write_rps * WRITE_RATE_SHARE, burst);
  }

  /** The most writes that a snapshot may take at once: it uses what the log leaves of the write rate. */
  get maxSpareWrites(): number {
    return Math.max(1, Math.floor(this.rateLimit.burst / 2));
  }

  /** Takes writes from the rate limit for a snapshot, if enough are left for a burst of records. */
  takeSpareWrites(count: number): boolean {
    const { available, burst } = this.rateLimit;
    if (available < Math.min(burst, count + burst / 2)) return false;
    this.rateLimit.take(count);
    return true;
  }

  /** The number of urgent requests that are in no record yet. */
  get pendingUrgent(): number {
    return this.urgent.length;
  }

  /** The write whose result is not known yet. */
  private inFlight: InFlightWrite | null = null;
  private readonly settledListeners: (() => void)[] = [];

  /** Whether the write in flight may change the status of a job. */
  hasWriteInFlightFor(id: JobId): boolean {
    return this.inFlight?.concerns(id) === true;
  }

  /** Whether the write in flight has been without an answer for so long that others may know more. */
  get hasUnsettledWrite(): boolean {
    return this.inFlight?.isUnsettled(this.clock.steady()) === true;
  }

  /** The jobs whose cancellations are in an unsettled write. */
  get unsettledCancellations(): UnsettledCancellations {
    return this.inFlight && this.hasUnsettledWrite ? this.inFlight.cancelledJobs : NO_CANCELLATIONS;
  }

  /** Resolves to true when the write in flight is settled, to false on a time-out or when this log stops. */
  whenSettled(timeoutMs: number): Promise<boolean> {
    if (!this.inFlight) return Promise.resolve(true);
    return new Promise((resolve) => {
      const cancel = this.clock.after(timeoutMs, () => resolve(false));
      this.settledListeners.push(() => {
        cancel();
        resolve(!this.stopped);
      });
    });
  }

  private notifySettled(): void {
    this.inFlight = null;
    for (const listener of this.settledListeners.splice(0)) listener();
  }

  /** How long the write in flight has been without an answer; 0 when there is none. */
  get unansweredWriteMs(): number {
    return this.inFlight?.ageMs(this.clock.steady()) ?? 0;
  }

  protected receive(request: AppendRequest): void {
    if (request.entries.length === 0) return request.onSettled?.(true);
    const maxBytes = maxEntriesBytes(this.limits.value_kb * 1024);
    (request.urgent ? this.urgent : this.queue).push(...splitRequest(request, maxBytes));
    this.pump();
  }

  /** Starts a write when there are entries and the write rate and the batching delay allow it. */
  private pump(): void {
    if (this.isWriting || this.stopped) return;
    this.cancelWait?.();
    this.cancelWait = null;
    const urgentCount = this.isolated.length + this.urgent.length;
    if (urgentCount + this.queue.length === 0) return;
    const waitMs = Math.max(
      this.rateLimit.waitMs,
      urgentCount > 0 ? 0 : this.lastWriteAt + BATCH_DELAY_MS - this.clock.steady(),
    );
    if (waitMs > 0) this.cancelWait = this.clock.after(Math.ceil(waitMs), () => this.pump());
    else void this.write();
  }

  /** Takes queued requests, urgent ones first, up to the limits of a transaction and of the write rate. */
  private takeBatches(): Batch[] {
    const isolated = this.isolated.shift();
    if (isolated) return [this.batchOf([isolated], this.clock.wall())];
    const valueBytes = this.limits.value_kb * 1024;
    const allowedRecords = Math.max(1, Math.floor(this.rateLimit.available));
    const maxRecords = Math.min(allowedRecords, this.limits.txn_ops, Math.floor(MAX_TXN_BYTES / valueBytes));
    const all = [...this.urgent, ...this.queue];
    const at = this.clock.wall();
    const batches: Batch[] = [];
    let taken = 0;
    while (batches.length < Math.max(1, maxRecords) && taken < all.length) {
      const requests = requestsForRecord(all, taken, valueBytes);
      taken += requests.length;
      batches.push(this.batchOf(requests, at));
    }
    this.queue = all.slice(Math.max(taken, this.urgent.length));
    this.urgent = this.urgent.slice(taken);
    return batches;
  }

  private batchOf(requests: QueuedRequest[], at: WallMs): Batch {
    const entries = requests.flatMap((request) => request.entries);
    return { requests, record: { term: this.options.term, tag: ++this.lastTag, at, entries } };
  }

  private async write(): Promise<void> {
    if (this.stopped) return;
    this.isWriting = true;
    const batches = this.takeBatches();
    this.rateLimit.take(batches.length);
    const first = this.state.nextRecord as RecordNumber;
    const startedAt = this.clock.steady();
    this.lastWriteAt = startedAt;
    const records = batches.map(({ record }) => record);
    const write = new InFlightWrite(records, startedAt);
    this.inFlight = write;
    const cancelTimeout = this.clock.after(WRITE_TIMEOUT_MS, () => this.logUnsettled(first, write));
    const result = await this.writer.write(first, records);
    cancelTimeout();
    const requests = batches.flatMap((batch) => batch.requests);
    if (result.outcome === 'abandoned') return this.abandon(requests);
    if (result.outcome === 'rejected') this.isolate(requests, result.error);
    else {
      this.countWrite(this.clock.steady() - startedAt);
      this.commit(first, batches);
    }
    this.notifySettled();
    this.isWriting = false;
    this.pump();
  }

  private countWrite(tookMs: number): void {
    this.writes.count++;
    this.writes.ms += tookMs;
    this.options.onWritten(tookMs);
  }

  /**
   * Has rejected requests written one by one, and a single one in smaller parts. An entry that can't be split
   * is given up: it must not keep this leader and the next ones from writing anything else.
   */
  private isolate(requests: QueuedRequest[], error: string): void {
    const [request] = requests;
    const parts =
      requests.length > 1 || !request ? requests : splitRequest(request, Math.floor(request.bytes / 2));
    if (parts.length > 1) return void this.isolated.unshift(...parts);
    if (!request) return;
    this.rejectedEntries++;
    const { bytes, entries } = request;
    const kinds = entries.map((entry) => entry.e);
    const limitBytes = this.limits.value_kb * 1024;
    this.options.logger.error({ kinds, bytes, limitBytes, error }, 'entry rejected by the state service');
    request.onSettled?.(false);
  }

  private logUnsettled(recordNumber: RecordNumber, { cancelledJobs }: InFlightWrite): void {
    if (this.stopped || cancelledJobs.size === 0) return;
    this.options.logger.info({ no: recordNumber, jobs: [...cancelledJobs] }, 'cancellations unsettled');
  }

  private commit(first: RecordNumber, batches: readonly Batch[]): void {
    // All records are applied before anything is sent. Prevents starts after a confirmed cancellation: a
    // start in the first record must not be sent when the cancellation in the second is written already.
    for (const [index, { record }] of batches.entries())
      this.state.apply((first + index) as RecordNumber, record);
    for (const [index, { requests, record }] of batches.entries()) {
      const recordNumber = (first + index) as RecordNumber;
      for (const request of requests) request.onSettled?.(true);
      this.committed.next({ recordNumber, record });
      this.options.logger.debug(
        { no: recordNumber, entries: record.entries.map((entry) => entry.e) },
        'record written',
      );
    }
  }

  private abandon(requests: AppendRequest[]): void {
    for (const request of requests) request.onSettled?.(false);
  }

  override stop(): void {
    super.stop();
    this.cancelWait?.();
    this.notifySettled();
    const unwritten = [...this.isolated, ...this.urgent, ...this.queue];
    this.isolated = [];
    this.urgent = [];
    this.queue = [];
    for (const request of unwritten) request.onSettled?.(false);
  }
}
