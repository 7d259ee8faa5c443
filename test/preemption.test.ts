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
const spec = (id: number, overrides: Partial<JobSpec>): JobSpec => ({
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
  ...overrides,
});

/** A state with one machine; `round` runs placement and preemption, and records their entries. */
function createCluster(entries: LogEntry[]) {
  const state = new ClusterState();
  const write = (added: LogEntry[]): void => record(state, added, state.nextRecord);
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
    const preempted = preempt({
      claims: order,
      state,
      now: now as WallMs,
      teams,
      usable,
      unplaced: placed.unplaced,
      freeResources: placed.freeResources,
      releasingResources: placed.releasingResources,
      secondsRun: () => 60,
      minRank: priorityRank.high,
    });
    write([...placed.entries, ...preempted.entries]);
    return { starts: placed.entries, stops: preempted.entries, left: preempted.unplaced };
  };
  return { state, write, round };
}

describe('a gang that fetches its image', () => {
  it('shares its machine with no other fetch, but with jobs of the same image', () => {
    const cluster = createCluster([{ e: 'job', spec: spec(1, { gang: true, tasks: 2, cpus: 2.5 }) }]);
    expect(cluster.round().starts).toMatchObject([{ job: 'wk-1' }]);
    cluster.write([
      { e: 'job', spec: spec(2, { cpus: 1, image: 'other' }) },
      { e: 'job', spec: spec(3, { cpus: 1 }) },
    ]);
    expect(cluster.round(1e6, true).starts).toMatchObject([{ job: 'wk-3' }]);
    expect(cluster.round(1e6, false).starts).toMatchObject([{ job: 'wk-2' }]);
  });
});

describe('resources for a claim', () => {
  it('are drained for a gang that has waited for long: partly used machines get no other job', () => {
    const cluster = createCluster([{ e: 'job', spec: spec(1, { team: 'blue', cpus: 4 }) }]);
    cluster.write([
      { e: 'up', m: 'vm-2' as MachineId, addr: 'y', type: 'box', zone: 'a', spot: false, s: 1 as never },
      { e: 'job', spec: spec(2, { team: 'blue', cpus: 5 }) },
    ]);
    expect(cluster.round().starts).toHaveLength(2);
    cluster.write([
      { e: 'job', spec: spec(3, { gang: true, tasks: 2, cpus: 8 }) },
      { e: 'job', spec: spec(4, { team: 'blue', priority: 'low', cpus: 1 }) },
    ]);
    expect(cluster.round().starts).toEqual([]);
    const youngGang = createCluster([{ e: 'job', spec: spec(1, { team: 'blue', cpus: 4 }) }]);
    youngGang.round();
    youngGang.write([
      { e: 'job', spec: spec(3, { gang: true, tasks: 2, cpus: 8 }) },
      { e: 'job', spec: spec(4, { team: 'blue', priority: 'low', cpus: 1 }) },
    ]);
    expect(youngGang.round(20_000).starts).toMatchObject([{ job: 'wk-4' }]);
  });

  it('are freed by preempting a job of lower priority, and reserved meanwhile', () => {
    const cluster = createCluster([{ e: 'job', spec: spec(1, { team: 'blue', priority: 'low', tasks: 2 }) }]);
    expect(cluster.round().starts).toHaveLength(1);
    cluster.write([{ e: 'job', spec: spec(2, { priority: 'high', gang: true, cpus: 8 }) }]);
    const result = cluster.round();
    expect(result.stops).toMatchObject([{ job: 'wk-1', p: [0, 1], grace: 0 }]);
    expect(result.left).toEqual([]);
    // One task has ended: its resources are not enough for the claim, and no other job may take them.
    cluster.write([{ e: 'end', p: [['wk-1' as JobSpec['id'], 0, 1, 'stopped', false]] }]);
    expect(cluster.round().starts).toEqual([]);
    cluster.write([{ e: 'end', p: [['wk-1' as JobSpec['id'], 1, 1, 'stopped', false]] }]);
    expect(cluster.round().starts).toMatchObject([{ job: 'wk-2' }]);
  });

  it('are not freed by preempting a job of equal priority within its guarantee', () => {
    const cluster = createCluster([
      { e: 'job', spec: spec(1, { team: 'blue', priority: 'high', tasks: 2 }) },
    ]);
    cluster.round();
    cluster.write([{ e: 'job', spec: spec(2, { priority: 'high', gang: true, cpus: 8 }) }]);
    expect(cluster.round().stops).toEqual([]);
  });

  it('are freed for a guaranteed job by preempting a team beyond its own guarantee', () => {
    const cluster = createCluster([
      { e: 'job', spec: spec(1, { team: 'blue', priority: 'high', tasks: 4, cpus: 2 }) },
    ]);
    cluster.write([{ e: 'job', spec: spec(3, { team: 'blue', priority: 'high', tasks: 1, cpus: 4 }) }]);
    cluster.round();
    // Team blue uses 8 of its 8 CPUs, so nothing that it runs is beyond its guarantee.
    cluster.write([{ e: 'job', spec: spec(2, { priority: 'low', cpus: 2 }) }]);
    expect(cluster.round().stops).toEqual([]);
    cluster.write([
      { e: 'up', m: 'vm-2' as MachineId, addr: 'y', type: 'box', zone: 'a', spot: false, s: 1 as never },
      { e: 'job', spec: spec(4, { team: 'blue', priority: 'high', tasks: 3, cpus: 2 }) },
    ]);
    cluster.state.jobs.get('wk-2' as JobSpec['id'])!.notBefore = 2e6 as WallMs;
    cluster.round();
    cluster.state.jobs.get('wk-2' as JobSpec['id'])!.notBefore = 0 as WallMs;
    cluster.write([{ e: 'job', spec: spec(5, { priority: 'low', cpus: 2, tasks: 2 }) }]);
    const stops = cluster.round().stops as { job: string }[];
    expect(stops.length).toBeGreaterThan(0);
    expect(stops.every((stop) => stop.job !== 'wk-1')).toBe(true);
  });
});
