import { describe, expect, it } from 'vitest';
import { deflateSync } from 'node:zlib';
import { LogActor } from '../src/actors/log.js';
import { toJsonLines, toCompressedChunks, stateFromChunks } from '../src/actors/snapshot.js';
import { planReturns, type ReturnsInput } from '../src/core/returns.js';
import { dumpState } from '../src/core/state-dump.js';
import { ClusterState } from '../src/core/state.js';
import type { LogEntry, MachineId, WallMs } from '../src/core/types.js';
import { chunkKey } from '../src/wire/keys.js';
import { StateServiceClient } from '../src/wire/state-service.js';
import { NodeClock, VirtualTime } from './fakes/clock.js';
import { FakeStateService } from './fakes/state-service.js';
import { box, silent, write } from './fakes/world.js';

const limits = { rps: 100, write_rps: 40, value_kb: 8, txn_ops: 12 };
const job = (i: number, filler = 600): LogEntry => ({
  e: 'job',
  spec: { id: `wk-${i}`, image: 'x'.repeat(filler), tasks: 1 } as never,
});

const machineId = (i: number): MachineId => `vm-${String(i).padStart(6, '0')}` as MachineId;
const up = (i: number): LogEntry => ({
  ...{ e: 'up', m: machineId(i), addr: 'x', type: 'box', zone: 'a', spot: false, s: 1 as never },
});

/** A log writer and its state service, which answers after 10 ms and keeps limits of its own. */
const createLog = (serviceLimits = limits) => {
  const time = new VirtualTime();
  const service = new FakeStateService(time, serviceLimits);
  const transactions: number[] = [];
  const store = new StateServiceClient((_address, method, path, body) => {
    if (path === '/txn') transactions.push((body as { apply: unknown[] }).apply.length);
    return new Promise((resolve) =>
      time.after(10, () => void Promise.resolve(service.handle('n', method, path, body)).then(resolve)),
    );
  }, 'state');
  service.kv.set('q/leader', { data: {}, stamp: 1 });
  const state = new ClusterState();
  const log = new LogActor({
    ...{ state, store, limits, logger: silent, term: 1 as never, leaderVersion: 1 },
    clock: new NodeClock(time, 1, 0),
    onDeposed: () => expect.unreachable(),
    onWritten: () => {},
  });
  return { time, service, state, store, log, transactions };
};

describe('log writer', () => {
  it('writes a burst as several records per transaction, and urgent entries before the rest', async () => {
    const { time, service, state, log, transactions } = createLog();
    let urgentSettledAt = Infinity;
    let restSettledAt = 0;
    log.tell({ entries: [job(0)] });
    for (let i = 1; i <= 150; i++)
      log.tell({ entries: [job(i)], onSettled: () => (restSettledAt = time.now) });
    log.tell({ entries: [job(151)], urgent: true, onSettled: () => (urgentSettledAt = time.now) });
    await time.run(5000);
    expect(state.jobs.size).toBe(152);
    expect(urgentSettledAt).toBeLessThanOrEqual(40);
    expect(restSettledAt).toBeLessThan(700);
    expect(Math.max(...transactions)).toBeGreaterThan(3);
    expect(service.rateLimited).toBe(0);
  });

  // Guards against a log that is stuck for good on records that the state service refuses with 400.
  it('writes what the state service rejects in smaller parts, after its limits were lowered', async () => {
    const { time, service, state, log } = createLog({ ...limits, value_kb: 1 });
    service.rejectsOversized = true;
    const all = Array.from({ length: 300 }, (_, i) => machineId(i));
    const settled: boolean[] = [];
    log.tell({ entries: all.map((_, i) => up(i)), onSettled: (ok) => settled.push(ok) });
    await time.run(5000);
    expect(state.machines.size).toBe(300);
    log.tell({ entries: [{ e: 'drop', m: all, why: 'silent' }], onSettled: (ok) => settled.push(ok) });
    log.tell({ entries: [job(1, 10)], urgent: true, onSettled: (ok) => settled.push(ok) });
    await time.run(5000);
    expect([...state.machines.values()].filter((machine) => machine.drop === null)).toEqual([]);
    expect(state.jobs.size).toBe(1);
    expect(settled).toEqual([true, true, true]);
    expect(log.rejectedEntries).toBe(0);
  });

  it('gives up an entry that fits into no record, and writes the rest', async () => {
    const { time, service, state, log } = createLog();
    service.rejectsOversized = true;
    const settled: [string, boolean][] = [];
    const tell = (name: string, entry: LogEntry, urgent: boolean): void =>
      log.tell({ entries: [entry], urgent, onSettled: (ok) => settled.push([name, ok]) });
    tell('before', job(1), true);
    tell('too large', job(2, 9000), true);
    tell('beside', job(3), true);
    tell('after', job(4), false);
    await time.run(3000);
    expect([...state.jobs.keys()]).toEqual(['wk-1', 'wk-3', 'wk-4']);
    expect(settled.sort()).toEqual([
      ['after', true],
      ['before', true],
      ['beside', true],
      ['too large', false],
    ]);
    expect(log.rejectedEntries).toBe(1);
  });

  it('tells a lease that has ended from a transaction that is never carried out', async () => {
    const { time, service, store } = createLog();
    service.rejectsOversized = true;
    const results: unknown[] = [];
    void store.transact([], [{ put: 'q/x', value: 1, lease: 99 }]).then((result) => results.push(result));
    void store.transact([], [{ put: 'q/x', value: 'x'.repeat(9000) }]).then((result) => results.push(result));
    await time.run(100);
    expect(results).toEqual([{ outcome: 'no_lease' }, { outcome: 'rejected', error: 'too large' }]);
  });

  it('gets the return of a thousand machines in entries that each fit into a record', () => {
    const state = new ClusterState();
    const entries = [
      { e: 'types', types: [box] } as LogEntry,
      ...Array.from({ length: 1000 }, (_, i) => up(i)),
    ];
    write(state, entries);
    const drops = planReturns({
      state,
      now: 1e9 as WallMs,
      secondsSilent: () => 0,
      mostAreSilent: false,
      retained: new Set(),
      policy: { idleTimeoutS: () => 1, silenceTimeoutS: () => 11, rentSpot: () => true },
    } as unknown as ReturnsInput);
    expect(drops.flatMap((entry) => (entry.e === 'drop' ? entry.m : [])).length).toBe(1000);
    for (const entry of drops) expect(JSON.stringify(entry).length).toBeLessThan(6000);
  });
});

describe('snapshot', () => {
  it('is serialised in short steps, unaffected by later records, and loads as the dumped state', async () => {
    const state = new ClusterState();
    write(state, [{ e: 'types', types: [box] }]);
    for (let i = 0; i < 200; i++)
      write(state, [
        { e: 'up', m: `vm-${i}` as MachineId, addr: 'x', type: 'box', zone: 'a', spot: false, s: 1 as never },
        { e: 'job', spec: { id: `wk-${i}`, team: 'red', tasks: 2, cpus: 1, gpus: 0, mem: 1 } as never },
        { e: 'start', job: `wk-${i}` as never, p: [[0, 1, `vm-${i}` as MachineId]] },
      ]);
    write(state, [{ e: 'stop', job: 'wk-3' as never, p: [0], grace: 0, why: 'preempted' }]);
    const before = JSON.stringify(dumpState(state));
    let steps = 0;
    const text = await toJsonLines(dumpState(state), () => {
      steps++;
      write(state, [{ e: 'end', p: [[`wk-${steps}` as never, 0, 1 as never, 'stopped', false]] }]);
      return Promise.resolve();
    });
    // 200 machines and 200 jobs, 40 items per step.
    expect(steps).toBe(10);
    for (const stored of [text, before]) {
      const chunks = await toCompressedChunks(stored, 1000, (plain) => Promise.resolve(deflateSync(plain)));
      const keys = new Map(chunks.map((chunk, i) => [chunkKey(7, i), chunk as unknown]));
      const loaded = stateFromChunks(keys, { upto: 7, chunks: chunks.length })!;
      expect(JSON.stringify(dumpState(loaded))).toBe(before);
      expect(loaded.machines.get('vm-3' as MachineId)).toMatchObject({ stopping: 1, cpus: 1 });
    }
  });
});
