import { describe, expect, it } from 'vitest';
import type { WorkersActor } from '../src/actors/workers.js';
import { ClusterState } from '../src/core/state.js';
import type { LogEntry, MachineId, WorkerReport } from '../src/core/types.js';
import type { HttpResponse, HttpCall } from '../src/io/http-client.js';
import { readReport } from '../src/wire/reports.js';
import { VirtualTime } from './fakes/clock.js';
import { createWorkersActor } from './fakes/workers-actor.js';
import { box, write } from './fakes/world.js';

const MACHINES = 1260;
/** Limit on open direct calls, well below the number of machines. */
const MAX_CALLS = 150;

/** The workers actor of a leader that holds its lock; `onAppend` receives the entries that it appends. */
const createLeader = (
  state: ClusterState,
  time: VirtualTime,
  call: HttpCall,
  onAppend: (entries: LogEntry[]) => void = () => {},
): WorkersActor =>
  createWorkersActor({
    state,
    time,
    call,
    append: ({ entries }) => onAppend(entries),
    maxOpenCalls: MAX_CALLS,
  });

/** A large site: machines that are up, direct calls that are never answered, and a leader's workers actor. */
function largeSite() {
  const time = new VirtualTime();
  const state = new ClusterState();
  write(state, [{ e: 'types', types: [box] }]);
  const ids = Array.from({ length: MACHINES }, (_, i) => `vm-${i}` as MachineId);
  for (const id of ids)
    write(state, [{ e: 'up', m: id, addr: `${id}:1`, type: 'box', zone: 'a', spot: false, s: 1 as never }]);
  const calls = { open: 0, most: 0, reached: new Map<string, number>() };
  const call = (address: string): Promise<HttpResponse | null> => {
    calls.most = Math.max(calls.most, ++calls.open);
    calls.reached.set(address, (calls.reached.get(address) ?? 0) + 1);
    return new Promise((resolve) =>
      time.after(20, () => {
        calls.open--;
        resolve(null);
      }),
    );
  };
  const workers = createLeader(state, time, call);
  const report = (m: MachineId, seq: number): WorkerReport =>
    ({
      machine: m,
      addr: `${m}:1`,
      type: 'box',
      zone: 'a',
      spot: false,
      session: 1,
      seq,
      term: 1,
      notice: null,
      tasks: [],
    }) as never;
  return { time, state, ids, calls, workers, report };
}

describe('direct calls', () => {
  it('stay within the limit when a record concerns every machine, and reach all of them', async () => {
    const { time, state, ids, calls, workers, report } = largeSite();
    for (const m of ids) workers.tell({ kind: 'report', report: report(m, 1), reply: () => {} });
    write(state, [{ e: 'job', spec: { id: 'wk-1', tasks: MACHINES, cpus: 1, gpus: 0, mem: 1 } as never }]);
    write(state, [{ e: 'start', job: 'wk-1' as never, p: ids.map((m, i) => [i, 1, m]) }]);
    workers.tell({ kind: 'commandsDue', machines: ids });
    await time.run(1000);
    expect(calls.most).toBe(MAX_CALLS);
    expect(calls.reached.size).toBe(MACHINES);
  });

  it('that announce a term stay within the same limit', async () => {
    const { time, calls, workers } = largeSite();
    for (let s = 0; s < 5; s++) {
      await time.run(1000);
      workers.tell({ kind: 'tick' });
    }
    expect(calls.open).toBe(MAX_CALLS);
  });
});

describe('an overloaded node', () => {
  it('sends only stops of cancelled jobs directly, and the rest in answers to reports', async () => {
    const { time, state, ids, calls, workers, report } = largeSite();
    const [first, second] = ids as [MachineId, MachineId];
    for (const m of ids) workers.tell({ kind: 'report', report: report(m, 1), reply: () => {} });
    for (const late of [0, 1000, 1600]) {
      await time.run(late);
      workers.tell({ kind: 'tick' });
    }
    for (const id of ['wk-1', 'wk-2'])
      write(state, [{ e: 'job', spec: { id, tasks: 1, cpus: 1, gpus: 0, mem: 1 } as never }]);
    write(state, [{ e: 'start', job: 'wk-1' as never, p: [[0, 1, first]] }]);
    write(state, [{ e: 'start', job: 'wk-2' as never, p: [[0, 1, second]] }]);
    write(state, [{ e: 'withdraw', job: 'wk-2' as never }]);
    workers.tell({ kind: 'commandsDue', machines: [first, second] });
    expect([...calls.reached.keys()]).toEqual([`${second}:1`]);
    const started: string[] = [];
    const reply = (a: { commands: { op: string }[] } | null): void =>
      void started.push(...a!.commands.map((o) => o.op));
    workers.tell({ kind: 'report', report: report(first, 2), reply });
    expect(started).toEqual(['start']);
    for (let second = 0; second < 3; second++) {
      await time.run(1000);
      workers.tell({ kind: 'tick' });
    }
    workers.tell({ kind: 'commandsDue', machines: [first] });
    expect(calls.reached.has(`${first}:1`)).toBe(true);
  });
});

describe('a report that repeats the last one', () => {
  it('counts as a sign of life and is answered with the commands decided since', async () => {
    const time = new VirtualTime();
    const state = new ClusterState();
    const id = 'vm-1' as MachineId;
    write(state, [{ e: 'types', types: [box] }]);
    write(state, [{ e: 'up', m: id, addr: `${id}:1`, type: 'box', zone: 'a', spot: false, s: 1 as never }]);
    write(state, [{ e: 'job', spec: { id: 'wk-1', tasks: 2, cpus: 1, gpus: 0, mem: 1 } as never }]);
    const workers = createLeader(state, time, () => Promise.resolve(null));
    const first = { machine: id, session: 1, seq: 1, term: 1, fence: 0, notice: null, tasks: [] };
    /** The commands in the answer to the next report, which has the same tasks as the one before. */
    const answerTo = (seq: number): string[] => {
      let ops: string[] = [];
      const reply = (a: { commands: { op: string }[] } | null): void =>
        void (ops = a!.commands.map((o) => o.op));
      workers.tell({ kind: 'report', report: { ...first, seq } as never, reply });
      return ops;
    };
    for (const seq of [1, 2, 3]) {
      expect(answerTo(seq)).toEqual([]);
      await time.run(2000);
    }
    const machine = state.machines.get(id)!;
    expect(answerTo(4)).toEqual([]);
    await time.run(1000);
    expect(workers.intake.secondsSilent(machine)).toBeLessThan(2);
    write(state, [{ e: 'start', job: 'wk-1' as never, p: [[0, 1, id]] }]);
    expect(answerTo(5)).toEqual(['start']);
    write(state, [{ e: 'withdraw', job: 'wk-1' as never }]);
    // The start was sent in the last answer, so the worker may already run a task that it does not report
    // yet.
    expect(answerTo(6)).toEqual([]);
    // A delayed copy of an earlier report is no sign of life.
    for (let second = 0; second < 20; second++) {
      await time.run(1000);
      workers.tell({ kind: 'tick' });
    }
    answerTo(5);
    expect(workers.intake.secondsSilent(machine)).toBeGreaterThan(15);
  });
});

describe('a start that may still arrive', () => {
  /**
   * A leader with one machine after the first reports: what it sends and appends, and how the machine
   * answers.
   */
  const singleMachine = async () => {
    const time = new VirtualTime();
    const state = new ClusterState();
    const machine = 'vm-1' as MachineId;
    const sent: { warrant: number; stint: number; orders: { verb: string }[] }[] = [];
    const appended: LogEntry[] = [];
    const answer: { body: object | null } = { body: null };
    const call: HttpCall = (_a, _m, _p, body) => {
      sent.push(body as never);
      const response = answer.body ? { status: 200, body: answer.body } : null;
      return new Promise((resolve) => time.after(50, () => resolve(response)));
    };
    const workers = createLeader(state, time, call, (e) => appended.push(...e));
    let seq = 1;
    const reportOnWire = (warrant: number, stint = 1): object => ({
      ...{ mount: machine, addr: 'vm-1:1', breed: 'box', yard: 'a', loaners: false, stint },
      ...{ tally: ++seq, warrant, recall_s: null, shifts: [] },
    });
    const report = (stint = 1): void =>
      workers.tell({ kind: 'report', report: readReport(reportOnWire(2 ** 20, stint))!, reply: () => {} });
    const sendDue = async (): Promise<void> => {
      workers.tell({ kind: 'commandsDue', machines: [machine] });
      await time.run(100);
    };
    const up = (s: number): LogEntry => ({
      ...{ e: 'up', m: machine, addr: 'vm-1:1', type: 'box', zone: 'a', spot: false, s: s as never },
    });
    const job: LogEntry = { e: 'job', spec: { id: 'wk-1', tasks: 2, cpus: 1, gpus: 0, mem: 1 } as never };
    write(state, [up(1), job]);
    report();
    for (let i = 0; i < 6; i++) {
      await time.run(1000);
      workers.tell({ kind: 'tick' });
    }
    const start = (attempt: number): LogEntry => ({
      e: 'start',
      job: 'wk-1' as never,
      p: [[0, attempt, machine]],
    });
    write(state, [start(1)]);
    return { state, workers, sent, appended, answer, reportOnWire, report, sendDue, up, start };
  };

  it('is invalidated by a higher fence when its job is cancelled, and is not sent during the cancellation', async () => {
    const { state, workers, sent, appended, answer, reportOnWire, sendDue } = await singleMachine();
    const withdrawing = (open: boolean): void =>
      workers.tell({ kind: 'cancelling', job: 'wk-1' as never, isUnderWay: open });
    withdrawing(true);
    await sendDue();
    expect(sent).toEqual([]);
    withdrawing(false);
    await sendDue();
    expect(sent[0]!.orders).toMatchObject([{ verb: 'launch' }]);
    write(state, [{ e: 'withdraw', job: 'wk-1' as never }]);
    await sendDue();
    expect(sent[1]!.warrant).toBeGreaterThan(sent[0]!.warrant);
    expect(sent[1]!.orders).toMatchObject([{ verb: 'halt' }]);
    expect(appended).toEqual([]);
    answer.body = reportOnWire(sent[1]!.warrant);
    await sendDue();
    await sendDue();
    expect(appended).toMatchObject([{ e: 'end', p: [['wk-1', 0, 1, 'void', false]] }]);
  });

  it('does not block later calls if the session changes while it is open', async () => {
    const { state, sent, report, sendDue, up, start } = await singleMachine();
    const open = sendDue();
    report(2);
    await open;
    write(state, [up(2), start(2)]);
    await sendDue();
    expect(sent.map((x) => x.stint)).toEqual([1, 2]);
  });
});

describe('a stall of the node', () => {
  it('does not count as silence of machines, and reports queued during it are no sign of life', async () => {
    const { time, state, ids, workers, report } = largeSite();
    const m = state.machines.get(ids[0]!)!;
    workers.tell({ kind: 'report', report: report(m.id, 1), reply: () => {} });
    expect(workers.intake.canTakeWork(m)).toBe(true);
    await time.run(22_000);
    workers.tell({ kind: 'report', report: report(m.id, 2), reply: () => {} });
    expect(workers.intake.secondsSilent(m)).toBeLessThan(0);
    expect(workers.intake.canTakeWork(m)).toBe(false);
    await time.run(1000);
    workers.tell({ kind: 'report', report: report(m.id, 3), reply: () => {} });
    expect(workers.intake.canTakeWork(m)).toBe(true);
  });
});
