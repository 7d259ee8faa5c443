// Stand-in for the worker of one machine, as PROTOCOL describes it, for arrays: reports, token, sessions and leases,
// images, direct commands. A task is on its machine from the moment it has its image until it ends.
import http from 'node:http';

const call = (address, path, body, timeoutMs, agent) =>
  new Promise((resolve) => {
    const text = JSON.stringify(body);
    const [host, port] = address.split(':');
    const request = http.request(
      {
        ...{ host, port, path, method: 'POST', agent },
        headers: { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) },
      },
      (response) => {
        const parts = [];
        response.on('data', (part) => parts.push(part));
        response.on('end', () => {
          clearTimeout(timer);
          try {
            resolve({ status: response.statusCode, body: JSON.parse(Buffer.concat(parts).toString()) });
          } catch {
            resolve({ status: response.statusCode, body: {} });
          }
        });
      },
    );
    const timer = setTimeout(() => request.destroy(new Error('time-out')), timeoutMs);
    request.on('error', () => {
      clearTimeout(timer);
      resolve(null);
    });
    request.end(text);
  });

export class Worker {
  stint = 1;
  tally = 0;
  warrant = 0;
  tasks = new Map();
  images = new Set();
  alive = true;
  /** Every task that starts fails. */
  failing = false;
  /** The machine hangs until then: it runs nothing, reports nothing and answers what has come when it goes on. */
  hungUntil = -Infinity;

  /**
   * `env`: nodes ({ name, address }), workers (the settings' part), type (in the protocol's words), jobs (a map of
   * the submitted jobs), runMs(job, task), failMs, onStart and onEnd (worker, task), record.
   */
  constructor(machine, env) {
    this.machine = machine;
    this.env = env;
    this.node = Math.floor(Math.random() * env.nodes.length);
    this.leaseFrom = performance.now();
    this.agent = new http.Agent({ keepAlive: true });
  }

  hang(ms) {
    this.hungUntil = performance.now() + ms;
  }

  /** Runs at once, or when the machine goes on; its lease is looked at first. */
  whenAwake(run) {
    const leftMs = this.hungUntil - performance.now();
    if (leftMs > 0) return void setTimeout(() => this.whenAwake(run), leftMs + 5);
    if (this.alive) this.checkLease();
    if (this.alive) run();
  }

  async start() {
    this.server = http.createServer({ keepAliveTimeout: 120_000, noDelay: true }, (request, response) => {
      const parts = [];
      request.on('data', (part) => parts.push(part));
      request.on('end', () => {
        if (!this.alive) return request.socket.destroy();
        const text = Buffer.concat(parts).toString();
        this.whenAwake(() => {
          const [status, body] = this.handle(request.url, text ? JSON.parse(text) : {});
          const json = JSON.stringify(body);
          response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(json) });
          response.end(json);
        });
      });
    });
    await new Promise((done) => this.server.listen(0, '127.0.0.1', done));
    this.machine.addr = `127.0.0.1:${this.server.address().port}`;
    this.leaseFrom = performance.now();
    this.leaseTimer = setInterval(() => this.checkLease(), 50);
    this.lastReportAt = -Infinity;
    this.schedule(10);
  }

  /** The machine is gone, and all that was on it. */
  terminate() {
    if (!this.alive) return;
    this.endAll('gone');
    this.alive = false;
    clearInterval(this.leaseTimer);
    clearTimeout(this.timer);
    this.server.close();
    this.server.closeAllConnections();
    this.agent.destroy();
  }

  endAll(why) {
    for (const task of this.tasks.values()) {
      clearTimeout(task.timer);
      if (task.onMachine) this.env.onEnd(this, task, why);
      task.onMachine = false;
    }
    this.tasks.clear();
  }

  checkLease() {
    if (this.hungUntil > performance.now()) return;
    if (performance.now() - this.leaseFrom <= this.env.workers.lease_s * 1000) return;
    this.env.record(`worker ${this.machine.id}: lease of session ${this.stint} expired`);
    this.endAll('lease expired');
    this.stint++;
    this.leaseFrom = performance.now();
    this.changed();
  }

  schedule(ms) {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.whenAwake(() => void this.report()), Math.max(0, ms));
  }

  /** Reports what has changed, though never more often than every half second. */
  changed() {
    this.hasChanges = true;
    if (!this.reporting) this.schedule(this.lastReportAt + 500 - performance.now());
  }

  body() {
    return {
      ...{ mount: this.machine.id, addr: this.machine.addr, breed: this.machine.breed, yard: this.machine.yard },
      ...{ loaners: false, stint: this.stint, tally: ++this.tally, warrant: this.warrant, recall_s: null },
      shifts: [...this.tasks.values()].map((task) => ({
        ...{ shift: task.shift, try: task.attempt, standing: task.standing },
        ...(task.cause ? { cause: task.cause } : {}),
      })),
    };
  }

  async report() {
    if (!this.alive || this.reporting) return;
    this.reporting = true;
    this.hasChanges = false;
    const sentAt = (this.lastReportAt = performance.now());
    const { stint } = this;
    const { nodes, workers } = this.env;
    const answer = await call(nodes[this.node].address, '/hello', this.body(), 4000, this.agent);
    this.reporting = false;
    if (!this.alive) return;
    let nextMs = workers.report_s * 1000 * (0.75 + Math.random() * 0.5);
    if (answer?.status === 200) {
      const { warrant, orders } = answer.body;
      if (warrant !== undefined && warrant >= this.warrant && stint === this.stint) {
        this.takeToken(warrant);
        this.leaseFrom = sentAt;
        this.execute(orders ?? []);
      }
    } else {
      const named = answer?.status === 421 ? nodes.findIndex(({ name }) => name === answer.body.steward) : -1;
      if (named >= 0 && named !== this.node) nextMs = Math.random() * 500;
      else nextMs = 1000;
      this.node = named >= 0 && named !== this.node ? named : (this.node + 1) % nodes.length;
    }
    if (this.hasChanges) nextMs = Math.min(nextMs, this.lastReportAt + 500 - performance.now());
    this.schedule(nextMs);
  }

  takeToken(warrant) {
    if (warrant <= this.warrant) return;
    this.warrant = warrant;
    this.changed();
  }

  handle(path, body) {
    if (path === '/show') return [200, this.body()];
    if (body.warrant === undefined || body.stint === undefined) return [400, {}];
    if (body.warrant < this.warrant || body.stint !== this.stint) return [409, this.body()];
    this.takeToken(body.warrant);
    this.execute(body.orders ?? []);
    return [200, this.body()];
  }

  execute(orders) {
    for (const { verb, shift, try: attempt } of orders) {
      const key = `${shift}#${attempt}`;
      const task = this.tasks.get(key);
      if (verb === 'launch' && !task) this.launch(key, shift, attempt);
      else if (verb === 'halt' && task && task.standing !== 'ended') this.exit(task, 'stopped');
      else if (verb === 'clear' && task?.standing === 'ended') this.tasks.delete(key);
    }
  }

  launch(key, shift, attempt) {
    const { env } = this;
    const job = env.jobs.get(shift.slice(0, shift.lastIndexOf('/')));
    const task = { key, shift, attempt, job, standing: 'fetching', onMachine: false };
    const present = [...this.tasks.values()].filter(({ standing }) => standing !== 'ended');
    this.tasks.set(key, task);
    if (!job) return this.exit(task, 'no_such');
    if (present.some((other) => other.shift === shift)) return this.exit(task, 'in_use');
    const sum = (field) => present.reduce((total, other) => total + other.job[field], job[field]);
    if (sum('cpus') > env.type.cpus + 1e-6 || sum('mem_gb') > env.type.mem_gb + 1e-6) return this.exit(task, 'full');
    const fetchMs = this.images.has(job.kit) ? 0 : (job.image_gb / env.type.pull_gb_per_s) * 1000;
    this.later(task, fetchMs, () => this.run(task));
    this.changed();
  }

  /** Runs after a time, or when the machine goes on, if the task is still there and nothing else became of it. */
  later(task, ms, run) {
    const turn = (task.turn = (task.turn ?? 0) + 1);
    task.timer = setTimeout(() => this.whenAwake(() => this.tasks.get(task.key) === task && task.turn === turn && run()), ms);
  }

  run(task) {
    const { env } = this;
    this.images.add(task.job.kit);
    task.standing = 'running';
    task.onMachine = true;
    env.onStart(this, task);
    const fails = this.failing;
    this.later(task, fails ? env.failMs : env.runMs(task), () => this.exit(task, fails ? 'error' : 'done'));
    this.changed();
  }

  exit(task, cause) {
    clearTimeout(task.timer);
    task.turn = (task.turn ?? 0) + 1;
    task.standing = 'ended';
    task.cause = cause;
    if (task.onMachine) this.env.onEnd(this, task, cause);
    task.onMachine = false;
    this.changed();
  }
}
