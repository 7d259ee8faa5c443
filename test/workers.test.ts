import { describe, expect, it } from 'vitest';
import type { WorkersActor } from '../src/actors/workers.js';
import { ClusterState } from '../src/core/state.js';
import type { LogEntry, MachineId, WorkerReport } from '../src/core/types.js';
import type { HttpResponse, HttpCall } from '../src/io/http-client.js';
import { readReport } from '../src/wire/reports.js';
import { VirtualTime } from './fakes/clock.js';
import { createWorkersActor } from './fakes/leading.js';
import { box, write } from './fakes/world.js';

const MACHINES = 1260;
const MOST = 150;

/** A leader that holds its lock, with what it tells the log. */
const leading = (
  state: ClusterState,
  time: VirtualTime,
  call: HttpCall,
  log: (entries: LogEntry[]) => void = () => {},
): WorkersActor =>
  createWorkersActor({ state, time, call, append: ({ entries }) => log(entries), mostCalls: MOST });

/** A leader's ear and mouth on a large site, with one task started on each machine. */
function site() {
  const time = new VirtualTime();
  const state = new ClusterState();
  write(state, [{ e: 'types', types: [box] }]);
  const ids = Array.from({ length: MACHINES }, (_, i) => `vm-${i}` as MachineId);
  for (const m of ids)
    write(state, [{ e: 'up', m, addr: `${m}:1`, type: 'box', zone: 'a', spot: false, s: 1 as never }]);
  const calls = { open: 0, most: 0, reached: new Map<string, number>() };
  const call = (address: string): Promise<HttpResponse | null> => {
    calls.most = Math.max(calls.most, ++calls.open);
    calls.reached.set(address, (calls.reached.get(address) ?? 0) + 1);
    return new Promise((ok) =>
      time.after(20, () => {
        calls.open--;
        ok(null);
      }),
    );
  };
  const workers = leading(state, time, call);
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
  it('are bounded when a record touches every machine, and none is forgotten', async () => {
    const { time, state, ids, calls, workers, report } = site();
    for (const m of ids) workers.tell({ kind: 'report', report: report(m, 1), reply: () => {} });
    write(state, [{ e: 'job', spec: { id: 'wk-1', tasks: MACHINES, cpus: 1, gpus: 0, mem: 1 } as never }]);
    write(state, [{ e: 'start', job: 'wk-1' as never, p: ids.map((m, i) => [i, 1, m]) }]);
    workers.tell({ kind: 'commandsDue', machines: ids });
    await time.run(1000);
    expect(calls.most).toBe(MOST);
    expect(calls.reached.size).toBe(MACHINES);
  });

  it('of an introduction stay within the same bound', async () => {
    const { time, calls, workers } = site();
    for (let s = 0; s < 5; s++) {
      await time.run(1000);
      workers.tell({ kind: 'tick' });
    }
    expect(calls.open).toBe(MOST);
  });
});

describe('a node that is behind with its work', () => {
  it('leaves direct calls out, but not the stops of cancelled jobs; reports bring the rest', async () => {
    const { time, state, ids, calls, workers, report } = site();
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
  it('keeps its machine alive, and is answered with what was decided meanwhile', async () => {
    const time = new VirtualTime();
    const state = new ClusterState();
    const id = 'vm-1' as MachineId;
    write(state, [{ e: 'types', types: [box] }]);
    write(state, [{ e: 'up', m: id, addr: `${id}:1`, type: 'box', zone: 'a', spot: false, s: 1 as never }]);
    write(state, [{ e: 'job', spec: { id: 'wk-1', tasks: 2, cpus: 1, gpus: 0, mem: 1 } as never }]);
    const workers = leading(state, time, () => Promise.resolve(null));
    const first = { machine: id, session: 1, seq: 1, term: 1, fence: 0, notice: null, tasks: [] };
    /** The commands that answer the next report, which shares its tasks with the one before. */
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
    // The launch went with the last answer, so the worker may run what it does not show yet.
    expect(answerTo(6)).toEqual([]);
    // A copy that is late proves nothing.
    for (let second = 0; second < 20; second++) {
      await time.run(1000);
      workers.tell({ kind: 'tick' });
    }
    answerTo(5);
    expect(workers.intake.secondsSilent(machine)).toBeGreaterThan(15);
  });
});

describe('a launch that may be on its way', () => {
  /** A leader of one machine, settled; what it sends and tells the log, and what the machine answers. */
  const one = async () => {
    const time = new VirtualTime();
    const state = new ClusterState();
    const m = 'vm-1' as MachineId;
    const sent: { warrant: number; stint: number; orders: { verb: string }[] }[] = [];
    const told: LogEntry[] = [];
    const answer: { body: object | null } = { body: null };
    const call: HttpCall = (_a, _m, _p, body) => {
      sent.push(body as never);
      const a = answer.body ? { status: 200, body: answer.body } : null;
      return new Promise((ok) => time.after(50, () => ok(a)));
    };
    const workers = leading(state, time, call, (e) => told.push(...e));
    let seq = 1;
    const wire = (warrant: number, stint = 1): object => ({
      ...{ mount: m, addr: 'vm-1:1', breed: 'box', yard: 'a', loaners: false, stint },
      ...{ tally: ++seq, warrant, recall_s: null, shifts: [] },
    });
    const report = (stint = 1): void =>
      workers.tell({ kind: 'report', report: readReport(wire(2 ** 20, stint))!, reply: () => {} });
    const push = async (): Promise<void> => {
      workers.tell({ kind: 'commandsDue', machines: [m] });
      await time.run(100);
    };
    const up = (s: number): LogEntry => ({
      ...{ e: 'up', m, addr: 'vm-1:1', type: 'box', zone: 'a', spot: false, s: s as never },
    });
    const job: LogEntry = { e: 'job', spec: { id: 'wk-1', tasks: 2, cpus: 1, gpus: 0, mem: 1 } as never };
    write(state, [up(1), job]);
    report();
    for (let i = 0; i < 6; i++) {
      await time.run(1000);
      workers.tell({ kind: 'tick' });
    }
    const start = (attempt: number): LogEntry => ({ e: 'start', job: 'wk-1' as never, p: [[0, attempt, m]] });
    write(state, [start(1)]);
    return { state, workers, sent, told, answer, wire, report, push, up, start };
  };

  it('is made void by a higher fence when its job is withdrawn, and is not sent meanwhile', async () => {
    const { state, workers, sent, told, answer, wire, push } = await one();
    const withdrawing = (open: boolean): void =>
      workers.tell({ kind: 'cancelling', job: 'wk-1' as never, isUnderWay: open });
    withdrawing(true);
    await push();
    expect(sent).toEqual([]);
    withdrawing(false);
    await push();
    expect(sent[0]!.orders).toMatchObject([{ verb: 'launch' }]);
    write(state, [{ e: 'withdraw', job: 'wk-1' as never }]);
    await push();
    expect(sent[1]!.warrant).toBeGreaterThan(sent[0]!.warrant);
    expect(sent[1]!.orders).toMatchObject([{ verb: 'halt' }]);
    expect(told).toEqual([]);
    answer.body = wire(sent[1]!.warrant);
    await push();
    await push();
    expect(told).toMatchObject([{ e: 'end', p: [['wk-1', 0, 1, 'void', false]] }]);
  });

  it('bars no later call, though the session changes while it is open', async () => {
    const { state, sent, report, push, up, start } = await one();
    const open = push();
    report(2);
    await open;
    write(state, [up(2), start(2)]);
    await push();
    expect(sent.map((x) => x.stint)).toEqual([1, 2]);
  });
});

describe('a standstill of the node', () => {
  it('is no silence of machines, and what queued meanwhile is no sign of life', async () => {
    const { time, state, ids, workers, report } = site();
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
