/** Logs the leader's status every ten seconds, for operators. */
import type { PlacementResult } from '../core/placement.js';
import type { ClusterState } from '../core/state.js';
import type { EndCause, LogRecord, SteadyMs, Term } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import type { WorkersActor } from './workers.js';

const STATUS_INTERVAL_MS = 10_000;
/** Maximum number of unplaced jobs that a line names. */
const MAX_NAMED_JOBS = 8;

export interface LeaderStatusLogOptions {
  state: ClusterState;
  workers: WorkersActor;
  clock: Clock;
  logger: Logger;
  term: Term;
  /** The log's writes so far: their number, and their total duration in milliseconds. */
  writes: Readonly<{ count: number; ms: number }>;
}

/** Collects statistics between two status lines, and logs them. */
export class LeaderStatusLog {
  private lastLoggedAt: SteadyMs = -Infinity as SteadyMs;
  /** Tasks that ended since the last line, by cause. */
  private ends: Partial<Record<EndCause, number>> = {};
  /** Longest steps since the last line, in milliseconds: the node answers nothing during a step. */
  private longest = { round: 0, fold: 0 };

  constructor(private readonly options: LeaderStatusLogOptions) {}

  noteStep(step: 'round' | 'fold', ms: number): void {
    this.longest[step] = Math.max(this.longest[step], Math.round(ms));
  }

  noteEnds(record: LogRecord): void {
    for (const entry of record.entries)
      if (entry.e === 'end')
        for (const [, , , cause] of entry.p) this.ends[cause] = (this.ends[cause] ?? 0) + 1;
  }

  /** Logs a line if the interval has passed; `unplaced` are the jobs with tasks that were not placed. */
  logIfDue(usable: number, unplaced: PlacementResult['unplaced']): void {
    const { clock, logger, state, term, workers, writes } = this.options;
    if (clock.steady() - this.lastLoggedAt <= STATUS_INTERVAL_MS) return;
    this.lastLoggedAt = clock.steady();
    const named = unplaced.slice(0, MAX_NAMED_JOBS);
    logger.info(
      {
        ...{ term, jobs: state.jobs.size, ...this.machineCounts(), usable },
        waiting: named.map(({ job, tasks }) => `${job.spec.class} ${job.spec.id}: ${tasks}`),
        worstMs: this.longest,
        writeMs: Math.round(writes.ms / Math.max(1, writes.count)),
        ends: this.ends,
        calls: workers.statistics(),
      },
      'pulse',
    );
    this.longest = { round: 0, fold: 0 };
    this.ends = {};
  }

  private machineCounts(): Record<string, number> {
    const { state, workers } = this.options;
    const counts = { machines: 0, booting: 0, idle: 0, spot: 0, cpus: 0, running: 0, held: 0 };
    for (const machine of state.machines.values()) {
      counts.machines++;
      counts.spot += Number(machine.spot);
      counts.cpus += state.machineTypes.get(machine.type)?.cpus ?? 0;
      if (machine.session === 0) counts.booting++;
      else if (machine.live.size === 0) counts.idle++;
      for (const attempt of machine.live) {
        counts.held += attempt.job.spec.cpus;
        if (workers.progress.runningSince(attempt) !== null) counts.running += attempt.job.spec.cpus;
      }
    }
    return counts;
  }
}
