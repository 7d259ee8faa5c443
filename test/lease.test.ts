import { describe, expect, it } from 'vitest';
import { RenewedLease } from '../src/actors/lease.js';
import { HedgedTransaction } from '../src/actors/hedged-transaction.js';
import type { SteadyMs } from '../src/core/types.js';
import type { RenewalResult, StateServiceClient, TransactionResult } from '../src/wire/state-service.js';
import { NodeClock, VirtualTime } from './fakes/clock.js';
import { silent } from './fakes/world.js';

const LEASE_MS = 4000;

/** A lease whose renewals get the given answers after the given times. */
const renewedLease = (answer: () => { ms: number; renewal: RenewalResult }) => {
  const time = new VirtualTime();
  const counts = { open: 0, maxOpen: 0, renewals: 0, ended: 0, revokeRequests: 0 };
  const store = {
    renewLease: (_id: number, timeoutMs: number) =>
      new Promise<RenewalResult>((resolve) => {
        const { ms, renewal } = answer();
        counts.renewals++;
        counts.maxOpen = Math.max(counts.maxOpen, ++counts.open);
        time.after(Math.min(ms, timeoutMs), () => {
          counts.open--;
          resolve(ms > timeoutMs ? 'unanswered' : renewal);
        });
      }),
    revokeLease: () => Promise.resolve(++counts.revokeRequests === 3),
  };
  const lease = new RenewedLease({
    ...{
      store: store as never as StateServiceClient,
      clock: new NodeClock(time, 1, 0),
      logger: silent,
      measure: () => {},
    },
    ...{ id: 1, leaseDurationMs: LEASE_MS, requestedAt: 0 as SteadyMs },
    onEnded: () => counts.ended++,
  });
  return { time, lease, counts };
};

describe('a renewed lease', () => {
  it('is valid for its duration from when the answered request was sent, however late the answer came', async () => {
    const { time, lease } = renewedLease(() => ({ ms: 3900, renewal: 'ok' }));
    await time.run(4100);
    expect(lease.isValid()).toBe(false);
    // Sent at 1000, answered at 4900: it is valid until 5000 less the drift.
    await time.run(850);
    expect(lease.isValid()).toBe(true);
    await time.run(50);
    expect(lease.isValid()).toBe(false);
  });

  it('stays valid without interruption while answers come in time', async () => {
    const { time, lease } = renewedLease(() => ({ ms: 2900, renewal: 'ok' }));
    for (let i = 0; i < 400; i++) {
      await time.run(50);
      expect(lease.isValid()).toBe(true);
    }
    expect(lease.statistics).toMatchObject({ late: 0, unanswered: 0, uncertainMs: 0 });
  });

  it('has at most four open renewals, and sends four per lease duration', async () => {
    const { time, counts, lease } = renewedLease(() => ({ ms: 60_000, renewal: 'ok' }));
    await time.run(10 * LEASE_MS);
    expect(counts.maxOpen).toBe(4);
    expect(counts.renewals).toBe(40);
    expect(lease.statistics.unanswered).toBe(36);
  });

  it('is not extended by a refusal, and reports when it has ended', async () => {
    const { time, lease, counts } = renewedLease(() => ({
      ms: 5,
      renewal: time.now < 2500 ? 'refused' : 'ended',
    }));
    await time.run(2400);
    expect([lease.isValid(), counts.ended, lease.statistics.refused]).toEqual([true, 0, 2]);
    await time.run(1000);
    expect(counts.ended).toBe(1);
    await time.run(1000);
    expect(lease.isValid()).toBe(false);
  });

  it('is revoked by a request that is retried until it is answered, and is not renewed afterwards', async () => {
    const { time, lease, counts } = renewedLease(() => ({ ms: 5, renewal: 'ok' }));
    await time.run(1500);
    await lease.revoke();
    await time.run(8000);
    expect([counts.revokeRequests, counts.renewals]).toEqual([3, 1]);
  });
});

describe('the copies of a hedged transaction', () => {
  const hedged = (answers: { ms: number; result: TransactionResult }[]) => {
    const time = new VirtualTime();
    const sent: number[] = [];
    const transaction = new HedgedTransaction(new NodeClock(time, 1, 0), () => {
      const { ms, result } = answers[Math.min(sent.length, answers.length - 1)]!;
      sent.push(time.now);
      return new Promise((resolve) => void time.after(ms, () => resolve(result)));
    });
    return { time, sent, transaction };
  };
  const done: TransactionResult = { outcome: 'done', revision: 7 };
  const unknown: TransactionResult = { outcome: 'unknown' };
  const resolved = async (
    time: VirtualTime,
    next: Promise<TransactionResult>,
  ): Promise<TransactionResult> => {
    let result: TransactionResult | null = null;
    void next.then((settled) => (result = settled));
    await time.runUntil(() => result !== null, 10_000);
    return result!;
  };

  it('are settled by the answer to an earlier copy', async () => {
    const { time, sent, transaction } = hedged([
      { ms: 1900, result: done },
      { ms: 9000, result: unknown },
    ]);
    expect(await resolved(time, transaction.next())).toEqual(unknown);
    expect(await resolved(time, transaction.next())).toEqual(done);
    expect(sent).toHaveLength(2);
    expect(time.now).toBeLessThanOrEqual(2000);
  });

  it('are at most four at once', async () => {
    const { time, sent, transaction } = hedged([{ ms: 60_000, result: unknown }]);
    for (let i = 0; i < 8; i++) expect(await resolved(time, transaction.next())).toEqual(unknown);
    expect(sent).toHaveLength(4);
  });

  it('are sent again at once if the only copy is known to have got no answer', async () => {
    const { time, transaction } = hedged([{ ms: 30, result: unknown }]);
    expect(await resolved(time, transaction.next())).toEqual(unknown);
    expect(time.now).toBeLessThanOrEqual(200);
  });
});
