import { describe, expect, it } from 'vitest';
import {
  attemptKey,
  commandsForWorker,
  stopsForCancelledJobs,
  type ObservedWorker,
} from '../src/core/recovery.js';
import { ClusterState } from '../src/core/state.js';
import type { LogEntry, Fence, MachineId, TaskReport, WorkerReport } from '../src/core/types.js';
import { UnsettledCalls, type CallNumber } from '../src/core/unsettled-calls.js';
import { box, write } from './fakes/world.js';

const state = (entries: LogEntry[]): ClusterState => {
  const s = new ClusterState();
  const head: LogEntry[] = [
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
const seen = (tasks: Partial<TaskReport>[], over: Partial<ObservedWorker> = {}): ObservedWorker => ({
  report: {
    machine: 'vm-1',
    session: 1,
    tasks: tasks.map((t) => ({ job: 'wk-1', attempt: 1, ...t })),
  } as never as WorkerReport,
  unsettledCalls: new UnsettledCalls(),
  startedInAnswer: new Map(),
  ...over,
});
/** Calls that start the first task, one under each of these fences, numbered from 1. */
const unsettled = (fences: number[]): UnsettledCalls => {
  const calls = new UnsettledCalls();
  const attempts = new Set([attemptKey('wk-1', 0, 1)]);
  for (const [i, fence] of fences.entries())
    calls.sent({ number: (i + 1) as CallNumber, fence: fence as Fence, attempts });
  return calls;
};
const started: LogEntry = { e: 'start', job: 'wk-1' as never, p: [[0, 1, 'vm-1' as MachineId]] };
const withdrawn: LogEntry = { e: 'withdraw', job: 'wk-1' as never };
const ended: LogEntry = { e: 'end', p: [['wk-1' as never, 0, 1, 'done', false]] };
const first = { job: 'wk-1', task: 0, attempt: 1 };

describe('what a worker is told', () => {
  it('is the starts that its report does not show, once starts may be sent', () => {
    expect(commandsForWorker(state([started]), seen([]), true).commands).toEqual([{ op: 'start', ...first }]);
    expect(commandsForWorker(state([started]), seen([]), false).commands).toEqual([]);
    expect(
      commandsForWorker(state([started]), seen([{ task: 0, state: 'fetching' }]), true).commands,
    ).toEqual([]);
  });

  it('is nothing for another session', () => {
    const s = seen([]);
    s.report.session = 2 as never;
    expect(commandsForWorker(state([started]), s, true).commands).toEqual([]);
  });

  it('is to forget an attempt only after its end is recorded and no start may be on its way', () => {
    const exited = [{ task: 0, state: 'exited' as const, cause: 'done' as const }];
    expect(commandsForWorker(state([started]), seen(exited), true).commands).toEqual([]);
    expect(commandsForWorker(state([started, ended]), seen(exited), true).commands).toEqual([
      { op: 'forget', ...first },
    ]);
    const calls = unsettled([1, 4]);
    const held = commandsForWorker(state([started, ended]), seen(exited, { unsettledCalls: calls }), true);
    // A start that may be on its way is made void by a fence above its own.
    expect(held).toMatchObject({ commands: [], fenceToExceed: 4 });
    // The answer to one of two calls says nothing of the other.
    calls.answered(2 as CallNumber);
    expect(
      commandsForWorker(state([started, ended]), seen(exited, { unsettledCalls: calls }), true),
    ).toMatchObject({
      commands: [],
      fenceToExceed: 1,
    });
    calls.fenceReported(2 as Fence);
    expect(
      commandsForWorker(state([started, ended]), seen(exited, { unsettledCalls: calls }), true).commands,
    ).toEqual([{ op: 'forget', ...first }]);
  });

  it('is no start once the job is withdrawn, though a launch may still arrive: it meets a higher fence', () => {
    const calls = unsettled([0]);
    const s = state([started, withdrawn]);
    expect(commandsForWorker(s, seen([], { unsettledCalls: calls }), true)).toEqual({
      commands: [],
      undeliveredStarts: [],
      fenceToExceed: 0,
    });
    // In the answer to a report it is settled by the next report.
    const startedInAnswer = new Map([[attemptKey('wk-1', 0, 1), 7]]);
    expect(commandsForWorker(s, seen([], { startedInAnswer }), true)).toEqual({
      commands: [],
      undeliveredStarts: [],
      fenceToExceed: null,
    });
    expect(commandsForWorker(s, seen([]), true)).toMatchObject({
      commands: [],
      undeliveredStarts: [{ task: 0 }],
      fenceToExceed: null,
    });
    // It arrived before the fence did.
    expect(
      commandsForWorker(s, seen([{ task: 0, state: 'fetching' }], { unsettledCalls: calls }), true).commands,
    ).toEqual([{ op: 'stop', ...first, grace: 0 }]);
  });

  it('is the stops of withdrawn jobs alone without a certain lock, from the log where no report is at hand', () => {
    const other: LogEntry = { e: 'start', job: 'wk-1' as never, p: [[1, 1, 'vm-1' as MachineId]] };
    const machine = (s: ClusterState) => s.machines.get('vm-1' as MachineId)!;
    const kept = state([started, other]);
    expect(stopsForCancelledJobs(kept, machine(kept), seen([{ task: 0, state: 'running' }]).report)).toEqual(
      [],
    );
    const s = state([started, other, withdrawn]);
    const both = [0, 1].map((task) => ({ op: 'stop', job: 'wk-1', task, attempt: 1, grace: 0 }));
    expect(stopsForCancelledJobs(s, machine(s), null)).toEqual(both);
    const one = seen([{ task: 0, state: 'exited' }]).report;
    expect(stopsForCancelledJobs(s, machine(s), one)).toEqual([both[1]]);
  });

  it('is to stop what the log does not know', () => {
    const odd = [{ task: 1, state: 'running' as const }];
    expect(commandsForWorker(state([]), seen(odd), true).commands).toMatchObject([
      { op: 'stop', task: 1, grace: 0 },
    ]);
  });
});
