/**
 * Whatever is to be logged, each record fits into a value of the state service, and the parts of an entry have
 * the effect of the whole.
 *
 * Guards against a log that is stuck for good: the ends of one report were one entry of 11 KB, which the state
 * service refused with 400, and each leader repeated it and wrote nothing else.
 */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { requestsForRecord, splitRequest, maxEntriesBytes } from '../src/actors/record-batches.js';
import { splitEntry } from '../src/core/split-entry.js';
import { ClusterState } from '../src/core/state.js';
import { dumpState } from '../src/core/state-dump.js';
import type { EndCause, JobId, LogEntry, MachineId } from '../src/core/types.js';
import { box, write } from './fakes/world.js';

const SEED = Number(process.env.RECORDS_SEED ?? 20261204);
const RUNS = Number(process.env.RECORDS_RUNS ?? 150);
const MACHINES = 8;
const JOBS = 3;
const TASKS_PER_JOB = 700;
/** The usual limit of a value, a quarter and an eighth of it. */
const VALUE_KB = [8, 2, 1];

const machine = (index: number): MachineId => `vm-${String(index % MACHINES).padStart(6, '0')}` as MachineId;
const job = (index: number): JobId => `wk-${String(index % JOBS).padStart(6, '0')}` as JobId;

/** Machines, jobs, and attempts of the first tasks of each job, spread over the machines. */
const stateWith = (startedTasks: number, gang: boolean): ClusterState => {
  const state = new ClusterState();
  const up = (m: MachineId): LogEntry => ({
    ...{ e: 'up', m, addr: 'x', type: 'box', zone: 'a', spot: false, s: 1 as never },
  });
  const submission = (id: JobId): LogEntry => ({
    e: 'job',
    spec: { id, team: 'red', gang, tasks: TASKS_PER_JOB, cpus: 0.01, gpus: 0, mem: 0, image: 'i' } as never,
  });
  write(state, [
    { e: 'types', types: [box] },
    ...Array.from({ length: MACHINES }, (_, i) => up(machine(i))),
    ...Array.from({ length: JOBS }, (_, i) => submission(job(i))),
  ]);
  for (let i = 0; i < JOBS; i++)
    write(state, [
      {
        ...{ e: 'start', job: job(i) },
        p: Array.from({ length: startedTasks }, (_, task) => [task, 1, machine(task)]),
      },
    ]);
  return state;
};

const causes: EndCause[] = ['done', 'stopped', 'error', 'lost', 'void', 'alone', 'no_room'];
const anyTask = fc.integer({ min: 0, max: TASKS_PER_JOB - 1 });
const anyTasks = fc.uniqueArray(anyTask, { maxLength: TASKS_PER_JOB });
const anyMachines = fc.uniqueArray(fc.integer({ min: 0, max: 3000 }), { maxLength: 2000 });
const idOf = (index: number): MachineId => `vm-${String(index).padStart(6, '0')}` as MachineId;

const anyEntry: fc.Arbitrary<LogEntry> = fc.oneof(
  fc
    .array(fc.tuple(fc.nat(JOBS), anyTask, fc.constantFrom(...causes), fc.boolean()), { maxLength: 900 })
    .map((ends): LogEntry => ({
      ...{ e: 'end', p: ends.map(([of, task, cause, saved]) => [job(of), task, 1, cause, saved]) },
    })),
  fc.tuple(fc.nat(JOBS), anyTasks).map(([of, tasks]): LogEntry => ({
    ...{ e: 'start', job: job(of), p: tasks.map((task) => [task, 1, machine(task)]) },
  })),
  fc
    .tuple(fc.nat(JOBS), anyTasks)
    .map(([of, p]): LogEntry => ({ e: 'stop', job: job(of), p, grace: 3, why: 'preempted' })),
  anyMachines.map((all): LogEntry => ({ e: 'drop', m: all.map(idOf), why: 'silent' })),
  anyMachines.map((all): LogEntry => ({ e: 'gone', m: all.map(idOf) })),
  fc.nat(JOBS).map((of): LogEntry => ({ e: 'withdraw', job: job(of) })),
  fc.nat(9).map((upto): LogEntry => ({ e: 'mark', upto })),
);

it('each record of any requests fits into a value, and all their entries are in the records', () => {
  fc.assert(
    fc.property(
      fc.array(fc.array(anyEntry, { minLength: 1, maxLength: 4 }), { minLength: 1, maxLength: 4 }),
      fc.constantFrom(...VALUE_KB),
      (requests, valueKb) => {
        const valueBytes = valueKb * 1024;
        const settled = requests.map(() => 0);
        const queued = requests.flatMap((entries, i) =>
          splitRequest({ entries, onSettled: () => settled[i]!++ }, maxEntriesBytes(valueBytes)),
        );
        for (let taken = 0; taken < queued.length;) {
          const inRecord = requestsForRecord(queued, taken, valueBytes);
          taken += inRecord.length;
          const entries = inRecord.flatMap((request) => request.entries);
          const record = { term: 999_999, tag: 999_999, at: 1_796_366_645_432, entries };
          expect(Buffer.byteLength(JSON.stringify(record))).toBeLessThanOrEqual(valueBytes);
          for (const request of inRecord) request.onSettled?.(true);
        }
        expect(settled).toEqual(requests.map(() => 1));
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
});

it('the parts of an entry, applied one after the other, have the effect of the whole', () => {
  fc.assert(
    fc.property(
      anyEntry,
      fc.integer({ min: 0, max: TASKS_PER_JOB }),
      fc.boolean(),
      fc.constantFrom(...VALUE_KB),
      (entry, startedTasks, gang, valueKb) => {
        const whole = stateWith(startedTasks, gang);
        const inParts = stateWith(startedTasks, gang);
        write(whole, [entry], 5000);
        for (const part of splitEntry(entry, maxEntriesBytes(valueKb * 1024))) write(inParts, [part], 5000);
        // Only the number of records differs.
        inParts.nextRecord = whole.nextRecord;
        expect(JSON.stringify(dumpState(inParts))).toBe(JSON.stringify(dumpState(whole)));
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
});
