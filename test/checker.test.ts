import { beforeEach, describe, expect, it } from 'vitest';
import { Checker, type JobOnWire } from './fakes/checker.js';
import { box } from './fakes/world.js';

// The simulations rely on the checker, so each of its rules is violated here at least once.
describe('the checker reports', () => {
  let now = 0;
  let checker: Checker;
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
  const rules = (): string[] => checker.violations.map((b) => b.split(':')[0]!);
  beforeEach(() => {
    now = 0;
    checker = new Checker(
      () => now,
      [{ name: 'red', cpus: 4, cpusMax: 8, gpus: 0, gpusMax: 0 }],
      [box],
      45_000,
    );
  });

  it('ran_twice', () => {
    checker.submitted(job());
    checker.start('wk-1', 0, place('m1'));
    checker.start('wk-1', 0, place('m2'));
    expect(rules()).toEqual(['ran_twice']);
  });
  it('quota', () => {
    checker.submitted(job({ shifts: 3 }));
    for (let i = 0; i < 3; i++) checker.start('wk-1', i, place(`m${i}`));
    expect(rules()).toEqual(['quota']);
  });
  it('wrong_place', () => {
    checker.submitted(job({ yard: 'b' }));
    checker.start('wk-1', 0, place('m1', 'a'));
    checker.submitted(job({ name_id: 'wk-2', cpus: 1, loaners: false }));
    checker.start('wk-2', 0, place('m1', 'a', true));
    checker.submitted(job({ name_id: 'wk-3', cpus: 1, together: true }));
    checker.start('wk-3', 0, place('m1', 'a'));
    checker.start('wk-3', 1, place('m2', 'b'));
    checker.submitted(job({ name_id: 'wk-4', cpus: 0.1, shifts: 2, spread: true }));
    checker.start('wk-4', 0, place('m1', 'a'));
    checker.start('wk-4', 1, place('m2', 'a'));
    expect(rules()).toEqual(['wrong_place', 'wrong_place', 'wrong_place', 'wrong_place']);
  });
  it('ran_cancelled', () => {
    checker.submitted(job());
    checker.start('wk-1', 0, place('m1'));
    checker.cancellationRequested('wk-1');
    checker.answer('withdraw', 'wk-1', 200, 'aborted');
    now = 46_000;
    checker.finish();
    expect(rules()).toEqual(['ran_cancelled']);
  });
  it('a cancelled task that runs on after its machine hung, and a start after the cancellation', () => {
    checker.submitted(job());
    checker.start('wk-1', 0, place('m1'));
    checker.cancellationRequested('wk-1');
    checker.answer('withdraw', 'wk-1', 200, 'aborted');
    now = 10_000;
    checker.start('wk-1', 1, place('m2'));
    expect([rules(), checker.startsAfterCancellation]).toEqual([[], ['wk-1/1']]);
    checker.end('wk-1', 1, place('m2'), false);
    // The machine resumes before its lease runs out, so the task runs on until its stop arrives.
    now = 45_500;
    checker.end('wk-1', 0, place('m1'), false);
    expect(rules()).toEqual(['ran_cancelled']);
  });
  it('unfit: an accepted job that lacks a field or can never run', () => {
    const unfit: Partial<JobOnWire>[] = [
      { spread: undefined },
      { cpus: 9 },
      { desk: 'nobody' },
      { yard: 'z' },
      { shape: 'ensemble' as const, together: true, spread: true },
      { shape: 'ensemble' as const, yard: 'a', spread: true },
    ];
    for (const [i, over] of [{}, ...unfit].entries()) {
      checker.submitted(job({ name_id: `wk-${i}`, ...over }));
      checker.answer('submit', `wk-${i}`, 201, 'queued');
    }
    expect(checker.violations.map((b) => b.slice(0, 11))).toEqual([
      'unfit: wk-1',
      'unfit: wk-2',
      'unfit: wk-3',
      'unfit: wk-4',
      'unfit: wk-5',
      'unfit: wk-6',
    ]);
  });
  it('waits: a job that waits for 90 s though a machine has room and its team is below its limit', () => {
    const free = (cpus: number, zone = 'a') => [{ place: place('m1', zone), cpus, mem: 9 }];
    const wait = (machines: ReturnType<typeof free>): void => {
      for (const end = now + 100_000; now < end; now += 5000) checker.checkWaiting(machines);
    };
    checker.submitted(job({ yard: 'a' }));
    checker.answer('submit', 'wk-1', 201, 'queued');
    wait(free(3));
    wait(free(4, 'b'));
    checker.start('wk-1', 0, place('m1'));
    checker.submitted(job({ name_id: 'wk-2', cpus: 8, shifts: 1 }));
    checker.answer('submit', 'wk-2', 201, 'queued');
    // Waiting is allowed for the other task of wk-1 while nothing is free, and for wk-2 at its team's limit.
    wait(free(0));
    expect(rules()).toEqual([]);
    wait(free(4));
    expect(checker.violations[0]).toMatch(/^waits: wk-1 /);
  });
  it('waits: counts only places that can hold all tasks of a gang at once, divided as it asks', () => {
    const gang = { shape: 'ensemble' as const, shifts: 2, yard: null };
    const machine = (id: string, zone: string, cpus = 8) => ({ place: place(id, zone), cpus, mem: 9 });
    const violationsOf = (over: Partial<JobOnWire>, machines: ReturnType<typeof machine>[]): number => {
      const before = checker.violations.length;
      const id = `wk-${now}`;
      checker.submitted(job({ ...gang, ...over, name_id: id }));
      checker.answer('submit', id, 201, 'queued');
      for (const end = now + 100_000; now < end; now += 5000) checker.checkWaiting(machines);
      checker.cancellationRequested(id);
      return checker.violations.length - before;
    };
    // Two tasks of four CPUs each fit one machine.
    expect(violationsOf({}, [machine('m1', 'a')])).toBeGreaterThan(0);
    expect(violationsOf({}, [machine('m1', 'a', 4)])).toBe(0);
    expect(violationsOf({}, [machine('m1', 'a', 4), machine('m2', 'b', 4)])).toBeGreaterThan(0);
    expect(violationsOf({ together: true }, [machine('m1', 'a', 4), machine('m2', 'b', 4)])).toBe(0);
    expect(violationsOf({ spread: true }, [machine('m1', 'a')])).toBe(0);
    expect(violationsOf({ spread: true }, [machine('m1', 'a'), machine('m2', 'b')])).toBeGreaterThan(0);
  });
  it('forgotten', () => {
    checker.submitted(job());
    checker.answer('submit', 'wk-1', 201, 'queued');
    checker.answer('show', 'wk-1', 404);
    checker.answer('submit', 'wk-1', 422);
    expect(rules()).toEqual(['forgotten', 'forgotten']);
  });
  it('invented', () => {
    checker.answer('show', 'wk-9', 200, 'queued');
    expect(rules()).toEqual(['invented']);
  });
  it('not_done', () => {
    checker.submitted(job());
    checker.start('wk-1', 0, place('m1'));
    checker.end('wk-1', 0, place('m1'), true);
    checker.answer('show', 'wk-1', 200, 'done');
    expect(rules()).toEqual(['not_done']);
  });
  it('went_back', () => {
    checker.submitted(job({ shifts: 1 }));
    checker.answer('show', 'wk-1', 200, 'aborted');
    checker.answer('show', 'wk-1', 200, 'queued');
    expect(rules()).toEqual(['went_back', 'went_back']);
  });
  it('nothing_ran', () => {
    checker.finish();
    expect(rules()).toEqual(['nothing_ran']);
  });
});
