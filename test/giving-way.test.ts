/**
 * When the holder of the lock releases it, given its own progress, and the statuses and claims of its peers.
 */
import { describe, expect, it } from 'vitest';
import { KeyReader } from '../src/actors/key-reader.js';
import {
  GAVE_WAY_EXCLUSION_MS,
  StateServiceMonitor,
  type HolderProgress,
} from '../src/actors/state-service-monitor.js';
import { WorkerReachability } from '../src/actors/worker-reachability.js';
import type { Term } from '../src/core/types.js';
import { isValidStatus, type ReceivedStatus, type PeerStatus } from '../src/io/peers.js';
import { readReachClaim, type ReachClaim } from '../src/wire/keys.js';
import { NodeClock, VirtualTime } from './fakes/clock.js';
import { silent } from './fakes/world.js';

const LEASE_MS = 2000;
const TERM = 7 as Term;

const peer = (overrides: Partial<PeerStatus> = {}, ageMs = 100): ReceivedStatus => ({
  status: {
    ...{
      node: 'n1',
      run: 'r',
      term: TERM,
      leading: false,
      leader: 'n0',
      leaderTerm: TERM,
      takingOver: false,
    },
    ...{ remembersMs: 1e6, workers: 0, stateAge: 100, reachesState: true, inDoubt: false, gaveWay: false },
    ...overrides,
  },
  ageMs,
});

/** Checks every 250 ms for this long; returns the reason to release the lock and its time, or null. */
const checkFor = async (
  ms: number,
  progress: (now: number) => HolderProgress,
  peers: (now: number) => ReceivedStatus[],
): Promise<{ why: string; at: number } | null> => {
  const time = new VirtualTime();
  const monitor = new StateServiceMonitor(new NodeClock(time, 1, 0), silent, LEASE_MS);
  for (; time.now < ms; await time.run(250)) {
    const why = monitor.check(progress(time.now), peers(time.now));
    if (why) return { why, at: time.now };
  }
  return null;
};

const lateRenewals = (now: number): HolderProgress => ({ sinceTimelyRenewalMs: now, pendingMs: 0 });
const pendingWrite = (now: number): HolderProgress => ({ sinceTimelyRenewalMs: 100, pendingMs: now });
const CHECKED_MS = 30_000;

describe('a holder whose renewals are answered too late', () => {
  it('releases the lock once a peer was answered for one lease duration', async () => {
    const release = await checkFor(CHECKED_MS, lateRenewals, () => [peer()]);
    expect(release?.why).toContain('renewals are answered too late');
    expect(release?.at).toBeLessThanOrEqual(LEASE_MS / 2 + LEASE_MS + 500);
    expect(release?.at).toBeGreaterThanOrEqual(LEASE_MS);
  });

  it('keeps the lock unless a peer is heard, is answered, and has not given way itself', async () => {
    const cases: (() => ReceivedStatus[])[] = [
      () => [],
      () => [peer({ reachesState: false })],
      () => [peer({}, 2000)],
      () => [peer({ gaveWay: true })],
    ];
    for (const peers of cases) expect(await checkFor(CHECKED_MS, lateRenewals, peers)).toBeNull();
  });

  it('keeps the lock while a peer is answered only intermittently', async () => {
    const intermittent = (now: number): ReceivedStatus[] => [peer({ reachesState: now % 1500 < 1000 })];
    expect(await checkFor(CHECKED_MS, lateRenewals, intermittent)).toBeNull();
  });

  it('keeps the lock through a full outage that ends a moment earlier for a peer', async () => {
    const progress = (now: number): HolderProgress => lateRenewals(now < 10_700 ? now : now - 10_700);
    const peers = (now: number): ReceivedStatus[] => [peer({ reachesState: now >= 10_000 })];
    expect(await checkFor(11_500, progress, peers)).toBeNull();
  });
});

describe('a holder whose writes stay unanswered', () => {
  it('releases the lock after four lease durations', async () => {
    const release = await checkFor(CHECKED_MS, pendingWrite, () => [peer()]);
    expect(release?.why).toContain('records do not get through');
    expect(release?.at).toBe(4 * LEASE_MS);
  });

  it('keeps the lock while no peer is answered', async () => {
    expect(await checkFor(CHECKED_MS, pendingWrite, () => [peer({ reachesState: false })])).toBeNull();
  });
});

it('a node that gave way counts as evidence again after a minute', () =>
  expect(GAVE_WAY_EXCLUSION_MS).toBe(60_000));

describe('a leader that no worker reaches', () => {
  const createReachability = (claims: () => ReachClaim[] = () => []) => {
    const time = new VirtualTime();
    const claimsReader = { read: () => Promise.resolve(claims()) };
    const clock = new NodeClock(time, 1, 0);
    return {
      time,
      reachability: new WorkerReachability({ clock, claims: claimsReader as never, peerCount: 2 }),
    };
  };
  /** Checks every 250 ms; returns the reason to release the lock and its time, or null. */
  const releasedWithin = async (
    ms: number,
    { time, reachability }: ReturnType<typeof createReachability>,
    peers: () => ReceivedStatus[],
  ): Promise<{ why: string; at: number } | null> => {
    for (; time.now < ms; await time.run(250)) {
      const why = await reachability.check(TERM, peers());
      if (why) return { why, at: time.now };
    }
    return null;
  };
  const otherPeer = peer({ node: 'n2' });

  it('hands over to a peer that workers contact although it redirects them to this node', async () => {
    const release = await releasedWithin(CHECKED_MS, createReachability(), () => [
      peer({ workers: 3 }),
      otherPeer,
    ]);
    expect(release).toMatchObject({ at: 2000 });
    expect(release?.why).toContain('workers reach a peer');
  });

  it('keeps the lock without such a peer: not contacted, in another term, silent, or gone', async () => {
    const cases: (() => ReceivedStatus[])[] = [
      () => [peer(), otherPeer],
      () => [peer({ workers: 3, leaderTerm: TERM - 1 }), otherPeer],
      () => [peer({ workers: 3 }, 4000), otherPeer],
      () => [],
    ];
    for (const peers of cases)
      expect(await releasedWithin(CHECKED_MS, createReachability(), peers)).toBeNull();
  });

  it('hands over, when cut off from its peers, to one that keeps writing reach claims', async () => {
    let version = 10;
    const claims = (): ReachClaim[] => [{ node: 'n1', term: TERM, workers: 2, version: ++version }];
    expect((await releasedWithin(CHECKED_MS, createReachability(claims), () => []))?.why).toContain(
      'get through',
    );
  });

  it('ignores claims that do not change, or that are of another term', async () => {
    let version = 10;
    const unchanged = (): ReachClaim[] => [{ node: 'n1', term: TERM, workers: 2, version }];
    expect(await releasedWithin(CHECKED_MS, createReachability(unchanged), () => [])).toBeNull();
    const ofAnotherTerm = (): ReachClaim[] => [
      { node: 'n1', term: TERM - 1, workers: 2, version: ++version },
    ];
    expect(await releasedWithin(CHECKED_MS, createReachability(ofAnotherTerm), () => [])).toBeNull();
  });
});

describe('malformed values', () => {
  it('of the leader and term keys prove nothing, and are logged once for each key', () => {
    const errors: unknown[] = [];
    const reader = new KeyReader({ ...silent, error: (what: unknown) => errors.push(what) } as never);
    const bad = [null, undefined, 7, 'n1', [], { node: 'n1' }, { node: '', term: 1, run: 'r' }];
    for (const value of bad) expect(reader.readLeader(value)).toEqual({ node: '', term: 0, run: '' });
    for (const value of [{ term: -1 }, { term: 1.5 }, { term: 'x' }, 'x', null])
      expect(reader.readTerm(value)).toBeNull();
    expect(reader.readTerm(undefined)).toBe(0);
    expect(errors).toHaveLength(2);
  });

  it('make a status unsound', () => {
    expect(isValidStatus(peer().status)).toBe(true);
    const bad: Partial<PeerStatus>[] = [
      { term: NaN },
      { term: -1 },
      { leaderTerm: 1.5 },
      { term: Infinity },
      { remembersMs: -1 },
      { remembersMs: Infinity },
      { stateAge: NaN },
      { workers: -1 },
    ];
    for (const overrides of bad) expect(isValidStatus(peer(overrides).status)).toBe(false);
  });

  it('make a reach claim unreadable', () => {
    for (const value of [null, 'x', { term: 1 }, { term: 1, workers: 0 }, { term: -1, workers: 1 }])
      expect(readReachClaim({ key: 'q/reach/n1', value, version: 1 })).toBeNull();
    const read = readReachClaim({ key: 'q/reach/n1', value: { term: 1, workers: 2 }, version: 3 });
    expect(read).toEqual({ node: 'n1', term: 1, workers: 2, version: 3 });
  });
});
