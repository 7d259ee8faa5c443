import { describe, expect, it } from 'vitest';
import { commands, attemptKey, type Seen } from '../src/core/recovery.js';
import { State } from '../src/core/state.js';
import type { Entry, MachineId, TaskReport, WorkerReport } from '../src/core/types.js';
import { box, write } from './fakes/world.js';

const state = (entries: Entry[]): State => {
  const s = new State();
  const head: Entry[] = [
    { e: 'types', types: [box] },
    { e: 'up', m: 'vm-1' as MachineId, addr: 'x', type: 'box', zone: 'a', spot: false, s: 1 as never },
    {
      e: 'job',
      spec: {
        id: 'wk-1',
        team: 'red',
        gang: false,
        tasks: 2,
        cpus: 1,
        gpus: 0,
        mem: 1,
        image: 'i',
        imageGb: 1,
      } as never,
    },
  ];
  write(s, [...head, ...entries]);
  return s;
};
const seen = (tasks: Partial<TaskReport>[], over: Partial<Seen> = {}): Seen => ({
  report: {
    machine: 'vm-1',
    session: 1,
    tasks: tasks.map((t) => ({ job: 'wk-1', attempt: 1, ...t })),
  } as never as WorkerReport,
  unsure: new Set(),
  sent: new Set(),
  ...over,
});
const started: Entry = { e: 'start', job: 'wk-1' as never, p: [[0, 1, 'vm-1' as MachineId]] };
const withdrawn: Entry = { e: 'withdraw', job: 'wk-1' as never };
const ended: Entry = { e: 'end', p: [['wk-1' as never, 0, 1, 'done', false]] };
const first = { job: 'wk-1', task: 0, attempt: 1 };

describe('what a worker is told', () => {
  it('is the starts that its report does not show, once starts may be sent', () => {
    expect(commands(state([started]), seen([]), true).orders).toEqual([{ op: 'start', ...first }]);
    expect(commands(state([started]), seen([]), false).orders).toEqual([]);
    expect(commands(state([started]), seen([{ task: 0, state: 'fetching' }]), true).orders).toEqual([]);
  });

  it('is nothing for another session', () => {
    const s = seen([]);
    s.report.session = 2 as never;
    expect(commands(state([started]), s, true).orders).toEqual([]);
  });

  it('is to forget an attempt only after its end is recorded and no start may be on its way', () => {
    const exited = [{ task: 0, state: 'exited' as const, cause: 'done' as const }];
    expect(commands(state([started]), seen(exited), true).orders).toEqual([]);
    expect(commands(state([started, ended]), seen(exited), true).orders).toEqual([
      { op: 'forget', ...first },
    ]);
    const unsure = new Set([attemptKey('wk-1', 0, 1)]);
    expect(commands(state([started, ended]), seen(exited, { unsure }), true).orders).toEqual([]);
  });

  it('is start and stop together when a cancelled start may still arrive', () => {
    const sent = new Set([attemptKey('wk-1', 0, 1)]);
    const c = commands(state([started, withdrawn]), seen([], { sent }), true);
    expect(c.orders).toEqual([
      { op: 'start', ...first },
      { op: 'stop', ...first, grace: 0 },
    ]);
    expect(commands(state([started, withdrawn]), seen([]), true).unsent).toHaveLength(1);
  });

  it('is to stop what the log does not know', () => {
    const odd = [{ task: 1, state: 'running' as const }];
    expect(commands(state([]), seen(odd), true).orders).toMatchObject([{ op: 'stop', task: 1, grace: 0 }]);
  });
});
