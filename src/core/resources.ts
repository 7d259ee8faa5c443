/** Arithmetic of resource amounts. */
import { RESOURCE_EPSILON } from './types.js';

/** Resources that a task requests, or that a machine offers. */
export interface Resources {
  cpus: number;
  gpus: number;
  mem: number;
}

/** Whether the free resources satisfy the request. */
export const fits = (free: Resources, request: Resources): boolean =>
  free.cpus + RESOURCE_EPSILON >= request.cpus &&
  free.gpus + RESOURCE_EPSILON >= request.gpus &&
  free.mem + RESOURCE_EPSILON >= request.mem;

/** Adds an amount to `target` in place, `times` times; a negative `times` subtracts. */
export function addTo(target: Resources, amount: Resources, times = 1): void {
  target.cpus += times * amount.cpus;
  target.gpus += times * amount.gpus;
  target.mem += times * amount.mem;
}

export const sumOf = (a: Resources, b: Resources): Resources => ({
  cpus: a.cpus + b.cpus,
  gpus: a.gpus + b.gpus,
  mem: a.mem + b.mem,
});
