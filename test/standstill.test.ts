import { describe, expect, it } from 'vitest';
import type { JobOnWire } from './fakes/checker.js';
import {
  CANCEL_MS,
  cancelUntilConfirmed,
  cutPeers,
  expectAllAnswered,
  expectAllOver,
  machinesOf,
  startWorld,
} from './fakes/scenarios.js';
import type { World } from './fakes/world.js';

// A controller stands still while its clocks run on, and goes on with what it knew before.

/** Less than the lease of a machine (16 s). */
const HANG_MS = 13_000;
/** From the cancellations to the standstill: a report of the machines would show that their tasks are gone. */
const STANDSTILL_AFTER_MS = 11_000;

interface Standstill {
  world: World;
  former: number;
  cancelled: JobOnWire[];
  /** Machines of the cancelled jobs. */
  machines: string[];
}

/** Jobs are cancelled whose machines hang, and the leader stands still. */
async function standStill(seed: number, hangMs: number, standstillMs: number): Promise<Standstill> {
  const world = await startWorld(seed);
  const cancelled = [0, 1, 2].map(() => world.job({ shifts: 1, cpus: 7, mem_gb: 20, reckon_s: 400 }));
  for (const job of cancelled) world.user(job);
  await world.time.run(28_000);
  const former = world.leader();
  const machines = cancelled.flatMap((job) => machinesOf(world, job));
  expect(machines.length).toBe(3);
  for (const machine of machines) world.hang(machine, hangMs);
  for (const job of cancelled) await cancelUntilConfirmed(world, job.name_id, () => former);
  await world.time.run(STANDSTILL_AFTER_MS);
  world.freeze(former, standstillMs);
  return { world, former, cancelled, machines };
}

/** Requests that only a leader may send: rentals, returns, and starts of tasks. */
const isLeadersAct = (path: string, body: unknown): boolean => {
  const { orders = [] } = (body ?? {}) as { orders?: { verb: string }[] };
  return path === '/hosts' || path === '/hosts/return' || orders.some(({ verb }) => verb === 'launch');
};

/** The leader's acts that a node begins from now on. */
function recordActs(world: World, node: number): string[] {
  const acts: string[] = [];
  const earlier = world.network.requestDelayMs;
  world.network.requestDelayMs = (address, body, path, from) => {
    if (from === `n${node}` && isLeadersAct(path, body)) acts.push(`${path} ${JSON.stringify(body)}`);
    return earlier(address, body, path, from);
  };
  return acts;
}

/** Users submit, ask and cancel at a node; the checker compares the answers with earlier ones. */
const askAt = (world: World, node: number, jobs: JobOnWire[]): void => {
  const late = world.job({ shifts: 1, reckon_s: 5 });
  world.checker.submitted(late);
  void world.ask('submit', late.name_id, late, node).then(() => world.user(late));
  for (const { name_id } of jobs) void world.ask('show', name_id, undefined, node);
  void world.ask('withdraw', jobs[0]!.name_id, undefined, node);
};

describe('a former leader that goes on after a standstill', () => {
  for (const standstillS of [10, 26, 30, 90])
    for (const [name, submittedBeforeMs] of [
      ['after the new leader has started work on its machines', Math.min(8000, standstillS * 450)],
      ['just as the new leader starts work on its machines', 300],
    ] as const)
      for (const seed of [700, 701])
        it(`rents, returns and starts nothing, ${standstillS} s, ${name} (seed ${seed})`, async () => {
          const standstillMs = standstillS * 1000;
          const { world, former, cancelled } = await standStill(seed, HANG_MS, standstillMs);
          const acts = recordActs(world, former);
          await world.time.run(standstillMs - submittedBeforeMs);
          expect(world.leader()).not.toBe(former);
          const kept = world.job({ shifts: 3, cpus: 7, mem_gb: 20, reckon_s: 60 });
          world.user(kept);
          await world.time.run(submittedBeforeMs + 1);
          askAt(world, former, [...cancelled, kept]);
          await world.time.run(15_000);
          expect(acts).toEqual([]);
          await expectAllAnswered(world);
          await expectAllOver(world, 300);
          expect(world.checker.startCountOf(kept.name_id)).toBe(3);
        });

  it('leads on after a second, and ends what was cancelled in time', async () => {
    const { world, former } = await standStill(702, 200_000, 1000);
    await world.time.run(3000);
    expect(world.leader()).toBe(former);
    await expectAllOver(world, 300);
  });
});

describe('a leader that goes on after a standstill while no other can lead', () => {
  const neighbours: Record<string, (world: World, former: number) => void> = {
    'while it hears the others': () => {},
    'while it hears nobody': (world, former) => cutPeers(world, former, 120_000),
  };
  // The state service is down for all, so that the lock can be neither renewed nor taken.
  for (const standstillS of [10, 26])
    for (const [name, cut] of Object.entries(neighbours))
      for (const seed of [710, 711])
        it(`returns machines that hang with cancelled tasks within cancel_s, ${standstillS} s, ${name} (seed ${seed})`, async () => {
          const { world, former, machines } = await standStill(seed, 200_000, standstillS * 1000);
          world.state.outage(120_000);
          cut(world, former);
          await world.time.run(CANCEL_MS - STANDSTILL_AFTER_MS);
          expect(machines.filter((machine) => world.workers.has(machine))).toEqual([]);
          expect(world.checker.violations).toEqual([]);
          await world.time.run(100_000);
          await expectAllOver(world, 300);
        });
});
