/** A controller node: follows the log, competes for the lock and leads the cluster while it holds it. */
import { dumpState } from '../core/state-dump.js';
import type { Command, Fence, NodeId, SteadyMs, Term, WorkerReport } from '../core/types.js';
import type { Peers, PeerStatus } from '../io/peers.js';
import { sleep } from '../io/clock.js';
import { LEADER_KEY, readLeaderValue, type LeaderValue } from '../wire/keys.js';
import { Follower } from './follower.js';
import { LeaderActor, type LeaderDependencies, type LeaderStatistics } from './leader.js';
import { HandOver } from './hand-over.js';
import { WORKER_HEARD_MAX_AGE_MS, LeaderTracker } from './leader-tracker.js';
import type { RenewalStatistics } from './lease.js';
import { Lock, lockLeaseDurationMs } from './lock.js';
import { STATUS_MAX_AGE_MS } from './state-service-monitor.js';
import { UncertainAnswerPolicy } from './uncertain-answers.js';
import { UserRequests } from './user-requests.js';

const WATCHDOG_PERIOD_MS = 700;
const HAND_OVER_CHECK_PERIOD_MS = 250;
/** How long a node that hears no leader stays ready: the balancer excludes it longer after each removal. */
const LEADERLESS_READY_MS = 8000;
/** Added to the lock's lease duration: after both, the lock of a leader that has died has expired. */
const ISOLATION_MARGIN_MS = 700;

/** The answer to a worker's report: commands, or the leader that the worker should report to. */
export type ReportOutcome =
  | { kind: 'commands'; term: Term; fence: Fence; commands: Command[] }
  | { kind: 'redirect'; leader: string | null };

export class Controller {
  private readonly follower: Follower;
  private readonly lock: Lock;
  private leaderActor: LeaderActor | null = null;
  private leader: LeaderValue | null = null;
  /** The highest term with a known leader, and the highest term seen at all. */
  private highestLeaderTerm = 0;
  private highestTerm = 0;
  private peers: Peers | null = null;
  private isTakingOver = false;
  private readonly handOver: HandOver;
  private readonly leaseDurationMs: number;
  private readonly tracker: LeaderTracker;
  /** How long the node still reports ready after it has lost contact. */
  private readonly graceMs: number;
  /** When this node last had a connection to the leader or knew of no other leader. */
  private connectedAt = -Infinity;
  /** Start of the period whose terms this node knows; -Infinity once it has read the term key. */
  private observesTermsSince: SteadyMs;
  private readonly uncertainAnswers: UncertainAnswerPolicy;
  /** Handles users' requests that arrive here or are forwarded by peers. */
  readonly requests: UserRequests;

  constructor(
    private readonly dependencies: LeaderDependencies,
    private readonly runId: string,
  ) {
    const { clock, store, logger, measure, settings } = dependencies;
    this.observesTermsSince = clock.steady();
    this.tracker = new LeaderTracker(clock);
    const { machine_limits, workers } = settings.cluster;
    this.leaseDurationMs = lockLeaseDurationMs(machine_limits.cpu_share, workers.lease_s);
    this.graceMs = this.leaseDurationMs + ISOLATION_MARGIN_MS;
    this.lock = new Lock({
      ...{ store, clock, logger, measure, leaseDurationMs: this.leaseDurationMs },
      identity: { node: settings.node, term: 0, run: runId },
      onLost: (why) => this.stepDown(why),
    });
    this.handOver = new HandOver({
      ...{ clock, logger, store, lock: this.lock, leaseDurationMs: this.leaseDurationMs },
      ...{ nodeId: settings.node as NodeId, peerCount: settings.seeds.length },
    });
    this.follower = new Follower(store, clock, logger, {
      onLockFree: () => this.tryToLead(),
      onLeader: (value) => {
        this.leader = value;
        if (value) this.highestLeaderTerm = Math.max(this.highestLeaderTerm, value.term);
        logger.info({ leader: value?.node ?? null, term: value?.term, run: value?.run }, 'leader key read');
      },
      onTerm: (term) => {
        this.observesTermsSince = -Infinity as SteadyMs;
        this.noteTerm(term);
      },
    });
    this.uncertainAnswers = new UncertainAnswerPolicy(this.lock, clock, settings);
    this.requests = new UserRequests({
      ...{ clock, follower: this.follower, lock: this.lock },
      localLeader: () => this.leaderActor,
      remoteLeader: () => this.remoteLeader(),
      peers: () => this.peers,
    });
  }

  async start(peers: Peers): Promise<void> {
    this.peers = peers;
    await this.revokeFormerLease();
    void this.follower.run();
    this.watchdog();
    this.checkHandOver();
  }

  private checkHandOver(): void {
    this.dependencies.clock.after(HAND_OVER_CHECK_PERIOD_MS, () => this.checkHandOver());
    void this.handOver.check(this.leaderActor, this.peers?.statuses() ?? []);
  }

  /** Periodically checks who leads and whether this node should try to take the lock. */
  private watchdog(): void {
    const { clock } = this.dependencies;
    clock.after(WATCHDOG_PERIOD_MS, () => this.watchdog());
    const remoteLeader = this.remoteLeader();
    if (!remoteLeader || this.peers?.isConnected(remoteLeader)) this.connectedAt = clock.steady();
    if (this.lock.held) return;
    this.claimReach();
    // If the leader no longer tells its peers that it leads, look it up in the state service.
    if (this.tracker.isLeaderHeard() && !this.tracker.isHolderInDoubt()) return;
    this.checkLeader();
  }

  private checkLeader(): void {
    void this.follower.checkLeader().then((isFree) => (isFree ? this.tryToLead() : undefined));
  }

  /** Tells a leader named by the state service, but not connected, how many workers contact this node. */
  private claimReach(): void {
    const { clock } = this.dependencies;
    const reachesStateService = clock.steady() - this.follower.answeredInTimeAt < STATUS_MAX_AGE_MS;
    const isDisconnected = clock.steady() - this.connectedAt > STATUS_MAX_AGE_MS;
    const workers = this.tracker.countRequestingWorkers();
    if (this.leader && this.remoteLeader() && reachesStateService && isDisconnected && workers > 0)
      this.handOver.publishReachClaim(this.leader.term as Term, workers);
  }

  /** Revokes the lease of a lock that an earlier run of this node holds: that run has ended. */
  private async revokeFormerLease(): Promise<void> {
    const { store, settings } = this.dependencies;
    const stored = await store.get(LEADER_KEY);
    const holder = stored ? readLeaderValue(stored.value) : null;
    if (stored && stored.leaseId !== null && holder?.node === settings.node && holder.run !== this.runId)
      await store.revokeLease(stored.leaseId);
  }

  private recentStatuses(withinMs: number): PeerStatus[] {
    return (this.peers?.statuses() ?? []).filter((peer) => peer.ageMs < withinMs).map((p) => p.status);
  }

  private async tryToLead(): Promise<void> {
    if (!this.handOver.mayAcquireLock()) return;
    if (this.isTakingOver || this.lock.held) return;
    this.isTakingOver = true;
    try {
      await this.takeOver();
    } finally {
      this.isTakingOver = false;
    }
  }

  private async takeOver(): Promise<void> {
    const { clock, random, logger } = this.dependencies;
    const startedAt = clock.steady();
    await sleep(clock, random.intBelow(60));
    const held = await this.lock.tryAcquire();
    if (!held) {
      logger.debug('lock not acquired');
      return;
    }
    this.highestTerm = Math.max(this.highestTerm, held.term);
    this.uncertainAnswers.reset();
    this.follower.pause();
    for (;;) {
      if (!this.lock.held || this.lock.held.term !== held.term) return;
      if (await this.follower.catchUp(this.leaseDurationMs)) break;
      await sleep(clock, 100);
    }
    if (this.lock.held?.term !== held.term) return;
    this.leader = { node: this.dependencies.settings.node, term: held.term, run: this.runId };
    this.highestLeaderTerm = held.term;
    const { dependencies, follower, lock } = this;
    this.leaderActor = new LeaderActor({
      ...{ dependencies, lock, held, state: follower.state, head: follower.head },
      onDeposed: (why) => this.lock.markLost(why),
      onHigherTerm: (term) => this.noteTerm(term),
      mayAnswerWhileUncertain: () => this.uncertainAnswers.isAllowed(),
      isSoleLeader: () => this.uncertainAnswers.isSoleLeader(),
      isStillFollowed: () => this.uncertainAnswers.isStillFollowed(),
    });
    this.dependencies.measure('take_over', clock.steady() - startedAt);
    const { term, version: revision } = held;
    logger.info({ term, run: this.runId, revision, next: this.follower.state.nextRecord }, 'leading');
  }

  private stepDown(why: string): void {
    const formerLeader = this.leaderActor;
    this.leaderActor = null;
    this.leader = null;
    formerLeader?.stop();
    this.dependencies.logger.info({ why }, 'following');
    this.follower.resume();
  }

  /** Notes a term. If it is higher than that of the lock held here, another node leads: releases the lock. */
  private noteTerm(term: Term): void {
    if (term <= this.highestTerm) return;
    this.highestTerm = term;
    if (this.lock.held && term > this.lock.held.term) this.lock.release(`term ${term} seen`);
  }

  /** The number of the next log record, as far as this node knows. */
  get nextRecord(): number {
    return this.follower.state.nextRecord;
  }

  /** Statistics of the calls to workers, of the log and of lease renewals; empty without the lock. */
  leaderStatistics(): Partial<LeaderStatistics> & { renewals?: RenewalStatistics } {
    const renewals = this.lock.renewalStatistics();
    return { ...this.leaderActor?.statistics(), ...(renewals ? { renewals } : {}) };
  }

  /** The state as this node would write it into a snapshot now. */
  dump(): unknown {
    return dumpState(this.follower.state);
  }

  status(): PeerStatus {
    const { clock, settings } = this.dependencies;
    return {
      node: settings.node,
      run: this.runId,
      term: this.highestTerm,
      leading: this.leaderActor !== null && this.lock.isCertain(),
      leader: this.leader?.node ?? '',
      leaderTerm: this.leader?.term ?? 0,
      takingOver: this.lock.isAcquiring,
      remembersMs: Math.min(1e12, clock.steady() - this.observesTermsSince),
      workers:
        this.leaderActor?.workers.intake.countHeard(WORKER_HEARD_MAX_AGE_MS) ??
        this.tracker.countRequestingWorkers(),
      stateAge: this.leaderActor
        ? this.lock.uncertainForMs()
        : Math.min(1e9, clock.steady() - this.follower.lastAnswerAt),
      reachesState: clock.steady() - this.follower.answeredInTimeAt < STATUS_MAX_AGE_MS,
      inDoubt: this.handOver.isInDoubt,
      gaveWay: this.handOver.gaveWayRecently(),
    };
  }

  /** Takes a peer's status; `askedAt` is when the question that it answers was sent, if it answers one. */
  handlePeerStatus(status: PeerStatus, askedAt?: SteadyMs): void {
    this.noteTerm(status.term as Term);
    // Workers have to be redirected to the leader even if the state service cannot be reached.
    if (status.leader && status.leaderTerm > this.highestLeaderTerm) {
      this.highestLeaderTerm = status.leaderTerm;
      this.leader = { node: status.leader, term: status.leaderTerm, run: '' };
    }
    if (askedAt !== undefined) this.uncertainAnswers.noteStatus(status, askedAt);
    const wasInDoubt = this.tracker.isHolderInDoubt();
    this.tracker.noteStatus(status);
    // A leader that doubts the state service waits to hear whether the service answers this node.
    if (this.tracker.isHolderInDoubt() && !wasInDoubt && !this.lock.held) this.checkLeader();
  }

  /** Whether this node can take requests. Has a grace period: each removal from the balancer lasts longer. */
  isReady(): boolean {
    if (!this.follower.loaded) return false;
    const now = this.dependencies.clock.steady();
    // Cut off from state service and peers, a leader can't serve users; with peers, all nodes are affected.
    if (this.leaderActor)
      return this.lock.uncertainForMs() < this.graceMs || this.recentStatuses(this.graceMs).length > 0;
    // The state service still named the leader after a lease duration: it is alive, but out of reach here.
    if (now - this.connectedAt > this.graceMs && this.follower.lastAnswerAt - this.connectedAt > this.graceMs)
      return false;
    return this.tracker.isLeaderHeard(LEADERLESS_READY_MS);
  }

  /** Answers a worker's report: as the leader with commands, otherwise with a redirect. */
  handleReport(report: WorkerReport, reply: (outcome: ReportOutcome) => void): void {
    const leaderActor = this.leaderActor;
    if (!leaderActor) {
      this.tracker.noteWorkerRequest(report.machine);
      return reply({ kind: 'redirect', leader: this.remoteLeader() });
    }
    leaderActor.workers.tell({
      kind: 'report',
      report,
      reply: (answer) =>
        reply(
          answer
            ? { kind: 'commands', term: leaderActor.term, ...answer }
            : { kind: 'redirect', leader: this.remoteLeader() },
        ),
    });
  }

  private remoteLeader(): string | null {
    const node = this.leader?.node;
    return node && node !== this.dependencies.settings.node ? node : null;
  }
}
