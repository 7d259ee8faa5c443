/** What a node tells of itself at `GET /metrics`. */
import { performance } from 'node:perf_hooks';
import { build, type Histogram } from 'hdr-histogram-js';

export type Measure = (
  what: 'round' | 'write' | 'fold' | 'take_over' | 'answer' | 'question',
  ms: number,
) => void;

/** Times in milliseconds, kept as histograms. */
export class Metrics {
  private readonly kept = new Map<string, Histogram>();

  readonly measure: Measure = (what, ms) => {
    let h = this.kept.get(what);
    if (!h) {
      h = build({ bitBucketSize: 32, highestTrackableValue: 120_000, numberOfSignificantValueDigits: 2 });
      this.kept.set(what, h);
    }
    h.recordValue(Math.max(0, Math.min(120_000, Math.round(ms))));
  };

  show(): Record<string, object> {
    return Object.fromEntries(
      [...this.kept].map(([k, h]) => [
        `${k}_ms`,
        {
          count: h.totalCount,
          p50: h.getValueAtPercentile(50),
          p90: h.getValueAtPercentile(90),
          p99: h.getValueAtPercentile(99),
          max: h.maxValue,
        },
      ]),
    );
  }
}

const MEGABYTE = 2 ** 20;
const megabytes = (bytes: number): number => Math.round((bytes / MEGABYTE) * 10) / 10;

/**
 * Processor time and memory of this process since its start. The event loop's utilisation stands for its
 * delay: a delay histogram wakes the process a hundred times a second, which small machines feel.
 */
export function processFigures(): object {
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
