/** Plans which machines to rent for unplaced tasks, and which machines to return. */
import { chunked } from './chunked.js';
import { fitsType, soleFitTypes } from './fit.js';
import { avoidsMachine, type Machine, type TaskAttempt } from './model.js';
import { offerKey } from './offers.js';
import type { PlacementResult } from './placement.js';
import type { Policy } from './policy.js';
import { addTo, fits, type Resources } from './resources.js';
import { isRestartCritical, meetsConstraints, slotCount } from './candidates.js';
import type { ClusterState } from './state.js';
import { priorityRank, type LogEntry, type MachineId, type MachineType, type WallMs } from './types.js';

export interface CapacityInput {
  state: ClusterState;
  zones: readonly string[];
  now: WallMs;
  unplaced: PlacementResult['unplaced'];
  /** Whether a type in a zone, spot or on demand, is not requested for now because the cloud had too few. */
  isBackedOff: (type: string, zone: string, spot: boolean) => boolean;
  nextRentalName: () => string;
  /** Machines that may take work, and what this round leaves free on each. */
  usable: Machine[];
  freeResources: PlacementResult['freeResources'];
  /** Machines that must not be returned as idle. */
  retained: PlacementResult['retained'];
  /** Seconds within which a class's jobs are to finish; 0 if it has no objective, or one for the start. */
  completionObjectiveS: (className: string) => number;
  /** Seconds until a task is likely to end. */
  secondsRemaining: (attempt: TaskAttempt) => number;
  /** Seconds since a machine's last report. */
  secondsSilent: (machine: Machine) => number;
  /** Whether most machines are silent, so that the cause may be the network. */
  mostAreSilent: boolean;
  /** Whether a cancelled task is still present after the time that its stop is given. */
  isOverdue: (attempt: TaskAttempt) => boolean;
  leaseS: number;
  policy: Policy;
}

/** Machines of one offer with equal free resources: booting, to be rented, or in use and soon free. */
interface Bin extends Resources {
  type: MachineType;
  zone: string;
  spot: boolean;
  isNew: boolean;
  /** The machine, if it is in use and counted with what will be free before a new one could be up; or null. */
  id: MachineId | null;
  count: number;
}

const priceOf = (type: MachineType, spot: boolean): number => (spot ? type.spotPrice : type.price);

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

/** Plans rentals for unplaced tasks, beyond what booting machines and tasks about to end will provide. */
export function planRentals(input: CapacityInput): LogEntry[] {
  const { state, now, unplaced } = input;
  if (unplaced.length === 0) return [];
  /** What the cloud may have: machines of a type in a zone, spot or on demand. */
  const offers: { type: MachineType; zone: string; spot: boolean }[] = [];
  for (const type of state.machineTypes.values())
    for (const zone of type.zones)
      for (const spot of [true, false])
        if (input.zones.includes(zone) && !input.isBackedOff(type.name, zone, spot))
          offers.push({ type, zone, spot });
  // Saves the calculations below while the cloud has nothing to rent.
  if (offers.length === 0) return [];
  const bins: Bin[] = [];
  const emptyBins = new Map<string, Bin>();
  const addBins = (type: MachineType, zone: string, spot: boolean, isNew: boolean, count = 1): Bin => {
    const key = `${type.name}|${zone}|${spot}|${isNew}`;
    let bin = emptyBins.get(key);
    if (!bin) {
      bin = { type, zone, spot, cpus: type.cpus, gpus: type.gpus, mem: type.mem, isNew, id: null, count: 0 };
      emptyBins.set(key, bin);
      bins.push(bin);
    }
    bin.count += count;
    return bin;
  };
  const rentedCpus = new Map<string, number>();
  const bootTimeouts = new BootTimeouts(state, now);
  for (const machine of state.machines.values()) {
    const type = state.machineTypes.get(machine.type);
    rentedCpus.set(machine.zone, (rentedCpus.get(machine.zone) ?? 0) + (type?.cpus ?? 0));
    if (type && machine.session === 0 && !machine.drop && bootTimeouts.isAwaited(machine))
      addBins(type, machine.zone, machine.spot, false);
  }
  for (const rental of state.pendingRentals.values()) {
    const type = state.machineTypes.get(rental.type);
    if (type) addBins(type, rental.zone, rental.spot, false, rental.n);
  }
  // Unless a job is urgent, it can wait for resources that become free before a new machine could be up.
  const smallest: Resources = { cpus: Infinity, gpus: Infinity, mem: Infinity };
  for (const { job } of unplaced)
    for (const k of ['cpus', 'gpus', 'mem'] as const) smallest[k] = Math.min(smallest[k], job.spec[k]);
  const anyCanWait = unplaced.some((entry) => priorityRank[entry.job.spec.priority] < priorityRank.high);
  for (const vm of anyCanWait ? input.usable : []) {
    const vmType = state.machineTypes.get(vm.type);
    if (!vmType) continue;
    const free = input.freeResources(vm);
    for (const attempt of vm.live)
      if (input.secondsRemaining(attempt) < Math.min(vmType.boot, 20)) addTo(free, attempt.job.spec);
    if (fits(free, smallest))
      bins.push({ type: vmType, zone: vm.zone, spot: vm.spot, ...free, isNew: false, id: vm.id, count: 1 });
  }
  /** Packs tasks into machines of a bin, which get bins of their own; returns how many tasks were packed. */
  const packInto = (bin: Bin, request: Resources, taskCount: number): number => {
    const perMachine = slotCount(bin, request);
    if (perMachine === 0 || bin.count === 0 || taskCount === 0) return 0;
    const split = (count: number, tasksEach: number): void => {
      if (count === 0) return;
      const used = { ...bin, count };
      addTo(used, request, -tasksEach);
      bin.count -= count;
      bins.push(used);
    };
    const full = Math.min(bin.count, Math.floor(taskCount / perMachine));
    split(full, perMachine);
    const remainder = bin.count > 0 ? taskCount % perMachine : 0;
    if (remainder > 0) split(1, remainder);
    return full * perMachine + remainder;
  };
  const soleFits = soleFitTypes(state);
  const rented = new Map<string, { bin: Bin; machineCount: number }>();
  for (const { job, tasks, zone } of unplaced) {
    const spec = job.spec;
    const types = [...state.machineTypes.values()].filter((type) => fitsType(spec, type));
    const canWait = priorityRank[spec.priority] < priorityRank.high;
    const restartCritical = isRestartCritical(job, now, input.completionObjectiveS(spec.class));
    const isEligible = (bin: Bin): boolean =>
      bin.count > 0 &&
      (bin.id === null || (canWait && !avoidsMachine(job, bin.id, now))) &&
      fits(bin, spec) &&
      meetsConstraints(job, { type: bin.type.name, zone: bin.zone, spot: bin.spot });
    const rentsSpot = spec.spot && input.policy.rentSpot(spec);
    const options = (at: string | null): { type: MachineType; zone: string; spot: boolean; cost: number }[] =>
      offers
        .filter(
          (offer) =>
            types.includes(offer.type) &&
            (!spec.zone || offer.zone === spec.zone) &&
            (at === null || offer.zone === at) &&
            (rentsSpot || !offer.spot),
        )
        .map((offer) => {
          const perMachine = Math.max(1, Math.min(tasks, slotCount(offer.type, spec)));
          const cost = (priceOf(offer.type, offer.spot) / perMachine) * (1 + offer.type.boot / 600);
          // Machines of a type that some job depends on should be left to it. A gang that loses any one of
          // its spot machines loses the work of all its tasks.
          const scarcity = !offer.spot && types.length > 1 && soleFits.has(offer.type.name) ? 1.3 : 1;
          const risk = spec.gang ? 1 + 0.15 * spec.tasks : restartCritical ? 3 : 1;
          return { ...offer, cost: cost * scarcity * (offer.spot ? risk : 1) };
        })
        .sort((a, b) => a.cost - b.cost);
    let target: string | null = zone;
    let left = tasks;
    if (spec.oneZone && target !== null && spec.gang && job.live.size === 0 && options(target).length === 0) {
      // Nothing can be rented in the zone of the reserved places: another zone may take the whole gang.
      target = null;
      left = spec.tasks;
    }
    if (spec.oneZone && target === null) {
      // All tasks go to one zone: the one with the most places in bins that can also provide the rest.
      const slots = new Map<string, number>();
      for (const bin of bins)
        if (isEligible(bin))
          slots.set(bin.zone, (slots.get(bin.zone) ?? 0) + Math.min(left, bin.count * slotCount(bin, spec)));
      const rentableZones = new Set(options(null).map((offer) => offer.zone));
      const zones = [...new Set([...slots.keys(), ...rentableZones])];
      /** Places for the tasks in a zone; -1 if it has too few and can't get more machines. */
      const worth = (name: string): number => {
        const places = Math.min(left, slots.get(name) ?? 0);
        return places === left || rentableZones.has(name) ? places : -1;
      };
      // Among equal zones, the one with the fewest rented CPUs: that spreads the load.
      const ranked = zones.map((name) => ({ name, worth: worth(name), cpus: rentedCpus.get(name) ?? 0 }));
      ranked.sort((a, b) => b.worth - a.worth || a.cpus - b.cpus);
      if (ranked.length === 0 || ranked[0]!.worth < 0) continue;
      target = ranked[0]!.name;
    }
    for (let i = 0, count = bins.length; i < count && left > 0; i++) {
      const bin = bins[i]!;
      if (isEligible(bin) && (target === null || bin.zone === target)) left -= packInto(bin, spec, left);
    }
    if (left === 0) continue;
    const best = options(target)[0];
    if (!best) continue;
    const perMachine = slotCount(best.type, spec);
    const machineCount = Math.ceil(left / perMachine);
    const added = addBins(best.type, best.zone, best.spot, true, machineCount);
    packInto(added, spec, left);
    const key = offerKey({ type: best.type.name, zone: best.zone, spot: best.spot });
    const rental = rented.get(key) ?? { bin: added, machineCount: 0 };
    rental.machineCount += machineCount;
    rented.set(key, rental);
  }
  return [...rented.values()].flatMap(({ bin, machineCount }) => {
    const entries: LogEntry[] = [];
    for (let left = Math.min(machineCount, MAX_RENTED_PER_OFFER); left > 0; left -= 50)
      entries.push({
        e: 'hire',
        name: input.nextRentalName(),
        type: bin.type.name,
        zone: bin.zone,
        spot: bin.spot,
        n: Math.min(left, 50),
      });
    return entries;
  });
}

/** Limit of one round; the cloud's answers show whether more can be rented in the next. */
const MAX_RENTED_PER_OFFER = 150;

/** Plans returns of machines that never came up, are silent, faulty or idle, or run overdue cancelled tasks. */
export function planReturns(input: CapacityInput): LogEntry[] {
  const { state, now } = input;
  const drops = new Map<string, MachineId[]>();
  const add = (reason: string, machine: Machine): void => {
    const ids = drops.get(reason) ?? [];
    drops.set(reason, ids);
    ids.push(machine.id);
  };
  const bootTimeouts = new BootTimeouts(state, now);
  for (const machine of state.machines.values()) {
    if (machine.drop) continue;
    const attributes = { zone: machine.zone, spot: machine.spot, type: state.machineTypes.get(machine.type) };
    if (machine.session === 0) {
      if (bootTimeouts.neverCameUp(machine)) add('never up', machine);
      continue;
    }
    const silentS = input.secondsSilent(machine);
    // When most machines are silent, the network may be at fault, so they get more time. Once their lease has
    // expired, nothing is left on them that waiting could save.
    const timeoutS = input.mostAreSilent
      ? Math.max(input.policy.silenceTimeoutS(attributes), input.leaseS * 1.25 + 3)
      : input.policy.silenceTimeoutS(attributes);
    if (silentS > timeoutS) add('silent', machine);
    else if (machine.stopping > 0 && [...machine.live].some(input.isOverdue)) add('withdrawn', machine);
    else if (machine.errors >= 2) add('faulty', machine);
    else if (
      machine.live.size === 0 &&
      !input.retained.has(machine) &&
      now - machine.hiredAt > 50_000 &&
      now - machine.idleSince > input.policy.idleTimeoutS(attributes) * 1000
    )
      add('idle', machine);
  }
  return [...drops].flatMap(([why, ids]) => chunked(ids, 200).map((m): LogEntry => ({ e: 'drop', m, why })));
}
