/** How things stand on the leader, each ten seconds, for the operator's log. */
import type { PlacementResult } from '../core/placement.js';
import type { ClusterState } from '../core/state.js';
import type { EndCause, LogRecord, SteadyMs, Term } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { Logger } from '../io/logger.js';
import type { WorkersActor } from './workers.js';

const PULSE_MS = 10_000;
/** Jobs without room that are named. */
const NAMED_WAITING = 8;

export interface LeaderStatusLogOptions {
  state: ClusterState;
  workers: WorkersActor;
  clock: Clock;
  logger: Logger;
  term: Term;
  /** Of the log's writes so far: how many, and their milliseconds together. */
  writes: Readonly<{ count: number; ms: number }>;
}

export class LeaderStatusLog {
  private lastAt: SteadyMs = -Infinity as SteadyMs;
  /** Ends of tasks since the last pulse, by cause. */
  private ends: Partial<Record<EndCause, number>> = {};
  /** The longest steps since the last pulse, in milliseconds: nothing is answered meanwhile. */
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

  /** Logs how things stand, if it is time. */
  logIfDue(usable: number, waiting: PlacementResult['unplaced']): void {
    const { clock, logger, state, term, workers, writes } = this.options;
    if (clock.steady() - this.lastAt <= PULSE_MS) return;
    this.lastAt = clock.steady();
    const named = waiting.slice(0, NAMED_WAITING);
    logger.info(
      {
        ...{ term, jobs: state.jobs.size, ...this.machineFigures(), usable },
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

  private machineFigures(): Record<string, number> {
    const { state, workers } = this.options;
    const figures = { machines: 0, booting: 0, idle: 0, spot: 0, cpus: 0, running: 0, held: 0 };
    for (const machine of state.machines.values()) {
      figures.machines++;
      figures.spot += Number(machine.spot);
      figures.cpus += state.machineTypes.get(machine.type)?.cpus ?? 0;
      if (machine.session === 0) figures.booting++;
      else if (machine.live.size === 0) figures.idle++;
      for (const live of machine.live) {
        figures.held += live.job.spec.cpus;
        if (workers.progress.runningSince(live) !== null) figures.running += live.job.spec.cpus;
      }
    }
    return figures;
  }
}
