/** One term of leading: the log's writer, what was heard and is told, and the rounds that decide what runs where. */
import type { Random } from '../core/fill.js';
import type { Policy } from '../core/policy.js';
import { isCancelled } from '../core/recovery.js';
import type { Job, TaskAttempt } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import type { LogEntry, LogRecord, MachineId, RecordNumber, Term, WallMs } from '../core/types.js';
import type { Cancel, Clock } from '../io/clock.js';
import type { HttpCall } from '../io/http-client.js';
import type { Logger } from '../io/logger.js';
import type { Measure } from '../io/metrics.js';
import type { CloudClient } from '../wire/cloud.js';
import { teamsOf, type Settings } from '../wire/settings.js';
import type { StateServiceClient } from '../wire/store.js';
import { Acknowledgements } from './acknowledgements.js';
import { Actor } from './actor.js';
import { AdmissionActor } from './admission.js';
import { CloudActor } from './cloud.js';
import type { HeldLock, Lock } from './lock.js';
import { LogActor } from './log.js';
import { LeaderStatusLog } from './pulse.js';
import { RoundPlanner, type RoundPlan } from './round.js';
import type { Compress, VersionedSnapshotHead } from './snapshot.js';
import { Snapshotter } from './snapshotter.js';
import { WorkersActor } from './workers.js';

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
  /** The lock as it was taken. */
  held: HeldLock;
  /** The snapshot in force. */
  head: VersionedSnapshotHead;
  /** Another leads: a write was refused. */
  onDeposed: (why: string) => void;
  /** A worker has seen a higher term. */
  onHigherTerm: (term: Term) => void;
  /** Whether reports may be answered without a certain lock. */
  mayAnswerUncertain: () => boolean;
}

/** Rounds and ticks come this often at the least. */
const ROUND_MS = 1000;
/** A round that follows news comes so long after it, at the earliest. */
const NEWS_ROUND_MS = 200;
/** A round that follows news keeps this many times the last one's length from it, up to the ordinary interval. */
const NEWS_ROUNDS_APART = 5;
/** An ordinary round keeps this many times the last one's length from it, and more while the node is behind. */
const ROUNDS_APART = 1.5;
const ROUNDS_APART_BEHIND = 4;
/** Direct calls to workers, of a node's sockets: most of those hold the workers' own connections. */
const CALLS_OF_SOCKETS = 1 / 12;
const LEAST_CALLS = 8;
/** A return takes a record, a call to the cloud, and its repeats. */
const RETURN_S = 12;

interface LeaderMessage {
  kind: 'round';
}

export class LeaderActor extends Actor<LeaderMessage> {
  readonly log: LogActor;
  readonly admission: AdmissionActor;
  readonly workers: WorkersActor;
  readonly cloud: CloudActor;
  readonly term: Term;
  private readonly ports: LeaderDependencies;
  private readonly state: ClusterState;
  private readonly lock: Lock;
  private readonly clock: Clock;
  private readonly rounds: RoundPlanner;
  private readonly pulse: LeaderStatusLog;
  private readonly snapshotter: Snapshotter;
  private readonly acknowledgements: Acknowledgements;
  private cancelTick: Cancel | null = null;
  /** The last round's entries are not all written yet. */
  private isWritingRound = false;
  /** A round that follows news is planned. */
  private isRoundPlanned = false;
  private rentals = 0;
  private roundAt = -Infinity;
  private roundMs = 0;
  /** When this leader saw a cancellation written: its record may have been begun long before. */
  private readonly cancelledAt = new WeakMap<Job, WallMs>();

  constructor(options: LeaderOptions) {
    super();
    const { dependencies: ports, state, held } = options;
    this.ports = ports;
    this.state = state;
    this.lock = options.lock;
    this.clock = ports.clock;
    this.term = held.term;
    const isCertain = (): boolean => !this.stopped && this.lock.isCertain();
    this.log = this.openLog(options);
    this.workers = this.openWorkers(options, isCertain);
    this.admission = this.openAdmission(isCertain);
    const { clock, cloud, logger, settings } = ports;
    this.cloud = new CloudActor(state, cloud, this.log, clock, settings.cluster.cloud, isCertain, logger);
    const { workers } = this;
    this.pulse = new LeaderStatusLog({
      state,
      workers,
      clock,
      logger,
      term: held.term,
      writes: this.log.writes,
    });
    this.snapshotter = this.openSnapshotter(options, isCertain);
    this.acknowledgements = new Acknowledgements((live) => workers.progress.wasReported(live));
    this.rounds = new RoundPlanner({
      ...{ ...ports, state, workers, cloud: this.cloud },
      nextRentalName: () => `h-${this.term}-${++this.rentals}`,
      isOverdue: (live) => this.isOverdue(live),
    });
    this.log.committed.subscribe(({ no, record }) => this.committed(no, record));
    const live = [...state.machines.values()].flatMap((machine) => [...machine.live]);
    this.acknowledgements.noteWritten((state.nextRecord - 1) as RecordNumber, live);
    this.tick();
  }

  private openLog({ dependencies: ports, state, held, onDeposed }: LeaderOptions): LogActor {
    const { clock, logger, measure, settings, store } = ports;
    return new LogActor({
      ...{ state, store, clock, logger, onDeposed, term: held.term, leaderVersion: held.version },
      limits: settings.cluster.state,
      onWritten: (ms) => measure('write', ms),
    });
  }

  private openWorkers(options: LeaderOptions, isCertain: () => boolean): WorkersActor {
    const { call, clock, logger, settings } = options.dependencies;
    const { machine_limits: limits, workers } = settings.cluster;
    return new WorkersActor({
      ...{ state: this.state, log: this.log, call, clock, logger, term: this.term, isCertain },
      reportPeriodS: workers.report_s,
      maxOpenCalls: Math.max(LEAST_CALLS, Math.floor(limits.sockets * CALLS_OF_SOCKETS)),
      mayAnswerUncertain: options.mayAnswerUncertain,
      onFactWritten: () => this.planRound(),
      onHigherTerm: options.onHigherTerm,
    });
  }

  private openAdmission(isCertain: () => boolean): AdmissionActor {
    const { clock, settings } = this.ports;
    return new AdmissionActor({
      ...{ state: this.state, log: this.log, clock, isCertain, teams: teamsOf(settings) },
      maxValueKb: settings.cluster.state.value_kb,
      countRunningTasks: (job) => this.workers.countRunningTasks(job),
      onCancelling: (job, isUnderWay) => this.workers.tell({ kind: 'cancelling', job, isUnderWay }),
    });
  }

  private openSnapshotter({ held, head }: LeaderOptions, isCertain: () => boolean): Snapshotter {
    const { clock, deflate, logger, measure, settings, store } = this.ports;
    return new Snapshotter({
      ...{ state: this.state, store, clock, logger, log: this.log, compress: deflate, head, isCertain },
      limits: settings.cluster.state,
      leaderVersion: held.version,
      onStateCopied: (ms) => {
        measure('fold', ms);
        this.pulse.noteStep('fold', ms);
      },
    });
  }

  private tick(): void {
    if (this.stopped) return;
    this.cancelTick = this.clock.after(ROUND_MS, () => this.tick());
    this.workers.tell({ kind: 'tick' });
    if (!this.lock.isCertain()) this.returnOverdue();
    this.cloud.tell({ kind: 'tick' });
    const apart = this.workers.isBehind() ? ROUNDS_APART_BEHIND : ROUNDS_APART;
    if (this.clock.steady() - this.roundAt >= this.roundMs * apart) this.tell({ kind: 'round' });
  }

  /** Without a certain lock no return can be logged; what a cancellation asks for is done all the same. */
  private returnOverdue(): void {
    const all = [...this.state.machines.values()];
    const machines = all.filter((machine) => [...machine.live].some((live) => this.isOverdue(live)));
    this.cloud.tell({ kind: 'returnWithoutRecord', machines });
  }

  /**
   * Guards ran_cancelled: a task that a lease's time of stops has not ended is on a machine that hangs or
   * hears nothing; the machine is returned while that still helps.
   */
  private isOverdue(live: TaskAttempt): boolean {
    if (!live.stop || !isCancelled(live) || this.workers.hasReportedEnd(live)) return false;
    const { lease_s, cancel_s } = this.ports.settings.cluster.workers;
    const age = (this.clock.wall() - (this.cancelledAt.get(live.job) ?? live.stop.at)) / 1000;
    return age > lease_s && (this.workers.isReconciled() || age > cancel_s - RETURN_S);
  }

  /**
   * Something changed that a round could use: no need to wait for the tick. Rounds take a bounded share of the
   * processor, however large the site.
   */
  private planRound(): void {
    if (this.isRoundPlanned || this.stopped) return;
    this.isRoundPlanned = true;
    const spaced = this.roundAt + this.roundMs * NEWS_ROUNDS_APART - this.clock.steady();
    this.clock.after(Math.min(ROUND_MS, Math.max(NEWS_ROUND_MS, spaced)), () => {
      this.isRoundPlanned = false;
      this.tell({ kind: 'round' });
    });
  }

  private committed(no: RecordNumber, record: LogRecord): void {
    const lives = record.entries.flatMap((entry) => this.livesOf(entry));
    this.acknowledgements.noteWritten(no, lives);
    this.pulse.noteEnds(record);
    const machines = new Set<MachineId>(lives.map((live) => live.machine.id));
    if (machines.size > 0) this.workers.tell({ kind: 'commandsDue', machines });
    const has = (...kinds: LogEntry['e'][]): boolean => record.entries.some(({ e }) => kinds.includes(e));
    if (has('hire', 'drop')) this.cloud.tell({ kind: 'tick' });
    if (has('job', 'up', 'gone')) this.planRound();
  }

  /** The tasks that an entry's commands concern. */
  private livesOf(entry: LogEntry): TaskAttempt[] {
    if (entry.e !== 'start' && entry.e !== 'stop' && entry.e !== 'withdraw') return [];
    const job = this.state.jobs.get(entry.job);
    if (!job) return [];
    if (entry.e === 'withdraw') {
      this.cancelledAt.set(job, this.clock.wall());
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
    const from = this.clock.steady();
    const result = this.rounds.plan(this.clock.wall());
    this.write(result);
    this.roundAt = this.clock.steady();
    this.roundMs = this.roundAt - from;
    this.ports.measure('round', this.roundMs);
    this.pulse.noteStep('round', this.roundMs);
    this.pulse.logIfDue(result.usable, result.unplacedAfterPreemption);
    this.snapshotter.compactIfDue();
  }

  private write({ entries, starts, unplaced, usable }: RoundPlan): void {
    const upto = this.acknowledgements.processedUpTo(this.state.nextRecord);
    if (entries.length === 0) return;
    const all: LogEntry[] = upto > this.state.processedUpTo ? [{ e: 'mark', upto }, ...entries] : entries;
    this.isWritingRound = true;
    let left = all.length;
    const done = (): void => {
      if (--left === 0) this.isWritingRound = false;
    };
    for (const entry of all) this.log.tell({ entries: [entry], onSettled: done });
    const waiting = unplaced.map(({ job, tasks }) => [job.spec.id, tasks]);
    this.ports.logger.debug({ starts, unplaced: waiting, usable }, 'round');
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
