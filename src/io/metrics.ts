/** Duration histograms and process metrics for `GET /metrics`. */
import { createHistogram, performance, type RecordableHistogram } from 'node:perf_hooks';

/**
 * Records one duration. `round` is a scheduling round, `write` a log write, `fold` the copying of the state for
 * a snapshot, `answer` a submission, `question` a status query, and `renewal` that of the leader's lock.
 */
export type Measure = (
  operation: 'round' | 'write' | 'fold' | 'take_over' | 'answer' | 'question' | 'renewal',
  ms: number,
) => void;

const MAX_MS = 120_000;
const SIGNIFICANT_DIGITS = 2;

/** Histograms of durations in whole milliseconds; anything shorter than one is recorded as one. */
export class Metrics {
  private readonly histograms = new Map<string, RecordableHistogram>();

  readonly measure: Measure = (operation, ms) => {
    let histogram = this.histograms.get(operation);
    if (!histogram) {
      histogram = createHistogram({ lowest: 1, highest: MAX_MS, figures: SIGNIFICANT_DIGITS });
      this.histograms.set(operation, histogram);
    }
    histogram.record(Math.max(1, Math.min(MAX_MS, Math.round(ms))));
  };

  /** Count and percentiles of each histogram that has a value. */
  summarize(): Record<string, object> {
    return Object.fromEntries(
      [...this.histograms].map(([operation, histogram]) => [
        `${operation}_ms`,
        {
          count: histogram.count,
          p50: histogram.percentile(50),
          p90: histogram.percentile(90),
          p99: histogram.percentile(99),
          max: histogram.max,
        },
      ]),
    );
  }
}

const MEGABYTE = 2 ** 20;
const megabytes = (bytes: number): number => Math.round((bytes / MEGABYTE) * 10) / 10;

/**
 * Processor time since the start of this process, and its memory now. Event loop utilisation is given in
 * place of event loop delay, because a delay histogram wakes the process a hundred times a second, a load on
 * small machines.
 */
export function processMetrics(): object {
  const { user, system } = process.cpuUsage();
  const memory = process.memoryUsage();
  return {
    processorMs: { user: Math.round(user / 1000), system: Math.round(system / 1000) },
    uptimeMs: Math.round(process.uptime() * 1000),
    loopUtilisation: Math.round(performance.eventLoopUtilization().utilization * 1000) / 1000,
    memoryMb: {
      resident: megabytes(memory.rss),
      heapTotal: megabytes(memory.heapTotal),
      heapUsed: megabytes(memory.heapUsed),
      external: megabytes(memory.external),
    },
  };
}
