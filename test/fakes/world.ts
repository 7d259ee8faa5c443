import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { deflateSync } from 'node:zlib';
import { Controller } from '../../src/actors/controller.js';
import { defaultPolicy } from '../../src/core/policy.js';
import type { ClusterState } from '../../src/core/state.js';
import type { LogEntry, JobId, JobSpec, MachineType, Term, WallMs } from '../../src/core/types.js';
import type { Logger } from '../../src/io/logger.js';
import type { PeerResponse, PeerRequest, Peers, PeerStatus } from '../../src/io/peers.js';
import { CloudClient } from '../../src/wire/cloud.js';
import { ReportReader } from '../../src/wire/reports.js';
import { readJob, writeRedirect, writeReportAnswer } from '../../src/wire/schemas.js';
import { readSettings, teamsOf, type Settings } from '../../src/wire/settings.js';
import { StateServiceClient } from '../../src/wire/state-service.js';
import { Checker, type JobOnWire } from './checker.js';
import { FakeCloud } from './cloud.js';
import { NodeClock, VirtualTime } from './clock.js';
import { FakeNetwork } from './network.js';
import { FakeStateService } from './state-service.js';
import { FakeWorker, type WorkerEnvironment } from './worker.js';

/** A logger that discards everything. */
export const silent: Logger = { info: () => {}, debug: () => {}, error: () => {}, warn: () => {} };

/** The machine type that most tests rent. */
export const box: MachineType = {
  name: 'box',
  cpus: 8,
  gpus: 0,
  mem: 32,
  cacheGb: 50,
  fetch: 1,
  price: 1,
  spotPrice: 0.4,
  boot: 10,
  zones: ['a', 'b'],
};

const teams = [
  { name: 'red', cpus: 32, cpus_max: 64, gpus: 0, gpus_max: 0 },
  { name: 'blue', cpus: 16, cpus_max: 48, gpus: 0, gpus_max: 0 },
];

/** Settings of the cluster that replace the defaults below. */
export type ClusterOverrides = Partial<
  Record<'zones' | 'teams' | 'state' | 'cloud' | 'machine_limits' | 'workers', unknown>
>;

/** Settings of node `index` of `nodes`. */
export function settingsFor(index: number, nodes = 3, overrides: ClusterOverrides = {}): Settings {
  return readSettings({
    node: `n${index}`,
    area: 'a',
    serve_on: `n${index}:80`,
    back: `n${index}:81`,
    seeds: Array.from({ length: nodes }, (_, other) => ({
      node: `n${other}`,
      area: 'a',
      peer_addr: `n${other}:81`,
    })).filter((seed) => seed.node !== `n${index}`),
    external: { cloud: 'cloud:1', state: 'state:1' },
    cluster: {
      zones: ['a', 'b'],
      teams,
      objectives: [],
      workers: { report_s: 3, lease_s: 16, gang_wait_s: 30, gang_peer_s: 5, cancel_s: 45 },
      state: { rps: 120, write_rps: 50, value_kb: 8, txn_ops: 24 },
      cloud: { rps: 5, list_lag_s: 6 },
      time_bound_ms: 250,
      ...overrides,
    },
  });
}

/** Applies one record with the given entries to a state. */
export const write = (state: ClusterState, entries: LogEntry[], at = 0): void =>
  state.apply(state.nextRecord, { term: 1 as Term, tag: 1, at: at as WallMs, entries });

interface SimulatedNode {
  name: string;
  controller: Controller;
  clock: NodeClock;
  /** Number of times that the process was started. */
  runs: number;
}

/** A whole deployment in virtual time: nodes, state service, cloud, workers and users. */
export class World {
  readonly time = new VirtualTime();
  readonly network: FakeNetwork;
  readonly state: FakeStateService;
  readonly cloud: FakeCloud;
  readonly checker: Checker;
  readonly workers = new Map<string, FakeWorker>();
  readonly nodes: SimulatedNode[] = [];
  /** Run time of a job's tasks. */
  runMs: (job: JobOnWire) => number = (job) => job.reckon_s * 1000;
  /** Factor on the time in which a machine fetches images. */
  fetchTimeFactor: (machine: string) => number = () => 1;
  /** Jobs whose tasks fail on every machine. */
  readonly failingJobs = new Set<string>();
  private readonly rng;
  private nextJobNumber = 1;

  constructor(
    seed: number,
    types: MachineType[] = [box],
    private readonly overrides: ClusterOverrides = {},
  ) {
    this.rng = xoroshiro128plus(seed);
    this.network = new FakeNetwork(this.time, () => this.random());
    const cluster = settingsFor(0, 3, overrides).cluster;
    this.state = new FakeStateService(this.time, cluster.state);
    this.checker = new Checker(
      () => this.time.now,
      teamsOf(settingsFor(0, 3, overrides)),
      types,
      cluster.workers.cancel_s * 1000,
    );
    const environment: WorkerEnvironment = {
      time: this.time,
      random: () => this.random(),
      checker: this.checker,
      nodes: [0, 1, 2].map((i) => ({ name: `n${i}`, address: `n${i}:80` })),
      type: (name) => types.find((type) => type.name === name)!,
      runMs: (job) => this.runMs(job),
      workers: this.workers,
      settings: cluster.workers,
      failing: this.failingJobs,
    };
    this.cloud = new FakeCloud(
      this.time,
      () => this.random(),
      types,
      cluster.cloud.list_lag_s * 1000,
      (machine) => {
        const addr = `${machine.id}:9000`;
        const worker = new FakeWorker(
          { ...machine },
          addr,
          this.network.caller(machine.id, () => true),
          environment,
        );
        worker.fetchTimeFactor = this.fetchTimeFactor(machine.id);
        this.workers.set(machine.id, worker);
        this.network.listen(addr, (_method, path, body) => worker.handle(path, body));
        return worker;
      },
      (id) => this.workers.get(id),
    );
    this.network.listen('cloud:1', (method, path, body) => this.cloud.handle(method, path, body));
    for (let i = 0; i < 3; i++) {
      this.nodes.push({ name: `n${i}`, controller: null as never, clock: null as never, runs: 0 });
      this.startNode(i);
    }
  }

  /** A number from 0 to below 1, determined by the seed. */
  random(): number {
    return uniformInt(this.rng, 0, 999_999) / 1_000_000;
  }

  /** Starts a node's process. A previous process of the node must have crashed. */
  startNode(index: number): void {
    const node = this.nodes[index]!;
    const name = node.name;
    const run = `${name}-${++node.runs}`;
    const clock = new NodeClock(this.time, 1 + (this.random() - 0.5) * 0.001, (this.random() - 0.5) * 500);
    node.clock = clock;
    const call = this.network.caller(name, () => !clock.dead);
    // An address for each node, so that the state service knows the caller and may refuse a single node.
    const address = `state-for-${name}:1`;
    this.network.listen(address, (method, path, body) => this.state.handle(name, method, path, body));
    const rng = xoroshiro128plus(node.runs * 10 + index);
    const controller = new Controller(
      {
        clock,
        store: new StateServiceClient(
          (_address, method, path, body, timeoutMs) => call(address, method, path, body, timeoutMs),
          address,
        ),
        cloud: new CloudClient(call, 'cloud:1'),
        call,
        random: { intBelow: (bound) => uniformInt(rng, 0, bound - 1) },
        logger: silent,
        settings: settingsFor(index, 3, this.overrides),
        policy: defaultPolicy,
        measure: () => {},
        deflate: (text) => Promise.resolve(deflateSync(text)),
      },
      run,
    );
    node.controller = controller;
    // A reader for each worker, as each has its own connection.
    const readers = new Map<string, ReportReader>();
    this.network.listen(`${name}:80`, (_method, path, body) => {
      if (path !== '/hello') return { status: 404, body: {} };
      const machine = (body as { mount: string }).mount;
      const reader = readers.get(machine) ?? new ReportReader();
      readers.set(machine, reader);
      const report = reader.read(JSON.stringify(body))!;
      return new Promise((resolve) =>
        controller.handleReport(report, (outcome) =>
          resolve(
            outcome.kind === 'commands'
              ? { status: 200, body: writeReportAnswer(outcome.term, outcome.fence, outcome.commands) }
              : { status: 421, body: writeRedirect(outcome.leader) },
          ),
        ),
      );
    });
    this.network.listen(`${name}:81`, (_method, path, body) => {
      if (path === '/status') {
        controller.handlePeerStatus(body as PeerStatus);
        return { status: 200, body: controller.status() };
      }
      return controller.requests
        .answerPeer(body as PeerRequest)
        .then((answer) => ({ status: 200, body: answer }));
    });
    /** The latest status of each peer, and when it came. */
    const peerStatuses = new Map<string, { status: PeerStatus; at: number }>();
    const isConnected = (peer: string): boolean =>
      this.time.now - (peerStatuses.get(peer)?.at ?? -Infinity) < 1500;
    const peers: Peers = {
      ask: async (to, request) =>
        !isConnected(to)
          ? null
          : (((await call(`${to}:81`, 'POST', '/ask', request, 1500))?.body as PeerResponse | undefined) ??
            null),
      isConnected,
      statuses: () =>
        [...peerStatuses.values()].map((known) => ({
          status: known.status,
          ageMs: this.time.now - known.at,
        })),
    };
    const exchangeStatuses = (): void => {
      clock.after(500, exchangeStatuses);
      for (const peer of this.nodes) {
        if (peer.name === name) continue;
        const askedAt = clock.steady();
        void call(`${peer.name}:81`, 'POST', '/status', controller.status(), 1000).then((answer) => {
          if (!answer) return;
          const status = answer.body as PeerStatus;
          peerStatuses.set(status.node, { status: status, at: this.time.now });
          controller.handlePeerStatus(status, askedAt);
        });
      }
    };
    clock.after(50, exchangeStatuses);
    void controller.start(peers);
  }

  /** Ends a node's process and restarts it after a while. */
  crash(index: number, restartAfterMs: number): void {
    const node = this.nodes[index]!;
    node.clock.dead = true;
    this.network.close(`${node.name}:80`);
    this.network.close(`${node.name}:81`);
    this.time.after(restartAfterMs, () => this.startNode(index));
  }

  /** Pauses a node's process while its clocks run on. */
  freeze(index: number, ms: number): void {
    this.nodes[index]!.clock.frozenUntil = this.time.now + ms;
    this.network.freeze(`n${index}`, ms);
  }

  /** Hangs a machine: its worker is paused, and what arrives meanwhile waits. */
  hang(id: string, ms: number): void {
    this.network.freeze(id, ms);
    this.workers.get(id)?.hang(ms);
  }

  /** Index of the node that leads; -1: none. */
  leader(): number {
    return this.nodes.findIndex((node) => !node.clock.dead && node.controller.status().leading);
  }

  /** Runs until a node leads, and two seconds more. */
  async started(): Promise<void> {
    await this.time.runUntil(() => this.leader() >= 0, 10_000);
    await this.time.run(2000);
  }

  /** A job with a new name, an array of four tasks unless stated otherwise. */
  job(over: Partial<JobOnWire> = {}): JobOnWire {
    return {
      name_id: `wk-${String(this.nextJobNumber++).padStart(6, '0')}`,
      duty: 'any',
      desk: 'red',
      shape: 'array',
      urgency: 'standard',
      shifts: 4,
      cpus: 2,
      accelerators: 0,
      mem_gb: 2,
      kit: 'img',
      image_gb: 1,
      breeds: null,
      yard: null,
      together: false,
      spread: false,
      loaners: true,
      reckon_s: 10,
      waymark_s: 0,
      stow_s: 0,
      due_s: null,
      ...over,
    };
  }

  /** Sends one request of a user to a node, by default a random one, and shows the answer to the checker. */
  async ask(
    kind: 'submit' | 'show' | 'withdraw',
    id: string,
    job?: JobOnWire,
    index = Math.floor(this.random() * 3),
  ): Promise<{ status: number; standing?: string; retryAfter?: number }> {
    const node = this.nodes[index]!;
    if (node.clock.dead) return { status: 0 };
    const controller = node.controller;
    let spec: JobSpec | undefined;
    if (job) {
      const parsed = readJob(job);
      if ('error' in parsed) return { status: 400 };
      spec = parsed.spec;
    }
    if (kind === 'withdraw') this.checker.cancellationRequested(id);
    const answered = controller.requests.answer({ kind, job: id as JobId, spec }).then((response) => ({
      status: response.status,
      standing: (response.body as { standing?: string }).standing,
      retryAfter: response.retryAfter,
    }));
    void answered.then(() => this.repeatRequest(kind, id, spec, node));
    const timedOut = new Promise<{ status: number; standing?: string; retryAfter?: number }>((resolve) =>
      this.time.after(5000, () => resolve({ status: 0 })),
    );
    const answer = await Promise.race([answered, timedOut]);
    if (!node.clock.dead && node.controller === controller)
      this.checker.answer(kind, id, answer.status, answer.standing);
    return answer;
  }

  /** When copies of a user's request that was answered reach its node again, in milliseconds. */
  userCopyDelaysMs: (kind: 'submit' | 'show' | 'withdraw') => readonly number[] = () => [];

  /** Delivers the late copies of a user's request; nobody waits for their answers. */
  private repeatRequest(
    kind: 'submit' | 'show' | 'withdraw',
    id: string,
    spec: JobSpec | undefined,
    node: SimulatedNode,
  ): void {
    for (const ms of this.userCopyDelaysMs(kind))
      this.time.after(ms, () => {
        if (!node.clock.dead) void node.controller.requests.answer({ kind, job: id as JobId, spec });
      });
  }

  /**
   * A user who submits a job until it is accepted, then polls or, after `cancelAfterMs`, cancels until it is
   * over.
   */
  user(job: JobOnWire, cancelAfterMs: number | null = null): void {
    this.checker.submitted(job);
    const id = job.name_id;
    let accepted = false;
    let isCancelling = false;
    let isOver = false;
    const submit = async (): Promise<void> => {
      const answer = await this.ask('submit', id, job);
      if (answer.status === 200 || answer.status === 201) accepted = true;
      else this.time.after(1000, () => void submit());
    };
    const poll = async (): Promise<void> => {
      if (isOver) return;
      if (accepted) {
        const answer = await this.ask(isCancelling ? 'withdraw' : 'show', id);
        if (answer.standing === 'done' || answer.standing === 'aborted') isOver = true;
      }
      this.time.after(isCancelling ? 1000 : 3000, () => void poll());
    };
    if (cancelAfterMs !== null) this.time.after(cancelAfterMs, () => (isCancelling = true));
    void submit();
    void poll();
  }

  /** Whether at least one job was accepted and the users know of every accepted job that it is over. */
  allJobsFinished(): boolean {
    const ids = this.checker.accepted();
    return ids.length > 0 && ids.every((id) => ['done', 'aborted'].includes(this.checker.standing(id)!));
  }
}
