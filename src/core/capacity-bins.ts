/** Machines with equal free resources, into which tasks that wait are packed before any machine is rented. */
import { BootTimeouts } from './boot-timeouts.js';
import { slotCount } from './candidates.js';
import type { Machine } from './model.js';
import { offerKey, type Offer } from './offers.js';
import { addTo, type Resources } from './resources.js';
import type { ClusterState } from './state.js';
import type { MachineId, MachineType, WallMs } from './types.js';

/** Machines of one offer with equal free resources: booting, to be rented, or in use and soon free. */
export interface Bin extends Resources {
  type: MachineType;
  zone: string;
  spot: boolean;
  /** The machine, if it is in use and counted with what will be free before a new one could be up; or null. */
  id: MachineId | null;
  count: number;
}

export const offerOf = ({ type, zone, spot }: Bin): Offer => ({ type: type.name, zone, spot });

/** The bins of one round. */
export class CapacityBins {
  readonly bins: Bin[] = [];
  /** Empty machines that boot or are being rented, by offer. */
  private readonly booting = new Map<string, Bin>();
  /** Empty machines that this round rents, by offer. */
  private readonly rented = new Map<string, Bin>();

  /** Adds the machines that boot and are still waited for, and those being rented. */
  addBootingMachines(state: ClusterState, now: WallMs): void {
    const bootTimeouts = new BootTimeouts(state, now);
    for (const machine of state.machines.values()) {
      const type = state.machineTypes.get(machine.type);
      if (type && machine.session === 0 && !machine.drop && bootTimeouts.isAwaited(machine))
        this.addEmpty(this.booting, type, machine, 1);
    }
    for (const rental of state.pendingRentals.values()) {
      const type = state.machineTypes.get(rental.type);
      if (type) this.addEmpty(this.booting, type, rental, rental.n);
    }
  }

  /** Adds one machine in use, with what is or will soon be free on it. */
  addMachine({ id, spot, zone }: Machine, type: MachineType, free: Resources): void {
    this.bins.push({ type, zone, spot, ...free, id, count: 1 });
  }

  /** Adds machines to be rented. */
  addRented(type: MachineType, { zone, spot }: { zone: string; spot: boolean }, count: number): Bin {
    return this.addEmpty(this.rented, type, { zone, spot }, count);
  }

  private addEmpty(
    binsByOffer: Map<string, Bin>,
    type: MachineType,
    { zone, spot }: { zone: string; spot: boolean },
    count: number,
  ): Bin {
    const key = offerKey({ type: type.name, zone, spot });
    let bin = binsByOffer.get(key);
    if (!bin) {
      bin = { type, zone, spot, cpus: type.cpus, gpus: type.gpus, mem: type.mem, id: null, count: 0 };
      binsByOffer.set(key, bin);
      this.bins.push(bin);
    }
    bin.count += count;
    return bin;
  }

  /** Packs tasks into machines of a bin, which get bins of their own; returns how many tasks were packed. */
  pack(bin: Bin, request: Resources, taskCount: number): number {
    const perMachine = slotCount(bin, request);
    if (perMachine === 0 || bin.count === 0 || taskCount === 0) return 0;
    const full = Math.min(bin.count, Math.floor(taskCount / perMachine));
    this.split(bin, request, full, perMachine);
    const remainder = bin.count > 0 ? taskCount % perMachine : 0;
    if (remainder > 0) this.split(bin, request, 1, remainder);
    return full * perMachine + remainder;
  }

  private split(bin: Bin, request: Resources, machineCount: number, tasksEach: number): void {
    if (machineCount === 0) return;
    const used = { ...bin, count: machineCount };
    addTo(used, request, -tasksEach);
    bin.count -= machineCount;
    this.bins.push(used);
  }
}
