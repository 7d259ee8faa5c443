import { describe, expect, it } from 'vitest';
import {
  attemptKey,
  commandsForWorker,
  stopsForCancelledJobs,
  type ObservedWorker,
} from '../src/core/worker-commands.js';
import { ClusterState } from '../src/core/state.js';
import type { LogEntry, Fence, JobId, MachineId, TaskReport, WorkerReport } from '../src/core/types.js';
import { UnsettledCalls, type CallNumber } from '../src/core/unsettled-calls.js';
import { box, write } from './fakes/world.js';

/** The state after a worker's first report, a job of two tasks and these entries. */
const stateAfter = (entries: LogEntry[]): ClusterState => {
  const state = new ClusterState();
  const setup: LogEntry[] = [
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
  write(state, [...setup, ...entries]);
  return state;
};
/** What the leader knows of the worker after a report of these tasks. */
const observed = (tasks: Partial<TaskReport>[], overrides: Partial<ObservedWorker> = {}): ObservedWorker => ({
  report: {
    machine: 'vm-1',
    session: 1,
    tasks: tasks.map((task) => ({ job: 'wk-1', attempt: 1, ...task })),
  } as never as WorkerReport,
  unsettledCalls: new UnsettledCalls(),
  startedInAnswer: new Map(),
  ...overrides,
});
/** Direct calls that start the first task, one under each of these fences, numbered from 1. */
const unsettledCalls = (fences: number[]): UnsettledCalls => {
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

describe('commands for a worker', () => {
  it('include the starts that its report does not show, once starts may be sent', () => {
    expect(commandsForWorker(stateAfter([started]), observed([]), true).commands).toEqual([
      { op: 'start', ...first },
    ]);
    expect(commandsForWorker(stateAfter([started]), observed([]), false).commands).toEqual([]);
    expect(
      commandsForWorker(stateAfter([started]), observed([{ task: 0, state: 'fetching' }]), true).commands,
    ).toEqual([]);
  });

  it('are empty for another session', () => {
    const worker = observed([]);
    worker.report.session = 2 as never;
    expect(commandsForWorker(stateAfter([started]), worker, true).commands).toEqual([]);
  });

  it('tell it to forget an attempt only after its end is recorded and no start of it may be in flight', () => {
    const exited = [{ task: 0, state: 'exited' as const, cause: 'done' as const }];
    expect(commandsForWorker(stateAfter([started]), observed(exited), true).commands).toEqual([]);
    expect(commandsForWorker(stateAfter([started, ended]), observed(exited), true).commands).toEqual([
      { op: 'forget', ...first },
    ]);
    const calls = unsettledCalls([1, 4]);
    const held = commandsForWorker(
      stateAfter([started, ended]),
      observed(exited, { unsettledCalls: calls }),
      true,
    );
    // A start that may be in flight is invalidated by a fence above its own.
    expect(held).toMatchObject({ commands: [], fenceToExceed: 4 });
    // The answer to one of two calls says nothing about the other.
    calls.answered(2 as CallNumber);
    expect(
      commandsForWorker(stateAfter([started, ended]), observed(exited, { unsettledCalls: calls }), true),
    ).toMatchObject({
      commands: [],
      fenceToExceed: 1,
    });
    calls.fenceReported(2 as Fence);
    expect(
      commandsForWorker(stateAfter([started, ended]), observed(exited, { unsettledCalls: calls }), true)
        .commands,
    ).toEqual([{ op: 'forget', ...first }]);
  });

  // Guards against ran_twice and ran_cancelled: a copy of an answered call starts a forgotten attempt again.
  it('tell it to forget an attempt only above the fence of the answered call that started it', () => {
    const exited = [0, 1].map((task) => ({ task, state: 'exited' as const, cause: 'done' as const }));
    const state = stateAfter([started, ended]);
    const calls = unsettledCalls([3, 5]);
    calls.answered(1 as CallNumber);
    calls.answered(2 as CallNumber);
    expect(calls).toMatchObject({ unansweredCount: 0, answeredFence: 5 });
    const forgetsFirst = { op: 'forget', ...first };
    const guarded = commandsForWorker(state, observed(exited, { unsettledCalls: calls }), true);
    expect(guarded.commands[0]).toEqual(forgetsFirst);
    expect(guarded).toMatchObject({ forgetAboveFence: 5, fenceToExceed: null });
    calls.fenceReported(5 as Fence);
    expect(calls.answeredFence).toBe(5);
    calls.fenceReported(6 as Fence);
    expect(calls.answeredFence).toBeNull();
    const settled = commandsForWorker(state, observed(exited, { unsettledCalls: calls }), true);
    expect(settled.commands[0]).toEqual(forgetsFirst);
    expect(settled.forgetAboveFence).toBeUndefined();
  });

  it('include no start after the job was cancelled; one that may still arrive is fenced off', () => {
    const calls = unsettledCalls([0]);
    const state = stateAfter([started, withdrawn]);
    expect(commandsForWorker(state, observed([], { unsettledCalls: calls }), true)).toEqual({
      commands: [],
      undeliveredStarts: [],
      fenceToExceed: 0,
    });
    // A start in the answer to a report is settled by the next report.
    const startedInAnswer = new Map([[attemptKey('wk-1', 0, 1), 7]]);
    expect(commandsForWorker(state, observed([], { startedInAnswer }), true)).toEqual({
      commands: [],
      undeliveredStarts: [],
      fenceToExceed: null,
    });
    expect(commandsForWorker(state, observed([]), true)).toMatchObject({
      commands: [],
      undeliveredStarts: [{ task: 0 }],
      fenceToExceed: null,
    });
    // The start arrived before the higher fence.
    expect(
      commandsForWorker(state, observed([{ task: 0, state: 'fetching' }], { unsettledCalls: calls }), true)
        .commands,
    ).toEqual([{ op: 'stop', ...first, grace: 0 }]);
  });

  it('without a certain lock are the stops of cancelled jobs, taken from the log when there is no report', () => {
    const other: LogEntry = { e: 'start', job: 'wk-1' as never, p: [[1, 1, 'vm-1' as MachineId]] };
    const machine = (state: ClusterState) => state.machines.get('vm-1' as MachineId)!;
    const uncancelled = stateAfter([started, other]);
    expect(
      stopsForCancelledJobs(
        uncancelled,
        machine(uncancelled),
        observed([{ task: 0, state: 'running' }]).report,
      ),
    ).toEqual([]);
    const state = stateAfter([started, other, withdrawn]);
    const both = [0, 1].map((task) => ({ op: 'stop', job: 'wk-1', task, attempt: 1, grace: 0 }));
    expect(stopsForCancelledJobs(state, machine(state), null)).toEqual(both);
    const firstExited = observed([{ task: 0, state: 'exited' }]).report;
    expect(stopsForCancelledJobs(state, machine(state), firstExited)).toEqual([both[1]]);
  });

  // Guards against ran_cancelled and starts after a confirmed cancellation that the leader does not know of yet.
  it('stop the tasks of a job whose cancellation is unsettled, and fence off its starts', () => {
    const state = stateAfter([started]);
    const unsettled = new Set([first.job as JobId]);
    const running = observed([{ task: 0, state: 'running' }]);
    const stop = { op: 'stop', ...first, grace: 0 };
    expect(commandsForWorker(state, running, true, unsettled).commands).toEqual([stop]);
    expect(commandsForWorker(state, running, true).commands).toEqual([]);
    const machine = state.machines.get('vm-1' as MachineId)!;
    expect(stopsForCancelledJobs(state, machine, running.report, unsettled)).toEqual([stop]);
    expect(stopsForCancelledJobs(state, machine, null, unsettled)).toEqual([stop]);
    expect(stopsForCancelledJobs(state, machine, running.report)).toEqual([]);
    // No start is repeated, and nothing says that it will never run: the job may not be cancelled.
    const withCall = observed([], { unsettledCalls: unsettledCalls([0]) });
    expect(commandsForWorker(state, withCall, true, unsettled)).toEqual({
      commands: [],
      undeliveredStarts: [],
      fenceToExceed: 0,
    });
    expect(commandsForWorker(state, observed([]), true, unsettled)).toEqual({
      commands: [],
      undeliveredStarts: [],
      fenceToExceed: null,
    });
  });

  it('stop a task that the log does not know', () => {
    const unknown = [{ task: 1, state: 'running' as const }];
    expect(commandsForWorker(stateAfter([]), observed(unknown), true).commands).toMatchObject([
      { op: 'stop', task: 1, grace: 0 },
    ]);
  });
});
