/** How many tasks of a job the machines of each zone could hold. */
import { slotCount } from './candidates.js';
import { addToZone, allowsOffer, fitsOffer, zonesOfType } from './constraints.js';
import type { Machine } from './model.js';
import { offerKey, type Offer } from './offers.js';
import type { ClusterState } from './state.js';
import type { JobSpec } from './types.js';

/** Counts the machines once, and answers for any job. */
export class ZoneCapacities {
  private readonly machinesByOffer = new Map<string, { offer: Offer; machineCount: number }>();

  constructor(
    private readonly state: ClusterState,
    usable: readonly Machine[],
    /** Whether machines of the offer may be rented for the job now. */
    private readonly canRent: (spec: JobSpec, offer: Offer) => boolean,
  ) {
    for (const machine of usable) this.count(machine, 1);
    for (const machine of state.machines.values())
      if (machine.session === 0 && machine.drop === null) this.count(machine, 1);
    for (const rental of state.pendingRentals.values()) this.count(rental, rental.n);
  }

  private count({ type, zone, spot }: Offer, machineCount: number): void {
    const offer = { type, zone, spot };
    const known = this.machinesByOffer.get(offerKey(offer));
    if (known) known.machineCount += machineCount;
    else this.machinesByOffer.set(offerKey(offer), { offer, machineCount });
  }

  /**
   * How many of the job's tasks each zone would hold if the usable machines, and those that are booting or
   * being rented, were empty; no limit where more can be rented.
   */
  of(spec: JobSpec): Map<string, number> {
    const capacities = new Map<string, number>();
    for (const { offer, machineCount } of this.machinesByOffer.values()) {
      const type = this.state.machineTypes.get(offer.type);
      if (type && fitsOffer(spec, type, offer.zone, offer.spot))
        addToZone(capacities, offer.zone, slotCount(type, spec) * machineCount);
    }
    for (const zone of this.rentableZones(spec)) capacities.set(zone, Infinity);
    return capacities;
  }

  private rentableZones(spec: JobSpec): Set<string> {
    const zones = new Set<string>();
    for (const type of this.state.machineTypes.values())
      for (const zone of zonesOfType(spec, type))
        for (const spot of [true, false]) {
          const offer = { type: type.name, zone, spot };
          if (allowsOffer(spec, offer) && this.canRent(spec, offer)) zones.add(zone);
        }
    return zones;
  }
}
