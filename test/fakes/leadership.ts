/**
 * Measures leadership: how long no node leads, how often the leader changes, and whether two nodes ever lead.
 */
import type { World } from './world.js';

const SAMPLE_MS = 50;

export interface LeadershipStatistics {
  /** Share of the time in which a node was certain to lead. */
  share: number;
  /** Longest time without such a node, in milliseconds. */
  longestGapMs: number;
  /** Number of times that another node became the leader. */
  changes: number;
  /**
   * Samples in which a node was certain to lead while the state service named another, or two nodes were
   * certain.
   */
  conflicts: number;
}

/** Samples the leadership of a world until it is stopped. */
export class LeadershipMonitor {
  private readonly startedAt: number;
  private ledMs = 0;
  private gapSince: number;
  private longestGapMs = 0;
  private changes = 0;
  private conflicts = 0;
  private lastLeader = -1;
  private stopped = false;

  constructor(
    private readonly world: World,
    private readonly sampleMs = SAMPLE_MS,
  ) {
    this.startedAt = this.gapSince = world.time.now;
    this.sample();
  }

  stop(): LeadershipStatistics {
    this.stopped = true;
    const { now } = this.world.time;
    return {
      share: this.ledMs / Math.max(1, now - this.startedAt),
      longestGapMs: Math.max(this.longestGapMs, now - this.gapSince),
      changes: this.changes,
      conflicts: this.conflicts,
    };
  }

  private sample(): void {
    if (this.stopped) return;
    const { time } = this.world;
    time.after(this.sampleMs, () => this.sample());
    const leaders = this.leaders();
    if (leaders.length > 1 || leaders.some((node) => this.isAnotherNamed(node))) this.conflicts++;
    const leader = leaders[0];
    if (leader === undefined) {
      this.longestGapMs = Math.max(this.longestGapMs, time.now - this.gapSince);
      return;
    }
    this.gapSince = time.now;
    this.ledMs += this.sampleMs;
    if (this.lastLeader >= 0 && leader !== this.lastLeader) this.changes++;
    this.lastLeader = leader;
  }

  private leaders(): number[] {
    const { nodes } = this.world;
    return nodes.flatMap(({ clock, controller }, index) =>
      !clock.dead && controller.status().leading ? [index] : [],
    );
  }

  private isAnotherNamed(node: number): boolean {
    const named = this.world.state.kv.get('q/leader')?.data as { node: string } | undefined;
    return named !== undefined && named.node !== `n${node}`;
  }
}
