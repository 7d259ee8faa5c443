/**
 * Whether a new leader knows what runs: each live worker has reported under its term, or one report period has
 * passed. The same holds after a standstill of the node.
 */
import { isAvailable, type Machine } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import type { MachineId, SteadyMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { StallMonitor } from './node-pace.js';
import { REPORT_SPREAD } from './report-intake.js';
import type { WorkerView } from './worker-view.js';

/** For the way of the last report, and its handling. */
const REPORT_WAY_MS = 500;

export class FirstReports {
  /** The beginning of the wait that is over. */
  private settledSince: SteadyMs | null = null;
  /** The machine that was last found not to have reported: while it has not, no other is looked at. */
  private awaited: MachineId | null = null;

  constructor(
    private readonly state: ClusterState,
    private readonly views: ReadonlyMap<MachineId, WorkerView>,
    private readonly pace: StallMonitor,
    private readonly clock: Clock,
    private readonly reportPeriodS: number,
  ) {}

  areIn(): boolean {
    const { observingSince: since } = this.pace;
    if (this.settledSince === since) return true;
    if (this.periodIsOver() || !this.awaitsReport()) this.settledSince = since;
    return this.settledSince === since;
  }

  periodIsOver(): boolean {
    const waited = this.clock.steady() - this.pace.observingSince;
    return waited > this.reportPeriodS * 1000 * REPORT_SPREAD + REPORT_WAY_MS;
  }

  private awaitsReport(): boolean {
    const { machines } = this.state;
    const last = this.awaited === null ? undefined : machines.get(this.awaited);
    if (last && this.isUnreported(last)) return true;
    this.awaited = null;
    for (const machine of machines.values())
      if (this.isUnreported(machine)) {
        this.awaited = machine.id;
        return true;
      }
    return false;
  }

  private isUnreported(machine: Machine): boolean {
    const view = this.views.get(machine.id);
    return isAvailable(machine) && !(view?.knowsTerm && view.heardAt >= this.pace.observingSince);
  }
}
