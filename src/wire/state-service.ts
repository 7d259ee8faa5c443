/** Client of the state service: transactions, reads, watches and leases over HTTP. */
import type { HttpCall } from '../io/http-client.js';
import {
  errorSchema,
  keyListSchema,
  keySchema,
  leaseSchema,
  transactionSchema,
  watchSchema,
} from './schemas.js';

/** Version of a key: the revision of its last write; 0 stands for a key that does not exist. */
export type Version = number;
export type LeaseId = number;
/** Counter of the whole state service, raised by every change. */
export type Revision = number;

export interface KeyValue {
  key: string;
  value: unknown;
  version: Version;
}
/** One event of a watch. */
export interface Change {
  key: string;
  /** Undefined if the key was removed. */
  value: unknown;
  removed: boolean;
  version: Version;
}
/** A key written with a lease is removed when the lease ends. */
export type WriteOperation = { put: string; value: unknown; lease?: LeaseId } | { remove: string };
/** A precondition of a transaction; sent as it is, hence the protocol's name for the version. */
export interface Guard {
  key: string;
  stamp: Version;
}

export type TransactionResult =
  | { outcome: 'done'; revision: Revision }
  /** The keys whose guards did not hold. */
  | { outcome: 'failed'; keys: string[] }
  /** The service answered that it was not carried out. */
  | { outcome: 'refused' }
  /** A lease that it names has expired; it was not carried out. */
  | { outcome: 'no_lease' }
  /** It is malformed or exceeds a limit; it was not carried out, and never will be as it is. */
  | { outcome: 'rejected'; error: string }
  /** Without a usable answer: it may have been carried out, or may be later. */
  | { outcome: 'unknown' };

/** Result of renewing a lease; an unanswered renewal may have been carried out, or may be later. */
export type RenewalResult = 'ok' | 'ended' | 'refused' | 'unanswered';

/** Default time limit of a request, for callers that have no use for a later answer. */
export const ANSWER_TIMEOUT_MS = 1200;
/** Default time limit of each page of a list; pages can be large. */
export const LIST_TIMEOUT_MS = 3000;

const NO_LEASE_ERROR = 'no such lease';

/** Reads why a transaction was answered with 400. */
function rejection(body: unknown): TransactionResult {
  const parsed = errorSchema.safeParse(body);
  const error = parsed.success ? (parsed.data.error ?? '') : '';
  return error === NO_LEASE_ERROR ? { outcome: 'no_lease' } : { outcome: 'rejected', error };
}

export class StateServiceClient {
  constructor(
    private readonly call: HttpCall,
    private readonly address: string,
  ) {}

  /** Applies all operations at once if every guard holds, and none of them otherwise. */
  async transact(
    guards: Guard[],
    operations: WriteOperation[],
    timeoutMs = ANSWER_TIMEOUT_MS,
  ): Promise<TransactionResult> {
    const body = {
      guards,
      apply: operations.map((operation) =>
        'put' in operation
          ? {
              write: operation.put,
              data: operation.value,
              ...(operation.lease === undefined ? {} : { tenure: operation.lease }),
            }
          : { remove: operation.remove },
      ),
    };
    const response = await this.call(this.address, 'POST', '/txn', body, timeoutMs);
    if (!response) return { outcome: 'unknown' };
    if (response.status === 200 || response.status === 409) {
      const parsed = transactionSchema.safeParse(response.body);
      if (!parsed.success) return { outcome: 'unknown' };
      return response.status === 200
        ? { outcome: 'done', revision: parsed.data.ledger }
        : { outcome: 'failed', keys: parsed.data.failed ?? [] };
    }
    if (response.status === 400) return rejection(response.body);
    return response.status === 429 || response.status === 503
      ? { outcome: 'refused' }
      : { outcome: 'unknown' };
  }

  /** Reads one key; null if it does not exist, undefined if it could not be read. */
  async get(
    key: string,
    timeoutMs = ANSWER_TIMEOUT_MS,
  ): Promise<(KeyValue & { leaseId: LeaseId | null }) | null | undefined> {
    const response = await this.call(this.address, 'GET', `/kv/${key}`, undefined, timeoutMs);
    if (response?.status === 404) return null;
    if (response?.status !== 200) return undefined;
    const parsed = keySchema.safeParse(response.body);
    if (!parsed.success) return undefined;
    return {
      key: parsed.data.key,
      value: parsed.data.data,
      version: parsed.data.stamp,
      leaseId: parsed.data.tenure ?? null,
    };
  }

  /**
   * Reads all keys under a prefix that follow `after` in order, page by page, with the revision of the first
   * page. Undefined if a page could not be read.
   */
  async list(
    prefix: string,
    after: string | null,
    timeoutMs = LIST_TIMEOUT_MS,
  ): Promise<{ items: KeyValue[]; revision: Revision } | undefined> {
    const items: KeyValue[] = [];
    let revision: Revision | null = null;
    for (let from = after; ;) {
      const path = `/kv?under=${encodeURIComponent(prefix)}${from === null ? '' : `&after=${encodeURIComponent(from)}`}&most=1000`;
      const response = await this.call(this.address, 'GET', path, undefined, timeoutMs);
      if (response?.status !== 200) return undefined;
      const parsed = keyListSchema.safeParse(response.body);
      if (!parsed.success) return undefined;
      revision ??= parsed.data.ledger;
      for (const item of parsed.data.items)
        items.push({ key: item.key, value: item.data, version: item.stamp });
      if (!parsed.data.truncated || parsed.data.items.length === 0) return { items, revision };
      from = parsed.data.items[parsed.data.items.length - 1]!.key;
    }
  }

  /**
   * Waits up to `waitMs` for changes under a prefix since a revision. 'too_old' if the service no longer has
   * the changes since then, undefined if it could not be asked.
   */
  async watch(
    prefix: string,
    after: Revision,
    waitMs: number,
  ): Promise<{ revision: Revision; changes: Change[] } | 'too_old' | undefined> {
    const path = `/watch?under=${encodeURIComponent(prefix)}&after=${after}&block_ms=${waitMs}`;
    const response = await this.call(this.address, 'GET', path, undefined, waitMs + 3000);
    if (response?.status === 410) return 'too_old';
    if (response?.status !== 200) return undefined;
    const parsed = watchSchema.safeParse(response.body);
    if (!parsed.success) return undefined;
    return {
      revision: parsed.data.ledger,
      changes: parsed.data.news.map((event) => ({
        key: event.write ?? event.remove ?? '',
        value: event.data,
        removed: event.write === undefined || event.write === null,
        version: event.stamp,
      })),
    };
  }

  /** Grants a new lease; undefined if none was made or its id is not known. */
  async grantLease(durationMs: number, timeoutMs = ANSWER_TIMEOUT_MS): Promise<LeaseId | undefined> {
    const response = await this.call(this.address, 'POST', '/leases', { life_ms: durationMs }, timeoutMs);
    const parsed = response?.status === 200 ? leaseSchema.safeParse(response.body) : undefined;
    return parsed?.success ? parsed.data.tenure : undefined;
  }

  async renewLease(id: LeaseId, timeoutMs: number): Promise<RenewalResult> {
    const response = await this.call(this.address, 'POST', `/leases/${id}/touch`, {}, timeoutMs);
    if (!response) return 'unanswered';
    if (response.status === 200) return 'ok';
    return response.status === 404 ? 'ended' : 'refused';
  }

  /** Ends a lease; true only if it is certain to be over. */
  async revokeLease(id: LeaseId): Promise<boolean> {
    const response = await this.call(this.address, 'DELETE', `/leases/${id}`, undefined, ANSWER_TIMEOUT_MS);
    return response?.status === 200 || response?.status === 404;
  }
}
