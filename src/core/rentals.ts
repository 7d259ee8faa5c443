/** Plans which machines to rent for unplaced tasks. */
import { CapacityBins, offerOf, type Bin } from './capacity-bins.js';
import { isRestartCritical, slotCount } from './candidates.js';
import { addToZone, allowsOffer, fitsOffer, fitsType, ZoneAllowance } from './constraints.js';
import { soleFitTypes } from './fit.js';
import { avoidsMachine, type Job, type Machine, type TaskAttempt } from './model.js';
import { offerKey, type Offer } from './offers.js';
import type { PlacementResult, Unplaced } from './placement.js';
import type { Policy } from './policy.js';
import { addTo, fits, type Resources } from './resources.js';
import type { ClusterState } from './state.js';
import { priorityRank, type JobSpec, type LogEntry, type MachineType, type WallMs } from './types.js';

export interface RentalsInput {
  state: ClusterState;
  now: WallMs;
  unplaced: readonly Unplaced[];
  /** Whether machines of the offer are requested now; not for a while after the cloud had too few. */
  isRentable: (offer: Offer) => boolean;
  /** Whether the settings name the zone; others are used where these are not enough. */
  isPreferredZone: (zone: string) => boolean;
  nextRentalName: () => string;
  /** Machines that may take work, and what this round leaves free on each. */
  usable: Machine[];
  freeResources: PlacementResult['freeResources'];
  /** Seconds within which a class's jobs are to finish; 0 if it has no objective, or one for the start. */
  completionObjectiveS: (className: string) => number;
  /** Seconds until a task is likely to end. */
  secondsRemaining: (attempt: TaskAttempt) => number;
  policy: Policy;
}

/** What the cloud may have: machines of a type in a zone, spot or on demand. */
interface RentalOption {
  type: MachineType;
  zone: string;
  spot: boolean;
}

/** Tasks that need machines, and the state of the search for them. */
interface Need {
  job: Job;
  spec: JobSpec;
  tasks: number;
  allowance: ZoneAllowance;
  /** What may be rented for the job, the best first. */
  options: RentalOption[];
}

/** Limit of one round; the cloud's answers show whether more can be rented in the next. */
const MAX_RENTED_PER_OFFER = 150;
/** Maximum number of machines in one request to the cloud. */
const MAX_MACHINES_PER_REQUEST = 50;
/** A task that ends within this time, or the boot time if that is shorter, is waited for. */
const MAX_AWAITED_S = 20;
/** Boot time that counts as much as the whole price. */
const BOOT_COST_S = 600;
/** Factor on the cost of a machine that is better left to jobs that fit no other. */
const SCARCITY_FACTOR = 1.3;
/** What each task of a gang adds to the factor on the cost of a spot machine. */
const GANG_SPOT_RISK = 0.15;
/** Factor on the cost of a spot machine for a job that would miss its objective by starting over. */
const RESTART_SPOT_RISK = 3;

/** Plans rentals for unplaced tasks, beyond what booting machines and tasks about to end will provide. */
export function planRentals(input: RentalsInput): LogEntry[] {
  if (input.unplaced.length === 0) return [];
  const options = rentableOptions(input);
  // Saves the calculations below while the cloud has nothing to rent.
  if (options.length === 0) return [];
  return new RentalRound(input, options).run();
}

function rentableOptions({ isRentable, state }: RentalsInput): RentalOption[] {
  const options: RentalOption[] = [];
  for (const type of state.machineTypes.values())
    for (const zone of type.zones)
      for (const spot of [true, false])
        if (isRentable({ type: type.name, zone, spot })) options.push({ type, zone, spot });
  return options;
}

/** Whether a job is not urgent, so that it can wait for resources that become free. */
const canWait = (spec: JobSpec): boolean => priorityRank[spec.priority] < priorityRank.high;

/** Plans the rentals of one round; holds what is rented so far. */
class RentalRound {
  private readonly capacity = new CapacityBins();
  private readonly rentedCpus = new Map<string, number>();
  private readonly soleFits: ReadonlySet<string>;
  private readonly rentals = new Map<string, { offer: Offer; machineCount: number }>();

  constructor(
    private readonly input: RentalsInput,
    private readonly options: readonly RentalOption[],
  ) {
    const { now, state } = input;
    this.soleFits = soleFitTypes(state);
    for (const machine of state.machines.values())
      addToZone(this.rentedCpus, machine.zone, state.machineTypes.get(machine.type)?.cpus ?? 0);
    this.capacity.addBootingMachines(state, now);
    if (input.unplaced.some(({ job }) => canWait(job.spec))) this.addMachinesInUse();
  }

  /** Adds what will be free on machines in use before a new machine could be up. */
  private addMachinesInUse(): void {
    const { freeResources, secondsRemaining, state, unplaced, usable } = this.input;
    const smallest: Resources = { cpus: Infinity, gpus: Infinity, mem: Infinity };
    for (const { job } of unplaced)
      for (const k of ['cpus', 'gpus', 'mem'] as const) smallest[k] = Math.min(smallest[k], job.spec[k]);
    for (const machine of usable) {
      const type = state.machineTypes.get(machine.type);
      if (!type) continue;
      const free = freeResources(machine);
      for (const attempt of machine.live)
        if (secondsRemaining(attempt) < Math.min(type.boot, MAX_AWAITED_S)) addTo(free, attempt.job.spec);
      if (fits(free, smallest)) this.capacity.addMachine(machine, type, free);
    }
  }

  run(): LogEntry[] {
    for (const unplaced of this.input.unplaced) this.rentFor(unplaced);
    return [...this.rentals.values()].flatMap(({ offer, machineCount }) =>
      this.rentalEntries(offer, Math.min(machineCount, MAX_RENTED_PER_OFFER)),
    );
  }

  private rentFor(unplaced: Unplaced): void {
    const need = this.placeableNeed(unplaced);
    if (!need) return;
    const zone = need.spec.oneZone ? this.targetZone(need) : null;
    if (need.spec.oneZone && zone === null) return;
    this.packIntoBins(need, zone);
    for (const option of need.options)
      if (need.tasks > 0 && (zone === null || option.zone === zone)) this.rent(need, option);
  }

  /**
   * What to find machines for: of a gang all tasks, or nothing while some of them could not have a place
   * beside the others.
   */
  private placeableNeed({ allowance, job, tasks }: Unplaced): Need | null {
    const { spec } = job;
    const need = { job, spec, tasks, allowance, options: this.rankOptions(job, tasks) };
    if (!spec.gang || allowance.canHold(tasks, this.placesByZone(need))) return need;
    // The gang's reserved places are where the rest of it can't be: other zones may take all of its tasks.
    const whole = { ...need, tasks: spec.tasks, allowance: ZoneAllowance.beside(job) };
    return whole.allowance.canHold(whole.tasks, this.placesByZone(whole)) ? whole : null;
  }

  /** What may be rented for the job: preferred zones first, then what is cheapest for its tasks. */
  private rankOptions(job: Job, tasks: number): RentalOption[] {
    const { completionObjectiveS, isPreferredZone, now, policy, state } = this.input;
    const { spec } = job;
    const fittingTypes = [...state.machineTypes.values()].filter((type) => fitsType(spec, type)).length;
    const restartCritical = isRestartCritical(job, now, completionObjectiveS(spec.class));
    const rentsSpot = policy.rentSpot(spec);
    const costOf = ({ type, spot }: RentalOption): number => {
      const perMachine = Math.max(1, Math.min(tasks, slotCount(type, spec)));
      const price = spot ? type.spotPrice : type.price;
      const cost = (price / perMachine) * (1 + type.boot / BOOT_COST_S);
      // Machines of a type that some job depends on should be left to it. A gang that loses any one of its spot
      // machines loses the work of all its tasks.
      const scarcity = !spot && fittingTypes > 1 && this.soleFits.has(type.name) ? SCARCITY_FACTOR : 1;
      const risk = spec.gang ? 1 + GANG_SPOT_RISK * spec.tasks : restartCritical ? RESTART_SPOT_RISK : 1;
      return cost * scarcity * (spot ? risk : 1);
    };
    return this.options
      .filter(({ type, zone, spot }) => fitsOffer(spec, type, zone, spot) && (rentsSpot || !spot))
      .map((option) => ({ option, cost: costOf(option), isPreferred: isPreferredZone(option.zone) }))
      .sort((a, b) => Number(b.isPreferred) - Number(a.isPreferred) || a.cost - b.cost)
      .map(({ option }) => option);
  }

  private isEligible(bin: Bin, { job, spec }: Need): boolean {
    return (
      bin.count > 0 &&
      (bin.id === null || (canWait(spec) && !avoidsMachine(job, bin.id, this.input.now))) &&
      fits(bin, spec) &&
      allowsOffer(spec, offerOf(bin))
    );
  }

  /** How many tasks the eligible bins of each zone can take. */
  private binPlaces(need: Need): Map<string, number> {
    const places = new Map<string, number>();
    for (const bin of this.capacity.bins)
      if (this.isEligible(bin, need))
        addToZone(places, bin.zone, Math.min(need.tasks, bin.count * slotCount(bin, need.spec)));
    return places;
  }

  /** How many tasks each zone can take; no limit where machines can be rented. */
  private placesByZone(need: Need): Map<string, number> {
    const places = this.binPlaces(need);
    for (const { zone } of need.options) places.set(zone, Infinity);
    return places;
  }

  /**
   * The zone for all tasks of a one-zone job: the one with the most places in bins that can also provide the
   * rest. Among equal ones, a preferred one, with the fewest rented CPUs: that spreads the load.
   */
  private targetZone(need: Need): string | null {
    const slots = this.binPlaces(need);
    const rentable = new Set(need.options.map(({ zone }) => zone));
    const ranked = need.allowance
      .zoneChoices([...slots.keys(), ...rentable])
      .map((choice) => choice!)
      .map((zone) => {
        const places = Math.min(need.tasks, slots.get(zone) ?? 0);
        const isPreferred = Number(this.input.isPreferredZone(zone));
        return { zone, places, isPreferred, cpus: this.rentedCpus.get(zone) ?? 0 };
      })
      .filter(({ zone, places }) => places === need.tasks || rentable.has(zone));
    ranked.sort((a, b) => b.places - a.places || b.isPreferred - a.isPreferred || a.cpus - b.cpus);
    return ranked[0]?.zone ?? null;
  }

  /** Packs as many tasks as possible into machines that are expected anyway. */
  private packIntoBins(need: Need, zone: string | null): void {
    const { bins } = this.capacity;
    for (let i = 0, count = bins.length; i < count && need.tasks > 0; i++) {
      const bin = bins[i]!;
      if (this.isEligible(bin, need) && (zone === null || bin.zone === zone)) this.pack(need, bin);
    }
  }

  private pack(need: Need, bin: Bin): void {
    const allowed = Math.min(need.tasks, need.allowance.remaining(bin.zone));
    const packed = this.capacity.pack(bin, need.spec, allowed);
    need.allowance.take(bin.zone, packed);
    need.tasks -= packed;
  }

  /** Rents machines of the option for as many of the tasks as its zone may take. */
  private rent(need: Need, { type, zone, spot }: RentalOption): void {
    const tasks = Math.min(need.tasks, need.allowance.remaining(zone));
    if (tasks === 0) return;
    const machineCount = Math.ceil(tasks / slotCount(type, need.spec));
    this.pack(need, this.capacity.addRented(type, { zone, spot }, machineCount));
    const offer = { type: type.name, zone, spot };
    const rental = this.rentals.get(offerKey(offer)) ?? { offer, machineCount: 0 };
    rental.machineCount += machineCount;
    this.rentals.set(offerKey(offer), rental);
  }

  private rentalEntries({ type, zone, spot }: Offer, machineCount: number): LogEntry[] {
    const entries: LogEntry[] = [];
    for (let left = machineCount; left > 0; left -= MAX_MACHINES_PER_REQUEST) {
      const n = Math.min(left, MAX_MACHINES_PER_REQUEST);
      entries.push({ e: 'hire', name: this.input.nextRentalName(), type, zone, spot, n });
    }
    return entries;
  }
}
