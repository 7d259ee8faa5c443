/** Snapshots of the state: how they are packed, and which one is in force. */
import { inflateSync } from 'node:zlib';
import { chunked } from '../core/chunked.js';
import { loadState } from '../core/state-dump.js';
import type { ClusterState } from '../core/state.js';
import { chunkKey, type SnapshotHead } from '../wire/keys.js';
import type { Version } from '../wire/store.js';

/** The snapshot in force, and the version of the key that says so. */
export interface VersionedSnapshotHead extends SnapshotHead {
  version: Version;
}
export const NO_SNAPSHOT: VersionedSnapshotHead = { upto: 0, chunks: 0, version: 0 };

/** Packs a text off the thread that renews the lock. */
export type Compress = (text: string) => Promise<Buffer>;

/** So many items at once: a machine's or a job's share of a large state is no long step. */
const AT_ONCE = 40;

/** A state's dump as lines of JSON, each a field or some items of one; other work goes on between them. */
export async function toJsonLines(
  dump: Record<string, unknown>,
  pause: () => Promise<void>,
): Promise<string> {
  const out: string[] = [];
  for (const [field, value] of Object.entries(dump)) {
    const parts = Array.isArray(value) && value.length > 0 ? chunked(value, AT_ONCE) : [value];
    for (const p of parts) {
      out.push(JSON.stringify([field, p]));
      if (parts.length > 1) await pause();
    }
  }
  return out.join('\n');
}

function fromLines(text: string): unknown {
  const d: Record<string, unknown> = {};
  for (const line of text.split('\n')) {
    const v = JSON.parse(line) as unknown;
    // Earlier versions wrote one object.
    if (!Array.isArray(v)) return v;
    const [field, value] = v as [string, unknown];
    const had = d[field];
    if (Array.isArray(had)) had.push(...(value as unknown[]));
    else d[field] = value;
  }
  return d;
}

/** A text packed, in chunks of at most so many characters. */
export async function toCompressedChunks(text: string, size: number, deflate: Compress): Promise<string[]> {
  const all = (await deflate(text)).toString('base64');
  const chunks: string[] = [];
  for (let i = 0; i < all.length; i += size) chunks.push(all.slice(i, i + size));
  return chunks;
}

/** The snapshot that a head names, from keys that were read; null when a chunk is missing. */
export function stateFromChunks(keys: Map<string, unknown>, head: SnapshotHead): ClusterState | null {
  const parts: string[] = [];
  for (let i = 0; i < head.chunks; i++) {
    const c = keys.get(chunkKey(head.upto, i));
    if (typeof c !== 'string') return null;
    parts.push(c);
  }
  return loadState(fromLines(inflateSync(Buffer.from(parts.join(''), 'base64')).toString()));
}
