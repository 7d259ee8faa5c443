import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { deflateSync } from 'node:zlib';
import { Controller } from '../../src/actors/controller.js';
import { defaultPolicy } from '../../src/core/policy.js';
import type { ClusterState } from '../../src/core/state.js';
import type { LogEntry, JobId, MachineType, Term, WallMs } from '../../src/core/types.js';
import type { Logger } from '../../src/io/logger.js';
import type { PeerResponse, PeerRequest, Peers, PeerStatus } from '../../src/io/peers.js';
import { CloudClient } from '../../src/wire/cloud.js';
import { ReportReader } from '../../src/wire/reports.js';
import { readJob, writeRedirect, writeReportAnswer } from '../../src/wire/schemas.js';
import { readSettings, teamsOf, type Settings } from '../../src/wire/settings.js';
import { StateServiceClient } from '../../src/wire/store.js';
import { Checker, type JobOnWire } from './checker.js';
import { FakeCloud } from './cloud.js';
import { NodeClock, VirtualTime } from './clock.js';
import { FakeNetwork } from './network.js';
import { FakeStateService } from './state-service.js';
import { FakeWorker, type WorkerEnvironment } from './worker.js';

export const silent: Logger = { info: () => {}, debug: () => {}, error: () => {}, warn: () => {} };

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

/** What a site sets in place of the small one's settings. */
export type Site = Partial<Record<'teams' | 'state' | 'cloud' | 'machine_limits' | 'workers', unknown>>;

export function settingsFor(i: number, n = 3, site: Site = {}): Settings {
  return readSettings({
    node: `n${i}`,
    area: 'a',
    serve_on: `n${i}:80`,
    back: `n${i}:81`,
    seeds: Array.from({ length: n }, (_, j) => ({ node: `n${j}`, area: 'a', peer_addr: `n${j}:81` })).filter(
      (p) => p.node !== `n${i}`,
    ),
    external: { cloud: 'cloud:1', state: 'state:1' },
    cluster: {
      zones: ['a', 'b'],
      teams,
      objectives: [],
      workers: { report_s: 3, lease_s: 16, gang_wait_s: 30, gang_peer_s: 5, cancel_s: 45 },
      state: { rps: 120, write_rps: 50, value_kb: 8, txn_ops: 24 },
      cloud: { rps: 5, list_lag_s: 6 },
      time_bound_ms: 250,
      ...site,
    },
  });
}

/** Entries of one record, applied. */
export const write = (state: ClusterState, entries: LogEntry[], at = 0): void =>
  state.apply(state.nextRecord, { term: 1 as Term, tag: 1, at: at as WallMs, entries });

interface NodeHere {
  name: string;
  controller: Controller;
  clock: NodeClock;
  runs: number;
}

/** A whole deployment on virtual time: nodes, state service, cloud, workers and users. */
export class World {
  readonly time = new VirtualTime();
  readonly network: FakeNetwork;
  readonly state: FakeStateService;
  readonly cloud: FakeCloud;
  readonly checker: Checker;
  readonly workers = new Map<string, FakeWorker>();
  readonly nodes: NodeHere[] = [];
  /** What each job's tasks take, by the job's name. */
  runMs: (j: JobOnWire) => number = (j) => j.reckon_s * 1000;
  /** How many times as long as usual a machine fetches images. */
  fetchTimeFactor: (machine: string) => number = () => 1;
  /** Jobs submitted with a mistake: their tasks fail on every machine. */
  readonly failingJobs = new Set<string>();
  private readonly rng;
  private ids = 1;

  constructor(
    seed: number,
    types: MachineType[] = [box],
    private readonly site: Site = {},
  ) {
    this.rng = xoroshiro128plus(seed);
    this.network = new FakeNetwork(this.time, () => this.random());
    const s = settingsFor(0, 3, site).cluster;
    this.state = new FakeStateService(this.time, s.state);
    this.checker = new Checker(
      () => this.time.now,
      teamsOf(settingsFor(0, 3, site)),
      types,
      s.workers.cancel_s * 1000,
    );
    const ww: WorkerEnvironment = {
      time: this.time,
      random: () => this.random(),
      checker: this.checker,
      nodes: [0, 1, 2].map((i) => ({ name: `n${i}`, address: `n${i}:80` })),
      type: (n) => types.find((t) => t.name === n)!,
      runMs: (j) => this.runMs(j),
      workers: this.workers,
      settings: s.workers,
      failing: this.failingJobs,
    };
    this.cloud = new FakeCloud(
      this.time,
      () => this.random(),
      types,
      s.cloud.list_lag_s * 1000,
      (p) => {
        const addr = `${p.id}:9000`;
        const w = new FakeWorker(
          { ...p },
          addr,
          this.network.caller(p.id, () => true),
          ww,
        );
        w.fetchTimeFactor = this.fetchTimeFactor(p.id);
        this.workers.set(p.id, w);
        this.network.listen(addr, (_m, path, body) => w.handle(path, body));
        return w;
      },
      (id) => this.workers.get(id),
    );
    this.network.listen('cloud:1', (m, p, b) => this.cloud.handle(m, p, b));
    for (let i = 0; i < 3; i++) {
      this.nodes.push({ name: `n${i}`, controller: null as never, clock: null as never, runs: 0 });
      this.startNode(i);
    }
  }

  random(): number {
    return uniformInt(this.rng, 0, 999_999) / 1_000_000;
  }

  /** Starts a node's process; a former run of it must have been crashed. */
  startNode(i: number): void {
    const here = this.nodes[i]!;
    const name = here.name;
    const run = `${name}-${++here.runs}`;
    const clock = new NodeClock(this.time, 1 + (this.random() - 0.5) * 0.001, (this.random() - 0.5) * 500);
    here.clock = clock;
    const call = this.network.caller(name, () => !clock.dead);
    // The state service sees who asks: a single node may be refused.
    const address = `state-for-${name}:1`;
    this.network.listen(address, (m, p, b) => this.state.handle(name, m, p, b));
    const rng = xoroshiro128plus(here.runs * 10 + i);
    const controller = new Controller(
      {
        clock,
        store: new StateServiceClient((_a, m, p, b, t) => call(address, m, p, b, t), address),
        cloud: new CloudClient(call, 'cloud:1'),
        call,
        random: { intBelow: (n) => uniformInt(rng, 0, n - 1) },
        logger: silent,
        settings: settingsFor(i, 3, this.site),
        policy: defaultPolicy,
        measure: () => {},
        deflate: (text) => Promise.resolve(deflateSync(text)),
      },
      run,
    );
    here.controller = controller;
    // A connection of its own for each worker, as on the wire.
    const readers = new Map<string, ReportReader>();
    this.network.listen(`${name}:80`, (_m, path, body) => {
      if (path !== '/hello') return { status: 404, body: {} };
      const machine = (body as { mount: string }).mount;
      const reader = readers.get(machine) ?? new ReportReader();
      readers.set(machine, reader);
      const r = reader.read(JSON.stringify(body))!;
      return new Promise((ok) =>
        controller.handleReport(r, (h) =>
          ok(
            h.kind === 'commands'
              ? { status: 200, body: writeReportAnswer(h.term, h.fence, h.commands) }
              : { status: 421, body: writeRedirect(h.leader) },
          ),
        ),
      );
    });
    this.network.listen(`${name}:81`, (_m, path, body) => {
      if (path === '/status') {
        controller.handlePeerStatus(body as PeerStatus);
        return { status: 200, body: controller.status() };
      }
      return controller.requests.answerPeer(body as PeerRequest).then((a) => ({ status: 200, body: a }));
    });
    const known = new Map<string, { status: PeerStatus; at: number }>();
    const isConnected = (node: string): boolean => this.time.now - (known.get(node)?.at ?? -Infinity) < 1500;
    const peers: Peers = {
      ask: async (node, ask) =>
        !isConnected(node)
          ? null
          : (((await call(`${node}:81`, 'POST', '/ask', ask, 1500))?.body as PeerResponse | undefined) ??
            null),
      isConnected,
      statuses: () => [...known.values()].map((k) => ({ status: k.status, ageMs: this.time.now - k.at })),
    };
    const gossip = (): void => {
      clock.after(500, gossip);
      for (const p of this.nodes) {
        if (p.name === name) continue;
        const asked = clock.steady();
        void call(`${p.name}:81`, 'POST', '/status', controller.status(), 1000).then((a) => {
          if (!a) return;
          const s = a.body as PeerStatus;
          known.set(s.node, { status: s, at: this.time.now });
          controller.handlePeerStatus(s, asked);
        });
      }
    };
    clock.after(50, gossip);
    void controller.start(peers);
  }

  /** Ends a node's process; it comes back after a while. */
  crash(i: number, backMs: number): void {
    const here = this.nodes[i]!;
    here.clock.dead = true;
    this.network.close(`${here.name}:80`);
    this.network.close(`${here.name}:81`);
    this.time.after(backMs, () => this.startNode(i));
  }

  /** A node's process stands still while its clocks run on. */
  freeze(i: number, ms: number): void {
    this.nodes[i]!.clock.frozenUntil = this.time.now + ms;
    this.network.freeze(`n${i}`, ms);
  }

  /** A machine hangs, and its host with it. */
  hang(id: string, ms: number): void {
    this.network.freeze(id, ms);
    this.workers.get(id)?.hang(ms);
  }

  leader(): number {
    return this.nodes.findIndex((n) => !n.clock.dead && n.controller.status().leading);
  }

  async started(): Promise<void> {
    await this.time.runUntil(() => this.leader() >= 0, 10_000);
    await this.time.run(2000);
  }

  job(over: Partial<JobOnWire> = {}): JobOnWire {
    return {
      name_id: `wk-${String(this.ids++).padStart(6, '0')}`,
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

  /** One request of a user at some node; the checker sees the answer. */
  async ask(
    kind: 'submit' | 'show' | 'withdraw',
    id: string,
    job?: JobOnWire,
    at = Math.floor(this.random() * 3),
  ): Promise<{ status: number; standing?: string; retryAfter?: number }> {
    const n = this.nodes[at]!;
    if (n.clock.dead) return { status: 0 };
    const c = n.controller;
    let spec;
    if (job) {
      const r = readJob(job);
      if ('error' in r) return { status: 400 };
      spec = r.spec;
    }
    if (kind === 'withdraw') this.checker.cancellationRequested(id);
    const answer = c.requests.answer({ kind, job: id as JobId, spec }).then((r) => ({
      status: r.status,
      standing: (r.body as { standing?: string }).standing,
      retryAfter: r.retryAfter,
    }));
    const none = new Promise<{ status: number; standing?: string; retryAfter?: number }>((ok) =>
      this.time.after(5000, () => ok({ status: 0 })),
    );
    const r = await Promise.race([answer, none]);
    if (!n.clock.dead && n.controller === c) this.checker.answer(kind, id, r.status, r.standing);
    return r;
  }

  /** A user who does not give up: submits, polls until the end, and may cancel. */
  user(job: JobOnWire, cancelAfterMs: number | null = null): void {
    this.checker.submitted(job);
    const id = job.name_id;
    let accepted = false;
    let cancel = false;
    let over = false;
    const submit = async (): Promise<void> => {
      const r = await this.ask('submit', id, job);
      if (r.status === 200 || r.status === 201) accepted = true;
      else this.time.after(1000, () => void submit());
    };
    const poll = async (): Promise<void> => {
      if (over) return;
      if (accepted) {
        const r = await this.ask(cancel ? 'withdraw' : 'show', id);
        if (r.standing === 'done' || r.standing === 'aborted') over = true;
      }
      this.time.after(cancel ? 1000 : 3000, () => void poll());
    };
    if (cancelAfterMs !== null) this.time.after(cancelAfterMs, () => (cancel = true));
    void submit();
    void poll();
  }

  allJobsFinished(): boolean {
    const ids = this.checker.accepted();
    return ids.length > 0 && ids.every((i) => ['done', 'aborted'].includes(this.checker.standing(i)!));
  }
}
