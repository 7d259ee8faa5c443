/** The stored form of a snapshot: chunks of compressed JSON lines, and a head that names the current ones. */
import { inflateSync } from 'node:zlib';
import { chunked } from '../core/chunked.js';
import { loadState } from '../core/state-dump.js';
import type { ClusterState } from '../core/state.js';
import { chunkKey, type SnapshotHead } from '../wire/keys.js';
import type { Version } from '../wire/state-service.js';

/** The head of the current snapshot, and the version of its key. */
export interface VersionedSnapshotHead extends SnapshotHead {
  version: Version;
}
/** Stands for the head before the first snapshot. */
export const NO_SNAPSHOT: VersionedSnapshotHead = { upto: 0, chunks: 0, version: 0 };

/** Compresses a text outside the thread that renews the lock. */
export type Compress = (text: string) => Promise<Buffer>;

/** Items serialised in one step, so that a step stays short with a large state. */
const ITEMS_PER_LINE = 40;

/** Serialises a dumped state as JSON lines, each a field or some items of one, and pauses between lines. */
export async function toJsonLines(
  dump: Record<string, unknown>,
  pause: () => Promise<void>,
): Promise<string> {
  const lines: string[] = [];
  for (const [field, value] of Object.entries(dump)) {
    const parts = Array.isArray(value) && value.length > 0 ? chunked(value, ITEMS_PER_LINE) : [value];
    for (const part of parts) {
      lines.push(JSON.stringify([field, part]));
      if (parts.length > 1) await pause();
    }
  }
  return lines.join('\n');
}

function fromJsonLines(text: string): unknown {
  const dump: Record<string, unknown> = {};
  for (const line of text.split('\n')) {
    const parsed = JSON.parse(line) as unknown;
    // Earlier versions wrote the whole state as one object.
    if (!Array.isArray(parsed)) return parsed;
    const [field, value] = parsed as [string, unknown];
    const earlier = dump[field];
    if (Array.isArray(earlier)) earlier.push(...(value as unknown[]));
    else dump[field] = value;
  }
  return dump;
}

/** Compresses a text into Base64 chunks of at most `size` characters. */
export async function toCompressedChunks(text: string, size: number, compress: Compress): Promise<string[]> {
  const encoded = (await compress(text)).toString('base64');
  const chunks: string[] = [];
  for (let from = 0; from < encoded.length; from += size) chunks.push(encoded.slice(from, from + size));
  return chunks;
}

/** The state in the snapshot that a head names, from the keys read; null when a chunk is missing. */
export function stateFromChunks(keys: Map<string, unknown>, head: SnapshotHead): ClusterState | null {
  const chunks: string[] = [];
  for (let index = 0; index < head.chunks; index++) {
    const chunk = keys.get(chunkKey(head.upto, index));
    if (typeof chunk !== 'string') return null;
    chunks.push(chunk);
  }
  return loadState(fromJsonLines(inflateSync(Buffer.from(chunks.join(''), 'base64')).toString()));
}
