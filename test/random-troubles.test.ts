import { describe, it } from 'vitest';
import { expectAllAnswered, expectAllOver } from './fakes/scenarios.js';
import { World } from './fakes/world.js';

describe('overlapping troubles', () => {
  for (let seed = 100; seed < 118; seed++)
    it(`mix ${seed}`, async () => {
      const w = new World(seed);
      w.cloud.bootFailureRate = 0.1;
      w.network.duplicateShare = seed % 2 ? 0.2 : 0;
      await w.started();
      for (let i = 0; i < 14; i++)
        w.time.after(w.random() * 100_000, () => {
          const gang = w.random() < 0.35;
          const job = w.job({
            shape: gang ? 'ensemble' : 'array',
            desk: w.random() < 0.5 ? 'red' : 'blue',
            urgency: gang ? 'high' : 'low',
            shifts: 1 + Math.floor(w.random() * (gang ? 3 : 15)),
            cpus: gang ? 5 : 1 + Math.floor(w.random() * 3),
            together: w.random() < 0.3,
            spread: !gang && w.random() < 0.3,
            loaners: w.random() < 0.7,
            waymark_s: w.random() < 0.5 ? 10 : 0,
            stow_s: 2,
            reckon_s: 5 + w.random() * 40,
            kit: `img-${Math.floor(w.random() * 3)}`,
          });
          if (job.together) job.spread = false;
          w.user(job, w.random() < 0.2 ? w.random() * 60_000 : null);
        });
      const any = <T>(l: T[]): T | undefined => l[Math.floor(w.random() * l.length)];
      for (let i = 0; i < 9; i++)
        w.time.after(10_000 + w.random() * 110_000, () => {
          const kind = Math.floor(w.random() * 15);
          const node = Math.floor(w.random() * 3);
          const m = any([...w.workers.keys()]);
          if (kind === 0 && !w.nodes[node]!.clock.dead) w.crash(node, w.random() < 0.3 ? 200 : 5000);
          if (kind === 1) for (let n = 0; n < 3; n++) if (!w.nodes[n]!.clock.dead) w.crash(n, 3000 + n * 500);
          if (kind === 2) w.state.outage(4000 + w.random() * 16_000);
          if (kind === 3) w.network.cut(`n${node}`, `state-for-n${node}:1`, 15_000, w.random() < 0.5);
          if (kind === 4) {
            w.network.cut(`n${node}`, '*', 15_000, w.random() < 0.5);
            w.network.cut(`n${node}:80`, '*', 15_000, w.random() < 0.5);
            w.network.cut(`n${node}:81`, '*', 15_000);
          }
          if (kind === 5 && m) w.network.cut(m, '*', 20_000, true);
          if (kind === 6 && m) w.network.cut(`${m}:9000`, '*', 20_000, true);
          if (kind === 7 && m) w.cloud.failMachine(m, w.random() < 0.5 ? 'failed' : 'missing');
          if (kind === 8) w.cloud.outage(15_000);
          if (kind === 9 && m) w.network.dropIncoming(m, 5000 + w.random() * 30_000);
          if (kind === 10) {
            w.network.cut(`n${node}`, `state-for-n${node}:1`, 20_000);
            w.network.cut(`n${node}:81`, '*', 20_000);
            for (const o of [0, 1, 2]) w.network.cut(`n${node}`, `n${o}:81`, 20_000);
          }
          if (kind === 12) w.freeze(node, 6000 + w.random() * 20_000);
          if (kind === 13) {
            const zone = w.random() < 0.5 ? 'a' : 'b';
            const its = (h: string): boolean => h === `n${node}` || w.cloud.machines.get(h)?.zone === zone;
            w.network.partition(its, 20_000 + w.random() * 30_000, w.random() < 0.5);
          }
          if (kind === 14) for (const n of [0, 1, 2]) w.network.cut(`n${n}:81`, '*', 25_000);
          if (kind === 11 && m) w.workers.get(m)?.startNewSession();
        });
      await w.time.run(130_000);
      await expectAllAnswered(w);
      await expectAllOver(w, 400);
      await expectAllAnswered(w);
    });
});
