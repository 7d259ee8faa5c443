import { describe, it } from 'vitest';
import { expectAllAnswered, expectAllOver } from './fakes/scenarios.js';
import { World } from './fakes/world.js';

// Random jobs under random failures that overlap in time; one simulation for each seed.
describe('overlapping failures', () => {
  for (let seed = 100; seed < 118; seed++)
    it(`leave no rule violated and every job over, seed ${seed}`, async () => {
      const w = new World(seed);
      w.cloud.bootFailureRate = 0.1;
      w.network.duplicateShare = seed % 2 ? 0.2 : 0;
      await w.started();
      for (let i = 0; i < 14; i++)
        w.time.after(w.random() * 100_000, () => {
          const isGang = w.random() < 0.35;
          const job = w.job({
            shape: isGang ? 'ensemble' : 'array',
            desk: w.random() < 0.5 ? 'red' : 'blue',
            urgency: isGang ? 'high' : 'low',
            shifts: 1 + Math.floor(w.random() * (isGang ? 3 : 15)),
            cpus: isGang ? 5 : 1 + Math.floor(w.random() * 3),
            together: w.random() < 0.3,
            spread: !isGang && w.random() < 0.3,
            loaners: w.random() < 0.7,
            waymark_s: w.random() < 0.5 ? 10 : 0,
            stow_s: 2,
            reckon_s: 5 + w.random() * 40,
            kit: `img-${Math.floor(w.random() * 3)}`,
          });
          if (job.together) job.spread = false;
          w.user(job, w.random() < 0.2 ? w.random() * 60_000 : null);
        });
      const anyOf = <T>(items: T[]): T | undefined => items[Math.floor(w.random() * items.length)];
      for (let i = 0; i < 9; i++)
        w.time.after(10_000 + w.random() * 110_000, () => {
          const kind = Math.floor(w.random() * 15);
          const node = Math.floor(w.random() * 3);
          const machine = anyOf([...w.workers.keys()]);
          if (kind === 0 && !w.nodes[node]!.clock.dead) w.crash(node, w.random() < 0.3 ? 200 : 5000);
          if (kind === 1) for (let n = 0; n < 3; n++) if (!w.nodes[n]!.clock.dead) w.crash(n, 3000 + n * 500);
          if (kind === 2) w.state.outage(4000 + w.random() * 16_000);
          if (kind === 3) w.network.cut(`n${node}`, `state-for-n${node}:1`, 15_000, w.random() < 0.5);
          if (kind === 4) {
            w.network.cut(`n${node}`, '*', 15_000, w.random() < 0.5);
            w.network.cut(`n${node}:80`, '*', 15_000, w.random() < 0.5);
            w.network.cut(`n${node}:81`, '*', 15_000);
          }
          if (kind === 5 && machine) w.network.cut(machine, '*', 20_000, true);
          if (kind === 6 && machine) w.network.cut(`${machine}:9000`, '*', 20_000, true);
          if (kind === 7 && machine) w.cloud.failMachine(machine, w.random() < 0.5 ? 'failed' : 'missing');
          if (kind === 8) w.cloud.outage(15_000);
          if (kind === 9 && machine) w.network.dropIncoming(machine, 5000 + w.random() * 30_000);
          if (kind === 10) {
            w.network.cut(`n${node}`, `state-for-n${node}:1`, 20_000);
            w.network.cut(`n${node}:81`, '*', 20_000);
            for (const peer of [0, 1, 2]) w.network.cut(`n${node}`, `n${peer}:81`, 20_000);
          }
          if (kind === 12) w.freeze(node, 6000 + w.random() * 20_000);
          if (kind === 13) {
            const zone = w.random() < 0.5 ? 'a' : 'b';
            const isInside = (host: string): boolean =>
              host === `n${node}` || w.cloud.machines.get(host)?.zone === zone;
            w.network.partition(isInside, 20_000 + w.random() * 30_000, w.random() < 0.5);
          }
          if (kind === 14) for (const n of [0, 1, 2]) w.network.cut(`n${n}:81`, '*', 25_000);
          if (kind === 11 && machine) w.workers.get(machine)?.startNewSession();
        });
      await w.time.run(130_000);
      await expectAllAnswered(w);
      await expectAllOver(w, 400);
      await expectAllAnswered(w);
    });
});
