/** Keys of the state service, and the values stored under them other than log records. */
import * as z from 'zod';
import type { RecordNumber, Term } from '../core/types.js';

export const ROOT_PREFIX = 'q/';
export const LEADER_KEY = 'q/leader';
export const TERM_KEY = 'q/term';
export const SNAPSHOT_HEAD_KEY = 'q/head';
export const RECORD_PREFIX = 'q/r/';
/** Prefix of the chunks of snapshots. */
export const CHUNK_PREFIX = 'q/s/';
/** Prefix of the claims of nodes that workers can reach while the nodes have no contact with the leader. */
export const REACH_PREFIX = 'q/reach/';

/** Zero-padded, so that keys sort by number. */
const pad = (value: number): string => String(value).padStart(12, '0');
export const recordKey = (recordNumber: RecordNumber | number): string => RECORD_PREFIX + pad(recordNumber);
export const recordNumberOf = (key: string): RecordNumber =>
  Number(key.slice(RECORD_PREFIX.length)) as RecordNumber;
/** Key of one chunk of the snapshot that covers the records up to `upto`. */
export const chunkKey = (upto: number, index: number): string =>
  `${CHUNK_PREFIX}${pad(upto)}/${String(index).padStart(5, '0')}`;

export const reachKey = (node: string): string => REACH_PREFIX + node;

/** Value of the leader key: which node leads, and under which term. */
export interface LeaderValue {
  node: string;
  term: number;
  /** Id of the process, to tell it from an earlier one of the same node. */
  run: string;
}
const leaderSchema = z.object({ node: z.string().min(1), term: z.int().min(0), run: z.string() });
const termSchema = z.object({ term: z.int().min(0) });

/** Reads the leader key's value; null if it is malformed, which is no proof that any node leads. */
export const readLeaderValue = (value: unknown): LeaderValue | null =>
  leaderSchema.safeParse(value).data ?? null;

/** Reads the term key's value; null if it is malformed. */
export const readTermValue = (value: unknown): Term | null =>
  (termSchema.safeParse(value).data?.term as Term | undefined) ?? null;

/** Claim of a node that workers can reach it, while it has no contact with the leader of this term. */
export interface ReachClaim {
  node: string;
  term: number;
  workers: number;
  /** Version of its key, to tell a renewed claim from one read before. */
  version: number;
}
const reachSchema = z.object({ term: z.int().min(0), workers: z.int().min(1) });

/** Null if the value is malformed. */
export function readReachClaim(item: { key: string; value: unknown; version: number }): ReachClaim | null {
  const read = reachSchema.safeParse(item.value);
  return read.success
    ? { node: item.key.slice(REACH_PREFIX.length), version: item.version, ...read.data }
    : null;
}

/** Value of the snapshot head key: which snapshot is current. */
export interface SnapshotHead {
  /** The last record that the snapshot covers. */
  upto: number;
  chunks: number;
}
