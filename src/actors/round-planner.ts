/**
 * One scheduling round: decides which tasks to stop and start and which machines to rent and return, from
 * committed state and the workers' reports. It only plans; the leader writes the entries.
 */
import { stopsForNotices, stopsForBrokenGangs } from '../core/orderly-stops.js';
import { orderClaims } from '../core/claims.js';
import type { Random } from '../core/allocation.js';
import type { Offer } from '../core/offers.js';
import { place, type PlacementResult, type Unplaced } from '../core/placement.js';
import type { Policy } from '../core/policy.js';
import { preempt, type PreemptionResult } from '../core/preemption.js';
import { planRentals } from '../core/rentals.js';
import { planReturns } from '../core/returns.js';
import { isAvailable, type Job, type TaskAttempt, type Machine } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import { priorityRank, type LogEntry, type Team, type WallMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import { teamsOf, type Settings } from '../wire/settings.js';
import type { CloudActor } from './cloud.js';
import type { WorkersActor } from './workers.js';

/** Number of machines sampled for a task before all are examined. */
const SAMPLE_SIZE = 5;
/** Maximum starts in one round, about as many as the log writes before the next round. */
const MAX_STARTS = 2500;
/**
 * A job without any start after this time is preferred, so that jobs of the lowest priority and the largest
 * jobs of any priority do not starve behind more urgent ones.
 */
const STARVATION_MS = 150_000;
/** The shortest expected run of a job, as a fraction of its estimate. */
const MIN_RUN_FRACTION = 0.7;
/** A postponed job is treated like any other again once its age reaches this multiple of its objective. */
const MAX_POSTPONEMENT_FACTOR = 3;
/** A machine without a report for longer than this counts as silent. */
const SILENT_AFTER_S = 6;
/**
 * From this number of machines on, silence of more than half of them indicates that the network to them may
 * be cut.
 */
const MIN_MACHINES_FOR_SILENCE = 3;

export interface RoundPlannerOptions {
  state: ClusterState;
  workers: WorkersActor;
  cloud: CloudActor;
  clock: Clock;
  settings: Settings;
  policy: Policy;
  random: Random;
  nextRentalName: () => string;
  /** Whether a cancelled task is still running although its stops have had enough time. */
  isOverdue: (attempt: TaskAttempt) => boolean;
}

/** The result of a round: log entries to write, and figures for the status log. */
export interface RoundPlan {
  entries: LogEntry[];
  starts: number;
  usable: number;
  /** Tasks that did not fit on any machine. */
  unplaced: Unplaced[];
  /** Tasks that do not fit even where other tasks are being stopped. */
  unplacedAfterPreemption: Unplaced[];
}

const hasNeverStarted = (job: Job): boolean => job.fresh === 0 && job.live.size === 0 && job.gangTry === 1;

/** Plans the rounds of one leader. */
export class RoundPlanner {
  private readonly teams: readonly Team[];
  /** Seconds within which jobs of a class should finish. */
  private readonly finishObjectiveS = new Map<string, number>();
  /** Seconds of the tightest objective of each class; 0 if the class has one for the wait until the start. */
  private readonly tightestObjectiveS = new Map<string, number>();
  /** Machines that the last round reserved for gangs. */
  private reserved: ReadonlySet<Machine> = new Set();

  constructor(private readonly options: RoundPlannerOptions) {
    this.teams = teamsOf(options.settings);
    for (const { kind, class: className, within_s: withinS } of options.settings.cluster.objectives) {
      if (!className || !withinS) continue;
      if (kind === 'finished') this.finishObjectiveS.set(className, withinS);
      const tightest = Math.min(withinS, this.tightestObjectiveS.get(className) ?? Infinity);
      this.tightestObjectiveS.set(className, kind === 'wait' ? 0 : tightest);
    }
  }

  /** Plans one round. */
  plan(now: WallMs): RoundPlan {
    const { state, workers } = this.options;
    const usable = [...state.machines.values()].filter((machine) => workers.intake.canTakeWork(machine));
    const noticeStops = stopsForNotices(state, (machine) => workers.intake.noticeOf(machine) !== null);
    const claims = orderClaims(
      state,
      this.teams,
      (job) => this.isTooLate(job, now),
      (job) => now - job.at > STARVATION_MS && hasNeverStarted(job),
    );
    const gangStops = stopsForBrokenGangs(
      claims.map((claim) => claim.job),
      (attempt) => workers.progress.isWaitingForGang(attempt),
    );
    const placed = this.placeTasks(claims, usable, now);
    const preempted = this.preemptTasks(claims, usable, placed, now);
    return {
      entries: [
        ...noticeStops,
        ...gangStops,
        ...placed.entries,
        ...preempted.entries,
        ...this.planRentals(usable, placed, preempted.unplaced, now),
        ...this.planReturns(placed, now),
      ],
      starts: placed.starts,
      usable: usable.length,
      unplaced: placed.unplaced,
      unplacedAfterPreemption: preempted.unplaced,
    };
  }

  /**
   * Whether a job can no longer finish within its objective. False again after a multiple of the objective,
   * so that the job is not postponed for ever.
   */
  private isTooLate(job: Job, now: WallMs): boolean {
    const objectiveS = this.finishObjectiveS.get(job.spec.class);
    const ageS = (now - job.at) / 1000;
    return (
      objectiveS !== undefined &&
      ageS + job.spec.estimate * MIN_RUN_FRACTION > objectiveS &&
      ageS < objectiveS * MAX_POSTPONEMENT_FACTOR
    );
  }

  /** Seconds since an attempt was first reported as running; null if it is not running. */
  private secondsRun(attempt: TaskAttempt): number | null {
    const runningSince = this.options.workers.progress.runningSince(attempt);
    return runningSince === null ? null : (this.options.clock.steady() - runningSince) / 1000;
  }

  private placeTasks(
    claims: ReturnType<typeof orderClaims>,
    usable: Machine[],
    now: WallMs,
  ): PlacementResult {
    const { policy, random, state, workers } = this.options;
    const placed = place({
      ...{ claims, state, teams: this.teams, now, random, usable },
      sampleSize: SAMPLE_SIZE,
      completionObjectiveS: (name) => this.tightestObjectiveS.get(name) ?? 0,
      isFetching: (attempt) => workers.progress.isFetching(attempt),
      reserved: this.reserved,
      canRent: (spec, offer) => this.isRentable(offer) && (!offer.spot || policy.rentSpot(spec)),
      maxStarts: MAX_STARTS,
    });
    this.reserved = placed.reserved;
    return placed;
  }

  private preemptTasks(
    claims: ReturnType<typeof orderClaims>,
    usable: Machine[],
    { unplaced, freeResources, releasingResources }: PlacementResult,
    now: WallMs,
  ): PreemptionResult {
    return preempt({
      ...{
        claims,
        state: this.options.state,
        teams: this.teams,
        usable,
        now,
        unplaced,
        freeResources,
        releasingResources,
      },
      secondsRun: (attempt) => this.secondsRun(attempt),
      minRank: priorityRank.high,
    });
  }

  /** Whether machines of the offer are requested now; not for a while after the cloud had too few. */
  private isRentable({ type, zone, spot }: Offer): boolean {
    return !this.options.cloud.isBackedOff(type, zone, spot);
  }

  private planRentals(
    usable: Machine[],
    { freeResources }: PlacementResult,
    unplaced: Unplaced[],
    now: WallMs,
  ): LogEntry[] {
    const { nextRentalName, policy, settings, state } = this.options;
    return planRentals({
      ...{ state, now, unplaced, usable, freeResources, policy, nextRentalName },
      isRentable: (offer) => this.isRentable(offer),
      isPreferredZone: (zone) => settings.cluster.zones.includes(zone),
      secondsRemaining: (attempt) => {
        const run = this.secondsRun(attempt);
        return run === null || attempt.stop ? Infinity : attempt.job.spec.estimate - run;
      },
      completionObjectiveS: (name) => this.tightestObjectiveS.get(name) ?? 0,
    });
  }

  private planReturns({ retained }: PlacementResult, now: WallMs): LogEntry[] {
    const { isOverdue, policy, settings, state, workers } = this.options;
    return planReturns({
      ...{ state, now, retained, policy, isOverdue },
      secondsSilent: (machine) => workers.intake.secondsSilent(machine),
      mostAreSilent: this.areMostSilent(),
      leaseS: settings.cluster.workers.lease_s,
    });
  }

  /** Whether most machines are silent, so that the cause may be the network. */
  private areMostSilent(): boolean {
    const { state, workers } = this.options;
    const available = [...state.machines.values()].filter(isAvailable);
    const silent = available.filter(
      (machine) => workers.intake.secondsSilent(machine) > SILENT_AFTER_S,
    ).length;
    return available.length >= MIN_MACHINES_FOR_SILENCE && silent * 2 > available.length;
  }
}
