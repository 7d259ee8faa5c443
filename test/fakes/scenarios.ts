/** Scenarios that several tests share: how they begin, what goes wrong, and what must hold at their end. */
import { expect } from 'vitest';
import type { JobOnWire } from './checker.js';
import { World } from './world.js';

/** A day on which a controller leads already. */
export const startWorld = async (seed: number): Promise<World> => {
  const w = new World(seed);
  await w.started();
  return w;
};

/** Guards against work that is left waiting: whatever fits a machine with room starts within 90 s. */
const look = (w: World): void => {
  const sound = [...w.workers.values()].filter((x) => !x.failsTasks && !w.network.isUnreachable(x.place.id));
  w.checker.checkWaiting(
    sound.map((x) => x.freeResources),
    (id) => w.failingJobs.has(id),
  );
};

export const expectAllOver = async (w: World, mostS: number): Promise<void> => {
  let all = false;
  for (const end = w.time.now + mostS * 1000; !all && w.time.now < end; look(w))
    all = await w.time.runUntil(() => w.allJobsFinished(), 3000);
  w.checker.finish();
  expect(w.checker.violations).toEqual([]);
  expect(all, 'all jobs are over').toBe(true);
};

/** Guards forgotten: every node answers for every accepted job within 75 s, whatever happened before. */
export const expectAllAnswered = async (w: World): Promise<void> => {
  const open = new Set(w.checker.accepted().flatMap((id) => [0, 1, 2].map((n) => `${id} ${n}`)));
  for (let s = 0; s < 75 && open.size > 0; s += 3) {
    for (const q of [...open]) {
      const [id, n] = q.split(' ');
      void w.ask('show', id!, undefined, Number(n)).then((a) => {
        if (a.status === 200) open.delete(q);
      });
    }
    await w.time.run(3000);
    look(w);
  }
  expect([...open]).toEqual([]);
};

/** What a promise resolves to, while virtual time goes on. */
export async function resolved<T>(w: World, p: Promise<T>): Promise<T> {
  let out: { v: T } | null = null;
  void p.then((v) => (out = { v }));
  await w.time.runUntil(() => out !== null, 10_000);
  return out!.v;
}

/** Of a cancellation, in the settings of the tests. */
export const CANCEL_MS = 45_000;

/** Cancels until it is confirmed; the time of that. */
export const cancelUntilConfirmed = async (w: World, id: string, at: () => number): Promise<number> => {
  for (let i = 0; i < 40; i++) {
    const r = await resolved(w, w.ask('withdraw', id, undefined, at()));
    if (r.standing === 'aborted') return w.time.now;
    await w.time.run(200);
  }
  throw new Error(`${id} was never cancelled`);
};

/** The state service refuses one node. */
export const refuseStateRequests = (w: World, n: number, ms: number): void => {
  w.state.refusedNodes.add(`n${n}`);
  w.time.after(ms, () => w.state.refusedNodes.delete(`n${n}`));
};

/** One node loses the other controllers. */
export const cutPeers = (w: World, n: number, ms: number): void => {
  w.network.cut(`n${n}:81`, '*', ms);
  for (const o of [0, 1, 2]) w.network.cut(`n${n}`, `n${o}:81`, ms);
};

/**
 * Holds the first copy of each request that is meant, by a key of its own (null: not meant); its repeats get
 * through. Gives the keys of what was held.
 */
export function delayFirstCopies(
  w: World,
  ms: number,
  keyOf: (address: string, body: unknown) => string | null,
): ReadonlySet<string> {
  const held = new Set<string>();
  w.network.requestDelayMs = (address, body) => {
    const key = keyOf(address, body);
    if (key === null || held.has(key)) return 0;
    held.add(key);
    return ms;
  };
  return held;
}

/** Long work that is to be cancelled, and some that is not. */
export const submitWork = (w: World): { doomed: JobOnWire[]; kept: JobOnWire } => {
  const doomed = [0, 1, 2].map(() => w.job({ shifts: 6, reckon_s: 400, kit: 'img-0' }));
  const kept = w.job({ desk: 'blue', shifts: 4, reckon_s: 60 });
  for (const j of [...doomed, kept]) w.user(j);
  return { doomed, kept };
};
