import { RESOURCE_EPSILON } from './types.js';

/** What a task takes of its machine, or a machine has to give. */
export interface Resources {
  cpus: number;
  gpus: number;
  mem: number;
}

export const fits = (room: Resources, need: Resources): boolean =>
  room.cpus + RESOURCE_EPSILON >= need.cpus &&
  room.gpus + RESOURCE_EPSILON >= need.gpus &&
  room.mem + RESOURCE_EPSILON >= need.mem;

/** Adds to a room, n times over; a negative n takes from it. */
export function addTo(room: Resources, what: Resources, n = 1): void {
  room.cpus += n * what.cpus;
  room.gpus += n * what.gpus;
  room.mem += n * what.mem;
}

export const sumOf = (a: Resources, b: Resources): Resources => ({
  cpus: a.cpus + b.cpus,
  gpus: a.gpus + b.gpus,
  mem: a.mem + b.mem,
});
