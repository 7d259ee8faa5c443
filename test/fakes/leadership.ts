/** Watches who leads: how long nobody does, how often leadership changes hands, and that no two nodes lead. */
import type { World } from './world.js';

const SAMPLE_MS = 50;

export interface LeadershipStatistics {
  /** Share of the time with a node that is certain to lead. */
  share: number;
  /** The longest time without one, in milliseconds. */
  longestGapMs: number;
  /** How often another node came to lead. */
  changes: number;
  /** Moments at which a node was certain to lead while the state service named another, or two were certain. */
  conflicts: number;
}

export class LeadershipMonitor {
  private readonly from: number;
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
    this.from = this.gapSince = world.time.now;
    this.sample();
  }

  stop(): LeadershipStatistics {
    this.stopped = true;
    const { now } = this.world.time;
    return {
      share: this.ledMs / Math.max(1, now - this.from),
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
    if (leaders.length > 1 || leaders.some((node) => this.isNamedOtherThan(node))) this.conflicts++;
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

  private isNamedOtherThan(node: number): boolean {
    const named = this.world.state.kv.get('q/leader')?.data as { node: string } | undefined;
    return named !== undefined && named.node !== `n${node}`;
  }
}
