/**
 * Whatever happens to the controllers and to their way to the state service, no controller is certain to lead while
 * another holds the lock; and once all is well again, somebody leads.
 */
import fc from 'fast-check';
import { expect, it } from 'vitest';
import { LeadershipMonitor } from './fakes/leadership.js';
import { World } from './fakes/world.js';

const SEED = Number(process.env.LOCK_SEED ?? 20261203);
const RUNS = Number(process.env.LOCK_RUNS ?? 60);
const SAMPLE_MS = 10;
const LOCK_MS = 2500;
const TAKE_OVER_MS = 1000;
/** The longest that a request is held back. */
const LONGEST_HELD_MS = 4000;

/** Stands for the node that leads. */
const LEADER = -1;

interface Trouble {
  kind:
    'slow requests' | 'slow answers' | 'outage' | 'refused' | 'frozen' | 'crashed' | 'late writes' | 'cut';
  /** Its number, or whoever leads then. */
  node: number;
  /** Part of the paths that are slow; all when empty. */
  path: '' | '/touch' | '/txn' | '/leases' | '/kv/';
  ms: number;
  forMs: number;
  thenMs: number;
}

const trouble: fc.Arbitrary<Trouble> = fc.record({
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
  ms: fc.constantFrom(600, 1300, 1800, 2400, 3000, LONGEST_HELD_MS),
  forMs: fc.constantFrom(4000, 9000, 20_000),
  thenMs: fc.constantFrom(0, 300, 1500, 4000),
});

type Slow = Trouble & { until: number };

/** How long something on its way to (or from) the state service is held up now. */
const heldMs = (w: World, slow: Slow[], address: string, path: string): number =>
  Math.max(
    0,
    ...slow
      .filter((s) => s.until > w.time.now && address === `state-for-n${s.node}:1` && path.includes(s.path))
      .map((s) => s.ms * (0.5 + w.random() / 2)),
  );

const bringAbout = (w: World, t: Trouble, requests: Slow[], answers: Slow[]): void => {
  const slow = { ...t, until: w.time.now + t.forMs };
  const name = `n${t.node}`;
  if (t.kind === 'slow requests') requests.push(slow);
  if (t.kind === 'slow answers') answers.push(slow);
  if (t.kind === 'outage') w.state.outage(t.forMs);
  if (t.kind === 'frozen') w.freeze(t.node, t.forMs);
  if (t.kind === 'crashed' && !w.nodes[t.node]!.clock.dead) w.crash(t.node, t.forMs);
  if (t.kind === 'cut') w.network.cut(name, `state-for-${name}:1`, t.forMs, t.ms > 2000);
  if (t.kind === 'refused') {
    w.state.refusedTo.add(name);
    w.time.after(t.forMs, () => w.state.refusedTo.delete(name));
  }
  if (t.kind === 'late writes') {
    w.state.lateMs = () => (w.random() < 0.4 ? t.ms : 0);
    w.time.after(t.forMs, () => (w.state.lateMs = () => 0));
  }
};

const play = async (seed: number, troubles: Trouble[]): Promise<void> => {
  const w = new World(seed);
  await w.started();
  const watch = new LeadershipMonitor(w, SAMPLE_MS);
  const requests: Slow[] = [];
  const answers: Slow[] = [];
  w.network.holds = (address, _body, path) => heldMs(w, requests, address, path);
  w.network.holdsAnswer = (address, path) => heldMs(w, answers, address, path);
  for (const t of troubles) {
    const node = t.node === LEADER ? Math.max(0, w.leader()) : t.node;
    bringAbout(w, { ...t, node }, requests, answers);
    await w.time.run(t.thenMs);
  }
  const longest = Math.max(...troubles.map((t) => t.forMs));
  await w.time.run(longest + LONGEST_HELD_MS + 2 * LOCK_MS + TAKE_OVER_MS);
  expect(watch.stop().conflicts).toBe(0);
  expect(w.leader()).toBeGreaterThanOrEqual(0);
};

it('no controller is certain to lead while another holds the lock, and somebody leads in the end', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1000 }),
      fc.array(trouble, { minLength: 1, maxLength: 8 }),
      play,
    ),
    { seed: SEED, numRuns: RUNS },
  );
}, 120_000);
