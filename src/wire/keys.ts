/** The keys of the state service, and the values that are not records. */
import * as z from 'zod';
import type { RecordNumber, Term } from '../core/types.js';

export const ROOT = 'q/';
export const LEADER = 'q/leader';
export const TERM = 'q/term';
export const HEAD = 'q/head';
export const RECORDS = 'q/r/';
export const CHUNKS = 'q/s/';
/** Under it the controllers say that workers ask them, though they can't hear the leader. */
export const REACH = 'q/reach/';

const pad = (n: number): string => String(n).padStart(12, '0');
export const recordKey = (n: RecordNumber | number): string => RECORDS + pad(n);
export const recordOf = (key: string): RecordNumber => Number(key.slice(RECORDS.length)) as RecordNumber;
export const chunkKey = (upto: number, i: number): string =>
  `${CHUNKS}${pad(upto)}/${String(i).padStart(5, '0')}`;

export const reachKey = (node: string): string => REACH + node;

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
  stamp: number;
}
const reachValue = z.object({ term: z.int().min(0), workers: z.int().min(1) });

/** Null when it can't be read. */
export function readReachClaim(item: { key: string; value: unknown; stamp: number }): ReachClaim | null {
  const read = reachValue.safeParse(item.value);
  return read.success ? { node: item.key.slice(REACH.length), stamp: item.stamp, ...read.data } : null;
}

export interface HeadValue {
  upto: number;
  chunks: number;
}
