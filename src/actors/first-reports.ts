/**
 * Determines when a new leader knows which tasks run: once each available worker has reported under its term,
 * or after one report period. The same applies after a stall of the process.
 */
import { isAvailable, type Machine } from '../core/model.js';
import type { ClusterState } from '../core/state.js';
import type { MachineId, SteadyMs } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { StallMonitor } from './stall-monitor.js';
import { REPORT_JITTER_FACTOR } from './report-intake.js';
import type { WorkerView } from './worker-view.js';

/** Time allowed for the last report to arrive and be processed. */
const REPORT_DELIVERY_MS = 500;

/** Waits for the first report of each worker after a take-over or a stall. */
export class FirstReports {
  /** Start of the period (take-over or end of a stall) for which the wait has completed. */
  private completedPeriod: SteadyMs | null = null;
  /**
   * A machine that had not reported at the last check. While it still has not, no other machine is examined.
   */
  private awaitedMachine: MachineId | null = null;

  constructor(
    private readonly state: ClusterState,
    private readonly views: ReadonlyMap<MachineId, WorkerView>,
    private readonly stallMonitor: StallMonitor,
    private readonly clock: Clock,
    private readonly reportPeriodS: number,
  ) {}

  /** Whether the wait is over. */
  areComplete(): boolean {
    const { observingSince } = this.stallMonitor;
    if (this.completedPeriod === observingSince) return true;
    if (this.isPeriodOver() || !this.isAwaitingReport()) this.completedPeriod = observingSince;
    return this.completedPeriod === observingSince;
  }

  /** Whether one report period has passed since the take-over or stall. */
  isPeriodOver(): boolean {
    const waitedMs = this.clock.steady() - this.stallMonitor.observingSince;
    return waitedMs > this.reportPeriodS * 1000 * REPORT_JITTER_FACTOR + REPORT_DELIVERY_MS;
  }

  /** Whether an available worker has not reported yet. */
  private isAwaitingReport(): boolean {
    const { machines } = this.state;
    const last = this.awaitedMachine === null ? undefined : machines.get(this.awaitedMachine);
    if (last && this.hasNotReported(last)) return true;
    this.awaitedMachine = null;
    for (const machine of machines.values())
      if (this.hasNotReported(machine)) {
        this.awaitedMachine = machine.id;
        return true;
      }
    return false;
  }

  private hasNotReported(machine: Machine): boolean {
    const view = this.views.get(machine.id);
    return isAvailable(machine) && !(view?.hasSeenTerm && view.heardAt >= this.stallMonitor.observingSince);
  }
}
