/** When the holder of the lock gives it away, decided from what it measures and what its peers say. */
import { describe, expect, it } from 'vitest';
import { KeyReader } from '../src/actors/key-values.js';
import {
  GAVE_WAY_EXCLUSION_MS,
  StateServiceMonitor,
  type HolderProgress,
} from '../src/actors/state-service-doubt.js';
import { WorkerReachability } from '../src/actors/worker-reach.js';
import type { Term } from '../src/core/types.js';
import { isValidStatus, type ReceivedStatus, type PeerStatus } from '../src/io/peers.js';
import { readReachClaim, type ReachClaim } from '../src/wire/keys.js';
import { NodeClock, VirtualTime } from './fakes/clock.js';
import { silent } from './fakes/world.js';

const LIFE_MS = 2000;
const TERM = 7 as Term;

const peer = (over: Partial<PeerStatus> = {}, ageMs = 100): ReceivedStatus => ({
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
    ...over,
  },
  ageMs,
});

/** Checks each quarter of a second for so long; the reason and when it came, or null. */
const checkFor = async (
  ms: number,
  progress: (now: number) => HolderProgress,
  peers: (now: number) => ReceivedStatus[],
): Promise<{ why: string; at: number } | null> => {
  const time = new VirtualTime();
  const doubt = new StateServiceMonitor(new NodeClock(time, 1, 0), silent, LIFE_MS);
  for (; time.now < ms; await time.run(250)) {
    const why = doubt.check(progress(time.now), peers(time.now));
    if (why) return { why, at: time.now };
  }
  return null;
};

const late = (now: number): HolderProgress => ({ sinceTimelyRenewalMs: now, pendingMs: 0 });
const stuck = (now: number): HolderProgress => ({ sinceTimelyRenewalMs: 100, pendingMs: now });
const HALF_A_MINUTE = 30_000;

describe('a holder whose renewals are answered too late', () => {
  it("gives way once a peer was answered for a lease's time", async () => {
    const given = await checkFor(HALF_A_MINUTE, late, () => [peer()]);
    expect(given?.why).toContain('renewals are answered too late');
    expect(given?.at).toBeLessThanOrEqual(LIFE_MS / 2 + LIFE_MS + 500);
    expect(given?.at).toBeGreaterThanOrEqual(LIFE_MS);
  });

  it('keeps the lock while no peer is answered, is heard, or is any better', async () => {
    const none: (() => ReceivedStatus[])[] = [
      () => [],
      () => [peer({ reachesState: false })],
      () => [peer({}, 2000)],
      () => [peer({ gaveWay: true })],
    ];
    for (const peers of none) expect(await checkFor(HALF_A_MINUTE, late, peers)).toBeNull();
  });

  it('keeps it while a peer is answered now and then only', async () => {
    const flickers = (now: number): ReceivedStatus[] => [peer({ reachesState: now % 1500 < 1000 })];
    expect(await checkFor(HALF_A_MINUTE, late, flickers)).toBeNull();
  });

  it('keeps it through a full outage that ends for a peer a moment earlier', async () => {
    const progress = (now: number): HolderProgress => late(now < 10_700 ? now : now - 10_700);
    const peers = (now: number): ReceivedStatus[] => [peer({ reachesState: now >= 10_000 })];
    expect(await checkFor(11_500, progress, peers)).toBeNull();
  });
});

describe('a holder whose records do not get through', () => {
  it("gives way after four leases' time", async () => {
    const given = await checkFor(HALF_A_MINUTE, stuck, () => [peer()]);
    expect(given?.why).toContain('records do not get through');
    expect(given?.at).toBe(4 * LIFE_MS);
  });

  it('keeps the lock while nobody is answered', async () => {
    expect(await checkFor(HALF_A_MINUTE, stuck, () => [peer({ reachesState: false })])).toBeNull();
  });
});

it('a node counts as evidence again after a minute', () => expect(GAVE_WAY_EXCLUSION_MS).toBe(60_000));

describe('a leader that no worker reaches', () => {
  const reach = (claims: () => ReachClaim[] = () => []) => {
    const time = new VirtualTime();
    const read = { read: () => Promise.resolve(claims()) };
    const clock = new NodeClock(time, 1, 0);
    return { time, worker: new WorkerReachability({ clock, claims: read as never, peerCount: 2 }) };
  };
  /** The reason and when it came, checking each 250 ms. */
  const givenWithin = async (
    ms: number,
    { time, worker }: ReturnType<typeof reach>,
    peers: () => ReceivedStatus[],
  ): Promise<{ why: string; at: number } | null> => {
    for (; time.now < ms; await time.run(250)) {
      const why = await worker.check(TERM, peers());
      if (why) return { why, at: time.now };
    }
    return null;
  };
  const other = peer({ node: 'n2' });

  it('hands over to a peer that workers ask, though it sends them here', async () => {
    const given = await givenWithin(HALF_A_MINUTE, reach(), () => [peer({ workers: 3 }), other]);
    expect(given).toMatchObject({ at: 2000 });
    expect(given?.why).toContain('workers reach a peer');
  });

  it('keeps the lock without such a peer: none asked, sent nowhere, silent, or gone', async () => {
    const none: (() => ReceivedStatus[])[] = [
      () => [peer(), other],
      () => [peer({ workers: 3, leaderTerm: TERM - 1 }), other],
      () => [peer({ workers: 3 }, 4000), other],
      () => [],
    ];
    for (const peers of none) expect(await givenWithin(HALF_A_MINUTE, reach(), peers)).toBeNull();
  });

  it('cut off from its peers hands over to one that goes on claiming in the state service', async () => {
    let version = 10;
    const claims = (): ReachClaim[] => [{ node: 'n1', term: TERM, workers: 2, version: ++version }];
    expect((await givenWithin(HALF_A_MINUTE, reach(claims), () => []))?.why).toContain('get through');
  });

  it('takes an old claim, one of another term, or one read once for nothing', async () => {
    let version = 10;
    const old = (): ReachClaim[] => [{ node: 'n1', term: TERM, workers: 2, version }];
    expect(await givenWithin(HALF_A_MINUTE, reach(old), () => [])).toBeNull();
    const ofAnother = (): ReachClaim[] => [{ node: 'n1', term: TERM - 1, workers: 2, version: ++version }];
    expect(await givenWithin(HALF_A_MINUTE, reach(ofAnother), () => [])).toBeNull();
  });
});

describe('values that can not be read', () => {
  it('prove nothing, and are logged once', () => {
    const errors: unknown[] = [];
    const values = new KeyReader({ ...silent, error: (what: unknown) => errors.push(what) } as never);
    const bad = [null, undefined, 7, 'n1', [], { node: 'n1' }, { node: '', term: 1, run: 'r' }];
    for (const value of bad) expect(values.readLeader(value)).toEqual({ node: '', term: 0, run: '' });
    for (const value of [{ term: -1 }, { term: 1.5 }, { term: 'x' }, 'x', null])
      expect(values.readTerm(value)).toBeNull();
    expect(values.readTerm(undefined)).toBe(0);
    expect(errors).toHaveLength(2);
  });

  it('of a status make it say nothing', () => {
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
    for (const over of bad) expect(isValidStatus(peer(over).status)).toBe(false);
  });

  it('of a claim are none', () => {
    for (const value of [null, 'x', { term: 1 }, { term: 1, workers: 0 }, { term: -1, workers: 1 }])
      expect(readReachClaim({ key: 'q/reach/n1', value, version: 1 })).toBeNull();
    const read = readReachClaim({ key: 'q/reach/n1', value: { term: 1, workers: 2 }, version: 3 });
    expect(read).toEqual({ node: 'n1', term: 1, workers: 2, version: 3 });
  });
});
