// Stand-in for the state service, as PROTOCOL describes it: keys, transactions, leases, watches, limits, outages.
import http from 'node:http';

const RESPONSE_MS = 4;

export class StateService {
  /** During an outage every request gets 503; open watches stay open, and leases have their full time after it. */
  down = false;
  /** Called with the changes of each transaction that was carried out; returns by how many ms its answer is late. */
  onTransaction = () => 0;
  kv = new Map();
  revision = 0;
  changes = [];
  leases = new Map();
  watches = new Set();
  refusedTooLarge = 0;

  constructor(limits, record) {
    this.limits = limits;
    this.record = record;
    this.requests = { left: limits.rps, at: performance.now(), perS: limits.rps };
    this.writes = { left: limits.write_rps, at: performance.now(), perS: limits.write_rps };
    this.nextLease = 1;
    this.timer = setInterval(() => this.expire(), 50);
  }

  listen() {
    this.server = http.createServer({ keepAliveTimeout: 120_000, noDelay: true }, (request, response) => {
      const parts = [];
      request.on('data', (part) => parts.push(part));
      request.on('end', () => {
        const text = Buffer.concat(parts).toString();
        setTimeout(() => {
          const answer = (status, body) => {
            const json = JSON.stringify(body);
            response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(json) });
            response.end(json);
          };
          let body;
          try {
            body = text ? JSON.parse(text) : undefined;
          } catch {
            return answer(400, { error: 'not JSON' });
          }
          this.handle(request.method, new URL(request.url, 'http://state'), body, answer, response);
        }, RESPONSE_MS);
      });
    });
    return new Promise((done) =>
      this.server.listen(0, '127.0.0.1', () => {
        this.address = `127.0.0.1:${this.server.address().port}`;
        done();
      }),
    );
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  setDown(down) {
    if (this.down && !down) for (const lease of this.leases.values()) lease.until = performance.now() + lease.lifeMs;
    this.down = down;
    if (!down) this.notify();
  }

  take(bucket, count) {
    const now = performance.now();
    bucket.left = Math.min(bucket.perS, bucket.left + ((now - bucket.at) / 1000) * bucket.perS);
    bucket.at = now;
    if (bucket.left < count) return false;
    bucket.left -= count;
    return true;
  }

  expire() {
    if (this.down) return;
    const now = performance.now();
    for (const [id, lease] of this.leases) if (lease.until < now) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.kv].filter(([, item]) => item.tenure === id).map(([key]) => key);
    if (keys.length === 0) return;
    this.revision++;
    for (const key of keys) this.remove(key);
    this.notify();
  }

  put(key, data, tenure) {
    this.kv.set(key, { data, stamp: this.revision, tenure });
    this.changes.push({ write: key, data, stamp: this.revision });
  }

  remove(key) {
    if (this.kv.delete(key)) this.changes.push({ remove: key, stamp: this.revision });
  }

  notify() {
    for (const check of [...this.watches]) check();
  }

  handle(method, url, body, answer, response) {
    if (this.down) return answer(503, { error: 'unavailable' });
    if (!this.take(this.requests, 1)) return answer(429, { error: 'too many requests' });
    const path = url.pathname;
    if (method === 'GET' && path === '/kv') return answer(200, this.list(url));
    if (method === 'GET' && path.startsWith('/kv/')) {
      const key = decodeURIComponent(path.slice(4));
      const item = this.kv.get(key);
      if (!item) return answer(404, { ledger: this.revision });
      return answer(200, { key, data: item.data, stamp: item.stamp, ...(item.tenure ? { tenure: item.tenure } : {}) });
    }
    if (method === 'POST' && path === '/txn') return this.transact(body, answer);
    if (method === 'GET' && path === '/watch') return this.watch(url, answer, response);
    if (method === 'POST' && path === '/leases') {
      const lifeMs = Math.min(600_000, Math.max(100, body.life_ms));
      const id = this.nextLease++;
      this.leases.set(id, { lifeMs, until: performance.now() + lifeMs });
      return answer(200, { tenure: id });
    }
    const lease = /^\/leases\/(\d+)(\/touch)?$/.exec(path);
    if (!lease) return answer(400, { error: 'malformed' });
    const held = this.leases.get(Number(lease[1]));
    if (!held) return answer(404, { error: 'no such lease' });
    if (lease[2]) held.until = performance.now() + held.lifeMs;
    else this.endLease(Number(lease[1]));
    return answer(200, {});
  }

  list(url) {
    const under = url.searchParams.get('under') ?? '';
    const after = url.searchParams.get('after');
    const most = Math.min(1000, Number(url.searchParams.get('most') ?? 1000));
    const keys = [...this.kv.keys()].filter((key) => key.startsWith(under) && (after === null || key > after)).sort();
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const item = { key, data: this.kv.get(key).data, stamp: this.kv.get(key).stamp };
      bytes += JSON.stringify(item).length;
      if (items.length >= most || (items.length > 0 && bytes > 500 * 1024)) break;
      items.push(item);
    }
    return { items, truncated: items.length < keys.length, ledger: this.revision };
  }

  transact({ guards = [], apply = [] }, answer) {
    const { value_kb: valueKb, txn_ops: maxOps } = this.limits;
    const sizeOf = (value) => Buffer.byteLength(JSON.stringify(value ?? null));
    const tooLarge = apply.find((one) => one.write !== undefined && sizeOf(one.data) > valueKb * 1024);
    if (tooLarge || apply.length > maxOps || guards.length > 4 * maxOps || sizeOf({ guards, apply }) > 64 * 1024) {
      const what = tooLarge ? `value of ${sizeOf(tooLarge.data)} bytes for ${tooLarge.write}` : 'transaction';
      if (this.refusedTooLarge++ < 5) this.record(`state service: 400, ${what} is larger than its limit`);
      return answer(400, { error: 'too large' });
    }
    if (!this.take(this.writes, apply.length)) return answer(429, { error: 'too many changes' });
    if (apply.some((one) => one.tenure !== undefined && one.tenure !== null && !this.leases.has(one.tenure)))
      return answer(400, { error: 'no such lease' });
    const failed = guards.filter(({ key, stamp }) => (this.kv.get(key)?.stamp ?? 0) !== stamp).map(({ key }) => key);
    if (failed.length > 0) return answer(409, { failed, ledger: this.revision });
    if (apply.length > 0) {
      this.revision++;
      for (const one of apply)
        if (one.write !== undefined) this.put(one.write, one.data, one.tenure ?? undefined);
        else this.remove(one.remove);
    }
    const ledger = this.revision;
    const lateMs = this.onTransaction(apply);
    this.notify();
    if (lateMs === 0) return answer(200, { ledger });
    // An answer that is on its way when an outage begins is lost.
    setTimeout(() => {
      if (this.down) this.record('state service: that answer is lost in the outage');
      else answer(200, { ledger });
    }, lateMs);
  }

  watch(url, answer, response) {
    const under = url.searchParams.get('under') ?? '';
    const after = Number(url.searchParams.get('after') ?? 0);
    const until = performance.now() + Math.min(60_000, Number(url.searchParams.get('block_ms') ?? 0));
    const check = () => {
      if (this.down) return;
      const news = this.changes.filter((one) => one.stamp > after && (one.write ?? one.remove).startsWith(under));
      if (news.length === 0 && performance.now() < until) return;
      finish();
      answer(200, { ledger: this.revision, news });
    };
    const timer = setInterval(check, 100);
    const finish = () => {
      clearInterval(timer);
      this.watches.delete(check);
    };
    this.watches.add(check);
    response.on('close', finish);
    check();
  }
}
