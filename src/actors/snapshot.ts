import { inflateSync } from 'node:zlib';
import { State } from '../core/state.js';
import { chunkKey, type HeadValue } from '../wire/keys.js';

/** Packs a text off the thread that renews the lock. */
export type Deflate = (text: string) => Promise<Buffer>;

/** A text packed, in pieces of at most so many characters. */
export async function pack(text: string, size: number, deflate: Deflate): Promise<string[]> {
  const all = (await deflate(text)).toString('base64');
  const chunks: string[] = [];
  for (let i = 0; i < all.length; i += size) chunks.push(all.slice(i, i + size));
  return chunks;
}

/** The snapshot that a head names, from keys that were read; null when a chunk is missing. */
export function unpack(keys: Map<string, unknown>, head: HeadValue): State | null {
  const parts: string[] = [];
  for (let i = 0; i < head.chunks; i++) {
    const c = keys.get(chunkKey(head.upto, i));
    if (typeof c !== 'string') return null;
    parts.push(c);
  }
  return State.load(JSON.parse(inflateSync(Buffer.from(parts.join(''), 'base64')).toString()));
}
