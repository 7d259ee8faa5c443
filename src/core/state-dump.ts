/** A state as JSON and back, for snapshots. */
import type { Hire, Job } from './model.js';
import { State } from './state.js';
import type { JobId, MachineType } from './types.js';

/** Everything but the derived counts, ready for JSON; a copy, which later records don't change. */
export function dumpState(state: State): Record<string, unknown> {
  return {
    next: state.next,
    marked: state.marked,
    orders: state.orders,
    types: [...state.types.values()],
    hires: [...state.hires.values()],
    gone: [...state.gone],
    finals: [...state.finals].map(([id, f]) => [id, f.s === 'done' ? 1 : 0, f.done]),
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
      live: [...j.live.values()].map((l) => [l.task, l.attempt, l.machine.id, l.session, l.at, l.stop]),
    })),
  };
}

/** The state that `dumpState` gave. */
export function loadState(raw: unknown): State {
  // eslint-disable-next-line @typescript-eslint/no-explicit-any -- our own dump, read back
  const d = raw as any;
  const s = new State();
  s.next = d.next;
  s.marked = d.marked;
  s.orders = d.orders;
  s.types = new Map(d.types.map((t: MachineType) => [t.name, t]));
  s.hires = new Map(d.hires.map((h: Hire) => [h.name, h]));
  s.gone = new Set(d.gone);
  s.finals = new Map(
    d.finals.map(([id, f, done]: [JobId, number, number]) => [id, { s: f ? 'done' : 'cancelled', done }]),
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
      s.addLive({ job, task, attempt, machine: s.machines.get(mid)!, session, at, stop });
    }
  }
  return s;
}
