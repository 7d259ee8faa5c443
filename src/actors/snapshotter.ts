/**
 * Log compaction: writes a snapshot of the state and removes the records that it holds. All writes are
 * guarded by the versions of the leader key and of the head, and use what the log leaves of the write rate.
 */
import { chunked } from '../core/chunked.js';
import { dumpState } from '../core/state-dump.js';
import type { ClusterState } from '../core/state.js';
import { sleep, type Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import { SNAPSHOT_HEAD_KEY, LEADER_KEY, chunkKey, recordKey, type SnapshotHead } from '../wire/keys.js';
import type { WriteOperation, Version, StateServiceClient } from '../wire/state-service.js';
import type { LogActor } from './log.js';
import { toJsonLines, toCompressedChunks, type Compress, type VersionedSnapshotHead } from './snapshot.js';

/** A snapshot is written after this many records. */
const RECORDS_PER_SNAPSHOT = 250;
/** Pause between two steps of serialising the state, for other work. */
const SERIALISE_PAUSE_MS = 2;
const RETRY_MS = 150;
/** Part of a value's size limit that is kept for its framing. */
const VALUE_FRAME_BYTES = 64;
/** Size limit of a transaction without its guards and framing. */
const MAX_TXN_KB = 60;

export interface SnapshotterOptions {
  state: ClusterState;
  store: StateServiceClient;
  clock: Clock;
  logger: Logger;
  log: LogActor;
  compress: Compress;
  limits: { value_kb: number; txn_ops: number };
  /** Version of the leader key that this leader wrote. */
  leaderVersion: Version;
  /** Head of the current snapshot at the take-over. */
  head: VersionedSnapshotHead;
  /** Whether this leader is certain to hold its lock. */
  isCertain: () => boolean;
  /** Called when the state was copied, with the milliseconds that it took; nothing is answered meanwhile. */
  onStateCopied: (ms: number) => void;
}

export class Snapshotter {
  private head: VersionedSnapshotHead;
  private isCompacting = false;
  private isStopped = false;

  constructor(private readonly options: SnapshotterOptions) {
    this.head = options.head;
  }

  /** Starts a compaction if there are enough records. After one whose writes were refused, starts no more. */
  compactIfDue(): void {
    if (this.isCompacting || this.options.state.nextRecord - 1 - this.head.upto < RECORDS_PER_SNAPSHOT)
      return;
    this.isCompacting = true;
    void this.compact();
  }

  stop(): void {
    this.isStopped = true;
  }

  private async compact(): Promise<void> {
    const { clock, compress, limits, logger, state } = this.options;
    const upto = state.nextRecord - 1;
    const startedAt = clock.steady();
    const dump = dumpState(state);
    this.options.onStateCopied(clock.steady() - startedAt);
    const text = await toJsonLines(dump, () => sleep(clock, SERIALISE_PAUSE_MS));
    const chunks = await toCompressedChunks(
      text,
      Math.floor(limits.value_kb * 1024 - VALUE_FRAME_BYTES),
      compress,
    );
    const oldHead = this.head;
    if (!(await this.writeChunks(upto, chunks, oldHead.version))) return;
    const head = await this.writeHead({ upto, chunks: chunks.length }, oldHead.version);
    if (!head) return;
    this.head = head;
    await this.removeObsoleteKeys(oldHead, head);
    this.isCompacting = false;
    logger.info({ upto, chunks: chunks.length, bytes: text.length }, 'log compacted into a snapshot');
  }

  private writeChunks(upto: number, chunks: string[], headVersion: Version): Promise<boolean> {
    const ops = chunks.map((value, index): WriteOperation => ({ put: chunkKey(upto, index), value }));
    const maxChunks = Math.floor(MAX_TXN_KB / this.options.limits.value_kb);
    return this.writeInParts(ops, Math.max(1, Math.min(this.maxOpsPerTxn(), maxChunks)), headVersion);
  }

  /** Makes the new head the current one; null when that was refused for good. */
  private async writeHead(value: SnapshotHead, oldVersion: Version): Promise<VersionedSnapshotHead | null> {
    const version = await this.write([{ put: SNAPSHOT_HEAD_KEY, value }], oldVersion);
    if (version !== null) return { ...value, version };
    // Refused: an earlier copy of the same write succeeded, or another node leads.
    while (!this.isStopped) {
      const stored = await this.options.store.get(SNAPSHOT_HEAD_KEY);
      if (stored && (stored.value as SnapshotHead).upto === value.upto)
        return { ...value, version: stored.version };
      if (stored !== undefined) return null;
      await sleep(this.options.clock, RETRY_MS);
    }
    return null;
  }

  /** Removes the records that the new snapshot holds, and the old snapshot's chunks. */
  private async removeObsoleteKeys(
    oldHead: VersionedSnapshotHead,
    head: VersionedSnapshotHead,
  ): Promise<void> {
    const ops: WriteOperation[] = [];
    for (let recordNumber = oldHead.upto + 1; recordNumber <= head.upto; recordNumber++)
      ops.push({ remove: recordKey(recordNumber) });
    for (let index = 0; index < oldHead.chunks; index++) ops.push({ remove: chunkKey(oldHead.upto, index) });
    await this.writeInParts(ops, this.maxOpsPerTxn(), head.version);
  }

  private maxOpsPerTxn(): number {
    return Math.max(1, Math.min(this.options.limits.txn_ops, this.options.log.maxSpareWrites));
  }

  private async writeInParts(
    ops: WriteOperation[],
    opsPerTxn: number,
    headVersion: Version,
  ): Promise<boolean> {
    for (const part of chunked(ops, opsPerTxn))
      if ((await this.write(part, headVersion)) === null) return false;
    return true;
  }

  /** Writes when the rate allows it. Returns the revision of the write, null when it was refused for good. */
  private async write(part: WriteOperation[], headVersion: Version): Promise<Version | null> {
    const { clock, isCertain, leaderVersion, log, store } = this.options;
    while (!this.isStopped) {
      if (isCertain() && log.takeSpareWrites(part.length)) {
        // Upholds forgotten: a copy of an unanswered write that is carried out late finds another head, so it
        // neither restores an earlier head nor writes removed chunks again.
        const guards = [
          { key: LEADER_KEY, stamp: leaderVersion },
          { key: SNAPSHOT_HEAD_KEY, stamp: headVersion },
        ];
        const result = await store.transact(guards, part);
        if (result.outcome === 'done') return result.revision;
        if (result.outcome === 'failed') return null;
        if (result.outcome === 'rejected') {
          this.options.logger.error({ error: result.error }, 'snapshot rejected by the state service');
          return null;
        }
      }
      await sleep(clock, RETRY_MS);
    }
    return null;
  }
}
