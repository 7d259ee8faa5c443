import {
  attemptKey,
  commands,
  facts,
  holdsWithdrawn,
  stopsOfWithdrawn,
  type Seen,
} from '../core/recovery.js';
import { isUp, type Job, type Live, type Machine, type State } from '../core/state.js';
import type {
  Cause,
  Command,
  Entry,
  Fence,
  JobId,
  MachineId,
  Session,
  Steady,
  TaskState,
  Term,
  WorkerReport,
} from '../core/types.js';
import type { Clock } from '../io/clock.js';
import { UnsettledCalls, type AttemptKey, type CallNumber } from '../core/unsettled-calls.js';
import type { HttpAnswer, HttpCall } from '../io/http-client.js';
import type { Logger } from '../io/logger.js';
import { readReport } from '../wire/reports.js';
import { writeDirect } from '../wire/schemas.js';
import { Actor } from './actor.js';
import type { LogActor } from './log.js';

export type WorkerMessage =
  | { t: 'report'; report: WorkerReport; reply: (a: { fence: Fence; orders: Command[] } | null) => void }
  /** A record was written: its commands may leave. */
  | { t: 'push'; machines: Iterable<MachineId> }
  /** A withdrawal is on its way into a record: no launch of the job leaves meanwhile. */
  | { t: 'withdrawing'; job: JobId; open: boolean }
  | { t: 'tick' };

interface Known extends Seen {
  at: Steady;
  /** What this worker is sent from now on goes under this fence: all under lower ones is void. */
  fence: Fence;
  /** This worker has seen our term, so nothing of an earlier one reaches it any more. */
  ours: boolean;
  /** The machine's count of changes when its last report called for nothing; null: it may call for something. */
  quietAt: number | null;
}

const endKey = (job: JobId, task: number, attempt: number): string => `end ${attemptKey(job, task, attempt)}`;

const DIRECT_MS = 2000;
/** Ticks come this often; one that is late by more shows a node that is behind with its work. */
const TICK_MS = 1000;
const LATE_TICK_MS = 500;
/** So long after a late tick direct calls are left out. */
const BEHIND_MS = 2000;
/** Nothing ran here for so long: the node stood still, which says nothing about its machines. */
const STOOD_STILL_MS = 2500;
/** What queued while the node stood still is read within this time after. */
const QUEUED_MS = 500;
/** Who was not reached by an introduction is told again, after ever longer pauses. */
const INTRODUCE_MS = 2000;
const INTRODUCE_MOST_MS = 15_000;

/** Unsettled calls with starts to one worker; past it starts travel in the answers to its reports only. */
const MOST_UNSETTLED_CALLS = 16;

const startsOf = (orders: readonly Command[]): AttemptKey[] =>
  orders.filter((o) => o.op === 'start').map((o) => attemptKey(o.job, o.task, o.attempt));

/** Only the answer to a report forgets, since a direct call may be carried out late. */
const mayGoDirectly = (order: Command, k: Known): boolean =>
  order.op === 'stop' || (order.op === 'start' && k.calls.size < MOST_UNSETTLED_CALLS);

/** Whether a report says what the one before said, and is newer. */
const repeats = (r: WorkerReport, last: WorkerReport): boolean =>
  r.tasks === last.tasks &&
  r.seq > last.seq &&
  r.session === last.session &&
  r.term === last.term &&
  r.fence === last.fence &&
  r.notice === last.notice;

/** Hears the workers, and tells them what the log says. */
export class WorkersActor extends Actor<WorkerMessage> {
  private readonly known = new Map<MachineId, Known>();
  /** Facts told to the log and not yet in a record. */
  private readonly telling = new Set<string>();
  /** What each task was last shown doing. */
  private readonly doing = new WeakMap<Live, TaskState>();
  /** When a task was first shown running to us, while it is. */
  private readonly started = new WeakMap<Live, Steady>();
  /** Silence counts from here on at the earliest: the take-over, or the end of a standstill. */
  private since: Steady;
  private lastStep: Steady;
  private wokeAt = -Infinity;
  /** Machines to which a direct message is on its way, and those that have more to be told after it. */
  private readonly busy = new Set<MachineId>();
  private readonly again = new Set<MachineId>();
  /** Machines with commands for which no direct call was free; those with stops of withdrawn jobs first. */
  private readonly first = new Set<MachineId>();
  private readonly queued = new Set<MachineId>();
  private open = 0;
  private readonly introduced = new Map<MachineId, { next: Steady; pause: number }>();

  constructor(
    private readonly state: State,
    private readonly log: LogActor,
    private readonly call: HttpCall,
    private readonly clock: Clock,
    private readonly term: Term,
    private readonly reportS: number,
    /** Direct calls open at once: every machine keeps a connection for its reports besides. */
    private readonly callsMost: number,
    private readonly certain: () => boolean,
    /** Whether reports may be answered without a certain lock. */
    private readonly holds: () => boolean,
    private readonly onFact: () => void,
    private readonly onHigher: (term: Term) => void,
    private readonly logger: Logger,
  ) {
    super();
    this.since = this.lastStep = clock.steady();
  }

  /**
   * Guards against taking the node's own standstill for its machines' silence, and reports that queued
   * meanwhile for signs of life.
   */
  private step(): void {
    const now = this.clock.steady();
    if (now - this.lastStep > STOOD_STILL_MS) {
      this.logger.info({ ms: Math.round(now - this.lastStep) }, 'stood still');
      this.since = now;
      this.wokeAt = now;
    }
    this.lastStep = now;
  }

  /** Every live worker has reported to us, or one report period has passed. */
  settled(): boolean {
    if (this.settledSince === this.since) return true;
    const waited = this.clock.steady() - this.since > this.reportS * 1250 + 500;
    if (waited || !this.awaitsReport()) this.settledSince = this.since;
    return this.settledSince === this.since;
  }
  private settledSince: Steady | null = null;
  /** The machine that was last found not to have reported: while it has not, no other is looked at. */
  private awaited: MachineId | null = null;

  private awaitsReport(): boolean {
    const { machines } = this.state;
    const last = this.awaited === null ? undefined : machines.get(this.awaited);
    if (last && this.unreported(last)) return true;
    this.awaited = null;
    for (const m of machines.values())
      if (this.unreported(m)) {
        this.awaited = m.id;
        return true;
      }
    return false;
  }

  private unreported(m: Machine): boolean {
    const k = this.known.get(m.id);
    return isUp(m) && !(k?.ours && k.at >= this.since);
  }

  /** Seconds without a report; counted from the take-over at the earliest. */
  silent(m: Machine): number {
    return (this.clock.steady() - Math.max(this.known.get(m.id)?.at ?? -Infinity, this.since + 3000)) / 1000;
  }

  usable(m: Machine): boolean {
    const k = this.known.get(m.id);
    return (
      isUp(m) &&
      m.errors < 2 &&
      k !== undefined &&
      k.report.session === m.session &&
      k.report.notice === null &&
      this.clock.steady() - k.at < this.reportS * 1250 + 2000
    );
  }

  notice(m: Machine): number | null {
    return this.known.get(m.id)?.report.notice ?? null;
  }

  /** Whether none of at least two machines at work has been heard for so long. */
  deaf(ms: number): boolean {
    this.step();
    if (this.clock.steady() - this.since < ms) return false;
    let up = 0;
    for (const m of this.state.machines.values()) if (isUp(m)) up++;
    return up >= 2 && this.heard(ms) === 0;
  }

  /** Workers heard lately. */
  heard(withinMs: number): number {
    let n = 0;
    for (const k of this.known.values()) if (this.clock.steady() - k.at < withinMs) n++;
    return n;
  }

  running(job: Job): number {
    let n = 0;
    for (const l of job.live.values()) if (this.startedAt(l) !== null) n++;
    return n;
  }

  /** When a task was first shown running to us; null while it is not. */
  startedAt(l: Live): Steady | null {
    return this.started.get(l) ?? null;
  }

  /** Whether its end was shown, though it may not be in a record yet. */
  ended(l: Live): boolean {
    return this.telling.has(endKey(l.job.spec.id, l.task, l.attempt));
  }

  /** Whether it only waits for the rest of its gang. */
  waiting(l: Live): boolean {
    return this.doing.get(l) === 'waiting';
  }

  /** Whether it still waits for its image, as far as is known here. */
  fetching(l: Live): boolean {
    return (this.doing.get(l) ?? 'fetching') === 'fetching';
  }

  /** Whether the worker has shown this attempt to be known to it. */
  shown(l: Live): boolean {
    return this.doing.has(l);
  }

  protected receive(m: WorkerMessage): void {
    this.step();
    if (m.t === 'report') m.reply(this.report(m.report));
    else if (m.t === 'push') for (const id of m.machines) this.push(id);
    else if (m.t === 'tick') this.tick();
    else if (m.open) this.withdrawing.add(m.job);
    else this.withdrawing.delete(m.job);
  }
  private readonly withdrawing = new Set<JobId>();

  private take(r: WorkerReport, heard: boolean): Known | null {
    if (r.term > this.term) {
      this.onHigher(r.term);
      return null;
    }
    let k = this.known.get(r.machine);
    // Reports can be minutes late; an older one than the last says nothing new, and one from before
    // a session that is in the log proves nobody alive, whoever led then.
    if (k && (r.session < k.report.session || (r.session === k.report.session && r.seq <= k.report.seq)))
      return k;
    const logged = this.state.machines.get(r.machine)?.session ?? 0;
    if (r.session < logged) return k ?? null;
    if (!k || r.session > k.report.session) {
      k = {
        report: r,
        at: k?.at ?? (-Infinity as Steady),
        fence: k?.fence ?? (0 as Fence),
        ours: false,
        quietAt: null,
        // Calls to an earlier session carry its number, so the worker refuses them.
        calls: new UnsettledCalls(),
        startedInAnswer: new Map(),
      };
      this.known.set(r.machine, k);
    }
    k.report = r;
    if (r.term === this.term) {
      k.ours = true;
      k.calls.fenceShown(r.fence);
    }
    // A worker sends its next report when it has taken, or given up, the answer to the last.
    if (heard) for (const [key, seq] of k.startedInAnswer) if (seq < r.seq) k.startedInAnswer.delete(key);
    // A copy that is late by a term proves nothing: a live worker shows ours with its next report.
    if (heard && (k.ours || r.session > logged) && this.clock.steady() - this.wokeAt > QUEUED_MS)
      k.at = this.clock.steady();
    for (const t of r.tasks) {
      const l = this.state.jobs.get(t.job)?.live.get(t.task);
      if (!l || l.attempt !== t.attempt || l.machine.id !== r.machine) continue;
      this.doing.set(l, t.state);
      if (t.state !== 'running' && t.state !== 'saving') this.started.delete(l);
      else if (!this.started.has(l)) this.started.set(l, this.clock.steady());
    }
    this.tellFacts(r);
    return k;
  }

  private tellFacts(r: WorkerReport): void {
    const { up, ends } = facts(this.state, r);
    const entries: Entry[] = [];
    const keys: string[] = [];
    if (up) {
      const key = `up ${r.machine} ${r.session}`;
      if (!this.telling.has(key)) {
        keys.push(key);
        entries.push(up);
      }
    }
    const news: [JobId, number, number, Cause, boolean][] = [];
    for (const e of ends) {
      const key = endKey(e[0], e[1], e[2]);
      if (this.telling.has(key)) continue;
      keys.push(key);
      news.push(e);
    }
    if (news.length > 0) entries.push({ e: 'end', p: news });
    if (entries.length === 0) return;
    for (const k of keys) this.telling.add(k);
    this.log.tell({
      entries,
      done: (ok) => {
        for (const k of keys) this.telling.delete(k);
        if (ok) this.onFact();
      },
    });
  }

  /**
   * What is known of a worker whose report repeats the last one, after which there was nothing to do and
   * nothing changed since; null otherwise.
   */
  private unchanged(r: WorkerReport): Known | null {
    const k = this.known.get(r.machine);
    if (!k || k.quietAt === null || !repeats(r, k.report)) return null;
    return this.state.machines.get(r.machine)?.changes === k.quietAt ? k : null;
  }

  private report(r: WorkerReport): { fence: Fence; orders: Command[] } | null {
    const certain = this.certain();
    const quiet = certain ? this.unchanged(r) : null;
    if (quiet) {
      quiet.report = r;
      if (this.clock.steady() - this.wokeAt > QUEUED_MS) quiet.at = this.clock.steady();
      return { fence: quiet.fence, orders: [] };
    }
    const k = this.take(r, true);
    if (!k) return null;
    if (!certain && !this.holds()) return null;
    const m = this.state.machines.get(r.machine);
    // Guards ran_cancelled: whatever renews a lease carries the stops of withdrawn jobs.
    if (!certain || k.report !== r)
      return { fence: k.fence, orders: m ? stopsOfWithdrawn(this.state, m, k.report) : [] };
    const orders = this.orders(k);
    // The answer carries what waited for a direct call.
    this.queued.delete(r.machine);
    this.first.delete(r.machine);
    for (const key of startsOf(orders)) k.startedInAnswer.set(key, r.seq);
    const due = orders.length > 0 || k.calls.size > 0 || k.startedInAnswer.size > 0 || k.fence > r.fence;
    k.quietAt = m && !due && k.ours && this.settled() ? m.changes : null;
    return { fence: k.fence, orders };
  }

  private orders(k: Known): Command[] {
    const { orders, unsent, above } = commands(this.state, k, this.settled());
    if (above !== null) this.raiseFence(k, above);
    if (unsent.length > 0 && k.ours) this.tellVoid(unsent);
    if (this.withdrawing.size === 0) return orders;
    return orders.filter((o) => o.op !== 'start' || !this.withdrawing.has(o.job));
  }

  /** Starts that were logged and stopped before any launch left need no worker to end. */
  private tellVoid(unsent: Live[]): void {
    const news: [JobId, number, number, Cause, boolean][] = [];
    for (const l of unsent) {
      const key = endKey(l.job.spec.id, l.task, l.attempt);
      if (this.telling.has(key)) continue;
      this.telling.add(key);
      news.push([l.job.spec.id, l.task, l.attempt, 'void', false]);
    }
    if (news.length === 0) return;
    this.log.tell({
      entries: [{ e: 'end', p: news }],
      done: () => {
        for (const n of news) this.telling.delete(endKey(n[0], n[1], n[2]));
      },
    });
  }

  private push(id: MachineId): void {
    const m = this.state.machines.get(id);
    if (!m?.addr || this.stopped) return;
    if (this.busy.has(id)) return void this.again.add(id);
    const k = this.known.get(id);
    const urgent = holdsWithdrawn(m);
    const all = this.certain() && !m.drop && k !== undefined;
    if (!all && !urgent) return;
    // The answer to the machine's next report carries the same at a fraction of the cost.
    if (!urgent && this.behind()) return;
    // Bounded however many machines a record touches: what is over it waits for a free call, or for
    // the worker's next report.
    if (this.open >= this.callsMost) return void (urgent ? this.first : this.queued).add(id);
    const orders: Command[] = all ? this.orders(k).filter((o) => mayGoDirectly(o, k)) : [];
    if (urgent && orders.length === 0)
      orders.push(...stopsOfWithdrawn(this.state, m, k?.report.session === m.session ? k.report : null));
    if (orders.length > 0 || (k?.ours && k.fence > k.report.fence)) this.direct(m, k, orders);
  }

  private direct(m: Machine, k: Known | undefined, orders: Command[]): void {
    const attempts = new Set(startsOf(orders));
    const number = ++this.callNumber as CallNumber;
    const fence = k?.fence ?? (0 as Fence);
    if (attempts.size > 0) k?.calls.sent({ number, fence, attempts });
    this.busy.add(m.id);
    this.callWorker(m, k?.report.session ?? m.session, orders, (a) => {
      // Guards against a worker that is never called again, whatever became of its session meanwhile.
      this.busy.delete(m.id);
      const isSettled = a !== null && (a.status === 200 || a.status === 409) && this.takeAnswer(m, a);
      if (isSettled) k?.calls.answered(number);
      else if (k && attempts.size > 0) this.raiseFence(k, fence);
      if (this.again.delete(m.id)) this.push(m.id);
    });
  }
  private callNumber = 0;

  /**
   * Guards ran_twice and ran_cancelled: a call that got no answer may be carried out much later. What is sent
   * from now on goes under a higher fence, so the worker refuses the late call once it has heard anything
   * newer, and its next report settles the call.
   */
  private raiseFence(k: Known, above: Fence): void {
    if (above >= k.fence) k.fence = (above + 1) as Fence;
  }

  /** Every direct call is counted while it is open; its end lets in what waits for one. */
  private callWorker(
    m: Machine,
    session: Session,
    orders: Command[],
    then: (a: HttpAnswer | null) => void,
  ): void {
    this.open++;
    const fence = this.known.get(m.id)?.fence ?? (0 as Fence);
    void this.call(m.addr, 'POST', '/orders', writeDirect(this.term, fence, session, orders), DIRECT_MS).then(
      (a) => {
        if (this.stopped) return;
        this.open--;
        then(a);
        for (const waiting of [this.first, this.queued])
          for (const id of waiting) {
            if (this.open >= this.callsMost) return;
            waiting.delete(id);
            this.push(id);
          }
      },
    );
  }

  /** The report that answers a direct call; false when there is none. */
  private takeAnswer(m: Machine, a: HttpAnswer | null): boolean {
    const r = a ? readReport(a.body) : null;
    if (r?.machine !== m.id) return false;
    this.take(r, false);
    return true;
  }

  /** Whether more is to be done here than the processor does in time. */
  behind(): boolean {
    return this.clock.steady() < this.behindUntil;
  }
  private behindUntil = -Infinity;
  private tickedAt = Infinity;

  private noteLateness(): void {
    const now = this.clock.steady();
    if (now - this.tickedAt > TICK_MS + LATE_TICK_MS) this.behindUntil = now + BEHIND_MS;
    this.tickedAt = now;
  }

  private tick(): void {
    this.noteLateness();
    for (const all of [this.known, this.introduced])
      for (const id of all.keys()) if (!this.state.machines.has(id)) all.delete(id);
    // Guards ran_cancelled: stops of withdrawn jobs go out again until a report shows the end, certain
    // lock or not. They carry the term, so a former leader's answers hold the task no longer.
    for (const m of this.state.machines.values()) if (holdsWithdrawn(m)) this.push(m.id);
    // Workers still held by a former leader learn of the new term, and drop that one's answers.
    const now = this.clock.steady();
    // Most come by themselves within a report's time, when a new leader has the most to do.
    if (now - this.since <= this.reportS * 1250 + 500) return;
    for (const m of this.state.machines.values()) {
      if (this.open >= this.callsMost || this.behind()) break;
      if (!isUp(m) || !m.addr || this.known.get(m.id)?.ours || this.busy.has(m.id)) continue;
      const i = this.introduced.get(m.id) ?? { next: now, pause: INTRODUCE_MS };
      if (i.next > now) continue;
      this.introduced.set(m.id, {
        next: (now + DIRECT_MS + i.pause) as Steady,
        pause: Math.min(INTRODUCE_MOST_MS, i.pause * 2),
      });
      this.callWorker(m, m.session, [], (x) => {
        if (!this.takeAnswer(m, x)) this.logger.debug({ machine: m.id }, 'worker not reached');
      });
    }
  }
}
