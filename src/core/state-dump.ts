/** A state as JSON and back, for snapshots. */
import type { RentalRequest, Job } from './model.js';
import { ClusterState } from './state.js';
import type { JobId, MachineType } from './types.js';

/** Everything but the derived counts, ready for JSON; a copy, which later records don't change. */
export function dumpState(state: ClusterState): Record<string, unknown> {
  return {
    next: state.nextRecord,
    marked: state.processedUpTo,
    orders: state.nextJobOrder,
    types: [...state.machineTypes.values()],
    hires: [...state.pendingRentals.values()],
    gone: [...state.removedMachines],
    finals: [...state.outcomes].map(([id, f]) => [id, f.state === 'done' ? 1 : 0, f.done]),
    machines: [...state.machines.values()].map((m) => ({
      ...m,
      live: undefined,
      stopping: undefined,
      changes: undefined,
      cpus: undefined,
      gpus: undefined,
      mem: undefined,
      images: [...m.images],
    })),
    jobs: [...state.jobs.values()].map((j) => ({
      ...j,
      back: [...j.back],
      errorMachines: [...j.errorMachines],
      places: [...j.places],
      live: [...j.live.values()].map((l) => [
        l.task,
        l.attempt,
        l.machine.id,
        l.session,
        l.startedAt,
        l.stop,
      ]),
    })),
  };
}

/** The state that `dumpState` gave. */
export function loadState(raw: unknown): ClusterState {
  // eslint-disable-next-line @typescript-eslint/no-explicit-any -- our own dump, read back
  const d = raw as any;
  const s = new ClusterState();
  s.nextRecord = d.next;
  s.processedUpTo = d.marked;
  s.nextJobOrder = d.orders;
  s.machineTypes = new Map(d.types.map((t: MachineType) => [t.name, t]));
  s.pendingRentals = new Map(d.hires.map((h: RentalRequest) => [h.name, h]));
  s.removedMachines = new Set(d.gone);
  s.outcomes = new Map(
    d.finals.map(([id, f, done]: [JobId, number, number]) => [id, { state: f ? 'done' : 'cancelled', done }]),
  );
  for (const m of d.machines)
    s.machines.set(m.id, {
      ...m,
      live: new Set(),
      stopping: 0,
      changes: 0,
      cpus: 0,
      gpus: 0,
      mem: 0,
      images: new Map(m.images),
    });
  for (const j of d.jobs) {
    const job: Job = {
      ...j,
      back: new Map(j.back),
      errorMachines: new Set(j.errorMachines),
      places: j.places ?? [],
      live: new Map(),
    };
    s.jobs.set(job.spec.id, job);
    for (const [task, attempt, mid, session, at, stop] of j.live) {
      s.addAttempt({ job, task, attempt, machine: s.machines.get(mid)!, session, startedAt: at, stop });
    }
  }
  return s;
}
