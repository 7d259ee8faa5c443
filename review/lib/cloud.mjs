// Stand-in for the cloud: rents, lists and returns machines, as PROTOCOL describes it.
import http from 'node:http';

const RESPONSE_MS = 20;

export class Cloud {
  machines = new Map();
  granted = new Map();
  history = [];
  next = 1;

  /** `types` in the protocol's words; `capacity` is the number of ordinary machines of all types together. */
  constructor({ types, capacity, lagS, bootMs, record, onUp, onGone }) {
    Object.assign(this, { types, capacity, lagS, bootMs, record, onUp, onGone });
    this.timer = setInterval(() => this.remember(), 500);
  }

  servers = [];

  /** An address of its own for each caller, so that the record can tell them apart. */
  async listen(from) {
    const server = http.createServer({ keepAliveTimeout: 120_000, noDelay: true }, (request, response) => {
      const parts = [];
      request.on('data', (part) => parts.push(part));
      request.on('end', () =>
        setTimeout(() => {
          const text = Buffer.concat(parts).toString();
          const [status, body] = this.handle(request.method, new URL(request.url, 'http://cloud'), text ? JSON.parse(text) : {}, from);
          const json = JSON.stringify(body);
          response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(json) });
          response.end(json);
        }, RESPONSE_MS),
      );
    });
    this.servers.push(server);
    await new Promise((done) => server.listen(0, '127.0.0.1', done));
    return `127.0.0.1:${server.address().port}`;
  }

  stop() {
    clearInterval(this.timer);
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  remember() {
    const list = [...this.machines.values()].map((machine) => ({
      ...{ name_id: machine.id, addr: machine.addr ?? '', breed: machine.breed, yard: machine.yard },
      ...{ loaners: false, standing: machine.standing, held_s: (performance.now() - machine.rentedAt) / 1000 },
    }));
    this.history.push({ at: performance.now(), list });
  }

  handle(method, url, body, from) {
    if (method === 'GET' && url.pathname === '/flavors') return [200, { breeds: this.types }];
    if (method === 'POST' && url.pathname === '/hosts') return this.rent(body);
    if (method === 'POST' && url.pathname === '/hosts/return') {
      this.record(`cloud: asked by ${from} to return ${body.mounts.join(', ')}`);
      this.onReturn?.(from, body.mounts);
      for (const id of body.mounts) {
        if (!this.machines.delete(id)) continue;
        this.onGone(id);
      }
      return [200, {}];
    }
    const shown = [...this.history].reverse().find(({ at }) => at <= performance.now() - this.lagS * 1000);
    const after = url.searchParams.get('after') ?? '';
    return [200, { mounts: (shown?.list ?? []).filter(({ name_id: id }) => id > after), truncated: false }];
  }

  rent({ hire, breed, yard, loaners, count }) {
    if (this.granted.has(hire)) return [200, { mounts: this.granted.get(hire) }];
    const left = loaners ? 0 : Math.min(count, this.capacity - this.machines.size);
    if (left <= 0) return [503, { error: 'no capacity' }];
    const mounts = [];
    for (let i = 0; i < left; i++) {
      const id = `vm-${String(this.next++).padStart(6, '0')}`;
      mounts.push(id);
      const machine = { id, breed, yard, standing: 'booting', rentedAt: performance.now() };
      this.machines.set(id, machine);
      setTimeout(() => {
        if (!this.machines.has(id)) return;
        machine.standing = 'running';
        this.onUp(machine);
      }, this.bootMs);
    }
    this.record(`cloud: rented ${mounts.join(', ')} (${breed}, ${yard}) for ${hire}`);
    this.granted.set(hire, mounts);
    return [200, { mounts }];
  }
}
