/**
 * Says by trying every division of a job's tasks between zones whether the job can run at all. It shares no
 * code with the scheduler.
 */
import type { MachineType, Team } from '../../src/core/types.js';
import type { JobOnWire } from './checker.js';

/** How many machines of a type, zone and kind there are. */
export type MachineCount = (type: MachineType, zone: string, spot: boolean) => number;

/** How many tasks of the job one empty machine holds. */
function tasksOnMachine(job: JobOnWire, type: MachineType): number {
  let tasks = 0;
  while ((tasks + 1) * job.cpus <= type.cpus && (tasks + 1) * job.mem_gb <= type.mem) tasks++;
  return tasks;
}

/** How many tasks of the job all machines of a zone hold together. */
function placesIn(zone: string, job: JobOnWire, types: readonly MachineType[], count: MachineCount): number {
  let places = 0;
  for (const type of types)
    for (const spot of [false, true]) {
      const isAllowed =
        type.zones.includes(zone) &&
        (job.breeds === null || job.breeds.includes(type.name)) &&
        (job.yard === null || job.yard === zone) &&
        (job.loaners || !spot);
      const perMachine = tasksOnMachine(job, type);
      if (isAllowed && perMachine > 0) places += count(type, zone, spot) * perMachine;
    }
  return places;
}

/** Every division of `tasks` tasks between `zones` zones. */
function* divisions(tasks: number, zones: number): Generator<number[]> {
  if (zones === 1) return yield [tasks];
  for (let first = 0; first <= tasks; first++)
    for (const rest of divisions(tasks - first, zones - 1)) yield [first, ...rest];
}

/** Whether as many tasks as must run at the same time fit the machines, as the job's rule on zones allows. */
export function fitsMachines(job: JobOnWire, types: readonly MachineType[], count: MachineCount): boolean {
  const zones = [...new Set(types.flatMap((type) => type.zones))];
  const places = zones.map((zone) => placesIn(zone, job, types, count));
  const tasks = job.shape === 'ensemble' ? job.shifts : 1;
  for (const division of divisions(tasks, zones.length)) {
    const usedZones = division.filter((inZone) => inZone > 0).length;
    const largest = Math.max(...division);
    if (
      division.every((inZone, i) => inZone <= places[i]!) &&
      (!job.together || usedZones <= 1) &&
      (!job.spread || largest <= Math.ceil(job.shifts / 2))
    )
      return true;
  }
  return false;
}

/** Whether the job could run if the cloud had any number of machines: only then may it be accepted. */
export function canEverRun(job: JobOnWire, types: readonly MachineType[], teams: readonly Team[]): boolean {
  const team = teams.find((one) => one.name === job.desk);
  const tasks = job.shape === 'ensemble' ? job.shifts : 1;
  return team !== undefined && tasks * job.cpus <= team.cpusMax && fitsMachines(job, types, () => Infinity);
}
