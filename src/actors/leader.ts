/**
 * The work of a node during one term as the leader: it writes the log, serves workers and submissions, and
 * runs the scheduling rounds.
 */
import type { Random } from '../core/allocation.js';
import type { Policy } from '../core/policy.js';
import type { TaskAttempt } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import type { LogEntry, LogRecord, MachineId, RecordNumber, Term } from '../core/types.js';
import type { Cancel, Clock } from '../io/clock.js';
import type { HttpCall } from '../io/http-client.js';
import type { Logger } from '../io/logger.js';
import type { Measure } from '../io/metrics.js';
import type { CloudClient } from '../wire/cloud.js';
import { teamsOf, type Settings } from '../wire/settings.js';
import type { StateServiceClient } from '../wire/state-service.js';
import { Acknowledgements } from './acknowledgements.js';
import { Actor } from './actor.js';
import { AdmissionActor } from './admission.js';
import { CloudActor } from './cloud.js';
import type { HeldLock, Lock } from './lock.js';
import { LogActor } from './log.js';
import { LeaderStatusLog } from './leader-status-log.js';
import { OverdueCancellations } from './overdue-cancellations.js';
import { RoundPlanner, type RoundPlan } from './round-planner.js';
import type { Compress, VersionedSnapshotHead } from './snapshot.js';
import { Snapshotter } from './snapshotter.js';
import { TICK_INTERVAL_MS } from './stall-monitor.js';
import type { WorkerStatistics } from './worker-messages.js';
import { WorkersActor } from './workers.js';

/** What a leader uses from the rest of the process. */
export interface LeaderDependencies {
  clock: Clock;
  store: StateServiceClient;
  cloud: CloudClient;
  call: HttpCall;
  random: Random;
  logger: Logger;
  settings: Settings;
  policy: Policy;
  measure: Measure;
  deflate: Compress;
}

export interface LeaderOptions {
  dependencies: LeaderDependencies;
  state: ClusterState;
  lock: Lock;
  /** The lock as it was acquired. */
  held: HeldLock;
  /** Head of the latest complete snapshot. */
  head: VersionedSnapshotHead;
  /** Called when a write is refused because another node leads. */
  onDeposed: (why: string) => void;
  /** Called when a worker reports a higher term. */
  onHigherTerm: (term: Term) => void;
  /** Whether reports may be answered while the lock is not certain to be held. */
  mayAnswerWhileUncertain: () => boolean;
  /** Whether no other node can be leading. */
  isSoleLeader: () => boolean;
  /** Whether a controller has just said that it knows of no later leader. */
  isStillFollowed: () => boolean;
}

/** Statistics for operators, counted since this node began to lead. */
export type LeaderStatistics = WorkerStatistics & {
  /** Entries that the state service takes in no form. */
  rejectedEntries: number;
};

/** Shortest delay between an event and the round that it triggers; the longest is the interval of ticks. */
const MIN_EVENT_ROUND_DELAY_MS = 200;
/** Spacing of rounds after events, as a multiple of the last round's duration; at most a tick interval. */
const EVENT_ROUND_SPACING = 5;
/** The same for rounds on ticks; larger while the node is behind. */
const ROUND_SPACING = 1.5;
const ROUND_SPACING_BEHIND = 4;
/** Share of the sockets for direct calls to workers: most others hold the workers' own connections. */
const CALL_SHARE_OF_SOCKETS = 1 / 12;
const MIN_OPEN_CALLS = 8;

interface LeaderMessage {
  kind: 'round';
}

/** Owns the actors of one term and triggers the scheduling rounds. */
export class LeaderActor extends Actor<LeaderMessage> {
  readonly log: LogActor;
  readonly admission: AdmissionActor;
  readonly workers: WorkersActor;
  readonly cloud: CloudActor;
  readonly term: Term;
  private readonly dependencies: LeaderDependencies;
  private readonly state: ClusterState;
  private readonly lock: Lock;
  private readonly clock: Clock;
  private readonly rounds: RoundPlanner;
  private readonly statusLog: LeaderStatusLog;
  private readonly snapshotter: Snapshotter;
  private readonly acknowledgements: Acknowledgements;
  private cancelTick: Cancel | null = null;
  /** Whether entries of the last round are still being written. */
  private isWritingRound = false;
  /** Whether a round that an event triggered is scheduled. */
  private isRoundScheduled = false;
  private rentalCount = 0;
  private lastRoundAt = -Infinity;
  private lastRoundMs = 0;
  private readonly overdue: OverdueCancellations;

  constructor(options: LeaderOptions) {
    super();
    const { dependencies, state, held } = options;
    this.dependencies = dependencies;
    this.state = state;
    this.lock = options.lock;
    this.clock = dependencies.clock;
    this.term = held.term;
    const isCertain = (): boolean => !this.stopped && this.lock.isCertain();
    this.log = this.createLog(options);
    this.workers = this.createWorkers(options, isCertain);
    this.admission = this.createAdmission(isCertain);
    const { clock, cloud, logger, settings } = dependencies;
    this.cloud = new CloudActor(state, cloud, this.log, clock, settings.cluster.cloud, isCertain, logger);
    const { workers } = this;
    this.statusLog = new LeaderStatusLog({
      state,
      workers,
      clock,
      logger,
      term: held.term,
      writes: this.log.writes,
    });
    this.snapshotter = this.createSnapshotter(options, isCertain);
    this.acknowledgements = new Acknowledgements((attempt) => workers.progress.wasReported(attempt));
    this.overdue = new OverdueCancellations({
      ...{ state, clock, workers, log: this.log, limits: settings.cluster.workers },
      ...{ isSoleLeader: options.isSoleLeader, isStillFollowed: options.isStillFollowed },
    });
    this.rounds = new RoundPlanner({
      ...{ ...dependencies, state, workers, cloud: this.cloud },
      nextRentalName: () => `h-${this.term}-${++this.rentalCount}`,
      isOverdue: (attempt) => this.overdue.isOverdue(attempt),
    });
    this.log.committed.subscribe(({ recordNumber, record }) => this.onCommitted(recordNumber, record));
    const liveAttempts = [...state.machines.values()].flatMap((machine) => [...machine.live]);
    this.acknowledgements.noteWritten((state.nextRecord - 1) as RecordNumber, liveAttempts);
    this.tick();
  }

  private createLog({ dependencies, state, held, onDeposed }: LeaderOptions): LogActor {
    const { clock, logger, measure, settings, store } = dependencies;
    return new LogActor({
      ...{ state, store, clock, logger, onDeposed, term: held.term, leaderVersion: held.version },
      limits: settings.cluster.state,
      onWritten: (ms) => measure('write', ms),
    });
  }

  private createWorkers(options: LeaderOptions, isCertain: () => boolean): WorkersActor {
    const { call, clock, logger, settings } = options.dependencies;
    const { machine_limits: limits, workers } = settings.cluster;
    return new WorkersActor({
      ...{ state: this.state, log: this.log, call, clock, logger, term: this.term, isCertain },
      reportPeriodS: workers.report_s,
      maxOpenCalls: Math.max(MIN_OPEN_CALLS, Math.floor(limits.sockets * CALL_SHARE_OF_SOCKETS)),
      mayAnswerWhileUncertain: options.mayAnswerWhileUncertain,
      onFactWritten: () => this.scheduleRound(),
      onHigherTerm: options.onHigherTerm,
    });
  }

  private createAdmission(isCertain: () => boolean): AdmissionActor {
    const { clock, settings } = this.dependencies;
    return new AdmissionActor({
      ...{ state: this.state, log: this.log, clock, isCertain, teams: teamsOf(settings) },
      maxValueKb: settings.cluster.state.value_kb,
      countRunningTasks: (job) => this.workers.countRunningTasks(job),
      onCancelling: (job, isUnderWay) => this.workers.tell({ kind: 'cancelling', job, isUnderWay }),
    });
  }

  private createSnapshotter({ held, head }: LeaderOptions, isCertain: () => boolean): Snapshotter {
    const { clock, deflate, logger, measure, settings, store } = this.dependencies;
    return new Snapshotter({
      ...{ state: this.state, store, clock, logger, log: this.log, compress: deflate, head, isCertain },
      limits: settings.cluster.state,
      leaderVersion: held.version,
      onStateCopied: (ms) => {
        measure('fold', ms);
        this.statusLog.noteStep('fold', ms);
      },
    });
  }

  statistics(): LeaderStatistics {
    return { ...this.workers.statistics(), rejectedEntries: this.log.rejectedEntries };
  }

  private tick(): void {
    if (this.stopped) return;
    this.cancelTick = this.clock.after(TICK_INTERVAL_MS, () => this.tick());
    this.workers.tell({ kind: 'tick' });
    this.overdue.noteUnsettled();
    if (!this.lock.isCertain() || this.log.hasUnsettledWrite) this.returnOverdue();
    this.cloud.tell({ kind: 'tick' });
    const spacing = this.workers.isBehind() ? ROUND_SPACING_BEHIND : ROUND_SPACING;
    if (this.clock.steady() - this.lastRoundAt >= this.lastRoundMs * spacing) this.tell({ kind: 'round' });
  }

  /** No return can be logged now, but overdue cancelled tasks must end all the same. */
  private returnOverdue(): void {
    this.cloud.tell({ kind: 'returnWithoutRecord', machines: this.overdue.overdueMachines() });
  }

  /**
   * Schedules a round before the next tick, after an event that may let tasks start. The delay grows with the
   * last round's duration, so that rounds take a bounded share of the processor on a site of any size.
   */
  private scheduleRound(): void {
    if (this.isRoundScheduled || this.stopped) return;
    this.isRoundScheduled = true;
    const delayMs = this.lastRoundAt + this.lastRoundMs * EVENT_ROUND_SPACING - this.clock.steady();
    this.clock.after(Math.min(TICK_INTERVAL_MS, Math.max(MIN_EVENT_ROUND_DELAY_MS, delayMs)), () => {
      this.isRoundScheduled = false;
      this.tell({ kind: 'round' });
    });
  }

  private onCommitted(recordNumber: RecordNumber, record: LogRecord): void {
    const attempts = record.entries.flatMap((entry) => this.attemptsOf(entry));
    this.acknowledgements.noteWritten(recordNumber, attempts);
    this.statusLog.noteEnds(record);
    const machines = new Set<MachineId>(attempts.map((attempt) => attempt.machine.id));
    if (machines.size > 0) this.workers.tell({ kind: 'commandsDue', machines });
    const contains = (...kinds: LogEntry['e'][]): boolean =>
      record.entries.some(({ e }) => kinds.includes(e));
    if (contains('hire', 'drop')) this.cloud.tell({ kind: 'tick' });
    if (contains('job', 'up', 'gone')) this.scheduleRound();
  }

  /** The task attempts that an entry's commands concern. */
  private attemptsOf(entry: LogEntry): TaskAttempt[] {
    if (entry.e !== 'start' && entry.e !== 'stop' && entry.e !== 'withdraw') return [];
    const job = this.state.jobs.get(entry.job);
    if (!job) return [];
    if (entry.e === 'withdraw') {
      this.overdue.noteStopped(job);
      return [...job.live.values()];
    }
    const tasks = entry.e === 'start' ? entry.p.map(([task]) => task) : entry.p;
    return tasks.flatMap((task) => job.live.get(task) ?? []);
  }

  protected receive(): void {
    if (this.stopped || this.isWritingRound) return;
    if (this.lock.isCertain() && this.workers.isReconciled()) this.round();
  }

  private round(): void {
    const startedAt = this.clock.steady();
    const result = this.rounds.plan(this.clock.wall());
    this.write(result);
    this.lastRoundAt = this.clock.steady();
    this.lastRoundMs = this.lastRoundAt - startedAt;
    this.dependencies.measure('round', this.lastRoundMs);
    this.statusLog.noteStep('round', this.lastRoundMs);
    this.statusLog.logIfDue(result.usable, result.unplacedAfterPreemption);
    this.snapshotter.compactIfDue();
  }

  /** Submits a round's entries, preceded by a mark up to which record all commands are confirmed. */
  private write({ entries, starts, unplaced, usable }: RoundPlan): void {
    const upto = this.acknowledgements.processedUpTo(this.state.nextRecord);
    if (entries.length === 0) return;
    const toWrite: LogEntry[] = upto > this.state.processedUpTo ? [{ e: 'mark', upto }, ...entries] : entries;
    this.isWritingRound = true;
    let remaining = toWrite.length;
    const settleOne = (): void => {
      if (--remaining === 0) this.isWritingRound = false;
    };
    for (const entry of toWrite) this.log.tell({ entries: [entry], onSettled: settleOne });
    const unplacedTasks = unplaced.map(({ job, tasks }) => [job.spec.id, tasks]);
    this.dependencies.logger.debug({ starts, unplaced: unplacedTasks, usable }, 'round');
  }

  override stop(): void {
    super.stop();
    this.cancelTick?.();
    this.log.stop();
    this.admission.stop();
    this.workers.stop();
    this.cloud.stop();
    this.snapshotter.stop();
  }
}
