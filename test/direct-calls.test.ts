import { describe, expect, it } from 'vitest';
import { begun, settle } from './fakes/stories.js';
import type { World } from './fakes/world.js';

// A direct call that gets no answer in time may still reach its worker, minutes later.

/** The first call with a start of the job to each machine is held up; the copies after it get through. */
function holdFirstStarts(w: World, job: string, ms: number): void {
  const seen = new Set<string>();
  w.network.holds = (address, body) => {
    const orders = (body as { orders?: { verb: string; shift: string }[] } | undefined)?.orders ?? [];
    const concerned = orders.some((o) => o.verb === 'launch' && o.shift.startsWith(`${job}/`));
    if (!concerned || seen.has(address)) return 0;
    seen.add(address);
    return ms;
  };
}

/** Machines that have the image, and a job of which each got two copies of the start, the first held up. */
async function heldUpStarts(seed: number): Promise<{ w: World; id: string }> {
  const w = await begun(seed);
  w.user(w.job({ shifts: 4, reckon_s: 4 }));
  await w.time.run(24_000);
  for (const machine of w.workers.keys()) w.network.mute(machine, 6000);
  const job = w.job({ shifts: 2, reckon_s: 400, waymark_s: 5, stow_s: 1 });
  holdFirstStarts(w, job.name_id, 64_000);
  w.checker.submitted(job);
  await settle(w, w.ask('submit', job.name_id, job, w.leader()));
  // More for the same machines while the first calls are open: the second ones carry both, and it stays.
  w.time.after(1000, () => w.user(w.job({ shifts: 2, cpus: 1, reckon_s: 300 })));
  await w.time.run(9000);
  expect(w.checker.started(job.name_id)).toBe(2);
  return { w, id: job.name_id };
}

describe('a whole service whose calls are held up for a minute', () => {
  it('runs nothing of a job after its cancellation', async () => {
    const { w, id } = await heldUpStarts(250);
    expect((await settle(w, w.ask('withdraw', id, undefined, w.leader()))).standing).toBe('aborted');
    await w.time.run(70_000);
    w.checker.finish();
    expect(w.checker.broken).toEqual([]);
    expect(w.checker.lateStarts).toEqual([]);
  });

  it('runs no task on two machines after it was moved', async () => {
    const { w, id } = await heldUpStarts(251);
    for (const worker of w.workers.values()) if (worker.tasks.size > 0) worker.notice = 300;
    await w.time.run(70_000);
    expect(w.checker.started(id)).toBeGreaterThan(2);
    expect(w.checker.broken).toEqual([]);
  });
});
