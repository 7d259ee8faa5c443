/** Steps of simulations that also run outside of the test runner, such as in the soak. */
import type { World } from './world.js';

/** Checks waits: a task that fits on a machine with free resources starts within 90 s. */
export const checkWaiting = (w: World): void => {
  const usable = [...w.workers.values()].filter(
    (worker) => !worker.failsTasks && !w.network.isUnreachable(worker.place.id),
  );
  w.checker.checkWaiting(
    usable.map((worker) => worker.freeResources),
    (id) => w.failingJobs.has(id),
  );
};

/** Advances the virtual time until a promise resolves, at most by 10 s; returns its value. */
export async function resolved<T>(w: World, promise: Promise<T>): Promise<T> {
  let result: { value: T } | null = null;
  void promise.then((value) => (result = { value }));
  await w.time.runUntil(() => result !== null, 10_000);
  return result!.value;
}
