/**
 * Folds records into a packed snapshot, and removes them. Everything is written under the guards of the leader key
 * and of the head's revision, within what the log leaves of the write rate.
 */
import { chunked } from '../core/chunked.js';
import { dumpState } from '../core/state-dump.js';
import type { State } from '../core/state.js';
import { sleep, type Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import { HEAD, LEADER, chunkKey, recordKey, type HeadValue } from '../wire/keys.js';
import type { Op, Stamp, Store } from '../wire/store.js';
import type { LogActor } from './log.js';
import { lines, pack, type Deflate, type Head } from './snapshot.js';

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
  state: State;
  store: Store;
  clock: Clock;
  logger: Logger;
  log: LogActor;
  deflate: Deflate;
  limits: { value_kb: number; txn_ops: number };
  /** The revision of the leader key that this leader wrote. */
  leaderStamp: Stamp;
  /** The snapshot in force at the take-over. */
  head: Head;
  isCertain: () => boolean;
  /** How long the copy of the state took: nothing is answered meanwhile. */
  onCopied: (ms: number) => void;
}

export class Snapshotter {
  private head: Head;
  private isFolding = false;
  private isStopped = false;

  constructor(private readonly options: SnapshotterOptions) {
    this.head = options.head;
  }

  /** Starts folding if enough records have gathered. One that was refused for good is not tried again. */
  foldIfDue(): void {
    if (this.isFolding || this.options.state.next - 1 - this.head.upto < FOLD_EVERY) return;
    this.isFolding = true;
    void this.fold();
  }

  stop(): void {
    this.isStopped = true;
  }

  private async fold(): Promise<void> {
    const { clock, deflate, limits, logger, state } = this.options;
    const upto = state.next - 1;
    const from = clock.steady();
    const dump = dumpState(state);
    this.options.onCopied(clock.steady() - from);
    const text = await lines(dump, () => sleep(clock, PAUSE_MS));
    const chunks = await pack(text, Math.floor(limits.value_kb * 1024 - VALUE_FRAME_BYTES), deflate);
    const old = this.head;
    if (!(await this.writeChunks(upto, chunks, old.stamp))) return;
    const head = await this.switchTo({ upto, chunks: chunks.length }, old.stamp);
    if (!head) return;
    this.head = head;
    await this.remove(old, head);
    this.isFolding = false;
    logger.info({ upto, chunks: chunks.length, bytes: text.length }, 'folded');
  }

  private writeChunks(upto: number, chunks: string[], headStamp: Stamp): Promise<boolean> {
    const ops = chunks.map((value, i): Op => ({ put: chunkKey(upto, i), value }));
    const atOnce = Math.floor(TXN_KB / this.options.limits.value_kb);
    return this.writeInParts(ops, Math.max(1, Math.min(this.mostOps(), atOnce)), headStamp);
  }

  /** Puts the new head in force; null when that was refused for good. */
  private async switchTo(value: HeadValue, oldStamp: Stamp): Promise<Head | null> {
    const stamp = await this.write([{ put: HEAD, value }], oldStamp);
    if (stamp !== null) return { ...value, stamp };
    // Refused: by an earlier copy of the same write, or because another leads.
    while (!this.isStopped) {
      const key = await this.options.store.get(HEAD);
      if (key && (key.value as HeadValue).upto === value.upto) return { ...value, stamp: key.stamp };
      if (key !== undefined) return null;
      await sleep(this.options.clock, RETRY_MS);
    }
    return null;
  }

  /** Removes the records that the new head holds, and the old head's chunks. */
  private async remove(old: Head, head: Head): Promise<void> {
    const ops: Op[] = [];
    for (let no = old.upto + 1; no <= head.upto; no++) ops.push({ remove: recordKey(no) });
    for (let i = 0; i < old.chunks; i++) ops.push({ remove: chunkKey(old.upto, i) });
    await this.writeInParts(ops, this.mostOps(), head.stamp);
  }

  private mostOps(): number {
    return Math.max(1, Math.min(this.options.limits.txn_ops, this.options.log.spareMost));
  }

  private async writeInParts(ops: Op[], atOnce: number, headStamp: Stamp): Promise<boolean> {
    for (const part of chunked(ops, atOnce)) if ((await this.write(part, headStamp)) === null) return false;
    return true;
  }

  /** Writes when the rate allows it; the head's revision after it, null when it was refused for good. */
  private async write(part: Op[], headStamp: Stamp): Promise<Stamp | null> {
    const { clock, isCertain, leaderStamp, log, store } = this.options;
    while (!this.isStopped) {
      if (isCertain() && log.spare(part.length)) {
        // Guards forgotten: a copy of an unanswered write that is carried out late finds another head,
        // so it neither puts an earlier one back nor writes chunks anew that were removed.
        const guards = [
          { key: LEADER, stamp: leaderStamp },
          { key: HEAD, stamp: headStamp },
        ];
        const result = await store.txn(guards, part);
        if (result.r === 'done') return result.revision;
        if (result.r === 'failed') return null;
      }
      await sleep(clock, RETRY_MS);
    }
    return null;
  }
}
