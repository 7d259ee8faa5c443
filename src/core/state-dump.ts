/** Conversion of the cluster state to JSON and back, for snapshots. */
import type { RentalRequest, Job } from './model.js';
import { ClusterState } from './state.js';
import type { JobId, MachineType } from './types.js';

/**
 * A copy of the state for JSON, without the counts that loadState() derives; later records don't change it.
 * Its keys, and those of the jobs, machines and rental requests in it, are the stored format.
 */
export function dumpState(state: ClusterState): Record<string, unknown> {
  return {
    next: state.nextRecord,
    marked: state.processedUpTo,
    orders: state.nextJobOrder,
    types: [...state.machineTypes.values()],
    hires: [...state.pendingRentals.values()],
    gone: [...state.removedMachines],
    finals: [...state.outcomes].map(([id, outcome]) => [id, outcome.state === 'done' ? 1 : 0, outcome.done]),
    machines: [...state.machines.values()].map((machine) => ({
      ...machine,
      live: undefined,
      stopping: undefined,
      changes: undefined,
      cpus: undefined,
      gpus: undefined,
      mem: undefined,
      images: [...machine.images],
    })),
    jobs: [...state.jobs.values()].map((job) => ({
      ...job,
      back: [...job.back],
      errorMachines: [...job.errorMachines],
      places: [...job.places],
      live: [...job.live.values()].map((attempt) => [
        attempt.task,
        attempt.attempt,
        attempt.machine.id,
        attempt.session,
        attempt.startedAt,
        attempt.stop,
      ]),
    })),
  };
}

/** Restores the state from a copy made by dumpState(). */
export function loadState(raw: unknown): ClusterState {
  // eslint-disable-next-line @typescript-eslint/no-explicit-any -- written by dumpState
  const d = raw as any;
  const state = new ClusterState();
  state.nextRecord = d.next;
  state.processedUpTo = d.marked;
  state.nextJobOrder = d.orders;
  state.machineTypes = new Map(d.types.map((type: MachineType) => [type.name, type]));
  state.pendingRentals = new Map(d.hires.map((rental: RentalRequest) => [rental.name, rental]));
  state.removedMachines = new Set(d.gone);
  state.outcomes = new Map(
    d.finals.map(([id, f, done]: [JobId, number, number]) => [id, { state: f ? 'done' : 'cancelled', done }]),
  );
  for (const machine of d.machines)
    state.machines.set(machine.id, {
      ...machine,
      live: new Set(),
      stopping: 0,
      changes: 0,
      cpus: 0,
      gpus: 0,
      mem: 0,
      images: new Map(machine.images),
    });
  for (const storedJob of d.jobs) {
    const job: Job = {
      ...storedJob,
      back: new Map(storedJob.back),
      errorMachines: new Set(storedJob.errorMachines),
      places: storedJob.places ?? [],
      live: new Map(),
    };
    state.jobs.set(job.spec.id, job);
    for (const [task, attempt, id, session, startedAt, stop] of storedJob.live) {
      state.addAttempt({ job, task, attempt, machine: state.machines.get(id)!, session, startedAt, stop });
    }
  }
  return state;
}
