/**
 * A job's placement constraints: the machine types, zones and kinds of machine that it allows, the resources
 * that each of its tasks needs, and how its tasks may be divided between zones. Admission, placement,
 * reservation, preemption and rental all decide by these functions.
 */
import type { Job } from './model.js';
import type { Offer } from './offers.js';
import { fits } from './resources.js';
import type { JobSpec, MachineType } from './types.js';

/** Whether the job allows machines of this type, zone and kind. Upholds wrong_place. */
export const allowsOffer = (spec: JobSpec, { type, zone, spot }: Offer): boolean =>
  (!spec.types || spec.types.includes(type)) && (!spec.zone || zone === spec.zone) && (spec.spot || !spot);

/** Whether a task may run on an empty machine of the type in the zone, spot or on demand. */
export const fitsOffer = (spec: JobSpec, type: MachineType, zone: string, spot: boolean): boolean =>
  fits(type, spec) && allowsOffer(spec, { type: type.name, zone, spot });

/** The zones in which a task may run on an empty machine of the type. */
export const zonesOfType = (spec: JobSpec, type: MachineType): string[] =>
  type.zones.filter((zone) => fitsOffer(spec, type, zone, false));

/** Whether a task fits an empty machine of the type, in a zone that the job allows. */
export const fitsType = (spec: JobSpec, type: MachineType): boolean => zonesOfType(spec, type).length > 0;

/** Equal for jobs that allow the same types, zones and kinds of machine. */
export const constraintKey = (spec: JobSpec): string =>
  `${spec.types?.join() ?? ''}|${spec.zone ?? ''}|${spec.spot}`;

/** Whether the job has a rule on how its tasks are divided between zones. */
const hasZoneRule = (spec: JobSpec): boolean => spec.oneZone || spec.spread;

/** How many tasks of the job may be present in one zone. */
const maxTasksPerZone = (spec: JobSpec): number => (spec.spread ? Math.ceil(spec.tasks / 2) : Infinity);

/** How many more tasks of a job each zone may take beside those that are present there or have a place. */
export class ZoneAllowance {
  private constructor(
    private readonly spec: JobSpec,
    private readonly tasksPerZone: Map<string, number>,
  ) {}

  /** The allowance of a job none of whose tasks is present. */
  static ofSpec(spec: JobSpec): ZoneAllowance {
    return new ZoneAllowance(spec, new Map());
  }

  /** The allowance beside the tasks that may still be on a machine. */
  static beside(job: Job): ZoneAllowance {
    const allowance = ZoneAllowance.ofSpec(job.spec);
    if (hasZoneRule(job.spec)) for (const { machine } of job.live.values()) allowance.take(machine.zone, 1);
    return allowance;
  }

  /** Whether no tasks are counted in any zone. */
  get isUnused(): boolean {
    return this.tasksPerZone.size === 0;
  }

  copy(): ZoneAllowance {
    return new ZoneAllowance(this.spec, new Map(this.tasksPerZone));
  }

  /** Counts tasks as placed in the zone; a negative number takes them back. */
  take(zone: string, tasks: number): void {
    if (!hasZoneRule(this.spec)) return;
    const count = (this.tasksPerZone.get(zone) ?? 0) + tasks;
    if (count > 0) this.tasksPerZone.set(zone, count);
    else this.tasksPerZone.delete(zone);
  }

  /** How many more tasks the zone may take. Upholds wrong_place: all tasks of a one-zone job share a zone. */
  remaining(zone: string): number {
    const present = this.tasksPerZone.get(zone) ?? 0;
    const occupiedZones = this.tasksPerZone.size;
    if (this.spec.oneZone && occupiedZones > (present > 0 ? 1 : 0)) return 0;
    return Math.max(0, maxTasksPerZone(this.spec) - present);
  }

  /** Whether this number of further tasks can be present at once, given the number of places in each zone. */
  canHold(tasks: number, placesByZone: Iterable<[zone: string, places: number]>): boolean {
    let held = 0;
    for (const [zone, places] of placesByZone) {
      const inZone = Math.min(places, this.remaining(zone));
      held = this.spec.oneZone ? Math.max(held, inZone) : held + inZone;
    }
    return held >= tasks;
  }

  /**
   * The choices of zones for the job's tasks, in the order of the given zones: each zone by itself for a
   * one-zone job, otherwise all together, which is `[null]`.
   */
  zoneChoices(zones: Iterable<string>): (string | null)[] {
    if (!this.spec.oneZone) return [null];
    return [...new Set(zones)].filter((zone) => this.remaining(zone) > 0);
  }
}

/** Adds a number to that of a zone. */
export function addToZone(placesByZone: Map<string, number>, zone: string, places: number): void {
  placesByZone.set(zone, (placesByZone.get(zone) ?? 0) + places);
}
