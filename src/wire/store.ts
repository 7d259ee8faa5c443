/** The state service, in this project's words. */
import type { HttpCall } from '../io/http-client.js';
import { keyListSchema, keySchema, leaseSchema, transactionSchema, watchSchema } from './schemas.js';

export type Version = number;
export type LeaseId = number;
export type Revision = number;

export interface KeyValue {
  key: string;
  value: unknown;
  version: Version;
}
export interface Change {
  key: string;
  /** undefined: removed */
  value: unknown;
  removed: boolean;
  version: Version;
}
export type WriteOperation = { put: string; value: unknown; lease?: LeaseId } | { remove: string };
export interface Guard {
  key: string;
  stamp: Version;
}

export type TransactionResult =
  | { outcome: 'done'; revision: Revision }
  | { outcome: 'failed'; keys: string[] }
  /** The service said that it was not carried out. */
  | { outcome: 'refused' }
  | { outcome: 'no_lease' }
  /** It may have been carried out, or may be later. */
  | { outcome: 'unknown' };

/** What a lease's renewal was answered with; unanswered: it may have been carried out, or may be later. */
export type RenewalResult = 'ok' | 'ended' | 'refused' | 'unanswered';

/** The usual time for an answer. Whoever can use a later one says so. */
export const ANSWER_TIMEOUT_MS = 1200;
/** The same for lists, of which each part may be long. */
export const LIST_TIMEOUT_MS = 3000;

/** The state service, as the actors use it. */
export class StateServiceClient {
  constructor(
    private readonly call: HttpCall,
    private readonly address: string,
  ) {}

  async transact(
    guards: Guard[],
    ops: WriteOperation[],
    timeoutMs = ANSWER_TIMEOUT_MS,
  ): Promise<TransactionResult> {
    const body = {
      guards,
      apply: ops.map((o) =>
        'put' in o
          ? { write: o.put, data: o.value, ...(o.lease === undefined ? {} : { tenure: o.lease }) }
          : { remove: o.remove },
      ),
    };
    const a = await this.call(this.address, 'POST', '/txn', body, timeoutMs);
    if (!a) return { outcome: 'unknown' };
    if (a.status === 200 || a.status === 409) {
      const t = transactionSchema.safeParse(a.body);
      if (!t.success) return { outcome: 'unknown' };
      return a.status === 200
        ? { outcome: 'done', revision: t.data.ledger }
        : { outcome: 'failed', keys: t.data.failed ?? [] };
    }
    if (a.status === 400) return { outcome: 'no_lease' };
    return a.status === 429 || a.status === 503 ? { outcome: 'refused' } : { outcome: 'unknown' };
  }

  /** undefined: could not be read; null: no such key. */
  async get(
    key: string,
    timeoutMs = ANSWER_TIMEOUT_MS,
  ): Promise<(KeyValue & { leaseId: LeaseId | null }) | null | undefined> {
    const a = await this.call(this.address, 'GET', `/kv/${key}`, undefined, timeoutMs);
    if (a?.status === 404) return null;
    if (a?.status !== 200) return undefined;
    const k = keySchema.safeParse(a.body);
    if (!k.success) return undefined;
    return { key: k.data.key, value: k.data.data, version: k.data.stamp, leaseId: k.data.tenure ?? null };
  }

  async list(
    prefix: string,
    after: string | null,
    timeoutMs = LIST_TIMEOUT_MS,
  ): Promise<{ items: KeyValue[]; revision: Revision } | undefined> {
    const items: KeyValue[] = [];
    let revision: Revision | null = null;
    for (let from = after; ;) {
      const q = `/kv?under=${encodeURIComponent(prefix)}${from === null ? '' : `&after=${encodeURIComponent(from)}`}&most=1000`;
      const a = await this.call(this.address, 'GET', q, undefined, timeoutMs);
      if (a?.status !== 200) return undefined;
      const k = keyListSchema.safeParse(a.body);
      if (!k.success) return undefined;
      revision ??= k.data.ledger;
      for (const i of k.data.items) items.push({ key: i.key, value: i.data, version: i.stamp });
      if (!k.data.truncated || k.data.items.length === 0) return { items, revision };
      from = k.data.items[k.data.items.length - 1]!.key;
    }
  }

  async watch(
    prefix: string,
    after: Revision,
    waitMs: number,
  ): Promise<{ revision: Revision; changes: Change[] } | 'too_old' | undefined> {
    const q = `/watch?under=${encodeURIComponent(prefix)}&after=${after}&block_ms=${waitMs}`;
    const a = await this.call(this.address, 'GET', q, undefined, waitMs + 3000);
    if (a?.status === 410) return 'too_old';
    if (a?.status !== 200) return undefined;
    const w = watchSchema.safeParse(a.body);
    if (!w.success) return undefined;
    return {
      revision: w.data.ledger,
      changes: w.data.news.map((n) => ({
        key: n.write ?? n.remove ?? '',
        value: n.data,
        removed: n.write === undefined || n.write === null,
        version: n.stamp,
      })),
    };
  }

  /** A new lease; undefined: none was made, or its number is not known. */
  async grantLease(lifeMs: number, timeoutMs = ANSWER_TIMEOUT_MS): Promise<LeaseId | undefined> {
    const a = await this.call(this.address, 'POST', '/leases', { life_ms: lifeMs }, timeoutMs);
    const l = a?.status === 200 ? leaseSchema.safeParse(a.body) : undefined;
    return l?.success ? l.data.tenure : undefined;
  }

  async renewLease(id: LeaseId, timeoutMs: number): Promise<RenewalResult> {
    const a = await this.call(this.address, 'POST', `/leases/${id}/touch`, {}, timeoutMs);
    if (!a) return 'unanswered';
    if (a.status === 200) return 'ok';
    return a.status === 404 ? 'ended' : 'refused';
  }

  /** Whether the lease is known to be over. */
  async revokeLease(id: LeaseId): Promise<boolean> {
    const a = await this.call(this.address, 'DELETE', `/leases/${id}`, undefined, ANSWER_TIMEOUT_MS);
    return a?.status === 200 || a?.status === 404;
  }
}
