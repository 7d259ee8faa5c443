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
  const rules = (): string[] => c.broken.map((b) => b.split(':')[0]!);
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
    c.willWithdraw('wk-1');
    c.answer('withdraw', 'wk-1', 200, 'aborted');
    now = 46_000;
    c.finish();
    expect(rules()).toEqual(['ran_cancelled']);
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
