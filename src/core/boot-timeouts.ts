/** How long machines that boot are waited for. */
import type { Machine } from './model.js';
import { offerKey } from './offers.js';
import type { ClusterState } from './state.js';
import type { WallMs } from './types.js';

/** Multiples of the type's boot time: how long a machine is counted on, and after how long it is returned. */
const WAIT_BOOTS = 3;
const MAX_BOOTS = 3.5;
/** Replaces both while no machine of the offer has come up recently: all its boots may be slow. */
const SLOW_BOOTS = 12;
const RECENT_BOOT_MS = 180_000;

/** How long booting machines are waited for, by recent boots of the same offer: type, zone, spot or not. */
export class BootTimeouts {
  private readonly boots = new Map<string, { slowest: number; oldest: WallMs }>();

  constructor(
    private readonly state: ClusterState,
    private readonly now: WallMs,
  ) {
    for (const machine of state.machines.values()) {
      const boots = this.boots.get(offerKey(machine)) ?? { slowest: 0, oldest: now };
      this.boots.set(offerKey(machine), boots);
      if (machine.session === 0) boots.oldest = Math.min(boots.oldest, machine.hiredAt) as WallMs;
      else if (now - machine.upAt < RECENT_BOOT_MS)
        boots.slowest = Math.max(boots.slowest, machine.upAt - machine.hiredAt);
    }
  }

  private nominalMs(machine: Machine): number {
    return (this.state.machineTypes.get(machine.type)?.boot ?? 30) * 1000;
  }

  /** Whether a booting machine still counts as capacity for waiting tasks. */
  isAwaited(machine: Machine): boolean {
    const { slowest, oldest } = this.boots.get(offerKey(machine))!;
    const bootMs = this.nominalMs(machine);
    // Prevents rentals in a loop: where no machine comes up, late machines are replaced only once.
    const retry =
      slowest === 0 && this.now - oldest > bootMs * WAIT_BOOTS && machine.hiredAt - oldest > bootMs;
    return this.now - machine.hiredAt < Math.max(bootMs * (retry ? SLOW_BOOTS : WAIT_BOOTS), slowest * 1.2);
  }

  /** Whether a machine boots for too long. Slow boots get more time, or all may be returned too early. */
  neverCameUp(machine: Machine): boolean {
    const { slowest } = this.boots.get(offerKey(machine))!;
    const bootMs = this.nominalMs(machine);
    const timeoutMs = Math.max(
      60_000,
      slowest > 0 ? Math.max(bootMs * MAX_BOOTS, slowest * 1.5) : bootMs * SLOW_BOOTS,
    );
    return this.now - machine.hiredAt > timeoutMs;
  }
}
