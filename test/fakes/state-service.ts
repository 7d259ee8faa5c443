import type { HttpResponse } from '../../src/io/http-client.js';
import type { VirtualTime } from './clock.js';

/** A stored value, in the terms of the protocol: `stamp` is its version, `tenure` its lease. */
interface StoredValue {
  data: unknown;
  stamp: number;
  tenure?: number;
}

interface Transaction {
  guards: { key: string; stamp: number }[];
  apply: { write?: string; data?: unknown; tenure?: number; remove?: string }[];
}

/** The state service: transactions with guards, leases, watches, limits, and failures that tests cause. */
export class FakeStateService {
  readonly kv = new Map<string, StoredValue>();
  /** Revision of the store; each change increments it. */
  revision = 0;
  /** Answers every request with 503. */
  down = false;
  /** Watches don't report keys that were removed because their lease ended. */
  omitExpiryEvents = false;
  /** Nodes whose requests are answered with 503. */
  refusedNodes = new Set<string>();
  /** Delay of a transaction, which is then carried out without an answer; 0: at once, with an answer. */
  transactionDelayMs: (transaction: Transaction) => number = () => 0;
  /** Whether a transaction is carried out at once and its answer is lost. */
  losesResponse: (transaction: Transaction) => boolean = () => false;
  /** Whether a transaction above a limit is answered with 400; otherwise it fails the test. */
  rejectsOversized = false;
  /** Number of requests refused with 429. */
  rateLimited = 0;
  private readonly leases = new Map<number, { durationMs: number; until: number }>();
  private nextLease = 1;
  /** All changes, for the watches. */
  private changes: { key: string; data: unknown; removed: boolean; stamp: number }[] = [];
  private pendingWatches: (() => void)[] = [];
  /** Times of the requests of the last second. */
  private requests: number[] = [];
  /** Writes of the last second. */
  private writes: { at: number; count: number }[] = [];

  constructor(
    private readonly time: VirtualTime,
    private readonly limits: { rps: number; write_rps: number; value_kb: number; txn_ops: number },
  ) {
    this.expireLeases();
  }

  /**
   * Answers every request with 503 for a while; no lease expires meanwhile, and all start afresh at the end.
   */
  outage(ms: number): void {
    this.down = true;
    this.time.after(ms, () => {
      this.down = false;
      for (const lease of this.leases.values()) lease.until = this.time.now + lease.durationMs;
    });
  }

  private expireLeases(): void {
    this.time.after(50, () => this.expireLeases());
    if (this.down) return;
    for (const [id, lease] of this.leases) if (lease.until <= this.time.now) this.endLease(id);
  }

  private endLease(id: number): void {
    this.leases.delete(id);
    const keys = [...this.kv].filter(([, value]) => value.tenure === id).map(([key]) => key);
    if (keys.length > 0) {
      this.revision++;
      for (const key of keys) this.change(key, undefined, true, undefined, this.omitExpiryEvents);
    }
  }

  private change(key: string, data: unknown, removed: boolean, tenure?: number, unreported = false): void {
    if (removed) this.kv.delete(key);
    else this.kv.set(key, { data, stamp: this.revision, tenure });
    if (unreported) return;
    this.changes.push({ key, data, removed, stamp: this.revision });
    const pendingWatches = this.pendingWatches;
    this.pendingWatches = [];
    for (const checkWatch of pendingWatches) checkWatch();
  }

  private isWithinRate(): boolean {
    const now = this.time.now;
    this.requests = this.requests.filter((at) => at > now - 1000);
    this.requests.push(now);
    return this.requests.length <= this.limits.rps * 2;
  }

  /** Answers one request of a node. */
  handle(from: string, method: string, path: string, body: unknown): HttpResponse | Promise<HttpResponse> {
    const url = new URL(path, 'http://state');
    if (this.down || this.refusedNodes.has(from)) return { status: 503, body: { error: 'unavailable' } };
    if (!this.isWithinRate()) {
      this.rateLimited++;
      return { status: 429, body: {} };
    }
    if (method === 'POST' && url.pathname === '/txn') {
      if (this.losesResponse(body as Transaction)) {
        this.commit(body as Transaction);
        return new Promise(() => {});
      }
      const delayMs = this.transactionDelayMs(body as Transaction);
      if (delayMs === 0) return this.commit(body as Transaction);
      this.time.after(delayMs, () => this.down || this.commit(body as Transaction));
      return new Promise(() => {});
    }
    if (method === 'POST' && url.pathname === '/leases') {
      const durationMs = (body as { life_ms: number }).life_ms;
      const id = this.nextLease++;
      this.leases.set(id, { durationMs, until: this.time.now + durationMs });
      return { status: 200, body: { tenure: id } };
    }
    const leasePath = /^\/leases\/(\d+)(\/touch)?$/.exec(url.pathname);
    if (leasePath) {
      const id = Number(leasePath[1]);
      const lease = this.leases.get(id);
      if (!lease) return { status: 404, body: {} };
      if (method === 'DELETE') this.endLease(id);
      else lease.until = this.time.now + lease.durationMs;
      return { status: 200, body: {} };
    }
    if (url.pathname === '/watch') return this.watch(from, url);
    if (url.pathname === '/kv') {
      const under = url.searchParams.get('under') ?? '';
      const after = url.searchParams.get('after') ?? '';
      const keys = [...this.kv.keys()].filter((name) => name.startsWith(under) && name > after).sort();
      const items: unknown[] = [];
      let size = 0;
      for (const name of keys) {
        const value = this.kv.get(name)!;
        size += JSON.stringify(value.data).length + name.length;
        if (items.length >= 1000 || size > 512 * 1024) break;
        items.push({ key: name, data: value.data, stamp: value.stamp });
      }
      return { status: 200, body: { items, truncated: items.length < keys.length, ledger: this.revision } };
    }
    const key = url.pathname.slice('/kv/'.length);
    const value = this.kv.get(key);
    return value
      ? { status: 200, body: { key, data: value.data, stamp: value.stamp, tenure: value.tenure } }
      : { status: 404, body: { ledger: this.revision } };
  }

  private commit(transaction: Transaction): HttpResponse {
    const now = this.time.now;
    this.writes = this.writes.filter((write) => write.at > now - 1000);
    this.writes.push({ at: now, count: transaction.apply.length });
    if (this.writes.reduce((sum, write) => sum + write.count, 0) > this.limits.write_rps * 2) {
      this.rateLimited++;
      return { status: 429, body: {} };
    }
    const tooBig = transaction.apply.some(
      (change) => JSON.stringify(change.data ?? null).length > this.limits.value_kb * 1024,
    );
    if (transaction.apply.length > this.limits.txn_ops || tooBig) {
      if (!this.rejectsOversized) throw new Error('transaction exceeds txn_ops or value_kb');
      return { status: 400, body: { error: 'too large' } };
    }
    if (transaction.apply.some((change) => change.tenure !== undefined && !this.leases.has(change.tenure)))
      return { status: 400, body: { error: 'no such lease' } };
    const failed = transaction.guards
      .filter((guard) => (this.kv.get(guard.key)?.stamp ?? 0) !== guard.stamp)
      .map((guard) => guard.key);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.revision } };
    this.revision++;
    for (const change of transaction.apply)
      if (change.write !== undefined) this.change(change.write, change.data, false, change.tenure);
      else this.change(change.remove!, undefined, true);
    return { status: 200, body: { ledger: this.revision } };
  }

  private watch(from: string, url: URL): Promise<HttpResponse> {
    const under = url.searchParams.get('under') ?? '';
    const after = Number(url.searchParams.get('after'));
    const until = this.time.now + Number(url.searchParams.get('block_ms') ?? 0);
    return new Promise((resolve) => {
      const check = (): void => {
        const changes = this.changes.filter((change) => change.stamp > after && change.key.startsWith(under));
        const isUnavailable = this.down || this.refusedNodes.has(from);
        if (!isUnavailable && (changes.length > 0 || this.time.now >= until)) {
          resolve({
            status: 200,
            body: {
              ledger: this.revision,
              news: changes.map((change) =>
                change.removed
                  ? { remove: change.key, stamp: change.stamp }
                  : { write: change.key, data: change.data, stamp: change.stamp },
              ),
            },
          });
        } else if (isUnavailable) this.time.after(100, check);
        else this.pendingWatches.push(check);
      };
      this.time.after(Math.max(0, until - this.time.now), check);
      check();
    });
  }
}
