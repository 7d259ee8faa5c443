/** A node's replica of the state while another node leads: follows the log and watches the lock. */
import { ClusterState } from '../core/state.js';
import type { LogRecord, RecordNumber, Term } from '../core/types.js';
import { sleep, type Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import { LEADER_KEY, RECORD_PREFIX, ROOT_PREFIX, SNAPSHOT_HEAD_KEY, TERM_KEY } from '../wire/keys.js';
import { recordKey, recordNumberOf, type LeaderValue, type SnapshotHead } from '../wire/keys.js';
import { ANSWER_TIMEOUT_MS, LIST_TIMEOUT_MS, type Change, type KeyValue } from '../wire/state-service.js';
import type { Revision, StateServiceClient, Version } from '../wire/state-service.js';
import { KeyReader } from './key-reader.js';
import { SingleFlight } from './single-flight.js';
import { NO_SNAPSHOT, stateFromChunks, type VersionedSnapshotHead } from './snapshot.js';

/** How often a paused follower checks whether it is resumed. */
const PAUSED_POLL_MS = 50;
/** Delay before a failed read is repeated. */
const READ_RETRY_MS = 250;
/** How long a watch waits for changes; shorter while the lock is free and this node tries to take it. */
const WATCH_MS = 10_000;
const WATCH_WHILE_FREE_MS = 200;
/** Minimum interval between two watches. */
const WATCH_INTERVAL_MS = 100;
/** Minimum interval between two reads for users' queries. */
const READ_INTERVAL_MS = 200;

/** Follows the log by a watch, so that this node has the state when it takes over. */
export class Follower {
  state = new ClusterState();
  /** Whether the state is complete up to a known revision, so that reading can continue from there. */
  loaded = false;
  /** The holder of the lock; null while the lock is free. */
  leader: LeaderValue | null = null;
  head: VersionedSnapshotHead = NO_SNAPSHOT;
  /** When the state service last answered, by the steady clock. */
  lastAnswerAt = -Infinity;
  /** When it last answered a check of the leader key in time; -Infinity when the last check had no answer. */
  answeredInTimeAt = -Infinity;
  private revision: Revision = 0;
  private readonly keyReader: KeyReader;
  private readonly reads: SingleFlight<boolean>;
  /** This node led until now: all that it applied is confirmed, and only later records have to be read. */
  private hasJustLed = false;
  private paused = false;
  private stopped = false;

  constructor(
    private readonly store: StateServiceClient,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly handlers: {
      /** The lock is free; resolves when the attempt to take it is over. */
      onLockFree: () => Promise<void>;
      onLeader: (leader: LeaderValue | null) => void;
      /** The term in the term key, which outlasts the leader key. */
      onTerm: (term: Term) => void;
    },
  ) {
    this.keyReader = new KeyReader(logger);
    this.reads = new SingleFlight(clock, READ_INTERVAL_MS, () => this.readIfFollowing());
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      if (this.paused) await sleep(this.clock, PAUSED_POLL_MS);
      else if (!this.loaded && !(await this.readState())) await sleep(this.clock, READ_RETRY_MS);
      else await this.watchOnce();
    }
  }

  /** Waits for the next changes and applies them; while the lock is free, tries to take it first. */
  private async watchOnce(): Promise<void> {
    if (this.leader === null) {
      await this.handlers.onLockFree();
      if (this.paused) return;
    }
    const startedAt = this.clock.steady();
    const waitMs = this.leader === null ? WATCH_WHILE_FREE_MS : WATCH_MS;
    const update = await this.store.watch(ROOT_PREFIX, this.revision, waitMs);
    if (this.paused || this.stopped) return;
    if (update === 'too_old') {
      this.loaded = false;
      return;
    }
    if (!update) return sleep(this.clock, READ_RETRY_MS);
    this.lastAnswerAt = this.clock.steady();
    this.revision = update.revision;
    this.logger.debug({ revision: update.revision, changes: update.changes.length }, 'state service read');
    for (const change of update.changes) this.applyChange(change);
    // Bounds the load on the state service, except when the lock is freed: an election follows at once.
    const isLockFreed = update.changes.some(({ key, removed }) => key === LEADER_KEY && removed);
    const elapsedMs = this.clock.steady() - startedAt;
    if (!isLockFreed && elapsedMs < WATCH_INTERVAL_MS) await sleep(this.clock, WATCH_INTERVAL_MS - elapsedMs);
  }

  private applyChange(change: Change): void {
    const { key, value, removed } = change;
    if (key === LEADER_KEY) this.setLeader(removed ? null : this.keyReader.readLeader(value));
    else if (removed) return;
    else if (key === TERM_KEY) this.setTerm(value);
    else if (key === SNAPSHOT_HEAD_KEY) this.setHead(change);
    else if (key.startsWith(RECORD_PREFIX)) this.applyRecord(recordNumberOf(key), value as LogRecord);
  }

  /** Reads the leader key, in case the watch missed the end of the lock. True when the lock is free. */
  async checkLeader(): Promise<boolean> {
    if (!this.loaded || this.paused) return false;
    const stored = await this.store.get(LEADER_KEY);
    // One missed answer resets the time, so that no leader hands over to a peer that is only sometimes
    // answered in time.
    if (stored === undefined) this.answeredInTimeAt = -Infinity;
    if (stored === undefined || this.paused) return false;
    this.lastAnswerAt = this.answeredInTimeAt = this.clock.steady();
    const leader = stored === null ? null : this.keyReader.readLeader(stored.value);
    if (leader?.run !== this.leader?.run || leader?.term !== this.leader?.term) this.setLeader(leader);
    return leader === null;
  }

  private setLeader(leader: LeaderValue | null): void {
    this.leader = leader;
    this.handlers.onLeader(leader);
  }

  private setTerm(value: unknown): void {
    const term = this.keyReader.readTerm(value);
    if (term !== null) this.handlers.onTerm(term);
  }

  private setHead(stored: { value: unknown; version: Version } | null): void {
    this.head = stored ? { ...(stored.value as SnapshotHead), version: stored.version } : NO_SNAPSHOT;
  }

  private applyRecord(recordNumber: RecordNumber, record: LogRecord): void {
    if (recordNumber < this.state.nextRecord) return;
    if (recordNumber > this.state.nextRecord) {
      this.logger.info(
        { no: recordNumber, next: this.state.nextRecord },
        'gap in the log; loading the state again',
      );
      this.loaded = false;
      return;
    }
    this.state.apply(recordNumber, record);
  }

  private async readState(): Promise<boolean> {
    const isCaughtUp = this.hasJustLed ? await this.catchUpAfterLeading() : null;
    if (isCaughtUp !== null) return isCaughtUp;
    this.hasJustLed = false;
    return this.load();
  }

  /**
   * After leading: this node has applied every record up to its last confirmed write, so only later records
   * are read, and not the snapshot. False when the read failed, null when they were compacted already.
   */
  private async catchUpAfterLeading(): Promise<boolean | null> {
    const records = await this.store.list(RECORD_PREFIX, recordKey(this.state.nextRecord - 1));
    const [leader, head, term] = [
      await this.store.get(LEADER_KEY),
      await this.store.get(SNAPSHOT_HEAD_KEY),
      await this.store.get(TERM_KEY),
    ];
    if (!records || leader === undefined || head === undefined || term === undefined) return false;
    const isCompacted = ((head?.value as SnapshotHead | undefined)?.upto ?? 0) >= this.state.nextRecord;
    const first = records.items[0];
    if (isCompacted || (first && recordNumberOf(first.key) > this.state.nextRecord)) return null;
    this.hasJustLed = false;
    this.loaded = true;
    for (const item of records.items) this.applyRecord(recordNumberOf(item.key), item.value as LogRecord);
    this.revision = records.revision;
    this.lastAnswerAt = this.clock.steady();
    this.setHead(head);
    this.setTerm(term?.value);
    this.setLeader(leader ? this.keyReader.readLeader(leader.value) : null);
    this.logger.info({ next: this.state.nextRecord }, 'records written since this node led were read');
    return this.loaded;
  }

  /** Reads the snapshot and all records after it. False when the read failed. */
  async load(timeoutMs = 0): Promise<boolean> {
    const startedAt = this.clock.steady();
    const all = await this.store.list(ROOT_PREFIX, null, Math.max(LIST_TIMEOUT_MS, timeoutMs));
    if (!all) return false;
    const keys = new Map(all.items.map((item) => [item.key, item.value]));
    const head = (keys.get(SNAPSHOT_HEAD_KEY) as SnapshotHead | undefined) ?? { upto: 0, chunks: 0 };
    let state = new ClusterState();
    if (head.upto > 0) {
      const fromSnapshot = stateFromChunks(keys, head);
      if (!fromSnapshot) return false;
      state = fromSnapshot;
    }
    for (const item of all.items) {
      if (!item.key.startsWith(RECORD_PREFIX)) continue;
      const recordNumber = recordNumberOf(item.key);
      if (recordNumber < state.nextRecord) continue;
      if (recordNumber > state.nextRecord) return false;
      state.apply(recordNumber, item.value as LogRecord);
    }
    this.state = state;
    this.setHead(all.items.find((item) => item.key === SNAPSHOT_HEAD_KEY) ?? null);
    this.revision = all.revision;
    this.loaded = true;
    this.lastAnswerAt = this.clock.steady();
    this.setTerm(keys.get(TERM_KEY));
    this.setLeader(keys.has(LEADER_KEY) ? this.keyReader.readLeader(keys.get(LEADER_KEY)) : null);
    this.logger.info(
      { next: state.nextRecord, ms: Math.round(this.clock.steady() - startedAt) },
      'state loaded',
    );
    return true;
  }

  /**
   * Reads the log up to its present end, so that this node can answer queries about unfinished jobs while it
   * reaches no leader. Queries share reads, and reads keep a minimum interval. False when the read failed.
   */
  readLatest(): Promise<boolean> {
    return this.reads.get();
  }

  private async readIfFollowing(): Promise<boolean> {
    // A node that began to lead during the read applies no records here: its log writer does so.
    const mayApply = (): boolean => this.loaded && !this.paused;
    return mayApply() && (await this.readNewRecords(mayApply));
  }

  /** Waits until all records before `next` are applied; false after a time-out or while not following. */
  async waitForRecord(next: number, timeoutMs: number): Promise<boolean> {
    for (const end = this.clock.steady() + timeoutMs; this.state.nextRecord < next;)
      if (!this.loaded || this.paused || this.clock.steady() > end) return false;
      else await sleep(this.clock, 20);
    return this.loaded && !this.paused;
  }

  /** Reads the records after the last one applied here, and applies them if `mayApply` still allows it. */
  private async readNewRecords(mayApply: () => boolean): Promise<boolean> {
    const records = await this.store.list(RECORD_PREFIX, recordKey(this.state.nextRecord - 1));
    // No later record: either this state is complete, or the records were compacted in the meantime.
    const head = records?.items.length === 0 ? await this.store.get(SNAPSHOT_HEAD_KEY) : null;
    if (!records || head === undefined || !mayApply()) return false;
    return this.applyRemaining(records.items, head);
  }

  /** Applies the records after the last one applied; false when they were compacted, so a load is needed. */
  private applyRemaining(records: KeyValue[], head: KeyValue | null): boolean {
    this.lastAnswerAt = this.clock.steady();
    const first = records[0];
    const isCompacted = first
      ? recordNumberOf(first.key) > this.state.nextRecord
      : head !== null && (head.value as SnapshotHead).upto >= this.state.nextRecord;
    if (isCompacted) this.loaded = false;
    else for (const { key, value } of records) this.applyRecord(recordNumberOf(key), value as LogRecord);
    return this.loaded;
  }

  /**
   * Reads the rest of the log to take over; if it was compacted, loads the snapshot. Answers may take as long
   * as the lock lasts. From now on only this node writes records and the head, so both can be read at the
   * same time.
   */
  async catchUp(timeoutMs: number): Promise<boolean> {
    if (!this.loaded) return this.load(timeoutMs);
    const [records, head] = await Promise.all([
      this.store.list(
        RECORD_PREFIX,
        recordKey(this.state.nextRecord - 1),
        Math.max(LIST_TIMEOUT_MS, timeoutMs),
      ),
      this.store.get(SNAPSHOT_HEAD_KEY, Math.max(ANSWER_TIMEOUT_MS, timeoutMs)),
    ]);
    if (!records || head === undefined) return false;
    if (!this.applyRemaining(records.items, head)) return this.load(timeoutMs);
    this.setHead(head);
    return true;
  }

  /** Before leading: this follower no longer applies records. */
  pause(): void {
    this.paused = true;
  }

  /** After leading: follows the log again, from the last confirmed record on. */
  resume(): void {
    this.paused = false;
    this.hasJustLed ||= this.loaded;
    this.loaded = false;
  }

  stop(): void {
    this.stopped = true;
  }
}
