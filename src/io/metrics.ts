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
