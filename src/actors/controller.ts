/** One node: follows the log, contends for the lock, leads while it holds it. */
import { dumpState } from '../core/state-dump.js';
import type { Command, Fence, Steady, Term, WorkerReport } from '../core/types.js';
import type { Peers, PeerStatus } from '../io/peers.js';
import { sleep } from '../io/clock.js';
import { LEADER, type LeaderValue } from '../wire/keys.js';
import { Follower } from './follower.js';
import { LeaderActor, type LeaderPorts } from './leader.js';
import { Lock } from './lock.js';
import { UncertainAnswers } from './uncertain-answers.js';
import { UserRequests } from './user-requests.js';
import type { WorkerFigures } from './workers.js';

/** The shortest lease of the leader key. */
const LOCK_MS = 2500;
/** Processor time that may pass between two renewals: on a small share of a core it takes longer. */
const LOCK_PROCESSOR_MS = 340;
/** Of a worker's lease: a take-over after the leader's end has to fit in with the rest of it. */
const LOCK_OF_WORKER_LEASE = 1 / 3;

/** The lease of the leader key: a leader must not lose it to its own work. */
export const lockMs = (cpuShare: number, workerLeaseS: number): number =>
  Math.round(
    Math.max(LOCK_MS, Math.min(LOCK_PROCESSOR_MS / cpuShare, workerLeaseS * 1000 * LOCK_OF_WORKER_LEASE)),
  );
const DEAF_MS = 5500;
const HOLD_OFF_MS = 8000;
/** Added to the lock's time: longer than a dead leader's lock lasts. */
const APART_AFTER_MS = 700;

export type Hello =
  | { answer: 'stay'; term: Term; fence: Fence; orders: Command[] }
  | { answer: 'elsewhere'; leader: string | null };

/** One node: follows the log, contends for the lock, leads while it holds it. */
export class Controller {
  private readonly follower: Follower;
  private readonly lock: Lock;
  private leading: LeaderActor | null = null;
  private leader: LeaderValue | null = null;
  /** The highest term of which this node knew a leader, and the highest seen at all. */
  private ledTerm = 0;
  private highest = 0;
  private peers: Peers | null = null;
  private contending = false;
  private notBefore = -Infinity;
  /** Workers that asked here while another led, and when. */
  private readonly callers = new Map<string, number>();
  private leaderSeen = -Infinity;
  private readonly apartMs: number;
  /** When this node last had a link to the leader, or knew of none. */
  private linkedAt = -Infinity;
  /** What this node saw of terms reaches back to here: all of it once the state service was read. */
  private remembers: Steady;
  private readonly uncertainAnswers: UncertainAnswers;
  /** What users ask, here and passed on by peers. */
  readonly requests: UserRequests;

  constructor(
    private readonly ports: LeaderPorts,
    private readonly run: string,
  ) {
    const { clock, store, logger, settings } = ports;
    this.remembers = clock.steady();
    const { machine_limits, workers } = settings.cluster;
    const lock = lockMs(machine_limits.cpu_share, workers.lease_s);
    this.apartMs = lock + APART_AFTER_MS;
    this.lock = new Lock(store, clock, { node: settings.node, term: 0, run }, lock, logger, (why) =>
      this.stepDown(why),
    );
    this.follower = new Follower(store, clock, logger, {
      free: () => this.contend(),
      leader: (v) => {
        this.leader = v;
        if (v) this.ledTerm = Math.max(this.ledTerm, v.term);
        logger.info({ leader: v?.node ?? null, term: v?.term, run: v?.run }, 'leader key read');
      },
      term: (t) => {
        this.remembers = -Infinity as Steady;
        this.higher(t);
      },
    });
    this.uncertainAnswers = new UncertainAnswers(this.lock, clock, settings);
    this.requests = new UserRequests({
      ...{ clock, follower: this.follower, lock: this.lock },
      leading: () => this.leading,
      otherLeader: () => this.otherLeader(),
      peers: () => this.peers,
    });
  }

  async start(peers: Peers): Promise<void> {
    this.peers = peers;
    await this.endFormerLease();
    void this.follower.run();
    this.watchdog();
  }

  /** A leader that no longer tells its peers that it leads is looked for in the state service. */
  private watchdog(): void {
    const { clock } = this.ports;
    clock.after(700, () => this.watchdog());
    const to = this.otherLeader();
    if (!to || this.peers?.linked(to)) this.linkedAt = clock.steady();
    // Guards the workers' leases: while the state service is out nobody could take over from this node.
    if (this.leading && this.lock.certain() && this.deaf(this.leading)) {
      this.notBefore = clock.steady() + HOLD_OFF_MS;
      this.lock.release('no worker reaches this node');
    }
    if (this.leading || clock.steady() - this.leaderSeen < 1500) return;
    void this.follower.checkLeader().then((free) => (free ? this.contend() : undefined));
  }

  /** A lock still held by an earlier run of this node holds nobody: that run is over. */
  private async endFormerLease(): Promise<void> {
    const { store, settings } = this.ports;
    const k = await store.get(LEADER);
    const v = k?.value as LeaderValue | undefined;
    if (k && k.lease !== null && v?.node === settings.node && v.run !== this.run)
      await store.endLease(k.lease);
  }

  /**
   * A leader that no worker reaches leads nobody, though it may hold its lock for as long as it
   * likes: it hands over when a peer is reached by workers, or when it hears no peer either.
   */
  private deaf(l: LeaderActor): boolean {
    if (!l.workers.intake.hearsNobody(DEAF_MS)) return false;
    const fresh = this.heard(3000);
    return fresh.length === 0 || fresh.some((p) => p.workers > 0);
  }

  /** Peers heard lately. */
  private heard(withinMs: number): PeerStatus[] {
    return (this.peers?.statuses() ?? []).filter((p) => p.age < withinMs).map((p) => p.status);
  }

  private async contend(): Promise<void> {
    if (this.ports.clock.steady() < this.notBefore) return;
    if (this.contending || this.lock.holding) return;
    this.contending = true;
    try {
      await this.takeOver();
    } finally {
      this.contending = false;
    }
  }

  private async takeOver(): Promise<void> {
    const { clock, random, logger } = this.ports;
    const from = clock.steady();
    await sleep(clock, random.below(60));
    const held = await this.lock.contend();
    if (!held) {
      logger.debug('the lock was not to be had');
      return;
    }
    this.highest = Math.max(this.highest, held.term);
    this.uncertainAnswers.reset();
    this.follower.pause();
    for (;;) {
      if (!this.lock.holding || this.lock.holding.term !== held.term) return;
      if (await this.follower.catchUp()) break;
      await sleep(clock, 100);
    }
    if (this.lock.holding?.term !== held.term) return;
    this.leader = { node: this.ports.settings.node, term: held.term, run: this.run };
    this.ledTerm = held.term;
    this.leading = new LeaderActor({
      ...{ ports: this.ports, state: this.follower.state, lock: this.lock, held, head: this.follower.head },
      onDeposed: (why) => this.lock.lose(why),
      onHigherTerm: (term) => this.higher(term),
      mayAnswerUncertain: () => this.uncertainAnswers.areAllowed(),
    });
    this.ports.measure('take_over', clock.steady() - from);
    const { term, stamp } = held;
    logger.info({ term, run: this.run, revision: stamp, next: this.follower.state.next }, 'leading');
  }

  private stepDown(why: string): void {
    const was = this.leading;
    this.leading = null;
    this.leader = null;
    was?.stop();
    this.ports.logger.info({ why }, 'following');
    this.follower.resume();
  }

  /** A higher term was seen: somebody else leads. */
  private higher(term: Term): void {
    if (term <= this.highest) return;
    this.highest = term;
    if (this.lock.holding && term > this.lock.holding.term) this.lock.release(`term ${term} seen`);
  }

  /** The number of the next record, as far as this node knows. */
  get position(): number {
    return this.follower.state.next;
  }

  /** Figures of the calls to workers, while this node leads; empty otherwise. */
  leaderFigures(): Partial<WorkerFigures> {
    return this.leading?.workers.figures() ?? {};
  }

  /** What this node would fold now. */
  dump(): unknown {
    return dumpState(this.follower.state);
  }

  status(): PeerStatus {
    const { clock, settings } = this.ports;
    return {
      node: settings.node,
      run: this.run,
      term: this.highest,
      leading: this.leading !== null && this.lock.certain(),
      leader: this.leader?.node ?? '',
      leaderTerm: this.leader?.term ?? 0,
      takingOver: this.lock.contending,
      remembersMs: Math.min(1e12, clock.steady() - this.remembers),
      workers: this.leading?.workers.intake.countHeard(4000) ?? this.called(),
      stateAge: this.leading
        ? this.lock.uncertainFor()
        : Math.min(1e9, clock.steady() - this.follower.lastAnswer),
    };
  }

  private called(): number {
    const from = this.ports.clock.steady() - 4000;
    for (const [m, at] of this.callers) if (at < from) this.callers.delete(m);
    return this.callers.size;
  }

  /** What a peer says of itself; asked: when the question was put that it answers. */
  peerStatus(s: PeerStatus, asked?: Steady): void {
    this.higher(s.term as Term);
    // The state service may be out of reach when workers have to be told whom to go to.
    if (s.leader && s.leaderTerm > this.ledTerm) {
      this.ledTerm = s.leaderTerm;
      this.leader = { node: s.leader, term: s.leaderTerm, run: '' };
    }
    if (asked !== undefined) this.uncertainAnswers.vouch(s, asked);
    if (s.leading) this.leaderSeen = this.ports.clock.steady();
  }

  /** Whether this node can take requests. Slow to say no: each removal costs a longer pause. */
  ready(): boolean {
    if (!this.follower.loaded) return false;
    const now = this.ports.clock.steady();
    // A leader without state service and peers can do nothing for users; with peers it is an outage for all.
    if (this.leading) return this.lock.uncertainFor() < this.apartMs || this.heard(this.apartMs).length > 0;
    // The state service names a leader that outlived its lease, and no link to it can be had.
    if (now - this.linkedAt > this.apartMs && this.follower.lastAnswer - this.linkedAt > this.apartMs)
      return false;
    return now - this.leaderSeen < 8000;
  }

  hello(r: WorkerReport, reply: (h: Hello) => void): void {
    const l = this.leading;
    if (!l) {
      this.callers.set(r.machine, this.ports.clock.steady());
      return reply({ answer: 'elsewhere', leader: this.otherLeader() });
    }
    l.workers.tell({
      kind: 'report',
      report: r,
      reply: (a) =>
        reply(
          a ? { answer: 'stay', term: l.term, ...a } : { answer: 'elsewhere', leader: this.otherLeader() },
        ),
    });
  }

  private otherLeader(): string | null {
    return this.leader && this.leader.node !== this.ports.settings.node ? this.leader.node : null;
  }
}
