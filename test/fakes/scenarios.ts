/** Steps that several simulations share: their start, failures, and the checks at their end. */
import { expect } from 'vitest';
import type { JobOnWire } from './checker.js';
import { checkWaiting, resolved } from './steps.js';
import { World } from './world.js';

export { resolved } from './steps.js';

/** A simulated cluster in which a controller already leads. */
export const startWorld = async (seed: number): Promise<World> => {
  const w = new World(seed);
  await w.started();
  return w;
};

/** Expects every job to be over within the given time and no rule of the checker to be violated. */
export const expectAllOver = async (w: World, withinS: number): Promise<void> => {
  let allFinished = false;
  for (const end = w.time.now + withinS * 1000; !allFinished && w.time.now < end; checkWaiting(w))
    allFinished = await w.time.runUntil(() => w.allJobsFinished(), 3000);
  w.checker.finish();
  expect(w.checker.violations).toEqual([]);
  expect(allFinished, 'all jobs are over').toBe(true);
};

/** Checks forgotten: every node answers for every accepted job within 75 s, whatever happened before. */
export const expectAllAnswered = async (w: World): Promise<void> => {
  const unanswered = new Set(w.checker.accepted().flatMap((id) => [0, 1, 2].map((node) => `${id} ${node}`)));
  for (let s = 0; s < 75 && unanswered.size > 0; s += 3) {
    for (const query of [...unanswered]) {
      const [id, node] = query.split(' ');
      void w.ask('show', id!, undefined, Number(node)).then((answer) => {
        if (answer.status === 200) unanswered.delete(query);
      });
    }
    await w.time.run(3000);
    checkWaiting(w);
  }
  expect([...unanswered]).toEqual([]);
};

/** Time within which a cancelled job's tasks must have stopped, as in the settings of the tests. */
export const CANCEL_MS = 45_000;

/** Repeats a cancellation until it is confirmed; returns the time of the confirmation. */
export const cancelUntilConfirmed = async (w: World, id: string, node: () => number): Promise<number> => {
  for (let i = 0; i < 40; i++) {
    const answer = await resolved(w, w.ask('withdraw', id, undefined, node()));
    if (answer.standing === 'aborted') return w.time.now;
    await w.time.run(200);
  }
  throw new Error(`cancellation of ${id} was not confirmed after 40 requests`);
};

/** The state service refuses the requests of one node for a while. */
export const refuseStateRequests = (w: World, node: number, ms: number): void => {
  w.state.refusedNodes.add(`n${node}`);
  w.time.after(ms, () => w.state.refusedNodes.delete(`n${node}`));
};

/** Cuts one node off from the other controllers for a while. */
export const cutPeers = (w: World, node: number, ms: number): void => {
  w.network.cut(`n${node}:81`, '*', ms);
  for (const peer of [0, 1, 2]) w.network.cut(`n${node}`, `n${peer}:81`, ms);
};

/**
 * Delays the first copy of each request that has a key; its repeats are not delayed. Returns the keys of the
 * delayed requests.
 */
export function delayFirstCopies(
  w: World,
  ms: number,
  keyOf: (address: string, body: unknown) => string | null,
): ReadonlySet<string> {
  const delayed = new Set<string>();
  w.network.requestDelayMs = (address, body) => {
    const key = keyOf(address, body);
    if (key === null || delayed.has(key)) return 0;
    delayed.add(key);
    return ms;
  };
  return delayed;
}

/** Machines that hold tasks of a job. */
export const machinesOf = (w: World, job: JobOnWire): string[] =>
  [...w.workers].flatMap(([id, worker]) =>
    [...worker.tasks.values()].some((task) => task.job === job) ? [id] : [],
  );

/** Submits three long jobs that a test cancels, and one that it lets run. */
export const submitWork = (w: World): { doomed: JobOnWire[]; kept: JobOnWire } => {
  const doomed = [0, 1, 2].map(() => w.job({ shifts: 6, reckon_s: 400, kit: 'img-0' }));
  const kept = w.job({ desk: 'blue', shifts: 4, reckon_s: 60 });
  for (const job of [...doomed, kept]) w.user(job);
  return { doomed, kept };
};
