import { describe, expect, it } from 'vitest';
import { deflateSync } from 'node:zlib';
import { LogActor } from '../src/actors/log.js';
import { toJsonLines, toCompressedChunks, stateFromChunks } from '../src/actors/snapshot.js';
import { planReturns, type CapacityInput } from '../src/core/capacity.js';
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

describe('log writer', () => {
  it('writes a burst as several records per transaction, and urgent entries before the rest', async () => {
    const time = new VirtualTime();
    const service = new FakeStateService(time, limits);
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

  it('gets the return of a thousand machines in entries that each fit into a record', () => {
    const state = new ClusterState();
    const up = (i: number): LogEntry => ({
      e: 'up',
      m: `vm-${String(i).padStart(6, '0')}` as MachineId,
      addr: 'x',
      type: 'box',
      zone: 'a',
      spot: false,
      s: 1 as never,
    });
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
    } as unknown as CapacityInput);
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
