import type { HttpResponse } from '../../src/io/http-client.js';
import type { VirtualTime } from './clock.js';

interface Value {
  data: unknown;
  stamp: number;
  tenure?: number;
}

interface Txn {
  guards: { key: string; stamp: number }[];
  apply: { write?: string; data?: unknown; tenure?: number; remove?: string }[];
}

/** The state service of the protocol: guards, leases, watches, limits and outages. */
export class FakeStateService {
  readonly kv = new Map<string, Value>();
  revision = 0;
  down = false;
  /** Watches do not tell of keys that went with their lease. */
  omitExpiryEvents = false;
  refusedNodes = new Set<string>();
  /** Transactions that get no answer, and after how many ms they are carried out; 0: at once, with an answer. */
  transactionDelayMs: (t: Txn) => number = () => 0;
  /** Transactions that are carried out at once, and whose answers are lost. */
  losesResponse: (t: Txn) => boolean = () => false;
  /** Requests over the limits. */
  rateLimited = 0;
  private readonly leases = new Map<number, { ttl: number; until: number }>();
  private nextLease = 1;
  private news: { key: string; data: unknown; removed: boolean; stamp: number }[] = [];
  private waiters: (() => void)[] = [];
  private requests: number[] = [];
  private writes: { at: number; n: number }[] = [];

  constructor(
    private readonly time: VirtualTime,
    private readonly limits: { rps: number; write_rps: number; value_kb: number; txn_ops: number },
  ) {
    this.sweep();
  }

  outage(ms: number): void {
    this.down = true;
    this.time.after(ms, () => {
      this.down = false;
      for (const l of this.leases.values()) l.until = this.time.now + l.ttl;
    });
  }

  private sweep(): void {
    this.time.after(50, () => this.sweep());
    if (this.down) return;
    for (const [id, l] of this.leases) if (l.until <= this.time.now) this.end(id);
  }

  private end(id: number): void {
    this.leases.delete(id);
    const keys = [...this.kv].filter(([, v]) => v.tenure === id).map(([k]) => k);
    if (keys.length > 0) {
      this.revision++;
      for (const k of keys) this.change(k, undefined, true, undefined, this.omitExpiryEvents);
    }
  }

  private change(key: string, data: unknown, removed: boolean, tenure?: number, mute = false): void {
    if (removed) this.kv.delete(key);
    else this.kv.set(key, { data, stamp: this.revision, tenure });
    if (mute) return;
    this.news.push({ key, data, removed, stamp: this.revision });
    const w = this.waiters;
    this.waiters = [];
    for (const x of w) x();
  }

  private rate(): boolean {
    const now = this.time.now;
    this.requests = this.requests.filter((t) => t > now - 1000);
    this.requests.push(now);
    return this.requests.length <= this.limits.rps * 2;
  }

  handle(from: string, method: string, path: string, body: unknown): HttpResponse | Promise<HttpResponse> {
    const url = new URL(path, 'http://state');
    if (this.down || this.refusedNodes.has(from)) return { status: 503, body: { error: 'unavailable' } };
    if (!this.rate()) {
      this.rateLimited++;
      return { status: 429, body: {} };
    }
    if (method === 'POST' && url.pathname === '/txn') {
      if (this.losesResponse(body as Txn)) {
        this.txn(body as Txn);
        return new Promise(() => {});
      }
      const late = this.transactionDelayMs(body as Txn);
      if (late === 0) return this.txn(body as Txn);
      this.time.after(late, () => this.down || this.txn(body as Txn));
      return new Promise(() => {});
    }
    if (method === 'POST' && url.pathname === '/leases') {
      const ttl = (body as { life_ms: number }).life_ms;
      const id = this.nextLease++;
      this.leases.set(id, { ttl, until: this.time.now + ttl });
      return { status: 200, body: { tenure: id } };
    }
    const lease = /^\/leases\/(\d+)(\/touch)?$/.exec(url.pathname);
    if (lease) {
      const id = Number(lease[1]);
      const l = this.leases.get(id);
      if (!l) return { status: 404, body: {} };
      if (method === 'DELETE') this.end(id);
      else l.until = this.time.now + l.ttl;
      return { status: 200, body: {} };
    }
    if (url.pathname === '/watch') return this.watch(from, url);
    if (url.pathname === '/kv') {
      const under = url.searchParams.get('under') ?? '';
      const after = url.searchParams.get('after') ?? '';
      const keys = [...this.kv.keys()].filter((k) => k.startsWith(under) && k > after).sort();
      const items: unknown[] = [];
      let size = 0;
      for (const k of keys) {
        const v = this.kv.get(k)!;
        size += JSON.stringify(v.data).length + k.length;
        if (items.length >= 1000 || size > 512 * 1024) break;
        items.push({ key: k, data: v.data, stamp: v.stamp });
      }
      return { status: 200, body: { items, truncated: items.length < keys.length, ledger: this.revision } };
    }
    const key = url.pathname.slice('/kv/'.length);
    const v = this.kv.get(key);
    return v
      ? { status: 200, body: { key, data: v.data, stamp: v.stamp, tenure: v.tenure } }
      : { status: 404, body: { ledger: this.revision } };
  }

  private txn(t: Txn): HttpResponse {
    const now = this.time.now;
    this.writes = this.writes.filter((w) => w.at > now - 1000);
    this.writes.push({ at: now, n: t.apply.length });
    if (this.writes.reduce((a, w) => a + w.n, 0) > this.limits.write_rps * 2) {
      this.rateLimited++;
      return { status: 429, body: {} };
    }
    const tooBig = t.apply.some((a) => JSON.stringify(a.data ?? null).length > this.limits.value_kb * 1024);
    if (t.apply.length > this.limits.txn_ops || tooBig) throw new Error('a transaction over the limits');
    if (t.apply.some((a) => a.tenure !== undefined && !this.leases.has(a.tenure)))
      return { status: 400, body: { error: 'no such lease' } };
    const failed = t.guards.filter((g) => (this.kv.get(g.key)?.stamp ?? 0) !== g.stamp).map((g) => g.key);
    if (failed.length > 0) return { status: 409, body: { failed, ledger: this.revision } };
    this.revision++;
    for (const a of t.apply)
      if (a.write !== undefined) this.change(a.write, a.data, false, a.tenure);
      else this.change(a.remove!, undefined, true);
    return { status: 200, body: { ledger: this.revision } };
  }

  private watch(from: string, url: URL): Promise<HttpResponse> {
    const under = url.searchParams.get('under') ?? '';
    const after = Number(url.searchParams.get('after'));
    const until = this.time.now + Number(url.searchParams.get('block_ms') ?? 0);
    return new Promise((resolve) => {
      const look = (): void => {
        const news = this.news.filter((n) => n.stamp > after && n.key.startsWith(under));
        const quiet = this.down || this.refusedNodes.has(from);
        if (!quiet && (news.length > 0 || this.time.now >= until)) {
          resolve({
            status: 200,
            body: {
              ledger: this.revision,
              news: news.map((n) =>
                n.removed
                  ? { remove: n.key, stamp: n.stamp }
                  : { write: n.key, data: n.data, stamp: n.stamp },
              ),
            },
          });
        } else if (quiet) this.time.after(100, look);
        else this.waiters.push(look);
      };
      this.time.after(Math.max(0, until - this.time.now), look);
      look();
    });
  }
}
