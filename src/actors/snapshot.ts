import { deflateSync, inflateSync } from 'node:zlib';
import { State } from '../core/state.js';
import { chunkKey, type HeadValue } from '../wire/keys.js';

/** The state as text, packed, in pieces of at most so many characters. */
export function pack(state: State, size: number): string[] {
  const packed = deflateSync(JSON.stringify(state.dump())).toString('base64');
  const chunks: string[] = [];
  for (let i = 0; i < packed.length; i += size) chunks.push(packed.slice(i, i + size));
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
