import { beforeEach, describe, expect, it } from 'vitest';
import { Checker, type JobOnWire } from './fakes/checker.js';
import { box } from './fakes/world.js';

// The stories' verdict is worth something only if the checker sees each kind of breach.
describe('the checker catches', () => {
  let now = 0;
  let c: Checker;
  const place = (id: string, zone = 'a', spot = false) => ({ id, type: 'box', zone, spot });
  const job = (over: Partial<JobOnWire> = {}): JobOnWire =>
    ({
      name_id: 'wk-1',
      duty: 'any',
      urgency: 'low',
      accelerators: 0,
      mem_gb: 1,
      kit: 'img',
      image_gb: 1,
      reckon_s: 1,
      waymark_s: 0,
      stow_s: 0,
      desk: 'red',
      shape: 'array',
      shifts: 2,
      cpus: 4,
      breeds: null,
      yard: null,
      together: false,
      spread: false,
      loaners: false,
      ...over,
    }) as JobOnWire;
  const rules = (): string[] => c.violations.map((b) => b.split(':')[0]!);
  beforeEach(() => {
    now = 0;
    c = new Checker(() => now, [{ name: 'red', cpus: 4, cpusMax: 8, gpus: 0, gpusMax: 0 }], [box], 45_000);
  });

  it('ran_twice', () => {
    c.submitted(job());
    c.start('wk-1', 0, place('m1'));
    c.start('wk-1', 0, place('m2'));
    expect(rules()).toEqual(['ran_twice']);
  });
  it('quota', () => {
    c.submitted(job({ shifts: 3 }));
    for (let i = 0; i < 3; i++) c.start('wk-1', i, place(`m${i}`));
    expect(rules()).toEqual(['quota']);
  });
  it('wrong_place', () => {
    c.submitted(job({ yard: 'b' }));
    c.start('wk-1', 0, place('m1', 'a'));
    c.submitted(job({ name_id: 'wk-2', cpus: 1, loaners: false }));
    c.start('wk-2', 0, place('m1', 'a', true));
    c.submitted(job({ name_id: 'wk-3', cpus: 1, together: true }));
    c.start('wk-3', 0, place('m1', 'a'));
    c.start('wk-3', 1, place('m2', 'b'));
    c.submitted(job({ name_id: 'wk-4', cpus: 0.1, shifts: 2, spread: true }));
    c.start('wk-4', 0, place('m1', 'a'));
    c.start('wk-4', 1, place('m2', 'a'));
    expect(rules()).toEqual(['wrong_place', 'wrong_place', 'wrong_place', 'wrong_place']);
  });
  it('ran_cancelled', () => {
    c.submitted(job());
    c.start('wk-1', 0, place('m1'));
    c.cancellationRequested('wk-1');
    c.answer('withdraw', 'wk-1', 200, 'aborted');
    now = 46_000;
    c.finish();
    expect(rules()).toEqual(['ran_cancelled']);
  });
  it('a cancelled task that goes on after its machine hung, and starts after a confirmed cancellation', () => {
    c.submitted(job());
    c.start('wk-1', 0, place('m1'));
    c.cancellationRequested('wk-1');
    c.answer('withdraw', 'wk-1', 200, 'aborted');
    now = 10_000;
    c.start('wk-1', 1, place('m2'));
    expect([rules(), c.startsAfterCancellation]).toEqual([[], ['wk-1/1']]);
    c.end('wk-1', 1, place('m2'), false);
    // The hang is over, its lease was not: the task goes on until its stop arrives.
    now = 45_500;
    c.end('wk-1', 0, place('m1'), false);
    expect(rules()).toEqual(['ran_cancelled']);
  });
  it('what is accepted though it lacks a field or can never run', () => {
    const odd: Partial<JobOnWire>[] = [{ spread: undefined }, { cpus: 9 }, { desk: 'nobody' }, { yard: 'z' }];
    for (const [i, over] of [{}, ...odd].entries()) {
      c.submitted(job({ name_id: `wk-${i}`, ...over }));
      c.answer('submit', `wk-${i}`, 201, 'queued');
    }
    expect(c.violations.map((b) => b.slice(0, 11))).toEqual([
      'unfit: wk-1',
      'unfit: wk-2',
      'unfit: wk-3',
      'unfit: wk-4',
    ]);
  });
  it('a job that waits for 90 s while a machine that fits has room and its team is under its limit', () => {
    const free = (cpus: number, zone = 'a') => [{ place: place('m1', zone), cpus, mem: 9 }];
    const wait = (m: ReturnType<typeof free>): void => {
      for (const end = now + 100_000; now < end; now += 5000) c.checkWaiting(m);
    };
    c.submitted(job({ yard: 'a' }));
    c.answer('submit', 'wk-1', 201, 'queued');
    wait(free(3));
    wait(free(4, 'b'));
    c.start('wk-1', 0, place('m1'));
    c.submitted(job({ name_id: 'wk-2', cpus: 8, shifts: 1 }));
    c.answer('submit', 'wk-2', 201, 'queued');
    // Its other task waits by right while nothing is free, and wk-2 while its team is at its limit.
    wait(free(0));
    expect(rules()).toEqual([]);
    wait(free(4));
    expect(c.violations[0]).toMatch(/^waits: wk-1 /);
  });
  it('forgotten', () => {
    c.submitted(job());
    c.answer('submit', 'wk-1', 201, 'queued');
    c.answer('show', 'wk-1', 404);
    c.answer('submit', 'wk-1', 422);
    expect(rules()).toEqual(['forgotten', 'forgotten']);
  });
  it('invented', () => {
    c.answer('show', 'wk-9', 200, 'queued');
    expect(rules()).toEqual(['invented']);
  });
  it('not_done', () => {
    c.submitted(job());
    c.start('wk-1', 0, place('m1'));
    c.end('wk-1', 0, place('m1'), true);
    c.answer('show', 'wk-1', 200, 'done');
    expect(rules()).toEqual(['not_done']);
  });
  it('went_back', () => {
    c.submitted(job({ shifts: 1 }));
    c.answer('show', 'wk-1', 200, 'aborted');
    c.answer('show', 'wk-1', 200, 'queued');
    expect(rules()).toEqual(['went_back', 'went_back']);
  });
  it('nothing_ran', () => {
    c.finish();
    expect(rules()).toEqual(['nothing_ran']);
  });
});
