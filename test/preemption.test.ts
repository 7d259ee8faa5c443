import { describe, expect, it } from 'vitest';
import { orderClaims } from '../src/core/claims.js';
import { place } from '../src/core/placement.js';
import { preempt } from '../src/core/preemption.js';
import { ClusterState } from '../src/core/state.js';
import type { LogEntry, JobSpec, MachineId, WallMs } from '../src/core/types.js';
import { priorityRank } from '../src/core/types.js';
import { box, write as record } from './fakes/world.js';

const teams = [
  { name: 'red', cpus: 8, cpusMax: 100, gpus: 0, gpusMax: 0 },
  { name: 'blue', cpus: 8, cpusMax: 100, gpus: 0, gpusMax: 0 },
];
const spec = (id: number, over: Partial<JobSpec>): JobSpec => ({
  id: `wk-${id}` as JobSpec['id'],
  class: 'c',
  team: 'red',
  gang: false,
  priority: 'normal',
  tasks: 1,
  cpus: 4,
  gpus: 0,
  mem: 1,
  image: 'i',
  imageGb: 1,
  types: null,
  zone: null,
  oneZone: false,
  spread: false,
  spot: true,
  estimate: 10,
  checkpoint: 0,
  save: 0,
  deadline: null,
  ...over,
});

function world(entries: LogEntry[]) {
  const state = new ClusterState();
  const write = (list: LogEntry[]): void => record(state, list, state.nextRecord);
  write([{ e: 'types', types: [box] }]);
  write([{ e: 'up', m: 'vm-1' as MachineId, addr: 'x', type: 'box', zone: 'a', spot: false, s: 1 as never }]);
  write(entries);
  const round = (now = 1e6, fetching = false) => {
    const usable = [...state.machines.values()];
    const order = orderClaims(state, teams, () => false);
    const placed = place({
      claims: order,
      state,
      teams,
      now: now as WallMs,
      random: { intBelow: () => 0 },
      sampleSize: 5,
      usable,
      completionObjectiveS: () => 0,
      reserved: new Set(),
      canRent: () => true,
      isFetching: () => fetching,
      maxStarts: 100,
    });
    const p = preempt({
      claims: order,
      state,
      teams,
      usable,
      unplaced: placed.unplaced,
      freeResources: placed.freeResources,
      releasingResources: placed.releasingResources,
      secondsRun: () => 60,
      minRank: priorityRank.high,
    });
    write([...placed.entries, ...p.entries]);
    return { starts: placed.entries, stops: p.entries, left: p.unplaced };
  };
  return { state, write, round };
}

describe('a gang that fetches its image', () => {
  it('shares its machine with no other fetch, but with work of the same image', () => {
    const w = world([{ e: 'job', spec: spec(1, { gang: true, tasks: 2, cpus: 2.5 }) }]);
    expect(w.round().starts).toMatchObject([{ job: 'wk-1' }]);
    w.write([
      { e: 'job', spec: spec(2, { cpus: 1, image: 'other' }) },
      { e: 'job', spec: spec(3, { cpus: 1 }) },
    ]);
    expect(w.round(1e6, true).starts).toMatchObject([{ job: 'wk-3' }]);
    expect(w.round(1e6, false).starts).toMatchObject([{ job: 'wk-2' }]);
  });
});

describe('room for a claim', () => {
  it('is drained for a gang that waits for long: half-empty machines get no lesser work', () => {
    const w = world([{ e: 'job', spec: spec(1, { team: 'blue', cpus: 4 }) }]);
    w.write([
      { e: 'up', m: 'vm-2' as MachineId, addr: 'y', type: 'box', zone: 'a', spot: false, s: 1 as never },
      { e: 'job', spec: spec(2, { team: 'blue', cpus: 5 }) },
    ]);
    expect(w.round().starts).toHaveLength(2);
    w.write([
      { e: 'job', spec: spec(3, { gang: true, tasks: 2, cpus: 8 }) },
      { e: 'job', spec: spec(4, { team: 'blue', priority: 'low', cpus: 1 }) },
    ]);
    expect(w.round().starts).toEqual([]);
    const fresh = world([{ e: 'job', spec: spec(1, { team: 'blue', cpus: 4 }) }]);
    fresh.round();
    fresh.write([
      { e: 'job', spec: spec(3, { gang: true, tasks: 2, cpus: 8 }) },
      { e: 'job', spec: spec(4, { team: 'blue', priority: 'low', cpus: 1 }) },
    ]);
    expect(fresh.round(20_000).starts).toMatchObject([{ job: 'wk-4' }]);
  });

  it('is made by stopping lower work, and kept while it is being made', () => {
    const w = world([{ e: 'job', spec: spec(1, { team: 'blue', priority: 'low', tasks: 2 }) }]);
    expect(w.round().starts).toHaveLength(1);
    w.write([{ e: 'job', spec: spec(2, { priority: 'high', gang: true, cpus: 8 }) }]);
    const r = w.round();
    expect(r.stops).toMatchObject([{ job: 'wk-1', p: [0, 1], grace: 0 }]);
    expect(r.left).toEqual([]);
    // One task is gone: its room is too little for the claim, and no lesser job may take it.
    w.write([{ e: 'end', p: [['wk-1' as JobSpec['id'], 0, 1, 'stopped', false]] }]);
    expect(w.round().starts).toEqual([]);
    w.write([{ e: 'end', p: [['wk-1' as JobSpec['id'], 1, 1, 'stopped', false]] }]);
    expect(w.round().starts).toMatchObject([{ job: 'wk-2' }]);
  });

  it('is never made at the cost of equal or higher work within its guarantee', () => {
    const w = world([{ e: 'job', spec: spec(1, { team: 'blue', priority: 'high', tasks: 2 }) }]);
    w.round();
    w.write([{ e: 'job', spec: spec(2, { priority: 'high', gang: true, cpus: 8 }) }]);
    expect(w.round().stops).toEqual([]);
  });

  it('is made for a guarantee from what another team runs beyond its own', () => {
    const w = world([{ e: 'job', spec: spec(1, { team: 'blue', priority: 'high', tasks: 4, cpus: 2 }) }]);
    w.write([{ e: 'job', spec: spec(3, { team: 'blue', priority: 'high', tasks: 1, cpus: 4 }) }]);
    w.round();
    // blue holds 8 of its 8 CPUs: nothing of it is beyond its guarantee.
    w.write([{ e: 'job', spec: spec(2, { priority: 'low', cpus: 2 }) }]);
    expect(w.round().stops).toEqual([]);
    w.write([
      { e: 'up', m: 'vm-2' as MachineId, addr: 'y', type: 'box', zone: 'a', spot: false, s: 1 as never },
      { e: 'job', spec: spec(4, { team: 'blue', priority: 'high', tasks: 3, cpus: 2 }) },
    ]);
    w.state.jobs.get('wk-2' as JobSpec['id'])!.notBefore = 2e6 as WallMs;
    w.round();
    w.state.jobs.get('wk-2' as JobSpec['id'])!.notBefore = 0 as WallMs;
    w.write([{ e: 'job', spec: spec(5, { priority: 'low', cpus: 2, tasks: 2 }) }]);
    const stops = w.round().stops as { job: string }[];
    expect(stops.length).toBeGreaterThan(0);
    expect(stops.every((s) => s.job !== 'wk-1')).toBe(true);
  });
});
