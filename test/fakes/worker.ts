import type { HttpResponse, HttpCall } from '../../src/io/http-client.js';
import type { MachineType } from '../../src/core/types.js';
import type { Checker, JobOnWire, MachineInfo } from './checker.js';
import type { VirtualTime } from './clock.js';

export interface WorkerTask {
  job: JobOnWire;
  task: number;
  attempt: number;
  standing: 'fetching' | 'waiting' | 'running' | 'flushing' | 'ended';
  cause?: string;
  stored?: boolean;
  version: number;
}

/** A lease is not looked at more often. */
const LEASE_CHECK_MS = 100;

interface Order {
  verb: string;
  shift: string;
  try: number;
  leeway_s?: number;
}

export interface WorkerEnvironment {
  time: VirtualTime;
  random: () => number;
  checker: Checker;
  nodes: { name: string; address: string }[];
  type: (name: string) => MachineType;
  runMs: (j: JobOnWire) => number;
  failing: Set<string>;
  workers: Map<string, FakeWorker>;
  settings: { report_s: number; lease_s: number; gang_wait_s: number; gang_peer_s: number };
}

/** One machine's worker: tokens, sessions, lease, images, arrays and gangs. */
export class FakeWorker {
  session = 1;
  /** The highest seen. */
  highestFence = 0;
  tasks = new Map<string, WorkerTask>();
  alive = true;
  failsTasks = false;
  fetchTimeFactor = 1;
  reclaimNoticeS: number | null = null;
  private seq = 0;
  private began: number;
  private lastAnswered: number | null = null;
  private node: number;
  private inFlight = false;
  private lastReport = -Infinity;
  private dirty = false;
  private timer: (() => void) | null = null;
  private readonly images = new Set<string>();

  constructor(
    readonly place: MachineInfo,
    readonly addr: string,
    private readonly call: HttpCall,
    private readonly w: WorkerEnvironment,
  ) {
    this.began = w.time.now;
    this.node = Math.floor(w.random() * w.nodes.length);
    this.schedule(10);
    this.leaseWatch();
  }

  terminate(): void {
    this.alive = false;
    for (const t of this.tasks.values()) this.leave(t, false);
    this.tasks.clear();
    this.w.workers.delete(this.place.id);
  }

  /** The machine stands still: nothing runs, and what was on it goes on afterwards, if its lease lasts. */
  hang(ms: number): void {
    this.hungUntil = this.w.time.now + ms;
    this.w.time.after(ms, () => this.checkLease());
  }
  private hungUntil = 0;

  /** Runs at once, or when the machine goes on. */
  private awake(run: () => void): void {
    if (this.hungUntil > this.w.time.now)
      this.w.time.after(this.hungUntil - this.w.time.now, () => this.awake(run));
    else run();
  }

  private checkLease(): void {
    if (this.alive && this.w.time.now - (this.lastAnswered ?? this.began) > this.w.settings.lease_s * 1000)
      this.startNewSession();
  }

  /** Looks when the lease would be over, and again when it was renewed meanwhile. */
  private leaseWatch(): void {
    const left = (this.lastAnswered ?? this.began) + this.w.settings.lease_s * 1000 - this.w.time.now;
    this.w.time.after(Math.max(LEASE_CHECK_MS, left + 1), () =>
      this.awake(() => {
        this.checkLease();
        if (this.alive) this.leaseWatch();
      }),
    );
  }

  /** The lease is over, or the machine is back after a restart. */
  startNewSession(): void {
    for (const t of this.tasks.values()) this.leave(t, false);
    this.tasks.clear();
    this.session++;
    this.began = this.w.time.now;
    this.lastAnswered = null;
    this.changed();
  }

  private schedule(ms: number): void {
    this.timer?.();
    this.timer = this.w.time.after(ms, () => this.awake(() => void this.report()));
  }

  private changed(): void {
    this.dirty = true;
    if (!this.inFlight) this.schedule(Math.max(5, this.lastReport + 500 - this.w.time.now));
  }

  reportBody(): object {
    return {
      mount: this.place.id,
      addr: this.addr,
      breed: this.place.type,
      yard: this.place.zone,
      loaners: this.place.spot,
      stint: this.session,
      tally: ++this.seq,
      warrant: this.highestFence,
      recall_s: this.reclaimNoticeS,
      shifts: [...this.tasks.values()].map((t) => ({
        shift: `${t.job.name_id}/${t.task}`,
        try: t.attempt,
        standing: t.standing,
        cause: t.cause,
        stored: t.stored,
      })),
    };
  }

  private async report(): Promise<void> {
    if (!this.alive || this.inFlight) return;
    this.inFlight = true;
    this.dirty = false;
    const { time, nodes, settings, random } = this.w;
    const sent = (this.lastReport = time.now);
    const session = this.session;
    const to = nodes[this.node]!;
    const a = await this.call(to.address, 'POST', '/hello', this.reportBody(), 4000);
    this.inFlight = false;
    if (!this.alive) return;
    let next = settings.report_s * 1000 * (0.75 + random() * 0.5);
    if (a?.status === 200) {
      const b = a.body as { warrant?: number; orders?: Order[] };
      if (b.warrant !== undefined && b.warrant >= this.highestFence && session === this.session) {
        this.highestFence = b.warrant;
        this.lastAnswered = sent;
        this.execute(b.orders ?? []);
      }
    } else {
      const steward = a?.status === 421 ? (a.body as { steward?: string } | undefined)?.steward : undefined;
      const i = nodes.findIndex((n) => n.name === steward);
      if (i >= 0 && i !== this.node) {
        this.node = i;
        next = random() * 500;
      } else {
        this.node = (this.node + 1) % nodes.length;
        next = 1000;
      }
    }
    if (this.dirty) next = Math.min(next, Math.max(5, this.lastReport + 500 - time.now));
    this.schedule(next);
  }

  handle(path: string, body: unknown): HttpResponse | null {
    if (!this.alive) return null;
    if (path === '/show') return { status: 200, body: this.reportBody() };
    const b = body as { warrant?: number; stint?: number; orders?: Order[] };
    if (b.warrant === undefined || b.stint === undefined) return { status: 400, body: {} };
    if (b.warrant < this.highestFence || b.stint !== this.session)
      return { status: 409, body: this.reportBody() };
    this.highestFence = b.warrant;
    this.execute(b.orders ?? []);
    return { status: 200, body: this.reportBody() };
  }

  private execute(orders: Order[]): void {
    for (const o of orders) {
      const key = `${o.shift}#${o.try}`;
      const t = this.tasks.get(key);
      if (o.verb === 'launch') {
        if (!t) this.launch(o);
      } else if (o.verb === 'clear') {
        if (t?.standing === 'ended') this.tasks.delete(key);
      } else if (t && t.standing !== 'ended') this.halt(t, o.leeway_s ?? 0);
    }
  }

  private launch(o: Order): void {
    const cut = o.shift.lastIndexOf('/');
    const job = this.w.checker.job(o.shift.slice(0, cut));
    if (!job) throw new Error(`launch of ${o.shift}, which nobody submitted`);
    const t: WorkerTask = {
      job,
      task: Number(o.shift.slice(cut + 1)),
      attempt: o.try,
      standing: 'fetching',
      version: 0,
    };
    const live = [...this.tasks.values()].filter((x) => x.standing !== 'ended');
    this.tasks.set(`${o.shift}#${o.try}`, t);
    const type = this.w.type(this.place.type);
    if (live.some((x) => x.job === job && x.task === t.task)) return this.exit(t, 'in_use');
    const cpus = live.reduce((a, x) => a + x.job.cpus, job.cpus);
    const mem = live.reduce((a, x) => a + x.job.mem_gb, job.mem_gb);
    if (cpus > type.cpus + 1e-6 || mem > type.mem + 1e-6) return this.exit(t, 'full');
    this.changed();
    this.later(
      t,
      this.images.has(job.kit) ? 5 : (job.image_gb / type.fetch) * 1000 * this.fetchTimeFactor,
      () => {
        this.images.add(job.kit);
        this.w.checker.start(job.name_id, t.task, this.place);
        if (this.failsTasks || this.w.failing.has(job.name_id))
          return this.later(t, 1000, () => this.exit(t, 'error', true));
        if (job.shape === 'ensemble') {
          t.standing = 'waiting';
          this.changed();
          this.later(t, this.w.settings.gang_wait_s * 1000, () => this.exit(t, 'incomplete', true));
          this.gangMayStart(t);
        } else this.run(t);
      },
    );
  }

  private later(t: WorkerTask, ms: number, run: () => void): void {
    const v = t.version;
    const due = (): void => {
      if (this.alive && t.version === v && this.tasks.get(`${t.job.name_id}/${t.task}#${t.attempt}`) === t)
        run();
    };
    this.w.time.after(ms, () => this.awake(due));
  }

  private peers(t: WorkerTask): { t: WorkerTask; on: FakeWorker }[] {
    const out: { t: WorkerTask; on: FakeWorker }[] = [];
    for (const on of this.w.workers.values())
      for (const x of on.tasks.values())
        if (x.job === t.job && x.attempt === t.attempt && x.standing !== 'ended') out.push({ t: x, on });
    return out;
  }

  private gangMayStart(t: WorkerTask): void {
    const all = this.peers(t).filter((x) => x.t.standing === 'waiting');
    if (all.length < t.job.shifts) return;
    const ms = this.w.runMs(t.job);
    for (const x of all) x.on.run(x.t, ms);
  }

  private run(t: WorkerTask, ms = this.w.runMs(t.job)): void {
    t.version++;
    t.standing = 'running';
    this.changed();
    this.later(t, ms, () => {
      if (t.job.shape === 'ensemble') for (const p of this.peers(t)) p.on.exit(p.t, 'done', true);
      else this.exit(t, 'done', true);
    });
  }

  private halt(t: WorkerTask, leeway: number): void {
    if (t.standing === 'flushing') {
      if (leeway === 0) this.exit(t, 'stopped', true);
      return;
    }
    if (t.standing === 'running' && t.job.waymark_s > 0 && leeway >= t.job.stow_s) {
      t.version++;
      t.standing = 'flushing';
      this.changed();
      this.later(t, t.job.stow_s * 1000, () => {
        t.stored = true;
        this.exit(t, 'stopped', true);
      });
    } else this.exit(t, 'stopped', t.standing !== 'fetching');
  }

  exit(t: WorkerTask, cause: string, started = false): void {
    const ran = t.standing === 'running' || t.standing === 'flushing';
    t.version++;
    if (started) this.w.checker.end(t.job.name_id, t.task, this.place, cause === 'done');
    t.standing = 'ended';
    t.cause = cause;
    this.changed();
    if (ran && cause !== 'done' && t.job.shape === 'ensemble') this.gangBroke(t);
  }

  private gangBroke(t: WorkerTask): void {
    for (const p of this.peers(t))
      if (p.t.standing === 'running') {
        // A gang that lost a task makes no progress, so none of the others can complete.
        p.t.version++;
        p.on.later(p.t, this.w.settings.gang_peer_s * 900, () => p.on.exit(p.t, 'peers', true));
      }
  }

  /** What the machine has free. */
  get freeResources(): { place: MachineInfo; cpus: number; mem: number } {
    const type = this.w.type(this.place.type);
    const live = [...this.tasks.values()].filter((t) => t.standing !== 'ended');
    const sum = (of: (j: JobOnWire) => number): number => live.reduce((a, t) => a + of(t.job), 0);
    return { place: this.place, cpus: type.cpus - sum((j) => j.cpus), mem: type.mem - sum((j) => j.mem_gb) };
  }

  /** A task that goes without an exit: lease over, or machine gone. */
  private leave(t: WorkerTask, done: boolean): void {
    const ran = t.standing === 'running' || t.standing === 'flushing';
    const started = ran || t.standing === 'waiting';
    t.version++;
    if (started) this.w.checker.end(t.job.name_id, t.task, this.place, done);
    t.standing = 'ended';
    if (ran && t.job.shape === 'ensemble') this.gangBroke(t);
  }
}
