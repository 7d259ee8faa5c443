import { describe, expect, it } from 'vitest';
import { LogActor } from '../src/actors/log.js';
import { giveBack, type CapacityInput } from '../src/core/capacity.js';
import { State } from '../src/core/state.js';
import type { Entry, MachineId, Steady, Wall } from '../src/core/types.js';
import { Store } from '../src/wire/store.js';
import { VirtualTime } from './fakes/clock.js';
import { FakeStateService } from './fakes/state-service.js';
import { box } from './fakes/world.js';

const quiet = { info: () => {}, debug: () => {}, error: () => {}, warn: () => {} };
const limits = { rps: 100, write_rps: 40, value_kb: 8, txn_ops: 12 };
const job = (i: number, filler = 600): Entry => ({
  e: 'job',
  spec: { id: `wk-${i}`, image: 'x'.repeat(filler), tasks: 1 } as never,
});

/** A pen on a state service whose n-th transaction comes or is answered late. */
function pen(late: (n: number) => { there: number; back: number }) {
  const time = new VirtualTime();
  const service = new FakeStateService(time, limits);
  const transactions: number[] = [];
  const store = new Store((_a, method, path, body) => {
    if (path === '/txn') transactions.push((body as { apply: unknown[] }).apply.length);
    const { there, back } = path === '/txn' ? late(transactions.length) : { there: 5, back: 5 };
    return new Promise((ok) =>
      time.after(there, () => {
        const a = service.handle('n', method, path, body);
        time.after(back, () => void Promise.resolve(a).then(ok));
      }),
    );
  }, 'state');
  service.kv.set('q/leader', { data: {}, stamp: 1 });
  const state = new State();
  const clock = {
    steady: () => time.now as Steady,
    wall: () => time.now as Wall,
    after: (ms: number, run: () => void) => time.after(ms, run),
  };
  const deposed = () => expect.unreachable();
  const log = new LogActor(state, store, clock, limits, 1 as never, 1, quiet, deposed, () => {});
  return { time, service, state, log, transactions };
}

describe('the pen', () => {
  it('writes a burst as several records a transaction, and users before the rest', async () => {
    const { time, service, state, log, transactions } = pen(() => ({ there: 5, back: 5 }));
    let user = Infinity;
    let rest = 0;
    log.tell({ entries: [job(0)] });
    for (let i = 1; i <= 150; i++) log.tell({ entries: [job(i)], done: () => (rest = time.now) });
    log.tell({ entries: [job(151)], urgent: true, done: () => (user = time.now) });
    await time.run(5000);
    expect(state.jobs.size).toBe(152);
    expect(user).toBeLessThanOrEqual(40);
    expect(rest).toBeLessThan(700);
    expect(Math.max(...transactions)).toBeGreaterThan(3);
    expect(service.over).toBe(0);
  });

  for (const slow of ['there', 'back'] as const)
    it(`does not wait for a write that is slow on its way ${slow}, and writes it once`, async () => {
      const { time, state, log, service } = pen((n) => ({
        there: 5,
        back: 5,
        ...(n === 1 && { [slow]: 400 }),
      }));
      let user = Infinity;
      log.tell({ entries: [job(0)], urgent: true, done: () => (user = time.now) });
      await time.run(100);
      log.tell({ entries: [job(1)], urgent: true });
      await time.run(2000);
      expect(user).toBeLessThan(100);
      expect([state.jobs.size, state.next]).toEqual([2, 3]);
      expect([...service.kv.keys()].filter((k) => k.startsWith('q/r/')).length).toBe(2);
    });

  it('gets hundreds of machines to return in entries that each fit a record', () => {
    const state = new State();
    const up = (i: number): Entry => ({
      e: 'up',
      m: `vm-${String(i).padStart(6, '0')}` as MachineId,
      addr: 'x',
      type: 'box',
      zone: 'a',
      spot: false,
      s: 1 as never,
    });
    const entries = [{ e: 'types', types: [box] } as Entry, ...Array.from({ length: 1000 }, (_, i) => up(i))];
    state.apply(state.next, { term: 1 as never, tag: 1, at: 0 as Wall, entries });
    const drops = giveBack({
      state,
      now: 1e9 as Wall,
      silent: () => 0,
      deaf: false,
      keep: new Set(),
      policy: { idle: () => 1, silence: () => 11, rentSpot: () => true },
    } as unknown as CapacityInput);
    expect(drops.flatMap((d) => (d.e === 'drop' ? d.m : [])).length).toBe(1000);
    for (const d of drops) expect(JSON.stringify(d).length).toBeLessThan(6000);
  });
});
