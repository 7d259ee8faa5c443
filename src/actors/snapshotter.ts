/**
 * Folds records into a packed snapshot, and removes them. Everything is written under the guards of the leader key
 * and of the head's revision, within what the log leaves of the write rate.
 */
import { chunked } from '../core/chunked.js';
import { dumpState } from '../core/state-dump.js';
import type { ClusterState } from '../core/state.js';
import { sleep, type Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import { SNAPSHOT_HEAD_KEY, LEADER_KEY, chunkKey, recordKey, type SnapshotHead } from '../wire/keys.js';
import type { WriteOperation, Version, StateServiceClient } from '../wire/store.js';
import type { LogActor } from './log.js';
import { toJsonLines, toCompressedChunks, type Compress, type VersionedSnapshotHead } from './snapshot.js';

/** So many records are folded at once. */
const FOLD_EVERY = 250;
/** Between two steps of serialising the state, so that other work goes on. */
const PAUSE_MS = 2;
const RETRY_MS = 150;
/** Of a value's size, for its frame. */
const VALUE_FRAME_BYTES = 64;
/** A transaction's limit, less its guards and frame. */
const TXN_KB = 60;

export interface SnapshotterOptions {
  state: ClusterState;
  store: StateServiceClient;
  clock: Clock;
  logger: Logger;
  log: LogActor;
  compress: Compress;
  limits: { value_kb: number; txn_ops: number };
  /** The revision of the leader key that this leader wrote. */
  leaderVersion: Version;
  /** The snapshot in force at the take-over. */
  head: VersionedSnapshotHead;
  isCertain: () => boolean;
  /** How long the copy of the state took: nothing is answered meanwhile. */
  onStateCopied: (ms: number) => void;
}

export class Snapshotter {
  private head: VersionedSnapshotHead;
  private isFolding = false;
  private isStopped = false;

  constructor(private readonly options: SnapshotterOptions) {
    this.head = options.head;
  }

  /** Starts folding if enough records have gathered. One that was refused for good is not tried again. */
  compactIfDue(): void {
    if (this.isFolding || this.options.state.nextRecord - 1 - this.head.upto < FOLD_EVERY) return;
    this.isFolding = true;
    void this.compact();
  }

  stop(): void {
    this.isStopped = true;
  }

  private async compact(): Promise<void> {
    const { clock, compress: deflate, limits, logger, state } = this.options;
    const upto = state.nextRecord - 1;
    const from = clock.steady();
    const dump = dumpState(state);
    this.options.onStateCopied(clock.steady() - from);
    const text = await toJsonLines(dump, () => sleep(clock, PAUSE_MS));
    const chunks = await toCompressedChunks(
      text,
      Math.floor(limits.value_kb * 1024 - VALUE_FRAME_BYTES),
      deflate,
    );
    const old = this.head;
    if (!(await this.writeChunks(upto, chunks, old.version))) return;
    const head = await this.switchTo({ upto, chunks: chunks.length }, old.version);
    if (!head) return;
    this.head = head;
    await this.remove(old, head);
    this.isFolding = false;
    logger.info({ upto, chunks: chunks.length, bytes: text.length }, 'folded');
  }

  private writeChunks(upto: number, chunks: string[], headStamp: Version): Promise<boolean> {
    const ops = chunks.map((value, i): WriteOperation => ({ put: chunkKey(upto, i), value }));
    const atOnce = Math.floor(TXN_KB / this.options.limits.value_kb);
    return this.writeInParts(ops, Math.max(1, Math.min(this.mostOps(), atOnce)), headStamp);
  }

  /** Puts the new head in force; null when that was refused for good. */
  private async switchTo(value: SnapshotHead, oldStamp: Version): Promise<VersionedSnapshotHead | null> {
    const stamp = await this.write([{ put: SNAPSHOT_HEAD_KEY, value }], oldStamp);
    if (stamp !== null) return { ...value, version: stamp };
    // Refused: by an earlier copy of the same write, or because another leads.
    while (!this.isStopped) {
      const key = await this.options.store.get(SNAPSHOT_HEAD_KEY);
      if (key && (key.value as SnapshotHead).upto === value.upto) return { ...value, version: key.version };
      if (key !== undefined) return null;
      await sleep(this.options.clock, RETRY_MS);
    }
    return null;
  }

  /** Removes the records that the new head holds, and the old head's chunks. */
  private async remove(old: VersionedSnapshotHead, head: VersionedSnapshotHead): Promise<void> {
    const ops: WriteOperation[] = [];
    for (let no = old.upto + 1; no <= head.upto; no++) ops.push({ remove: recordKey(no) });
    for (let i = 0; i < old.chunks; i++) ops.push({ remove: chunkKey(old.upto, i) });
    await this.writeInParts(ops, this.mostOps(), head.version);
  }

  private mostOps(): number {
    return Math.max(1, Math.min(this.options.limits.txn_ops, this.options.log.maxSpareWrites));
  }

  private async writeInParts(ops: WriteOperation[], atOnce: number, headStamp: Version): Promise<boolean> {
    for (const part of chunked(ops, atOnce)) if ((await this.write(part, headStamp)) === null) return false;
    return true;
  }

  /** Writes when the rate allows it; the head's revision after it, null when it was refused for good. */
  private async write(part: WriteOperation[], headStamp: Version): Promise<Version | null> {
    const { clock, isCertain, leaderVersion: leaderStamp, log, store } = this.options;
    while (!this.isStopped) {
      if (isCertain() && log.takeSpareWrites(part.length)) {
        // Guards forgotten: a copy of an unanswered write that is carried out late finds another head,
        // so it neither puts an earlier one back nor writes chunks anew that were removed.
        const guards = [
          { key: LEADER_KEY, stamp: leaderStamp },
          { key: SNAPSHOT_HEAD_KEY, stamp: headStamp },
        ];
        const result = await store.transact(guards, part);
        if (result.outcome === 'done') return result.revision;
        if (result.outcome === 'failed') return null;
      }
      await sleep(clock, RETRY_MS);
    }
    return null;
  }
}
