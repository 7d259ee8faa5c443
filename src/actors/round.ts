/**
 * One round of decisions: what is stopped, started, rented and returned, from committed state and what the workers
 * were heard to do. Decides only; the leader writes the entries.
 */
import { planRentals, planReturns, type CapacityInput } from '../core/capacity.js';
import { stopsForNotices, stopsForBrokenGangs } from '../core/orderly-stops.js';
import { orderClaims } from '../core/claims.js';
import type { Random } from '../core/fill.js';
import { place, type PlacementResult } from '../core/placement.js';
import type { Policy } from '../core/policy.js';
import { preempt, type PreemptionResult } from '../core/preemption.js';
import { isAvailable, type Job, type TaskAttempt, type Machine } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import { priorityRank, type LogEntry, type Team, type WallMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import { teamsOf, type Settings } from '../wire/settings.js';
import type { CloudActor } from './cloud.js';
import type { WorkersActor } from './workers.js';

/** Machines that are sampled for a task before all are looked at. */
const SAMPLE = 5;
/** Starts of one round: about as many as the log writes until the next. */
const MOST_STARTS = 2500;
/** Guards the lowest class, and the largest jobs of any, against waiting for ever behind what is more urgent. */
const STARVING_MS = 150_000;
/** Of its estimate, the least that a job's run is expected to take. */
const SHORTEST_RUN = 0.7;
/** So many times its aim after its submission a job that was put off counts like any other again. */
const PUT_OFF_AIMS = 3;
/** Silent for longer than this, a machine counts as quiet. */
const QUIET_S = 6;
/** From so many machines on, more than half of them quiet means that the way to them may be cut. */
const QUIET_LEAST_MACHINES = 3;

export interface RoundPlannerOptions {
  state: ClusterState;
  workers: WorkersActor;
  cloud: CloudActor;
  clock: Clock;
  settings: Settings;
  policy: Policy;
  random: Random;
  nextRentalName: () => string;
  /** Whether a cancelled task is still there though stops had time enough. */
  isOverdue: (live: TaskAttempt) => boolean;
}

export interface RoundPlan {
  entries: LogEntry[];
  starts: number;
  usable: number;
  /** What found no room on any machine. */
  unplaced: PlacementResult['unplaced'];
  /** What found none even where tasks are being stopped. */
  unplacedAfterPreemption: PlacementResult['unplaced'];
}

const neverStarted = (job: Job): boolean => job.fresh === 0 && job.live.size === 0 && job.gangTry === 1;

export class RoundPlanner {
  private readonly teams: readonly Team[];
  /** Seconds within which jobs of a class are to be finished. */
  private readonly finishWithin = new Map<string, number>();
  /** The same by the tightest aim; 0 where the start is what counts. */
  private readonly tightestAim = new Map<string, number>();
  /** Machines that wait for a gang since the last round. */
  private reserved: ReadonlySet<Machine> = new Set();

  constructor(private readonly options: RoundPlannerOptions) {
    this.teams = teamsOf(options.settings);
    for (const { kind, class: name, within_s: within } of options.settings.cluster.objectives) {
      if (!name || !within) continue;
      if (kind === 'finished') this.finishWithin.set(name, within);
      const tightest = Math.min(within, this.tightestAim.get(name) ?? Infinity);
      this.tightestAim.set(name, kind === 'wait' ? 0 : tightest);
    }
  }

  plan(now: WallMs): RoundPlan {
    const { state, workers } = this.options;
    const usable = [...state.machines.values()].filter((machine) => workers.intake.canTakeWork(machine));
    const stops = stopsForNotices(state, (machine) => workers.intake.noticeOf(machine) !== null);
    const order = orderClaims(
      state,
      this.teams,
      (job) => this.isTooLate(job, now),
      (job) => now - job.at > STARVING_MS && neverStarted(job),
    );
    const broken = stopsForBrokenGangs(
      order.map((claim) => claim.job),
      (live) => workers.progress.waitsForGang(live),
    );
    const placed = this.place(order, usable, now);
    const preempted = this.preempt(order, usable, placed);
    const capacity = this.capacity(usable, placed, preempted.unplaced, now);
    return {
      entries: [
        ...stops,
        ...broken,
        ...placed.entries,
        ...preempted.entries,
        ...planRentals(capacity),
        ...planReturns(capacity),
      ],
      starts: placed.starts,
      usable: usable.length,
      unplaced: placed.unplaced,
      unplacedAfterPreemption: preempted.unplaced,
    };
  }

  /** Whether a job can't be finished within its aim any more; not for ever, so that it isn't put off for good. */
  private isTooLate(job: Job, now: WallMs): boolean {
    const within = this.finishWithin.get(job.spec.class);
    const age = (now - job.at) / 1000;
    return (
      within !== undefined && age + job.spec.estimate * SHORTEST_RUN > within && age < within * PUT_OFF_AIMS
    );
  }

  /** Seconds since a task was first shown running; null before that. */
  private secondsRun(live: TaskAttempt): number | null {
    const startedAt = this.options.workers.progress.runningSince(live);
    return startedAt === null ? null : (this.options.clock.steady() - startedAt) / 1000;
  }

  private place(order: ReturnType<typeof orderClaims>, usable: Machine[], now: WallMs): PlacementResult {
    const { cloud, random, state, workers } = this.options;
    const placed = place({
      ...{ claims: order, state, teams: this.teams, now, random, usable },
      sampleSize: SAMPLE,
      completionObjectiveS: (name) => this.tightestAim.get(name) ?? 0,
      isFetching: (live) => workers.progress.fetches(live),
      reserved: this.reserved,
      canRent: (type, zone, spot) => !cloud.backoff(type, zone, spot),
      maxStarts: MOST_STARTS,
    });
    this.reserved = placed.reserved;
    return placed;
  }

  private preempt(
    order: ReturnType<typeof orderClaims>,
    usable: Machine[],
    { unplaced, freeResources, releasingResources }: PlacementResult,
  ): PreemptionResult {
    return preempt({
      ...{
        claims: order,
        state: this.options.state,
        teams: this.teams,
        usable,
        unplaced,
        freeResources,
        releasingResources,
      },
      secondsRun: (live) => this.secondsRun(live),
      minRank: priorityRank.high,
    });
  }

  private capacity(
    usable: Machine[],
    { retained, freeResources }: PlacementResult,
    unplaced: PlacementResult['unplaced'],
    now: WallMs,
  ): CapacityInput {
    const { cloud, isOverdue, nextRentalName, policy, settings, state, workers } = this.options;
    return {
      ...{ state, now, unplaced, usable, freeResources, retained, policy },
      zones: settings.cluster.zones,
      isBackedOff: (type, zone, spot) => cloud.backoff(type, zone, spot),
      nextRentalName,
      secondsRemaining: (live) => {
        const run = this.secondsRun(live);
        return run === null || live.stop ? Infinity : live.job.spec.estimate - run;
      },
      secondsSilent: (machine) => workers.intake.secondsSilent(machine),
      mostAreSilent: this.mostAreQuiet(),
      isOverdue,
      completionObjectiveS: (name) => this.tightestAim.get(name) ?? 0,
      leaseS: settings.cluster.workers.lease_s,
    };
  }

  private mostAreQuiet(): boolean {
    const { state, workers } = this.options;
    const up = [...state.machines.values()].filter(isAvailable);
    const quiet = up.filter((machine) => workers.intake.secondsSilent(machine) > QUIET_S).length;
    return up.length >= QUIET_LEAST_MACHINES && quiet * 2 > up.length;
  }
}
