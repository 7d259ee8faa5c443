import type { RecordNo } from '../core/types.js';

export const ROOT = 'q/';
export const LEADER = 'q/leader';
export const TERM = 'q/term';
export const HEAD = 'q/head';
export const RECORDS = 'q/r/';
export const CHUNKS = 'q/s/';

const pad = (n: number): string => String(n).padStart(12, '0');
export const recordKey = (n: RecordNo | number): string => RECORDS + pad(n);
export const recordOf = (key: string): RecordNo => Number(key.slice(RECORDS.length)) as RecordNo;
export const chunkKey = (upto: number, i: number): string =>
  `${CHUNKS}${pad(upto)}/${String(i).padStart(5, '0')}`;

export interface LeaderValue {
  node: string;
  term: number;
  /** Told from an earlier run of the same node by this. */
  run: string;
}
export interface HeadValue {
  upto: number;
  chunks: number;
}
