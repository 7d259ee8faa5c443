/** One node: follows the log, contends for the lock, leads while it holds it. */
import { dumpState } from '../core/state-dump.js';
import type { Command, Fence, NodeId, SteadyMs, Term, WorkerReport } from '../core/types.js';
import type { Peers, PeerStatus } from '../io/peers.js';
import { sleep } from '../io/clock.js';
import { LEADER_KEY, readLeaderValue, type LeaderValue } from '../wire/keys.js';
import { Follower } from './follower.js';
import { LeaderActor, type LeaderDependencies } from './leader.js';
import { HandOver } from './hand-over.js';
import { WORKER_HEARD_MAX_AGE_MS, LeaderTracker } from './leader-sight.js';
import type { RenewalStatistics } from './lease.js';
import { Lock, lockLeaseDurationMs } from './lock.js';
import { STATUS_MAX_AGE_MS } from './state-service-doubt.js';
import { UncertainAnswers } from './uncertain-answers.js';
import { UserRequests } from './user-requests.js';
import type { WorkerStatistics } from './workers.js';

const WATCHDOG_MS = 700;
const HAND_OVER_CHECK_MS = 250;
/** A node that hears of no leader counts as ready for so long: each removal costs a longer pause. */
const LEADERLESS_READY_MS = 8000;
/** Added to the lock's time: longer than a dead leader's lock lasts. */
const APART_AFTER_MS = 700;

export type ReportOutcome =
  | { kind: 'commands'; term: Term; fence: Fence; commands: Command[] }
  | { kind: 'redirect'; leader: string | null };

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
  private readonly handOver: HandOver;
  private readonly lockMs: number;
  private readonly sight: LeaderTracker;
  private readonly apartMs: number;
  /** When this node last had a link to the leader, or knew of none. */
  private linkedAt = -Infinity;
  /** What this node saw of terms reaches back to here: all of it once the state service was read. */
  private remembers: SteadyMs;
  private readonly uncertainAnswers: UncertainAnswers;
  /** What users ask, here and passed on by peers. */
  readonly requests: UserRequests;

  constructor(
    private readonly ports: LeaderDependencies,
    private readonly run: string,
  ) {
    const { clock, store, logger, measure, settings } = ports;
    this.remembers = clock.steady();
    this.sight = new LeaderTracker(clock);
    const { machine_limits, workers } = settings.cluster;
    this.lockMs = lockLeaseDurationMs(machine_limits.cpu_share, workers.lease_s);
    this.apartMs = this.lockMs + APART_AFTER_MS;
    this.lock = new Lock({
      ...{ store, clock, logger, measure, leaseDurationMs: this.lockMs },
      identity: { node: settings.node, term: 0, run },
      onLost: (why) => this.stepDown(why),
    });
    this.handOver = new HandOver({
      ...{ clock, logger, store, lock: this.lock, leaseDurationMs: this.lockMs },
      ...{ nodeId: settings.node as NodeId, peerCount: settings.seeds.length },
    });
    this.follower = new Follower(store, clock, logger, {
      free: () => this.contend(),
      leader: (v) => {
        this.leader = v;
        if (v) this.ledTerm = Math.max(this.ledTerm, v.term);
        logger.info({ leader: v?.node ?? null, term: v?.term, run: v?.run }, 'leader key read');
      },
      term: (t) => {
        this.remembers = -Infinity as SteadyMs;
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
    this.checkHandOver();
  }

  private checkHandOver(): void {
    this.ports.clock.after(HAND_OVER_CHECK_MS, () => this.checkHandOver());
    void this.handOver.check(this.leading, this.peers?.statuses() ?? []);
  }

  /** Looks again and again who leads, and whether this node should. */
  private watchdog(): void {
    const { clock } = this.ports;
    clock.after(WATCHDOG_MS, () => this.watchdog());
    const leaderElsewhere = this.otherLeader();
    if (!leaderElsewhere || this.peers?.isConnected(leaderElsewhere)) this.linkedAt = clock.steady();
    if (this.lock.held) return;
    this.claimReach();
    // A leader that no longer tells its peers that it leads is looked for in the state service.
    if (this.sight.isLeaderHeard() && !this.sight.isHolderInDoubt()) return;
    this.lookForLeader();
  }

  private lookForLeader(): void {
    void this.follower.checkLeader().then((free) => (free ? this.contend() : undefined));
  }

  /** Tells a leader that can't be heard, and that the state service names, that workers ask here. */
  private claimReach(): void {
    const { clock } = this.ports;
    const isNamed = clock.steady() - this.follower.answeredInTimeAt < STATUS_MAX_AGE_MS;
    const isUnheard = clock.steady() - this.linkedAt > STATUS_MAX_AGE_MS;
    const workers = this.sight.countRequestingWorkers();
    if (this.leader && this.otherLeader() && isNamed && isUnheard && workers > 0)
      this.handOver.publishReachClaim(this.leader.term as Term, workers);
  }

  /** A lock still held by an earlier run of this node holds nobody: that run is over. */
  private async endFormerLease(): Promise<void> {
    const { store, settings } = this.ports;
    const k = await store.get(LEADER_KEY);
    const v = k ? readLeaderValue(k.value) : null;
    if (k && k.leaseId !== null && v?.node === settings.node && v.run !== this.run)
      await store.revokeLease(k.leaseId);
  }

  /** Peers heard lately. */
  private heard(withinMs: number): PeerStatus[] {
    return (this.peers?.statuses() ?? []).filter((p) => p.ageMs < withinMs).map((p) => p.status);
  }

  private async contend(): Promise<void> {
    if (!this.handOver.mayAcquireLock()) return;
    if (this.contending || this.lock.held) return;
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
    await sleep(clock, random.intBelow(60));
    const held = await this.lock.tryAcquire();
    if (!held) {
      logger.debug('the lock was not to be had');
      return;
    }
    this.highest = Math.max(this.highest, held.term);
    this.uncertainAnswers.reset();
    this.follower.pause();
    for (;;) {
      if (!this.lock.held || this.lock.held.term !== held.term) return;
      if (await this.follower.catchUp(this.lockMs)) break;
      await sleep(clock, 100);
    }
    if (this.lock.held?.term !== held.term) return;
    this.leader = { node: this.ports.settings.node, term: held.term, run: this.run };
    this.ledTerm = held.term;
    this.leading = new LeaderActor({
      ...{
        dependencies: this.ports,
        state: this.follower.state,
        lock: this.lock,
        held,
        head: this.follower.head,
      },
      onDeposed: (why) => this.lock.markLost(why),
      onHigherTerm: (term) => this.higher(term),
      mayAnswerUncertain: () => this.uncertainAnswers.areAllowed(),
    });
    this.ports.measure('take_over', clock.steady() - from);
    const { term, version: stamp } = held;
    logger.info({ term, run: this.run, revision: stamp, next: this.follower.state.nextRecord }, 'leading');
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
    if (this.lock.held && term > this.lock.held.term) this.lock.release(`term ${term} seen`);
  }

  /** The number of the next record, as far as this node knows. */
  get nextRecord(): number {
    return this.follower.state.nextRecord;
  }

  /** Figures of the calls to workers, while this node leads; empty otherwise. */
  leaderStatistics(): Partial<WorkerStatistics> & { renewals?: RenewalStatistics } {
    const renewals = this.lock.renewalStatistics();
    return { ...this.leading?.workers.statistics(), ...(renewals ? { renewals } : {}) };
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
      leading: this.leading !== null && this.lock.isCertain(),
      leader: this.leader?.node ?? '',
      leaderTerm: this.leader?.term ?? 0,
      takingOver: this.lock.isAcquiring,
      remembersMs: Math.min(1e12, clock.steady() - this.remembers),
      workers:
        this.leading?.workers.intake.countHeard(WORKER_HEARD_MAX_AGE_MS) ??
        this.sight.countRequestingWorkers(),
      stateAge: this.leading
        ? this.lock.uncertainForMs()
        : Math.min(1e9, clock.steady() - this.follower.lastAnswerAt),
      reachesState: clock.steady() - this.follower.answeredInTimeAt < STATUS_MAX_AGE_MS,
      inDoubt: this.handOver.isInDoubt,
      gaveWay: this.handOver.gaveWayRecently(),
    };
  }

  /** What a peer says of itself; asked: when the question was put that it answers. */
  handlePeerStatus(s: PeerStatus, asked?: SteadyMs): void {
    this.higher(s.term as Term);
    // The state service may be out of reach when workers have to be told whom to go to.
    if (s.leader && s.leaderTerm > this.ledTerm) {
      this.ledTerm = s.leaderTerm;
      this.leader = { node: s.leader, term: s.leaderTerm, run: '' };
    }
    if (asked !== undefined) this.uncertainAnswers.vouch(s, asked);
    const wasInDoubt = this.sight.isHolderInDoubt();
    this.sight.noteStatus(s);
    // The leader waits to hear whether the state service answers this node.
    if (this.sight.isHolderInDoubt() && !wasInDoubt && !this.lock.held) this.lookForLeader();
  }

  /** Whether this node can take requests. Slow to say no: each removal costs a longer pause. */
  isReady(): boolean {
    if (!this.follower.loaded) return false;
    const now = this.ports.clock.steady();
    // A leader without state service and peers can do nothing for users; with peers it is an outage for all.
    if (this.leading) return this.lock.uncertainForMs() < this.apartMs || this.heard(this.apartMs).length > 0;
    // The state service names a leader that outlived its lease, and no link to it can be had.
    if (now - this.linkedAt > this.apartMs && this.follower.lastAnswerAt - this.linkedAt > this.apartMs)
      return false;
    return this.sight.isLeaderHeard(LEADERLESS_READY_MS);
  }

  handleReport(r: WorkerReport, reply: (h: ReportOutcome) => void): void {
    const l = this.leading;
    if (!l) {
      this.sight.noteWorkerRequest(r.machine);
      return reply({ kind: 'redirect', leader: this.otherLeader() });
    }
    l.workers.tell({
      kind: 'report',
      report: r,
      reply: (a) =>
        reply(
          a ? { kind: 'commands', term: l.term, ...a } : { kind: 'redirect', leader: this.otherLeader() },
        ),
    });
  }

  private otherLeader(): string | null {
    const node = this.leader?.node;
    return node && node !== this.ports.settings.node ? node : null;
  }
}
