// Starts a small deployment: three controllers as processes, by the deploy file's command, among stand-ins on loopback.
import { spawn } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Cloud } from './cloud.mjs';
import { StateService } from './state-service.mjs';
import { Worker } from './worker.mjs';

export const ROOT = join(new URL('.', import.meta.url).pathname, '..', '..');
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

/** Thrown when a case can't run, which is no result. */
export class CannotRun extends Error {}

/** A port that is free now. */
const freePort = () =>
  new Promise((resolve, reject) => {
    const server = net.createServer();
    server.on('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

/** One request of a user or an operator; null without an answer in time. */
export const request = (address, method, path, body, timeoutMs) =>
  new Promise((resolve) => {
    const text = body === undefined ? '' : JSON.stringify(body);
    const [host, port] = address.split(':');
    const headers = text ? { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) } : {};
    const sent = http.request({ host, port, path, method, headers, agent: false }, (response) => {
      const parts = [];
      response.on('data', (part) => parts.push(part));
      response.on('end', () => {
        clearTimeout(timer);
        let answer = {};
        try {
          answer = JSON.parse(Buffer.concat(parts).toString());
        } catch {
          // The status alone counts.
        }
        resolve({ status: response.statusCode, body: answer });
      });
    });
    const timer = setTimeout(() => sent.destroy(new Error('time-out')), timeoutMs);
    sent.on('error', () => {
      clearTimeout(timer);
      resolve(null);
    });
    sent.end(text);
  });

/** The record of a run: every line with the seconds since its begin. */
export class Record {
  lines = [];
  startedAt = performance.now();

  constructor(file) {
    this.file = file;
  }

  add = (line) => {
    this.lines.push(`${((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8)} ${line}`);
  };

  get seconds() {
    return (performance.now() - this.startedAt) / 1000;
  }

  write() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

export const WORKERS = { report_s: 3.0, lease_s: 16.0, gang_wait_s: 30.0, gang_peer_s: 5.0, cancel_s: 46.0 };
export const STATE = { rps: 150.0, write_rps: 60.0, value_kb: 8.0, txn_ops: 48 };
const CLOUD = { rps: 3.0, list_lag_s: 10.0 };
const ZONE = 'wien-keller';

export class Deployment {
  workers = new Map();
  jobs = new Map();
  processes = [];
  nodes = [];
  onStart = () => {};
  onEnd = () => {};

  /** `type` in the protocol's words; `runMs(task)` is the run time of a task on its machine. */
  constructor({ record, type, capacity, bootMs, teams, runMs, failMs = 1000 }) {
    Object.assign(this, { record, type, capacity, bootMs, teams, runMs, failMs });
  }

  async start() {
    const add = this.record.add;
    if (!existsSync(join(ROOT, 'target/main.js'))) throw new CannotRun('target/main.js is not built');
    this.directory = mkdtempSync(join(tmpdir(), 'review-'));
    this.state = new StateService(STATE, add);
    await this.state.listen();
    this.cloud = new Cloud({
      ...{ types: [this.type], capacity: this.capacity, lagS: CLOUD.list_lag_s, bootMs: this.bootMs, record: add },
      onUp: (machine) => this.bootWorker(machine),
      onGone: (id) => {
        this.workers.get(id)?.terminate();
        this.workers.delete(id);
      },
    });
    for (const index of [0, 1, 2])
      this.nodes.push({
        ...{ name: `ostler-${index}`, index, address: `127.0.0.1:${await freePort()}`, back: `127.0.0.1:${await freePort()}` },
        cloud: await this.cloud.listen(`ostler-${index}`),
      });
    for (const node of this.nodes) this.startNode(node);
  }

  settingsOf(node) {
    const others = this.nodes.filter((other) => other !== node);
    return {
      ...{ node: node.name, area: ZONE, serve_on: node.address, back: node.back },
      seeds: others.map(({ name, back }) => ({ node: name, area: ZONE, peer_addr: back })),
      external: { cloud: node.cloud, state: this.state.address },
      cluster: {
        ...{ size: 3, zones: [ZONE], teams: this.teams, objectives: [], workers: WORKERS, state: STATE, cloud: CLOUD },
        machine_limits: { cpu_share: 0.136, mem_mb: 178.0, sockets: 1200 },
        time_bound_ms: 250.0,
      },
    };
  }

  startNode(node) {
    const [, run] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8')) ?? [];
    if (!run) throw new CannotRun('deploy/service.toml has no run command');
    const file = join(this.directory, `${node.name}.json`);
    writeFileSync(file, JSON.stringify(this.settingsOf(node)));
    const [program, ...rest] = run.split(' ');
    const child = spawn(program, [...rest, file], { cwd: ROOT, stdio: ['ignore', 'ignore', 'pipe'], env: { ...process.env, LOG_LEVEL: 'info' } });
    node.child = child;
    child.on('exit', (code, signal) => this.stopped || this.record.add(`${node.name}: process ended (${code ?? signal})`));
    let rest_ = '';
    child.stderr.on('data', (bytes) => {
      rest_ += bytes;
      const lines = rest_.split('\n');
      rest_ = lines.pop();
      for (const line of lines) this.noteLog(node, line);
    });
    this.processes.push(child);
  }

  /** What the controllers log of the lock goes into the record, as a help to its reader; no check uses it. */
  noteLog(node, line) {
    try {
      const { msg, time, level, node: _, run, renewals, ...rest } = JSON.parse(line);
      if (/leading|lock lost|following|doubt|answers again|stood still/.test(msg)) this.record.add(`${node.name} logs: ${msg} ${JSON.stringify(rest)}`);
    } catch {
      this.record.add(`${node.name} logs: ${line.slice(0, 200)}`);
    }
  }

  bootWorker(machine) {
    const worker = new Worker(machine, {
      ...{ nodes: this.nodes, workers: WORKERS, type: this.type, jobs: this.jobs, record: this.record.add },
      ...{ runMs: this.runMs, failMs: this.failMs },
      onStart: (on, task) => this.onStart(on, task),
      onEnd: (on, task, cause) => this.onEnd(on, task, cause),
    });
    this.workers.set(machine.id, worker);
    this.record.add(`worker ${machine.id}: up`);
    void worker.start();
  }

  /** Waits until a condition holds; CannotRun when it doesn't in time. */
  async until(what, condition, seconds) {
    for (const end = performance.now() + seconds * 1000; !(await condition()); await sleep(50))
      if (performance.now() > end) throw new CannotRun(`waited ${seconds} s for: ${what}`);
  }

  /** The node that says that it leads; undefined if none does. */
  async leader() {
    for (const node of this.nodes) {
      const answer = await request(node.address, 'GET', '/metrics', undefined, 1000);
      if (answer?.body.leading === true) return node;
    }
    return undefined;
  }

  job(fields) {
    return {
      ...{ duty: 'gemeinde', desk: this.teams[0].name, shape: 'array', urgency: 'standard', shifts: 1, cpus: 1.0 },
      ...{ accelerators: 0.0, mem_gb: 1.0, kit: 'img-01', image_gb: 0.2, breeds: null, yard: null, together: false },
      ...{ spread: false, loaners: false, reckon_s: 60.0, waymark_s: 0.0, stow_s: 0.0, due_s: null },
      ...fields,
    };
  }

  /** A user's submission: retried after a second, as PROTOCOL says, for up to 60 s. True if it was accepted. */
  async submit(job, seconds = 60) {
    this.jobs.set(job.name_id, job);
    const end = performance.now() + seconds * 1000;
    for (let turn = 0; performance.now() < end; turn++) {
      const node = this.nodes[turn % this.nodes.length];
      const answer = await request(node.address, 'POST', '/v1/jobs', job, 5000);
      this.record.add(`user: submit ${job.name_id} to ${node.name} -> ${answer ? `${answer.status} ${JSON.stringify(answer.body)}` : 'no answer'}`);
      if (answer?.status === 200 || answer?.status === 201) return true;
      if (answer?.status === 400 || answer?.status === 422) return false;
      await sleep(1000);
    }
    return false;
  }

  stop() {
    this.stopped = true;
    for (const child of this.processes) child.kill('SIGKILL');
    for (const worker of this.workers.values()) worker.terminate();
    this.cloud?.stop();
    this.state?.stop();
    if (this.directory) rmSync(this.directory, { recursive: true, force: true });
  }
}

/** Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(folder, play) {
  const record = new Record(join(folder, 'record.txt'));
  let deployment = null;
  const limit = setTimeout(() => end(2, 'stopped after 118 s'), 118_000);
  const end = (result, why) => {
    clearTimeout(limit);
    const line = `${['the rule held', 'THE RULE WAS BROKEN', 'the case could not run'][result]}: ${why}`;
    record.add(`result: ${line}`);
    record.write();
    process.stdout.write(`${record.seconds.toFixed(1)} s: ${line}\n`);
    deployment?.stop();
    process.exit(result);
  };
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => end(2, `got ${signal}`));
  process.on('uncaughtException', (error) => end(2, error.stack ?? String(error)));
  process.on('unhandledRejection', (error) => end(2, error?.stack ?? String(error)));
  try {
    const { broken, why } = await play({
      record,
      trouble: process.env.TROUBLE !== '0',
      deploy: async (options) => {
        deployment = new Deployment({ record, ...options });
        await deployment.start();
        return deployment;
      },
    });
    end(broken ? 1 : 0, why);
  } catch (error) {
    end(2, error instanceof CannotRun ? error.message : (error.stack ?? String(error)));
  }
}
