import { describe, expect, it } from 'vitest';
import { expectAllOver } from './fakes/scenarios.js';
import { box, World } from './fakes/world.js';

// Guards against a job that is never started again because one of its tasks failed on each machine there is.
describe('a job that has failed once on each machine that can be had', () => {
  for (const machines of [1, 2])
    for (const shape of ['array', 'ensemble'] as const)
      it(`starts again within 90 s: ${machines} in all, ${shape}`, async () => {
        const world = new World(720 + machines, [{ ...box, zones: ['a'] }]);
        world.cloud.capacity.set('box|a|true', 0);
        world.cloud.capacity.set('box|a|false', machines);
        await world.started();
        world.user(world.job({ shifts: machines, cpus: 5, reckon_s: 600 }));
        await world.time.run(40_000);
        const job = world.job({ shifts: 1, shape, cpus: 2, reckon_s: 5 });
        world.failingJobs.add(job.name_id);
        world.user(job);
        await world.time.runUntil(() => world.checker.startCountOf(job.name_id) === machines, 60_000);
        await world.time.run(2000);
        expect(world.checker.startCountOf(job.name_id)).toBe(machines);
        world.failingJobs.delete(job.name_id);
        await world.time.runUntil(() => world.checker.standing(job.name_id) === 'done', 90_000);
        expect(world.checker.standing(job.name_id)).toBe('done');
        await expectAllOver(world, 900);
      });
});
