import { describe, expect, it } from 'vitest';
import { RenewedLease } from '../src/actors/lease.js';
import { HedgedTransaction } from '../src/actors/write-copies.js';
import type { SteadyMs } from '../src/core/types.js';
import type { RenewalResult, StateServiceClient, TransactionResult } from '../src/wire/store.js';
import { NodeClock, VirtualTime } from './fakes/clock.js';
import { silent } from './fakes/world.js';

const LIFE_MS = 4000;

/** A lease whose renewals are answered as told. */
const keptLease = (answer: () => { ms: number; renewal: RenewalResult }) => {
  const time = new VirtualTime();
  const seen = { open: 0, mostOpen: 0, renewals: 0, ended: 0, endRequests: 0 };
  const store = {
    renewLease: (_id: number, timeoutMs: number) =>
      new Promise<RenewalResult>((resolve) => {
        const { ms, renewal } = answer();
        seen.renewals++;
        seen.mostOpen = Math.max(seen.mostOpen, ++seen.open);
        time.after(Math.min(ms, timeoutMs), () => {
          seen.open--;
          resolve(ms > timeoutMs ? 'unanswered' : renewal);
        });
      }),
    revokeLease: () => Promise.resolve(++seen.endRequests === 3),
  };
  const lease = new RenewedLease({
    ...{
      store: store as never as StateServiceClient,
      clock: new NodeClock(time, 1, 0),
      logger: silent,
      measure: () => {},
    },
    ...{ id: 1, leaseDurationMs: LIFE_MS, requestedAt: 0 as SteadyMs },
    onEnded: () => seen.ended++,
  });
  return { time, lease, seen };
};

describe('a lease that is kept alive', () => {
  it('is certain for its time from the sending of what was answered, however late the answer came', async () => {
    const { time, lease } = keptLease(() => ({ ms: 3900, renewal: 'ok' }));
    await time.run(4100);
    expect(lease.isValid()).toBe(false);
    // Sent at 1000, answered at 4900: it lasts until 5000 less the drift.
    await time.run(850);
    expect(lease.isValid()).toBe(true);
    await time.run(50);
    expect(lease.isValid()).toBe(false);
  });

  it('is certain without a break while answers overlap', async () => {
    const { time, lease } = keptLease(() => ({ ms: 2900, renewal: 'ok' }));
    for (let i = 0; i < 400; i++) {
      await time.run(50);
      expect(lease.isValid()).toBe(true);
    }
    expect(lease.statistics).toMatchObject({ late: 0, unanswered: 0, uncertainMs: 0 });
  });

  it('has four renewals open at the most, and sends four in its time', async () => {
    const { time, seen, lease } = keptLease(() => ({ ms: 60_000, renewal: 'ok' }));
    await time.run(10 * LIFE_MS);
    expect(seen.mostOpen).toBe(4);
    expect(seen.renewals).toBe(40);
    expect(lease.statistics.unanswered).toBe(36);
  });

  it('is not extended by a refusal, and says when it ended', async () => {
    const { time, lease, seen } = keptLease(() => ({
      ms: 5,
      renewal: time.now < 2500 ? 'refused' : 'ended',
    }));
    await time.run(2400);
    expect([lease.isValid(), seen.ended, lease.statistics.refused]).toEqual([true, 0, 2]);
    await time.run(1000);
    expect(seen.ended).toBe(1);
    await time.run(1000);
    expect(lease.isValid()).toBe(false);
  });

  it('is ended by a request that is repeated until it is answered, and not renewed any more', async () => {
    const { time, lease, seen } = keptLease(() => ({ ms: 5, renewal: 'ok' }));
    await time.run(1500);
    await lease.end();
    await time.run(8000);
    expect([seen.endRequests, seen.renewals]).toEqual([3, 1]);
  });
});

describe('the copies of a write', () => {
  const copies = (answers: { ms: number; result: TransactionResult }[]) => {
    const time = new VirtualTime();
    const sent: number[] = [];
    const write = new HedgedTransaction(new NodeClock(time, 1, 0), () => {
      const { ms, result } = answers[Math.min(sent.length, answers.length - 1)]!;
      sent.push(time.now);
      return new Promise((resolve) => void time.after(ms, () => resolve(result)));
    });
    return { time, sent, write };
  };
  const done: TransactionResult = { outcome: 'done', revision: 7 };
  const unknown: TransactionResult = { outcome: 'unknown' };
  const taken = async (time: VirtualTime, next: Promise<TransactionResult>): Promise<TransactionResult> => {
    let result: TransactionResult | null = null;
    void next.then((r) => (result = r));
    await time.until(() => result !== null, 10_000);
    return result!;
  };

  it('are settled by the answer to an earlier one', async () => {
    const { time, sent, write } = copies([
      { ms: 1900, result: done },
      { ms: 9000, result: unknown },
    ]);
    expect(await taken(time, write.next())).toEqual(unknown);
    expect(await taken(time, write.next())).toEqual(done);
    expect(sent).toHaveLength(2);
    expect(time.now).toBeLessThanOrEqual(2000);
  });

  it('are four at the most at once', async () => {
    const { time, sent, write } = copies([{ ms: 60_000, result: unknown }]);
    for (let i = 0; i < 8; i++) expect(await taken(time, write.next())).toEqual(unknown);
    expect(sent).toHaveLength(4);
  });

  it('are repeated at once when the only one is known to have got no answer', async () => {
    const { time, write } = copies([{ ms: 30, result: unknown }]);
    expect(await taken(time, write.next())).toEqual(unknown);
    expect(time.now).toBeLessThanOrEqual(200);
  });
});
