/** A node's copy of the state while another leads: reads the log on, and says when the lock is free. */
import { ClusterState } from '../core/state.js';
import type { LogRecord, RecordNumber, Term } from '../core/types.js';
import { sleep, type Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import {
  SNAPSHOT_HEAD_KEY,
  LEADER_KEY,
  RECORD_PREFIX,
  ROOT_PREFIX,
  TERM_KEY,
  recordKey,
  recordNumberOf,
  type SnapshotHead,
  type LeaderValue,
} from '../wire/keys.js';
import {
  ANSWER_TIMEOUT_MS,
  LIST_TIMEOUT_MS,
  type Change,
  type KeyValue,
  type Revision,
  type Version,
  type StateServiceClient,
} from '../wire/store.js';
import { KeyReader } from './key-values.js';
import { SingleFlight } from './single-flight.js';
import { NO_SNAPSHOT, stateFromChunks, type VersionedSnapshotHead } from './snapshot.js';

/** While another part of the node has the state, it is looked for this often whether it is back. */
const PAUSED_LOOK_MS = 50;
/** A read that failed is repeated after so long. */
const FAILED_READ_MS = 250;
/** A watch waits for news so long, and less while the lock is free: it is contended for between two. */
const WATCH_MS = 10_000;
const FREE_WATCH_MS = 200;
/** Watches keep this distance. */
const WATCHES_APART_MS = 100;
/** Reads for users' questions keep this distance. */
const READ_APART_MS = 200;

/** Follows the log by watch, so that a take-over finds the state at hand. */
export class Follower {
  state = new ClusterState();
  loaded = false;
  leader: LeaderValue | null = null;
  head: VersionedSnapshotHead = NO_SNAPSHOT;
  /** Steady time of the last answer of the state service. */
  lastAnswerAt = -Infinity;
  /** Steady time of its last answer to a question that came in the usual time; the last question's, or never. */
  answeredInTimeAt = -Infinity;
  private revision: Revision = 0;
  private readonly values: KeyReader;
  private readonly reads: SingleFlight<boolean>;
  /** This node led until now: what it applied is confirmed, so that the rest can be read on. */
  private ledUntilNow = false;
  private paused = false;
  private stopped = false;

  constructor(
    private readonly store: StateServiceClient,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly on: {
      /** The lock is free; resolves when the attempt to take it is over. */
      free: () => Promise<void>;
      leader: (v: LeaderValue | null) => void;
      /** The lasting term, as the state service has it. */
      term: (t: Term) => void;
    },
  ) {
    this.values = new KeyReader(log);
    this.reads = new SingleFlight(clock, READ_APART_MS, () => this.read());
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      if (this.paused) await sleep(this.clock, PAUSED_LOOK_MS);
      else if (!this.loaded && !(await this.readState())) await sleep(this.clock, FAILED_READ_MS);
      else await this.followOn();
    }
  }

  /** Waits for the next changes and takes them; contends before that while the lock is free. */
  private async followOn(): Promise<void> {
    if (this.leader === null) {
      await this.on.free();
      if (this.paused) return;
    }
    const from = this.clock.steady();
    const waitMs = this.leader === null ? FREE_WATCH_MS : WATCH_MS;
    const news = await this.store.watch(ROOT_PREFIX, this.revision, waitMs);
    if (this.paused || this.stopped) return;
    if (news === 'too_old') {
      this.loaded = false;
      return;
    }
    if (!news) return sleep(this.clock, FAILED_READ_MS);
    this.lastAnswerAt = this.clock.steady();
    this.revision = news.revision;
    this.log.debug({ revision: news.revision, changes: news.changes.length }, 'state service read');
    for (const change of news.changes) this.takeChange(change);
    // Bounded use of the state service, but nobody is late to an election.
    const isLockFreed = news.changes.some(({ key, removed }) => key === LEADER_KEY && removed);
    const spentMs = this.clock.steady() - from;
    if (!isLockFreed && spentMs < WATCHES_APART_MS) await sleep(this.clock, WATCHES_APART_MS - spentMs);
  }

  private takeChange(change: Change): void {
    const { key, value, removed } = change;
    if (key === LEADER_KEY) this.setLeader(removed ? null : this.values.readLeader(value));
    else if (removed) return;
    else if (key === TERM_KEY) this.setTerm(value);
    else if (key === SNAPSHOT_HEAD_KEY) this.setHead(change);
    else if (key.startsWith(RECORD_PREFIX)) this.take(recordNumberOf(key), value as LogRecord);
  }

  /** Reads the leader key itself, in case the watch did not report its removal; true when the lock is free. */
  async checkLeader(): Promise<boolean> {
    if (!this.loaded || this.paused) return false;
    const k = await this.store.get(LEADER_KEY);
    // Guards against giving way to a peer that is answered in time by luck: one late answer, and it is no evidence.
    if (k === undefined) this.answeredInTimeAt = -Infinity;
    if (k === undefined || this.paused) return false;
    this.lastAnswerAt = this.answeredInTimeAt = this.clock.steady();
    const v = k === null ? null : this.values.readLeader(k.value);
    if (v?.run !== this.leader?.run || v?.term !== this.leader?.term) this.setLeader(v);
    return v === null;
  }

  private setLeader(v: LeaderValue | null): void {
    this.leader = v;
    this.on.leader(v);
  }

  private setTerm(value: unknown): void {
    const term = this.values.readTerm(value);
    if (term !== null) this.on.term(term);
  }

  private setHead(i: { value: unknown; version: Version } | null): void {
    this.head = i ? { ...(i.value as SnapshotHead), version: i.version } : NO_SNAPSHOT;
  }

  private take(no: RecordNumber, rec: LogRecord): void {
    if (no < this.state.nextRecord) return;
    if (no > this.state.nextRecord) {
      this.log.info({ no, next: this.state.nextRecord }, 'gap in the log, reading it again');
      this.loaded = false;
      return;
    }
    this.state.apply(no, rec);
  }

  private async readState(): Promise<boolean> {
    const rejoined = this.ledUntilNow ? await this.rejoin() : null;
    if (rejoined !== null) return rejoined;
    this.ledUntilNow = false;
    return this.load();
  }

  /**
   * After leading: this node applied every record up to its last confirmed write, so only what was written
   * since is read, and not the snapshot. False when that could not be done now, null when what was written
   * is in a snapshot already.
   */
  private async rejoin(): Promise<boolean | null> {
    const records = await this.store.list(RECORD_PREFIX, recordKey(this.state.nextRecord - 1));
    const [leader, head, term] = [
      await this.store.get(LEADER_KEY),
      await this.store.get(SNAPSHOT_HEAD_KEY),
      await this.store.get(TERM_KEY),
    ];
    if (!records || leader === undefined || head === undefined || term === undefined) return false;
    const folded = ((head?.value as SnapshotHead | undefined)?.upto ?? 0) >= this.state.nextRecord;
    const first = records.items[0];
    if (folded || (first && recordNumberOf(first.key) > this.state.nextRecord)) return null;
    this.ledUntilNow = false;
    this.loaded = true;
    for (const item of records.items) this.take(recordNumberOf(item.key), item.value as LogRecord);
    this.revision = records.revision;
    this.lastAnswerAt = this.clock.steady();
    this.setHead(head);
    this.setTerm(term?.value);
    this.setLeader(leader ? this.values.readLeader(leader.value) : null);
    this.log.info({ next: this.state.nextRecord }, 'state read on');
    return this.loaded;
  }

  /** Reads snapshot and records. False when that could not be done now. */
  async load(patienceMs = 0): Promise<boolean> {
    const from = this.clock.steady();
    const all = await this.store.list(ROOT_PREFIX, null, Math.max(LIST_TIMEOUT_MS, patienceMs));
    if (!all) return false;
    const keys = new Map(all.items.map((i) => [i.key, i.value]));
    const head = (keys.get(SNAPSHOT_HEAD_KEY) as SnapshotHead | undefined) ?? { upto: 0, chunks: 0 };
    let state = new ClusterState();
    if (head.upto > 0) {
      const folded = stateFromChunks(keys, head);
      if (!folded) return false;
      state = folded;
    }
    for (const i of all.items) {
      if (!i.key.startsWith(RECORD_PREFIX)) continue;
      const no = recordNumberOf(i.key);
      if (no < state.nextRecord) continue;
      if (no > state.nextRecord) return false;
      state.apply(no, i.value as LogRecord);
    }
    this.state = state;
    this.setHead(all.items.find((i) => i.key === SNAPSHOT_HEAD_KEY) ?? null);
    this.revision = all.revision;
    this.loaded = true;
    this.lastAnswerAt = this.clock.steady();
    this.setTerm(keys.get(TERM_KEY));
    this.setLeader(keys.has(LEADER_KEY) ? this.values.readLeader(keys.get(LEADER_KEY)) : null);
    this.log.info({ next: state.nextRecord, ms: Math.round(this.clock.steady() - from) }, 'state loaded');
    return true;
  }

  /**
   * Reads on to what the log holds at this moment, so that this node may say what can change though it
   * reaches no leader. Questions share reads, and reads keep a distance. False when it could not be done.
   */
  readLatest(): Promise<boolean> {
    return this.reads.get();
  }

  private async read(): Promise<boolean> {
    // Guards the state of a node that began to lead meanwhile: only its pen applies records then.
    const may = (): boolean => this.loaded && !this.paused;
    return may() && (await this.readOn(may));
  }

  /** Whether the log is here up to a record, or comes within a time. */
  async waitForRecord(next: number, mostMs: number): Promise<boolean> {
    for (const end = this.clock.steady() + mostMs; this.state.nextRecord < next;)
      if (!this.loaded || this.paused || this.clock.steady() > end) return false;
      else await sleep(this.clock, 20);
    return this.loaded && !this.paused;
  }

  /** Reads what was written after the last record known here, and applies it if it still may be. */
  private async readOn(may: () => boolean): Promise<boolean> {
    const records = await this.store.list(RECORD_PREFIX, recordKey(this.state.nextRecord - 1));
    // Nothing after ours: either all is here, or it was folded meanwhile.
    const head = records?.items.length === 0 ? await this.store.get(SNAPSHOT_HEAD_KEY) : null;
    if (!records || head === undefined || !may()) return false;
    return this.takeRest(records.items, head);
  }

  /** Applies what follows the last record known here; false when it was folded, so that all has to be loaded. */
  private takeRest(records: KeyValue[], head: KeyValue | null): boolean {
    this.lastAnswerAt = this.clock.steady();
    const first = records[0];
    const isFolded = first
      ? recordNumberOf(first.key) > this.state.nextRecord
      : head !== null && (head.value as SnapshotHead).upto >= this.state.nextRecord;
    if (isFolded) this.loaded = false;
    else for (const { key, value } of records) this.take(recordNumberOf(key), value as LogRecord);
    return this.loaded;
  }

  /**
   * Reads on to take over; what was folded meanwhile is read anew with the snapshot. Answers may take as long as
   * the lock lasts. Nobody but this node writes records or the head from now on, so they can be asked for at once.
   */
  async catchUp(patienceMs: number): Promise<boolean> {
    if (!this.loaded) return this.load(patienceMs);
    const [records, head] = await Promise.all([
      this.store.list(
        RECORD_PREFIX,
        recordKey(this.state.nextRecord - 1),
        Math.max(LIST_TIMEOUT_MS, patienceMs),
      ),
      this.store.get(SNAPSHOT_HEAD_KEY, Math.max(ANSWER_TIMEOUT_MS, patienceMs)),
    ]);
    if (!records || head === undefined) return false;
    if (!this.takeRest(records.items, head)) return this.load(patienceMs);
    this.setHead(head);
    return true;
  }

  pause(): void {
    this.paused = true;
  }

  /** After leading: what was written since is read. */
  resume(): void {
    this.paused = false;
    this.ledUntilNow ||= this.loaded;
    this.loaded = false;
  }

  stop(): void {
    this.stopped = true;
  }
}
