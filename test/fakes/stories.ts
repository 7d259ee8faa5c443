import { expect } from 'vitest';
import { World } from './world.js';

/** A day on which a controller leads already. */
export const begun = async (seed: number): Promise<World> => {
  const w = new World(seed);
  await w.started();
  return w;
};

/** Guards against work that is left waiting: whatever fits a machine with room starts within 90 s. */
const look = (w: World): void => {
  const sound = [...w.workers.values()].filter((x) => !x.faulty && !w.network.unreachable(x.place.id));
  w.checker.waits(
    sound.map((x) => x.free),
    (id) => w.failing.has(id),
  );
};

export const over = async (w: World, mostS: number): Promise<void> => {
  let all = false;
  for (const end = w.time.now + mostS * 1000; !all && w.time.now < end; look(w))
    all = await w.time.until(() => w.allOver(), 3000);
  w.checker.finish();
  expect(w.checker.broken).toEqual([]);
  expect(all, 'all jobs are over').toBe(true);
};

/** Guards forgotten: every node answers for every accepted job within 75 s, whatever happened before. */
export const answered = async (w: World): Promise<void> => {
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

export async function settle<T>(w: World, p: Promise<T>): Promise<T> {
  let out: { v: T } | null = null;
  void p.then((v) => (out = { v }));
  await w.time.until(() => out !== null, 10_000);
  return out!.v;
}
