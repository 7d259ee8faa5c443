import { giveBack, rent, type CapacityInput } from '../core/capacity.js';
import { chunked } from '../core/chunked.js';
import { claims, place, type Random } from '../core/placement.js';
import type { Policy } from '../core/policy.js';
import { preempt } from '../core/preemption.js';
import { withdrawn } from '../core/recovery.js';
import { BROKEN, isUp, type Job, type Live, type Machine, type State } from '../core/state.js';
import {
  rank,
  type Cause,
  type Entry,
  type LogRecord,
  type MachineId,
  type RecordNo,
  type Term,
  type Wall,
} from '../core/types.js';
import { sleep, type Cancel, type Clock } from '../io/clock.js';
import type { HttpCall } from '../io/http-client.js';
import type { Measure } from '../io/metrics.js';
import type { Logger } from '../io/logger.js';
import type { Cloud } from '../wire/cloud.js';
import { HEAD, LEADER, chunkKey, recordKey, type HeadValue } from '../wire/keys.js';
import { teamsOf, type Settings } from '../wire/settings.js';
import type { Op, Stamp, Store } from '../wire/store.js';
import { Actor } from './actor.js';
import { AdmissionActor } from './admission.js';
import type { Head } from './follower.js';
import { CloudActor } from './cloud.js';
import type { Held, Lock } from './lock.js';
import { LogActor } from './log.js';
import { lines, pack, type Deflate } from './snapshot.js';
import { WorkersActor } from './workers.js';

export interface LeaderPorts {
  clock: Clock;
  store: Store;
  cloud: Cloud;
  call: HttpCall;
  random: Random;
  logger: Logger;
  settings: Settings;
  policy: Policy;
  measure: Measure;
  deflate: Deflate;
}

const ROUND_MS = 1000;
/** A round that follows news keeps this many times the last one's length from it, up to the ordinary interval. */
const NEWS_ROUNDS_APART = 5;
/** An ordinary round keeps this many times the last one's length from it, and more while the node is behind. */
const ROUNDS_APART = 1.5;
const ROUNDS_APART_BEHIND = 4;
const SAMPLE = 5;
const FOLD_EVERY = 250;
/** Starts of one round: about as many as the pen writes until the next. */
const STARTS_MOST = 2500;

/** Direct calls to workers, of a node's sockets: most of those hold the workers' own connections. */
const callsMost = (sockets: number): number => Math.max(8, Math.floor(sockets / 12));

/** Guards the lowest class, and the largest jobs of any, against waiting for ever behind what is more urgent. */
const STARVING_MS = 150_000;
const neverStarted = (j: Job): boolean => j.fresh === 0 && j.live.size === 0 && j.gangTry === 1;

/** A return takes a record, a call to the cloud, and its repeats. */
const RETURN_S = 12;

type LeaderMessage = { t: 'round' };

/** One term of leading: the log's pen, and the rounds that decide what runs where. */
export class LeaderActor extends Actor<LeaderMessage> {
  readonly log: LogActor;
  readonly admission: AdmissionActor;
  readonly workers: WorkersActor;
  readonly cloud: CloudActor;
  readonly term: Term;
  private readonly clock: Clock;
  private cancelTick: Cancel | null = null;
  private deciding = false;
  private hires = 0;
  /** Records whose starts and stops no report has shown yet. */
  private outstanding = new Map<RecordNo, Live[]>();
  private folding = false;
  private soon = false;
  private roundAt = -Infinity;
  private roundMs = 0;

  constructor(
    private readonly ports: LeaderPorts,
    private readonly state: State,
    private readonly lock: Lock,
    held: Held,
    private head: Head,
    onDeposed: (why: string) => void,
    onHigher: (term: Term) => void,
    holds: () => boolean,
  ) {
    super();
    const { clock, store, cloud, call, settings, logger } = ports;
    const c = settings.cluster;
    this.clock = clock;
    this.term = held.term;
    const certain = (): boolean => !this.stopped && lock.certain();
    this.stamp = held.stamp;
    this.log = new LogActor(state, store, clock, c.state, held.term, held.stamp, logger, onDeposed, (ms) =>
      ports.measure('write', ms),
    );
    this.workers = new WorkersActor({
      ...{ state, log: this.log, call, clock, logger, term: held.term },
      reportPeriodS: c.workers.report_s,
      mostCalls: callsMost(c.machine_limits.sockets),
      isCertain: certain,
      mayAnswerUncertain: holds,
      onFactWritten: () => this.hurry(),
      onHigherTerm: onHigher,
    });
    const teams = teamsOf(settings);
    this.teams = teams;
    this.within = new Map(
      c.objectives.flatMap((o) =>
        o.kind === 'finished' && o.class && o.within_s ? [[o.class, o.within_s] as const] : [],
      ),
    );
    this.soonest = new Map();
    for (const o of c.objectives)
      if (o.class && o.within_s)
        this.soonest.set(
          o.class,
          o.kind === 'wait' ? 0 : Math.min(o.within_s, this.soonest.get(o.class) ?? Infinity),
        );
    this.admission = new AdmissionActor(
      state,
      this.log,
      clock,
      teams,
      c.state.value_kb,
      certain,
      (j) => this.workers.running(j),
      (job, isUnderWay) => this.workers.tell({ kind: 'cancelling', job, isUnderWay }),
    );
    this.cloud = new CloudActor(state, cloud, this.log, clock, c.cloud, certain, logger);
    this.log.committed.subscribe(({ no, record }) => this.committed(no, record));
    const all = [...state.machines.values()].flatMap((m) => [...m.live]);
    if (all.length > 0) this.outstanding.set((state.next - 1) as RecordNo, all);
    this.tick();
  }
  private readonly stamp: number;
  private readonly teams;
  /** The same by the tightest aim; 0 where the start is what counts. */
  private readonly soonest: Map<string, number>;
  /** Seconds within which jobs of a class are to be finished. */
  private readonly within: Map<string, number>;

  private tick(): void {
    if (this.stopped) return;
    this.cancelTick = this.clock.after(ROUND_MS, () => this.tick());
    this.workers.tell({ kind: 'tick' });
    // Without a certain lock no return can be logged; what a withdrawal asks for is done all the same.
    if (!this.lock.certain()) {
      const all = [...this.state.machines.values()];
      this.cloud.tell({ t: 'fence', machines: all.filter((m) => [...m.live].some((l) => this.overdue(l))) });
    }
    this.cloud.tell({ t: 'tick' });
    const apart = this.workers.isBehind() ? ROUNDS_APART_BEHIND : ROUNDS_APART;
    if (this.clock.steady() - this.roundAt >= this.roundMs * apart) this.tell({ t: 'round' });
  }

  /** When this leader saw a withdrawal written: its record may have been begun long before. */
  private readonly withdrawnAt = new WeakMap<Job, Wall>();

  /**
   * Guards ran_cancelled: a task that a lease's time of stops has not ended is on a machine that hangs or
   * hears nothing; the machine is returned while that still helps.
   */
  private overdue(l: Live): boolean {
    if (!l.stop || !withdrawn(l) || this.workers.hasReportedEnd(l)) return false;
    const { lease_s, cancel_s } = this.ports.settings.cluster.workers;
    const age = (this.clock.wall() - (this.withdrawnAt.get(l.job) ?? l.stop.at)) / 1000;
    return age > lease_s && (this.workers.isReconciled() || age > cancel_s - RETURN_S);
  }

  /** Something changed that a round could use: no need to wait for the tick. */
  private hurry(): void {
    if (this.soon || this.stopped) return;
    this.soon = true;
    // Rounds take a bounded share of the processor, however large the site.
    const from = this.roundAt + this.roundMs * NEWS_ROUNDS_APART - this.clock.steady();
    this.clock.after(Math.min(ROUND_MS, Math.max(200, from)), () => {
      this.soon = false;
      this.tell({ t: 'round' });
    });
  }

  private committed(no: RecordNo, record: LogRecord): void {
    const touched = new Set<MachineId>();
    const open: Live[] = [];
    let hurry = false;
    let cloud = false;
    const add = (l: Live | undefined): void => {
      if (!l) return;
      open.push(l);
      touched.add(l.machine.id);
    };
    for (const e of record.entries) {
      if (e.e === 'start' || e.e === 'stop' || e.e === 'withdraw') {
        const job = this.state.jobs.get(e.job);
        if (!job) continue;
        if (e.e === 'start') for (const p of e.p) add(job.live.get(p[0]));
        else if (e.e === 'stop') for (const t of e.p) add(job.live.get(t));
        else {
          this.withdrawnAt.set(job, this.clock.wall());
          for (const l of job.live.values()) add(l);
        }
      }
      if (e.e === 'end') for (const [, , , cause] of e.p) this.ends[cause] = (this.ends[cause] ?? 0) + 1;
      if (e.e === 'job' || e.e === 'up' || e.e === 'gone') hurry = true;
      if (e.e === 'hire' || e.e === 'drop') cloud = true;
    }
    if (open.length > 0) this.outstanding.set(no, open);
    if (touched.size > 0) this.workers.tell({ kind: 'commandsDue', machines: touched });
    if (cloud) this.cloud.tell({ t: 'tick' });
    if (hurry) this.hurry();
  }

  /** The last record whose commands the workers' reports all show. */
  private processedUpTo(): number {
    for (const [no, lives] of this.outstanding) {
      const open = lives.filter(
        (l) => l.job.live.get(l.task) === l && (l.stop !== null || !this.workers.progress.wasReported(l)),
      );
      if (open.length > 0) {
        this.outstanding.set(no, open);
        return no - 1;
      }
      this.outstanding.delete(no);
    }
    return this.state.next - 1;
  }

  protected receive(): void {
    this.round();
  }

  private round(): void {
    if (this.stopped || this.deciding || !this.lock.certain() || !this.workers.isReconciled()) return;
    const { state, ports } = this;
    const from = this.clock.steady();
    const now = this.clock.wall();
    const usable = [...state.machines.values()].filter((m) => this.workers.intake.canTakeWork(m));
    const entries: Entry[] = this.evacuate();
    const hopeless = (j: Job): boolean => {
      const within = this.within.get(j.spec.class);
      const age = (now - j.at) / 1000;
      // Not for ever: what was put off long enough is as good as any other.
      return within !== undefined && age + j.spec.estimate * 0.7 > within && age < within * 3;
    };
    const ran = (l: Live): number | null => {
      const at = this.workers.progress.startedAt(l);
      return at === null ? null : (this.clock.steady() - at) / 1000;
    };
    const order = claims(state, this.teams, hopeless, (j) => now - j.at > STARVING_MS && neverStarted(j));
    entries.push(...this.release(order));
    const placed = place({
      claims: order,
      state,
      teams: this.teams,
      now,
      random: ports.random,
      sample: SAMPLE,
      usable,
      within: (c) => this.soonest.get(c) ?? 0,
      fetching: (l) => this.workers.progress.fetches(l),
      held: this.held,
      rentable: (t, z, s) => !this.cloud.backoff(t, z, s),
      most: STARTS_MOST,
    });
    this.held = placed.held;
    entries.push(...placed.entries);
    const preempted = preempt({
      claims: order,
      state,
      teams: this.teams,
      usable,
      unplaced: placed.unplaced,
      room: placed.room,
      soon: placed.soon,
      ran,
      least: rank.high,
    });
    entries.push(...preempted.entries);
    const up = [...state.machines.values()].filter(isUp);
    const quiet = up.filter((m) => this.workers.intake.secondsSilent(m) > 6).length;
    const deaf = up.length >= 3 && quiet * 2 > up.length;
    const capacity: CapacityInput = {
      state,
      zones: ports.settings.cluster.zones,
      now,
      unplaced: preempted.unplaced,
      backoff: (t, z, s) => this.cloud.backoff(t, z, s),
      nextName: () => `h-${this.term}-${++this.hires}`,
      usable,
      room: placed.room,
      keep: placed.keep,
      remaining: (l) => {
        const r = ran(l);
        return r === null || l.stop ? Infinity : l.job.spec.estimate - r;
      },
      policy: ports.policy,
      silent: (m) => this.workers.intake.secondsSilent(m),
      deaf,
      overdue: (l) => this.overdue(l),
      within: (c) => this.soonest.get(c) ?? 0,
      leaseS: ports.settings.cluster.workers.lease_s,
    };
    entries.push(...rent(capacity), ...giveBack(capacity));
    const upto = this.processedUpTo();
    if (entries.length > 0 && upto > state.marked) entries.unshift({ e: 'mark', upto });
    if (entries.length > 0) {
      this.deciding = true;
      let left = entries.length;
      for (const e of entries)
        this.log.tell({
          entries: [e],
          done: () => {
            if (--left === 0) this.deciding = false;
          },
        });
      ports.logger.debug(
        {
          starts: placed.starts,
          unplaced: placed.unplaced.map((u) => [u.job.spec.id, u.tasks]),
          usable: usable.length,
        },
        'round',
      );
    }
    this.roundAt = this.clock.steady();
    this.roundMs = this.roundAt - from;
    ports.measure('round', this.roundMs);
    this.worst.round = Math.max(this.worst.round, Math.round(this.roundMs));
    if (this.clock.steady() - this.pulseAt > 10_000) {
      this.pulseAt = this.clock.steady();
      this.pulse(usable.length, preempted.unplaced);
    }
    if (!this.folding && state.next - 1 - this.head.upto >= FOLD_EVERY) void this.fold();
  }

  /** Machines that wait for a gang since the last round. */
  private held: ReadonlySet<Machine> = new Set();

  /** How things stand, for the operator's log. */
  private pulse(usable: number, waiting: { job: Job; tasks: number }[]): void {
    const { state } = this;
    const n = { machines: 0, booting: 0, idle: 0, spot: 0, cpus: 0, running: 0, held: 0 };
    for (const m of state.machines.values()) {
      n.machines++;
      n.spot += Number(m.spot);
      n.cpus += state.types.get(m.type)?.cpus ?? 0;
      if (m.session === 0) n.booting++;
      else if (m.live.size === 0) n.idle++;
      for (const l of m.live) {
        n.held += l.job.spec.cpus;
        if (this.workers.progress.startedAt(l) !== null) n.running += l.job.spec.cpus;
      }
    }
    this.ports.logger.info(
      {
        term: this.term,
        jobs: state.jobs.size,
        ...n,
        usable,
        waiting: waiting.slice(0, 8).map((w) => `${w.job.spec.class} ${w.job.spec.id}: ${w.tasks}`),
        worstMs: this.worst,
        writeMs: Math.round(this.log.writes.ms / Math.max(1, this.log.writes.count)),
        ends: this.ends,
        calls: this.workers.figures(),
      },
      'pulse',
    );
    this.worst = { round: 0, fold: 0 };
    this.ends = {};
  }
  /** Ends of tasks since the last pulse, by cause. */
  private ends: Partial<Record<Cause, number>> = {};
  private pulseAt = -Infinity;
  /** The longest steps since the last pulse: nothing is answered meanwhile. */
  private worst = { round: 0, fold: 0 };

  /**
   * Tasks that wait for a gang which lost one: they would wait on for gang_wait_s, and the next
   * attempt with them. Those that still fetch go on, for the next attempt needs their images too.
   */
  private release(order: readonly { job: Job }[]): Entry[] {
    const out: Entry[] = [];
    for (const { job } of order) {
      if (!job.spec.gang || !job.broken) continue;
      const p = [...job.live.values()]
        .filter((l) => !l.stop && this.workers.progress.waitsForGang(l))
        .map((l) => l.task);
      if (p.length > 0) out.push({ e: 'stop', job: job.spec.id, p, grace: 0, why: BROKEN });
    }
    return out;
  }

  /** A notice: what can save is stopped with time to save, gangs as a whole. */
  private evacuate(): Entry[] {
    const out: Entry[] = [];
    const done = new Set<string>();
    for (const m of this.state.machines.values()) {
      if (m.drop || this.workers.intake.noticeOf(m) === null) continue;
      for (const l of m.live) {
        const s = l.job.spec;
        if (l.stop || done.has(s.id) || s.checkpoint === 0) continue;
        const tasks = s.gang
          ? [...l.job.live.keys()]
          : [...m.live].filter((x) => x.job === l.job && !x.stop).map((x) => x.task);
        if (s.gang) done.add(s.id);
        else for (const t of tasks) done.add(`${s.id}/${t}`);
        if (!s.gang && tasks.every((t) => t !== l.task)) continue;
        done.add(s.id);
        out.push({ e: 'stop', job: s.id, p: tasks, grace: s.save + 1, why: 'notice' });
      }
    }
    return out;
  }

  /** Folds the records so far into a packed snapshot, then removes them, within the write rate. */
  private async fold(): Promise<void> {
    this.folding = true;
    const { store, settings, logger } = this.ports;
    const limits = settings.cluster.state;
    const upto = this.state.next - 1;
    const old = this.head;
    const lead = { key: LEADER, stamp: this.stamp };
    const from = this.clock.steady();
    const dump = this.state.dump();
    const took = this.clock.steady() - from;
    const text = await lines(dump, () => sleep(this.clock, 2));
    this.ports.measure('fold', took);
    this.worst.fold = Math.max(this.worst.fold, Math.round(took));
    const packed = await pack(text, Math.floor(limits.value_kb * 1024 - 64), this.ports.deflate);
    const ops: Op[] = packed.map((value, i) => ({ put: chunkKey(upto, i), value }));
    const head: HeadValue = { upto, chunks: ops.length };
    const most = Math.max(1, Math.min(limits.txn_ops, this.log.spareMost));
    /** The head's version after the write; null when it was refused for good. */
    const write = async (part: Op[], at: Stamp): Promise<Stamp | null> => {
      for (;;) {
        if (this.stopped) return null;
        if (this.lock.certain() && this.log.spare(part.length)) {
          // Guards forgotten: a copy of an unanswered write that is carried out late finds another head,
          // so it neither puts an earlier one back nor writes chunks anew that were removed.
          const r = await store.txn([lead, { key: HEAD, stamp: at }], part);
          if (r.r === 'done') return r.revision;
          if (r.r === 'failed') return null;
        }
        await sleep(this.clock, 150);
      }
    };
    const inParts = async (list: Op[], n: number, at: Stamp): Promise<boolean> => {
      for (const part of chunked(list, n)) if ((await write(part, at)) === null) return false;
      return true;
    };
    const bulky = Math.max(1, Math.min(most, Math.floor(60 / limits.value_kb)));
    if (!(await inParts(ops, bulky, old.stamp))) return;
    let stamp = await write([{ put: HEAD, value: head }], old.stamp);
    // Refused: by an earlier copy of the same write, or because another leads.
    while (stamp === null && !this.stopped) {
      const k = await store.get(HEAD);
      if (k && (k.value as HeadValue).upto === upto) stamp = k.stamp;
      else if (k !== undefined) return;
      else await sleep(this.clock, 150);
    }
    if (stamp === null) return;
    this.head = { ...head, stamp };
    const rest: Op[] = [];
    for (let n = old.upto + 1; n <= upto; n++) rest.push({ remove: recordKey(n) });
    for (let i = 0; i < old.chunks; i++) rest.push({ remove: chunkKey(old.upto, i) });
    await inParts(rest, most, stamp);
    this.folding = false;
    logger.info({ upto, chunks: ops.length, bytes: text.length }, 'folded');
  }

  override stop(): void {
    super.stop();
    this.cancelTick?.();
    this.log.stop();
    this.admission.stop();
    this.workers.stop();
    this.cloud.stop();
  }
}
