/**
 * State service, cloud and workers of a whole deployment: the fakes of the tests in real time, behind sockets
 * on loopback, so that unmodified controllers can be measured against them.
 */
import http from 'node:http';
import { createHttpCall, type HttpResponse } from '../../src/io/http-client.js';
import type { MachineType } from '../../src/core/types.js';
import { readSettings, teamsOf, type Settings } from '../../src/wire/settings.js';
import { Checker } from '../../test/fakes/checker.js';
import { VirtualTime } from '../../test/fakes/clock.js';
import { FakeCloud } from '../../test/fakes/cloud.js';
import { FakeStateService } from '../../test/fakes/state-service.js';
import { FakeWorker } from '../../test/fakes/worker.js';

const STATE_ADDRESS = '127.0.0.2:2379';
const CLOUD_ADDRESS = '127.0.0.3:8443';
const WORKER_PORT = 9000;
/** Interval at which the simulated time is advanced to the real time. */
const STEP_MS = 5;
/** Indexes of the controllers. */
export const NODES: readonly number[] = [0, 1, 2];

/** Size of the deployment that is measured. */
export interface DeploymentSize {
  machines: number;
  reportSeconds: number;
}

const machineType: MachineType = {
  name: 'box',
  cpus: 16,
  gpus: 0,
  mem: 128,
  cacheGb: 35,
  fetch: 0.5,
  price: 0.76,
  spotPrice: 0.2,
  boot: 3,
  zones: ['a'],
};

/** Address on which a controller serves users and workers. */
export const nodeAddress = (index: number): string => `127.0.1.${index + 1}:8080`;

/** The settings file of one node. */
export function settingsOf(index: number, size: DeploymentSize): object {
  const others = NODES.filter((other) => other !== index);
  const cpus = size.machines * machineType.cpus;
  return {
    node: `node-${index}`,
    area: 'a',
    serve_on: nodeAddress(index),
    back: `127.0.1.${index + 1}:8081`,
    seeds: others.map((other) => ({
      node: `node-${other}`,
      area: 'a',
      peer_addr: `127.0.1.${other + 1}:8081`,
    })),
    external: { cloud: CLOUD_ADDRESS, state: STATE_ADDRESS },
    cluster: {
      zones: ['a'],
      teams: [
        { name: 'red', cpus: cpus / 2, cpus_max: cpus },
        { name: 'blue', cpus: cpus / 4, cpus_max: cpus / 2 },
      ],
      workers: { report_s: size.reportSeconds, lease_s: 16, gang_wait_s: 30, gang_peer_s: 5, cancel_s: 46 },
      state: { rps: 150, write_rps: 60, value_kb: 8, txn_ops: 48 },
      cloud: { rps: 10, list_lag_s: 6 },
      machine_limits: { sockets: 2500 },
    },
  };
}

/** Answers a request to the local address `host`; null closes the connection without an answer. */
type Handler = (
  method: string,
  path: string,
  body: unknown,
  host: string,
) => HttpResponse | null | Promise<HttpResponse | null>;

function listen(address: string, handle: Handler): http.Server {
  const [host, port] = address.split(':');
  const server = http.createServer({ keepAliveTimeout: 120_000, noDelay: true }, (request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const text = Buffer.concat(chunks).toString();
      const body: unknown = text ? JSON.parse(text) : undefined;
      void Promise.resolve(handle(request.method!, request.url!, body, request.socket.localAddress!)).then(
        (answer) => {
          if (!answer) return request.socket.destroy();
          const json = JSON.stringify(answer.body);
          response.writeHead(answer.status, { 'Content-Length': Buffer.byteLength(json) });
          response.end(json);
        },
      );
    });
  });
  server.listen(Number(port), host, 4096);
  return server;
}

/** The services and workers around the controllers. `run` advances their time with the real time. */
export class StandIns {
  readonly time = new VirtualTime();
  readonly checker: Checker;
  readonly workers = new Map<string, FakeWorker>();
  private readonly state: FakeStateService;
  private readonly cloud: FakeCloud;
  private readonly servers: http.Server[] = [];
  private readonly workersByHost = new Map<string, FakeWorker>();
  private readonly startedAt = performance.now();
  private stopped = false;

  private readonly workerSettings: Settings['cluster']['workers'];

  constructor(size: DeploymentSize) {
    const settings: Settings = readSettings(settingsOf(0, size));
    const { state, workers, cloud } = settings.cluster;
    this.workerSettings = workers;
    this.state = new FakeStateService(this.time, state);
    this.checker = new Checker(
      () => this.time.now,
      teamsOf(settings),
      [machineType],
      workers.cancel_s * 1000,
    );
    this.cloud = new FakeCloud(
      this.time,
      Math.random,
      [machineType],
      cloud.list_lag_s * 1000,
      (place) => this.bootWorker(place),
      (id) => this.workers.get(id),
    );
    this.cloud.capacity.set('box|a|false', size.machines);
    this.cloud.capacity.set('box|a|true', 0);
    this.servers.push(
      listen(STATE_ADDRESS, (method, path, body, host) => this.state.handle(host, method, path, body)),
      listen(CLOUD_ADDRESS, (method, path, body) => this.cloud.handle(method, path, body)),
      listen(
        `0.0.0.0:${WORKER_PORT}`,
        (_method, path, body, host) => this.workersByHost.get(host)?.handle(path, body) ?? null,
      ),
    );
    void this.run();
  }

  private bootWorker(place: ConstructorParameters<typeof FakeWorker>[0]): FakeWorker {
    const number = Number(place.id.replace(/\D/g, ''));
    const host = `127.9.${Math.floor(number / 250)}.${(number % 250) + 1}`;
    const worker = new FakeWorker({ ...place }, `${host}:${WORKER_PORT}`, createHttpCall(), {
      time: this.time,
      random: Math.random,
      checker: this.checker,
      nodes: NODES.map((index) => ({ name: `node-${index}`, address: nodeAddress(index) })),
      type: () => machineType,
      runMs: (job) => job.reckon_s * 1000 * (0.5 + Math.random()),
      failing: new Set(),
      workers: this.workers,
      settings: this.workerSettings,
    });
    this.workersByHost.set(host, worker);
    this.workers.set(place.id, worker);
    return worker;
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      await this.time.run(performance.now() - this.startedAt - this.time.now);
      await new Promise((done) => setTimeout(done, STEP_MS));
    }
  }

  /** CPUs in use by tasks, whether they run or still fetch their image. */
  cpusHeld(): number {
    let cpus = 0;
    for (const worker of this.workers.values()) cpus += machineType.cpus - worker.freeResources.cpus;
    return cpus;
  }

  stop(): void {
    this.stopped = true;
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }
}
