/**
 * Whatever faults occur in the controllers and in their connections to the state service, no controller is
 * certain to lead while another holds the lock; and once the faults are over, a controller leads.
 */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { LeadershipMonitor } from './fakes/leadership.js';
import { World } from './fakes/world.js';

const SEED = Number(process.env.LOCK_SEED ?? 20261203);
const RUNS = Number(process.env.LOCK_RUNS ?? 60);
const SAMPLE_MS = 10;
const LOCK_LEASE_MS = 2500;
const TAKE_OVER_MS = 1000;
/** Longest delay of a request. */
const MAX_DELAY_MS = 4000;

/** Stands for the node that leads when the fault begins. */
const LEADER = -1;

interface Fault {
  kind:
    'slow requests' | 'slow answers' | 'outage' | 'refused' | 'frozen' | 'crashed' | 'late writes' | 'cut';
  /** Index of the node, or `LEADER`. */
  node: number;
  /** Part of the paths that are slow; empty for all paths. */
  path: '' | '/touch' | '/txn' | '/leases' | '/kv/';
  delayMs: number;
  durationMs: number;
  pauseMs: number;
}

const anyFault: fc.Arbitrary<Fault> = fc.record({
  kind: fc.oneof(
    { weight: 2, arbitrary: fc.constantFrom('slow requests' as const, 'slow answers' as const) },
    { weight: 2, arbitrary: fc.constantFrom('refused' as const, 'cut' as const) },
    {
      weight: 1,
      arbitrary: fc.constantFrom(
        'outage' as const,
        'frozen' as const,
        'crashed' as const,
        'late writes' as const,
      ),
    },
  ),
  node: fc.oneof({ weight: 3, arbitrary: fc.constant(LEADER) }, fc.integer({ min: 0, max: 2 })),
  path: fc.oneof(
    fc.constantFrom('' as const, '/touch' as const),
    fc.constantFrom('/txn' as const, '/leases' as const, '/kv/' as const),
  ),
  delayMs: fc.constantFrom(600, 1300, 1800, 2400, 3000, MAX_DELAY_MS),
  durationMs: fc.constantFrom(4000, 9000, 20_000),
  pauseMs: fc.constantFrom(0, 300, 1500, 4000),
});

type Slowdown = Fault & { until: number };

/** Current delay of a request to the state service, or of an answer from it. */
const currentDelayMs = (world: World, slowdowns: Slowdown[], address: string, path: string): number =>
  Math.max(
    0,
    ...slowdowns
      .filter(
        (slowdown) =>
          slowdown.until > world.time.now &&
          address === `state-for-n${slowdown.node}:1` &&
          path.includes(slowdown.path),
      )
      .map((slowdown) => slowdown.delayMs * (0.5 + world.random() / 2)),
  );

const injectFault = (world: World, fault: Fault, requests: Slowdown[], answers: Slowdown[]): void => {
  const slowdown = { ...fault, until: world.time.now + fault.durationMs };
  const name = `n${fault.node}`;
  if (fault.kind === 'slow requests') requests.push(slowdown);
  if (fault.kind === 'slow answers') answers.push(slowdown);
  if (fault.kind === 'outage') world.state.outage(fault.durationMs);
  if (fault.kind === 'frozen') world.freeze(fault.node, fault.durationMs);
  if (fault.kind === 'crashed' && !world.nodes[fault.node]!.clock.dead)
    world.crash(fault.node, fault.durationMs);
  if (fault.kind === 'cut')
    world.network.cut(name, `state-for-${name}:1`, fault.durationMs, fault.delayMs > 2000);
  if (fault.kind === 'refused') {
    world.state.refusedNodes.add(name);
    world.time.after(fault.durationMs, () => world.state.refusedNodes.delete(name));
  }
  if (fault.kind === 'late writes') {
    world.state.transactionDelayMs = () => (world.random() < 0.4 ? fault.delayMs : 0);
    world.time.after(fault.durationMs, () => (world.state.transactionDelayMs = () => 0));
  }
};

const runFaults = async (seed: number, faults: Fault[]): Promise<void> => {
  const world = new World(seed);
  await world.started();
  const monitor = new LeadershipMonitor(world, SAMPLE_MS);
  const requests: Slowdown[] = [];
  const answers: Slowdown[] = [];
  world.network.requestDelayMs = (address, _body, path) => currentDelayMs(world, requests, address, path);
  world.network.responseDelayMs = (address, path) => currentDelayMs(world, answers, address, path);
  for (const fault of faults) {
    const node = fault.node === LEADER ? Math.max(0, world.leader()) : fault.node;
    injectFault(world, { ...fault, node }, requests, answers);
    await world.time.run(fault.pauseMs);
  }
  const longestMs = Math.max(...faults.map((fault) => fault.durationMs));
  await world.time.run(longestMs + MAX_DELAY_MS + 2 * LOCK_LEASE_MS + TAKE_OVER_MS);
  expect(monitor.stop().conflicts).toBe(0);
  expect(world.leader()).toBeGreaterThanOrEqual(0);
};

it('no controller is certain to lead while another holds the lock, and a controller leads in the end', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1000 }),
      fc.array(anyFault, { minLength: 1, maxLength: 8 }),
      runFaults,
    ),
    { seed: SEED, numRuns: RUNS },
  );
}, 120_000);
