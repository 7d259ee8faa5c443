import { describe, expect, it } from 'vitest';
import { WorkersActor } from '../src/actors/workers.js';
import { State } from '../src/core/state.js';
import type { MachineId, Term, WorkerReport } from '../src/core/types.js';
import type { HttpAnswer } from '../src/io/http-client.js';
import { NodeClock, VirtualTime } from './fakes/clock.js';
import { box, silent, write } from './fakes/world.js';

const MACHINES = 1260;
const MOST = 150;

/** A leader's ear and mouth on a large site, with one task started on each machine. */
function site() {
  const time = new VirtualTime();
  const state = new State();
  write(state, [{ e: 'types', types: [box] }]);
  const ids = Array.from({ length: MACHINES }, (_, i) => `vm-${i}` as MachineId);
  for (const m of ids)
    write(state, [{ e: 'up', m, addr: `${m}:1`, type: 'box', zone: 'a', spot: false, s: 1 as never }]);
  const calls = { open: 0, most: 0, reached: new Map<string, number>() };
  const call = (address: string): Promise<HttpAnswer | null> => {
    calls.most = Math.max(calls.most, ++calls.open);
    calls.reached.set(address, (calls.reached.get(address) ?? 0) + 1);
    return new Promise((ok) =>
      time.after(20, () => {
        calls.open--;
        ok(null);
      }),
    );
  };
  const workers = new WorkersActor(
    state,
    { tell: () => {} } as never,
    call,
    new NodeClock(time, 1, 0),
    1 as Term,
    3,
    MOST,
    () => true,
    () => 0,
    () => {},
    () => {},
    silent,
  );
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
    for (const m of ids) workers.tell({ t: 'report', report: report(m, 1), reply: () => {} });
    write(state, [{ e: 'job', spec: { id: 'wk-1', tasks: MACHINES, cpus: 1, gpus: 0, mem: 1 } as never }]);
    write(state, [{ e: 'start', job: 'wk-1' as never, p: ids.map((m, i) => [i, 1, m]) }]);
    workers.tell({ t: 'push', machines: ids });
    await time.run(1000);
    expect(calls.most).toBe(MOST);
    expect(calls.reached.size).toBe(MACHINES);
  });

  it('of an introduction stay within the same bound', async () => {
    const { time, calls, workers } = site();
    for (let s = 0; s < 5; s++) {
      await time.run(1000);
      workers.tell({ t: 'tick' });
    }
    expect(calls.open).toBe(MOST);
  });
});

describe('a standstill of the node', () => {
  it('is no silence of machines, and what queued meanwhile is no sign of life', async () => {
    const { time, state, ids, workers, report } = site();
    const m = state.machines.get(ids[0]!)!;
    workers.tell({ t: 'report', report: report(m.id, 1), reply: () => {} });
    expect(workers.usable(m)).toBe(true);
    await time.run(22_000);
    workers.tell({ t: 'report', report: report(m.id, 2), reply: () => {} });
    expect(workers.silent(m)).toBeLessThan(0);
    expect(workers.usable(m)).toBe(false);
    await time.run(1000);
    workers.tell({ t: 'report', report: report(m.id, 3), reply: () => {} });
    expect(workers.usable(m)).toBe(true);
  });
});
