/**
 * A small deployment on loopback addresses and the real clock: three controllers as processes, started with the
 * command of the deploy file, and stand-ins for the state service, the cloud and the workers. The stand-ins are
 * the project's own (test/fakes); their time is advanced with the real time.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createHttpCall } from '../../src/io/http-client.js';
import { teamsOf, readSettings } from '../../src/wire/settings.js';
import { Checker } from '../../test/fakes/checker.js';
import { VirtualTime } from '../../test/fakes/clock.js';
import { FakeCloud } from '../../test/fakes/cloud.js';
import { FakeStateService } from '../../test/fakes/state-service.js';
import { FakeWorker } from '../../test/fakes/worker.js';
import { Link } from './link.mjs';

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
const STEP_MS = 5;
const NODES = [0, 1, 2];
/** More machines than a small deployment rents in two minutes. */
const MAX_WORKERS = 120;

/** The command of the deploy file, without the path of the settings. */
function runCommand() {
  const match = /^run = "(.*)"$/m.exec(readFileSync('deploy/service.toml', 'utf8'));
  if (!match) throw new Error('deploy/service.toml has no run line');
  return match[1].split(' ');
}

/** A free port below those that the system gives to outgoing connections, which could take it before a controller does. */
async function freePort() {
  for (;;) {
    const port = 10_000 + Math.floor(Math.random() * 20_000);
    const server = net.createServer();
    const isFree = await new Promise((done) => {
      server.once('error', () => done(false));
      server.listen(port, '127.0.0.1', () => done(true));
    });
    if (!isFree) continue;
    await new Promise((done) => server.close(done));
    return port;
  }
}

const listen = (handle) =>
  new Promise((done) => {
    const server = http.createServer({ keepAliveTimeout: 120_000, noDelay: true }, (request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        const text = Buffer.concat(chunks).toString();
        void Promise.resolve(handle(request.method, request.url, text ? JSON.parse(text) : undefined)).then(
          (answer) => {
            if (!answer) return;
            const json = JSON.stringify(answer.body ?? {});
            response.writeHead(answer.status, {
              'Content-Type': 'application/json',
              'Content-Length': Buffer.byteLength(json),
            });
            response.end(json);
          },
        );
      });
    });
    server.listen(0, '127.0.0.1', () => done(server));
  });

export class Deployment {
  time = new VirtualTime();
  workers = new Map();
  /** Links of each node: to the state service, to the cloud, from workers, from users; and between nodes. */
  links = NODES.map(() => ({}));
  peerLinks = NODES.map(() => NODES.map(() => null));
  processes = NODES.map(() => null);
  /** Requests of users that wait for an answer. */
  #calls = createHttpCall();
  #lines = [];
  #servers = [];
  /** Servers for the machines that will be rented; each machine gets its own, and none is used again. */
  #workerSlots = [];
  #allLinks = [];
  #startedAt = performance.now();
  #stopped = false;
  /** What each user was told: the newest standing by job, and when that answer arrived. */
  told = new Map();

  /** `taskLines`: the jobs whose tasks get lines of the record; null: all. */
  constructor({ types, teams, cluster = {}, recordFile, logLevel = 'error', taskLines = null }) {
    Object.assign(this, { types, recordFile, logLevel, taskLines });
    this.clusterSettings = {
      zones: ['caernarfon', 'wrexham'],
      size: 3,
      teams,
      objectives: [],
      workers: { report_s: 3, lease_s: 18, gang_wait_s: 30, gang_peer_s: 5, cancel_s: 48 },
      state: { rps: 100, write_rps: 40, value_kb: 8, txn_ops: 12 },
      cloud: { rps: 10, list_lag_s: 6 },
      machine_limits: { cpu_share: 0.34, mem_mb: 306, sockets: 2500 },
      time_bound_ms: 100,
      ...cluster,
    };
    this.directory = mkdtempSync(join(tmpdir(), 'review-'));
  }

  seconds() {
    return (performance.now() - this.#startedAt) / 1000;
  }

  /** Writes a line of the record. */
  note(text) {
    this.#lines.push(`${this.seconds().toFixed(2).padStart(7)} ${text}`);
  }

  async start() {
    const { time, clusterSettings } = this;
    const serve = [];
    const back = [];
    for (const node of NODES) {
      serve[node] = await freePort();
      back[node] = await freePort();
    }
    this.state = new FakeStateService(time, clusterSettings.state);
    const settings = readSettings(
      this.#settingsOf(0, { serve: '127.0.0.1:1', back: '127.0.0.1:1', state: '127.0.0.1:1', cloud: '127.0.0.1:1', seeds: [] }),
    );
    this.checker = new Checker(() => time.now, teamsOf(settings), this.types, clusterSettings.workers.cancel_s * 1000);
    this.cloud = new FakeCloud(
      time,
      Math.random,
      this.types,
      clusterSettings.cloud.list_lag_s * 1000,
      (place) => this.#bootWorker(place),
      (id) => this.workers.get(id),
    );
    const cloudServer = await listen((method, path, body) => this.#cloudRequest(method, path, body));
    this.#servers.push(cloudServer);
    for (let count = 0; count < MAX_WORKERS; count++) {
      const slot = { port: 0, handle: () => null };
      const server = await listen((_method, path, body) => slot.handle(path, body));
      slot.port = server.address().port;
      this.#servers.push(server);
      this.#workerSlots.push(slot);
    }
    this.nodeFiles = [];
    for (const node of NODES) {
      const stateServer = await listen((method, path, body) => this.#stateRequest(node, method, path, body));
      this.#servers.push(stateServer);
      this.links[node] = {
        state: await this.#link(stateServer.address().port),
        cloud: await this.#link(cloudServer.address().port),
        workers: await this.#link(serve[node]),
        users: await this.#link(serve[node]),
      };
      for (const other of NODES)
        if (other !== node) this.peerLinks[node][other] = await this.#link(back[other]);
    }
    for (const node of NODES) {
      const links = this.links[node];
      const file = join(this.directory, `node-${node}.json`);
      const value = this.#settingsOf(node, {
        serve: `127.0.0.1:${serve[node]}`,
        back: `127.0.0.1:${back[node]}`,
        state: links.state.address,
        cloud: links.cloud.address,
        seeds: NODES.filter((other) => other !== node).map((other) => ({
          node: `ostler-${other}`,
          area: 'caernarfon',
          peer_addr: this.peerLinks[node][other].address,
        })),
      });
      writeFileSync(file, JSON.stringify(value));
      this.nodeFiles[node] = file;
    }
    this.#run = this.#advance();
    await this.beforeStart();
    for (const node of NODES) this.startNode(node);
    await this.until(() => this.leader !== null, 20_000, 'a controller leads');
  }
  #run;

  async #link(port) {
    const link = await new Link(() => ({ host: '127.0.0.1', port })).listen();
    this.#allLinks.push(link);
    return link;
  }

  #settingsOf(node, { serve, back, state, cloud, seeds }) {
    return {
      node: `ostler-${node}`,
      area: 'caernarfon',
      serve_on: serve,
      back,
      seeds,
      external: { cloud, state },
      cluster: this.clusterSettings,
    };
  }

  async #advance() {
    while (!this.#stopped) {
      await this.time.run(performance.now() - this.#startedAt - this.time.now);
      await sleep(STEP_MS);
    }
  }

  /** May be replaced: what the state service does with a request; `go` carries it out. */
  onState = (_node, _method, _path, _body, go) => go();
  #stateRequest(node, method, path, body) {
    return this.onState(node, method, path, body, () => this.state.handle(`ostler-${node}`, method, path, body));
  }

  /** May be replaced: what the cloud does with a request; `go` carries it out. */
  onCloud = (_method, _path, _body, go) => go();
  #cloudRequest(method, path, body) {
    const answer = this.onCloud(method, path, body, () => this.cloud.handle(method, path, body));
    if (method === 'POST' && answer?.status === 200 && path !== '/hosts/return')
      this.note(`cloud: rents ${body.count} ${body.breed} in ${body.yard}: ${answer.body.mounts.join(', ')}`);
    if (path === '/hosts/return') this.note(`cloud: returns ${body.mounts.join(', ')}`);
    return answer;
  }

  /** May be replaced: run time of a job's tasks, in milliseconds. */
  runMs = (job) => job.reckon_s * 1000;
  /** May be replaced: what a worker does with a direct call; `go` carries it out. */
  onOrders = (_machine, _path, _body, go) => go();

  #hungUntil = new Map();
  /** Hangs a machine: it runs nothing, and what reaches it meanwhile is handled when it resumes. */
  hang(id, ms) {
    this.#hungUntil.set(id, performance.now() + ms);
    this.workers.get(id).hang(ms);
    this.note(`TROUBLE: ${id} hangs for ${ms / 1000} s`);
  }

  async #resumed(id) {
    const ms = (this.#hungUntil.get(id) ?? 0) - performance.now();
    if (ms > 0) await sleep(ms);
  }

  /** May be replaced: what a worker takes as the answer to its report; null: none. */
  onReportAnswered = (_machine, _report, answer) => answer;

  #bootWorker(place) {
    const slot = this.#workerSlots.shift();
    if (!slot) throw new Error('no more workers');
    const send = createHttpCall();
    const call = async (address, method, path, body, timeoutMs) => {
      const sentAt = performance.now();
      const answer = this.onReportAnswered(place, body, await send(address, method, path, body, timeoutMs));
      await this.#resumed(place.id);
      return performance.now() - sentAt > timeoutMs ? null : answer;
    };
    const worker = new FakeWorker({ ...place }, `127.0.0.1:${slot.port}`, call, {
      time: this.time,
      random: Math.random,
      checker: this.#observer(),
      nodes: NODES.map((node) => ({ name: `ostler-${node}`, address: this.links[node].workers.address })),
      type: (name) => this.types.find((type) => type.name === name),
      runMs: (job) => this.runMs(job),
      failing: new Set(),
      workers: this.workers,
      settings: this.clusterSettings.workers,
    });
    slot.handle = async (path, body) => {
      await this.#resumed(place.id);
      return this.onOrders(place, path, body, () => worker.handle(path, body));
    };
    this.workers.set(place.id, worker);
    this.note(`cloud: ${place.id} is up (${place.type}, ${place.zone}${place.spot ? ', spot' : ''})`);
    return worker;
  }

  /** The checker, with a line of the record for each start and end of a task. */
  #observer() {
    const { checker } = this;
    return {
      job: (id) => checker.job(id),
      start: (id, task, machine) => {
        if (!this.taskLines || this.taskLines.includes(id)) this.note(`task ${id}/${task} starts on ${machine.id} (${machine.zone})`);
        checker.start(id, task, machine);
      },
      end: (id, task, machine, done) => {
        if (!this.taskLines || this.taskLines.includes(id)) this.note(`task ${id}/${task} ${done ? 'is done' : 'ends'} on ${machine.id} (${machine.zone})`);
        checker.end(id, task, machine, done);
      },
    };
  }

  startNode(node) {
    const [command, ...options] = runCommand();
    const child = spawn(command, [...options, this.nodeFiles[node]], {
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: this.logLevel },
    });
    child.stderr.on('data', (text) => this.onLog(node, String(text)));
    child.on('exit', (code, signal) => {
      if (this.processes[node] !== child) return;
      this.processes[node] = null;
      this.note(`controller ${node} ended: code ${code}, signal ${signal}`);
      if (!this.#stopped && !child.wasKilled) this.endedByItself = `controller ${node}: code ${code}, signal ${signal}`;
    });
    this.processes[node] = child;
    this.note(`controller ${node} started`);
  }
  /** May be replaced: runs when the stand-ins serve and before the controllers are started. */
  beforeStart = async () => {};

  /** May be replaced: takes what a controller logs. */
  onLog = () => {};

  signal(node, signal) {
    const child = this.processes[node];
    if (!child) return;
    if (signal === 'SIGKILL') child.wasKilled = true;
    child.kill(signal);
    this.note(`controller ${node} gets ${signal}`);
  }

  /** Index of the node that holds the leader key; null: none. */
  get leader() {
    const value = this.state.kv.get('q/leader')?.data;
    return value ? Number(value.node.replace('ostler-', '')) : null;
  }

  /** Waits until the condition holds; throws after the time. */
  async until(condition, ms, what) {
    for (const end = performance.now() + ms; !(await condition()); await sleep(50))
      if (performance.now() > end) throw new Error(`not in time: ${what}`);
  }

  /** A request of a user to a node; the answer, or status 0. Checks it against what the user knew before. */
  async ask(node, kind, id, job, timeoutMs = 5000) {
    if (kind === 'withdraw') this.checker.cancellationRequested(id);
    const known = this.told.get(id) ?? 0;
    const [method, path] =
      kind === 'submit' ? ['POST', '/v1/jobs'] : kind === 'show' ? ['GET', `/v1/jobs/${id}`] : ['POST', `/v1/jobs/${id}/withdraw`];
    const sentAt = this.seconds();
    const answer = await this.#calls(this.links[node].users.address, method, path, job, timeoutMs);
    const { status = 0, body = {} } = answer ?? {};
    const standing = body?.standing;
    this.lastAnswer = { status, body };
    if (this.recordsAnswers || kind !== 'show' || status !== 200)
      this.note(`user: ${kind} ${id} at controller ${node} (sent ${sentAt.toFixed(2)}): ${status} ${JSON.stringify(body)}`);
    const rank = standing === 'done' || standing === 'aborted' ? 2 : standing ? 1 : 0;
    const isAnswer = status === 200 || status === 201 || status === 404;
    // An answer counts against an earlier one only if its request was sent after the earlier one had arrived.
    if (status && !(isAnswer && rank < (this.told.get(id) ?? 0) && rank >= known)) {
      if (status < 300) this.told.set(id, Math.max(rank, this.told.get(id) ?? 0));
      this.checker.answer(kind, id, status, standing);
    }
    return { status, standing, body };
  }

  /** Submits a job at any node until it is accepted. */
  async submit(job, nodes = NODES) {
    this.checker.submitted(job);
    for (let attempt = 0; attempt < 60; attempt++) {
      const answer = await this.ask(nodes[attempt % nodes.length], 'submit', job.name_id, job);
      if (answer.status === 201 || answer.status === 200) return answer;
      if (answer.status === 400 || answer.status === 422) throw new Error(`${job.name_id} was refused: ${answer.status}`);
      await sleep(1000);
    }
    throw new Error(`${job.name_id} was not accepted`);
  }

  #ended(child) {
    if (child.exitCode !== null || child.signalCode !== null) return undefined;
    return new Promise((done) => child.once('exit', done));
  }

  /** Ends all processes, writes the record and removes the temporary folder. */
  async end() {
    this.#stopped = true;
    const running = this.processes.filter(Boolean);
    for (const child of running) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    // The case is over only when they have ended.
    await Promise.all(running.map((child) => this.#ended(child)));
    await this.#run?.catch(() => {});
    for (const link of this.#allLinks) link.close();
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
    if (this.recordFile) writeFileSync(this.recordFile, this.#lines.join('\n') + '\n');
    rmSync(this.directory, { recursive: true, force: true });
  }

  get record() {
    return this.#lines;
  }
}

export const pony = {
  name: 'pony',
  cpus: 16,
  gpus: 0,
  mem: 64,
  cacheGb: 60,
  fetch: 0.4,
  price: 0.99,
  spotPrice: 0.43,
  boot: 15,
  zones: ['caernarfon', 'wrexham'],
};

export const shire = {
  name: 'shire',
  cpus: 32,
  gpus: 0,
  mem: 128,
  cacheGb: 40,
  fetch: 0.8,
  price: 1.83,
  spotPrice: 0.83,
  boot: 40,
  zones: ['caernarfon', 'wrexham'],
};

export const gwyneddTeams = [
  { name: 'depot-ops', cpus: 256, cpus_max: 960, gpus: 0, gpus_max: 0 },
  { name: 'pricing-desk', cpus: 160, cpus_max: 384, gpus: 0, gpus_max: 0 },
  { name: 'claims-office', cpus: 160, cpus_max: 384, gpus: 0, gpus_max: 0 },
];

/** A job in the form in which users submit it. */
export const jobOf = (id, over = {}) => ({
  name_id: id,
  duty: 'rate-refresh',
  desk: 'depot-ops',
  shape: 'array',
  urgency: 'standard',
  shifts: 1,
  cpus: 2,
  accelerators: 0,
  mem_gb: 4.6,
  kit: 'img-1',
  image_gb: 0.8,
  breeds: null,
  yard: null,
  together: false,
  spread: false,
  loaners: false,
  reckon_s: 20,
  waymark_s: 0,
  stow_s: 0,
  due_s: null,
  ...over,
});

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(deployment, play) {
  let code = 2;
  const giveUp = (why) => {
    deployment.note(`the case couldn't run: ${why}`);
    void deployment.end().finally(() => process.exit(2));
  };
  const limit = setTimeout(() => giveUp('it took too long'), 118_000);
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.once(signal, () => giveUp(signal));
  process.once('uncaughtException', (error) => giveUp(error.stack));
  process.once('unhandledRejection', (error) => giveUp(error?.stack ?? error));
  try {
    await deployment.start();
    const broken = await play(deployment);
    code = broken ? 1 : 0;
    deployment.note(broken ? `BROKEN: ${broken}` : 'the rule held');
  } catch (error) {
    deployment.note(`the case couldn't run: ${error.stack}`);
  }
  clearTimeout(limit);
  const result = deployment.record.at(-1);
  await deployment.end();
  console.log(result);
  process.exit(code);
}
