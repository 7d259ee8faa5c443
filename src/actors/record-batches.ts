/** Splits requests that are too large for a record, and groups requests into the records of one write. */
import { groupEntries } from '../core/split-entry.js';
import type { LogEntry, LogRecord } from '../core/types.js';

/** A request to append entries to the log. */
export interface AppendRequest {
  entries: LogEntry[];
  /** Whether a user waits for it: then it is written before the rest, and without a delay for batching. */
  urgent?: boolean;
  /** Called with true once the entries are in the log, with false if this leader won't write them. */
  onSettled?: (ok: boolean) => void;
}

export interface QueuedRequest extends AppendRequest {
  /** Size of its entries in JSON. */
  bytes: number;
}

/** The requests whose entries one record holds. */
export interface Batch {
  requests: QueuedRequest[];
  record: LogRecord;
}

/** Part of a value's size limit that is kept for what a record holds beside its entries. */
const RECORD_FRAME_BYTES = 300;

/** How many bytes of entries fit into a record. */
export const maxEntriesBytes = (valueBytes: number): number => valueBytes - RECORD_FRAME_BYTES;

const sizeOf = (entries: readonly LogEntry[]): number => Buffer.byteLength(JSON.stringify(entries));

/**
 * The request, or its parts in order if its entries take more than `maxBytes`. The request's callback is called
 * once all parts are settled.
 */
export function splitRequest(request: AppendRequest, maxBytes: number): QueuedRequest[] {
  const bytes = sizeOf(request.entries);
  if (bytes <= maxBytes) return [{ ...request, bytes }];
  const groups = groupEntries(request.entries, maxBytes);
  if (groups.length === 1) return [{ ...request, bytes }];
  let remaining = groups.length;
  let areAllWritten = true;
  const onSettled = (ok: boolean): void => {
    areAllWritten &&= ok;
    if (--remaining === 0) request.onSettled?.(areAllWritten);
  };
  return groups.map((entries) => ({ entries, urgent: request.urgent, bytes: sizeOf(entries), onSettled }));
}

/** The requests from an index on that fit into one value of the state service, at least one. */
export function requestsForRecord(
  all: readonly QueuedRequest[],
  from: number,
  valueBytes: number,
): QueuedRequest[] {
  const requests: QueuedRequest[] = [];
  let bytes = RECORD_FRAME_BYTES;
  for (const request of all.slice(from)) {
    if (requests.length > 0 && bytes + request.bytes > valueBytes) break;
    bytes += request.bytes;
    requests.push(request);
  }
  return requests;
}
