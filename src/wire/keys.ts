/** The keys of the state service, and the values that are not records. */
import * as z from 'zod';
import type { RecordNumber, Term } from '../core/types.js';

export const ROOT_PREFIX = 'q/';
export const LEADER_KEY = 'q/leader';
export const TERM_KEY = 'q/term';
export const SNAPSHOT_HEAD_KEY = 'q/head';
export const RECORD_PREFIX = 'q/r/';
export const CHUNKS = 'q/s/';
/** Under it the controllers say that workers ask them, though they can't hear the leader. */
export const REACH_PREFIX = 'q/reach/';

const pad = (n: number): string => String(n).padStart(12, '0');
export const recordKey = (n: RecordNumber | number): string => RECORD_PREFIX + pad(n);
export const recordNumberOf = (key: string): RecordNumber =>
  Number(key.slice(RECORD_PREFIX.length)) as RecordNumber;
export const chunkKey = (upto: number, i: number): string =>
  `${CHUNKS}${pad(upto)}/${String(i).padStart(5, '0')}`;

export const reachKey = (node: string): string => REACH_PREFIX + node;

export interface LeaderValue {
  node: string;
  term: number;
  /** Told from an earlier run of the same node by this. */
  run: string;
}
const leaderValue = z.object({ node: z.string().min(1), term: z.int().min(0), run: z.string() });
const termValue = z.object({ term: z.int().min(0) });

/** The leader key's value; null when it can't be read: it then proves nobody to lead. */
export const readLeaderValue = (value: unknown): LeaderValue | null =>
  leaderValue.safeParse(value).data ?? null;

/** The term key's value; null when it can't be read. */
export const readTermValue = (value: unknown): Term | null =>
  (termValue.safeParse(value).data?.term as Term | undefined) ?? null;

/** A controller is asked by workers, and can't hear the leader of that term. */
export interface ReachClaim {
  node: string;
  term: number;
  workers: number;
  /** The version of its key: a newer one was written later. */
  version: number;
}
const reachValue = z.object({ term: z.int().min(0), workers: z.int().min(1) });

/** Null when it can't be read. */
export function readReachClaim(item: { key: string; value: unknown; version: number }): ReachClaim | null {
  const read = reachValue.safeParse(item.value);
  return read.success
    ? { node: item.key.slice(REACH_PREFIX.length), version: item.version, ...read.data }
    : null;
}

export interface SnapshotHead {
  upto: number;
  chunks: number;
}
