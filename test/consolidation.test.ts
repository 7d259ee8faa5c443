import { describe, expect, it } from 'vitest';
import { consolidate } from '../src/core/consolidation.js';
import { State } from '../src/core/state.js';
import type { Entry, JobId, MachineId, Wall } from '../src/core/types.js';
import { box } from './fakes/world.js';

const up = (m: string): Entry => ({
  e: 'up',
  m: m as MachineId,
  addr: m,
  type: 'box',
  zone: 'a',
  spot: false,
  s: 1 as never,
});
const job = (id: string, tasks: number, cpus: number, over = {}): Entry => ({
  e: 'job',
  spec: {
    id,
    team: 'red',
    gang: false,
    tasks,
    cpus,
    gpus: 0,
    mem: 1,
    image: 'i',
    imageGb: 1,
    spot: true,
    estimate: 100,
    checkpoint: 10,
    save: 2,
    ...over,
  } as never,
});
const start = (id: string, ...p: [number, string][]): Entry => ({
  e: 'start',
  job: id as JobId,
  p: p.map(([t, m]) => [t, 1, m as MachineId]),
});

function find(entries: Entry[], ran = 40) {
  const state = new State();
  state.apply(state.next, {
    term: 1 as never,
    tag: 1,
    at: 0 as Wall,
    entries: [{ e: 'types', types: [box] }, up('vm-1'), up('vm-2'), ...entries],
  });
  return consolidate({
    state,
    usable: [...state.machines.values()],
    room: (m) => ({ cpus: 8 - m.cpus, gpus: 0, mem: 32 - m.mem }),
    ran: () => ran,
  });
}

describe('a machine that is mostly empty', () => {
  const two = [
    job('wk-1', 2, 2),
    job('wk-2', 1, 4),
    start('wk-1', [0, 'vm-1'], [1, 'vm-2']),
    start('wk-2', [0, 'vm-2']),
  ];

  it('is emptied when its tasks can save and go on elsewhere', () => {
    expect(find(two)).toMatchObject({
      machine: { id: 'vm-1' },
      entries: [{ job: 'wk-1', p: [0], grace: 3 }],
    });
  });

  it('is left alone when a start would not count, a task cannot save, or there is no room', () => {
    expect(find(two, 10)).toBeNull();
    const lost = [job('wk-1', 2, 2, { checkpoint: 0 }), two[1]!, two[2]!, two[3]!];
    expect(find(lost)).toBeNull();
    const full = [
      job('wk-1', 2, 2),
      job('wk-2', 1, 6),
      start('wk-1', [0, 'vm-1']),
      start('wk-2', [0, 'vm-2']),
      start('wk-1', [1, 'vm-2']),
    ];
    expect(find(full)).toBeNull();
  });
});
