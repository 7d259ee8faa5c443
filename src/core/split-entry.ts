/** Splits log entries that grow with tasks or machines, so that each part fits into a record. */
import type { LogEntry } from './types.js';

/** Bytes between two items of a list in JSON. */
const SEPARATOR_BYTES = 1;

const sizeOf = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** Groups items in their order, so that each group takes at most `maxBytes` in JSON, or is a single item. */
function groupBySize<T>(items: readonly T[], maxBytes: number): T[][] {
  const groups: T[][] = [];
  let bytes = Infinity;
  for (const item of items) {
    const itemBytes = sizeOf(item) + SEPARATOR_BYTES;
    if (bytes + itemBytes > maxBytes) {
      groups.push([]);
      bytes = 0;
    }
    groups.at(-1)!.push(item);
    bytes += itemBytes;
  }
  return groups;
}

/**
 * The parts of an entry, in order, each of at most `maxBytes` in JSON as far as the entry can be split. Applied
 * one after the other they have the effect of the whole: only lists are split whose items are applied one by
 * one. (A gang whose starts are divided between two records, with another leader between them, is not
 * complete in time; its tasks end, which are reported, and its next attempt starts it as a whole.)
 */
export function splitEntry(entry: LogEntry, maxBytes: number): LogEntry[] {
  if (sizeOf(entry) <= maxBytes) return [entry];
  switch (entry.e) {
    case 'end':
      return splitList(entry.p, { ...entry, p: [] }, maxBytes).map((p) => ({ ...entry, p }));
    case 'start':
      return splitList(entry.p, { ...entry, p: [] }, maxBytes).map((p) => ({ ...entry, p }));
    case 'stop':
      return splitList(entry.p, { ...entry, p: [] }, maxBytes).map((p) => ({ ...entry, p }));
    case 'drop':
      return splitList(entry.m, { ...entry, m: [] }, maxBytes).map((m) => ({ ...entry, m }));
    case 'gone':
      return splitList(entry.m, { ...entry, m: [] }, maxBytes).map((m) => ({ ...entry, m }));
    default:
      return [entry];
  }
}

/** Splits the list of an entry; `frame` is the entry without it. */
const splitList = <T>(items: readonly T[], frame: LogEntry, maxBytes: number): T[][] =>
  groupBySize(items, maxBytes - sizeOf(frame));

/** Groups entries in their order as groupBySize does, splitting those that are too large for a group. */
export const groupEntries = (entries: readonly LogEntry[], maxBytes: number): LogEntry[][] =>
  groupBySize(
    entries.flatMap((entry) => splitEntry(entry, maxBytes)),
    maxBytes,
  );
