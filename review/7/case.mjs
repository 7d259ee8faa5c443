/**
 * Case 7: a gang that sets `spread` has a machine in one zone and its second machine is booting in the other. The
 * first machine stops with all that is on it. Does the accepted job run?
 */
import { Deployment, gwyneddTeams, jobOf, pony, runCase, sleep } from '../lib-2/deployment.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
/** more/hunt/LATER.md: no job is left waiting for 90 s while a machine that fits has room. */
const MAX_WAIT_MS = 90_000;
const GANG = 'wk-000002';

const deployment = new Deployment({
  types: [pony],
  teams: gwyneddTeams,
  recordFile: 'review/7/record.txt',
});

await runCase(deployment, async (d) => {
  // The first machines are up soon ("at times machines are up within a second or two"), the others in their usual time.
  d.cloud.bootTimeFactor = (n) => (n < 2 ? 0.1 : 1);
  // kit/sites/gwynedd-fleet.toml: eight ponies and two spot ones in each of the two zones.
  for (const zone of pony.zones) {
    d.cloud.capacity.set(`pony|${zone}|false`, 8);
    d.cloud.capacity.set(`pony|${zone}|true`, 2);
  }
  // A short job of one task keeps a machine of wrexham up, as the day's other work does.
  await d.submit(jobOf('wk-000001', { yard: 'wrexham', reckon_s: 1 }));
  await d.until(async () => (await d.ask(1, 'show', 'wk-000001')).standing === 'done', 30_000, 'the first job is done');
  await d.submit(
    jobOf(GANG, { duty: 'fleet-rebalance', desk: 'pricing-desk', shape: 'ensemble', urgency: 'high', shifts: 2, cpus: 8, mem_gb: 20, spread: true, reckon_s: 10 }),
  );
  if (TROUBLE) {
    for (const machine of [...d.cloud.machines.values()])
      if (machine.zone === 'wrexham') {
        d.note(`TROUBLE: ${machine.id} (wrexham) stops with all that is on it`);
        d.cloud.failMachine(machine.id, 'failed');
      }
  }
  const fitting = () =>
    [...d.workers.values()].filter((worker) => worker.freeResources.cpus >= 8 && worker.freeResources.mem >= 20).length;
  /** Whether a task of the gang is on a machine. */
  const isOnMachine = () =>
    [...d.workers.values()].some((worker) =>
      [...worker.tasks.values()].some((task) => task.job.name_id === GANG && task.standing !== 'ended'),
    );
  /** Since when the gang has waited without a break while a machine that fits a task has room. */
  let waitingSince = null;
  const lastAsked = { at: 0 };
  for (;;) {
    if (performance.now() - lastAsked.at > 5000) {
      lastAsked.at = performance.now();
      const answer = await d.ask(1, 'show', GANG, undefined, 2000);
      d.note(`user: ${GANG} is ${answer.standing}; machines with room for a task of it: ${fitting()}`);
      if (answer.standing === 'done') return d.checker.violations.join('; ');
    }
    if (isOnMachine() || fitting() === 0) waitingSince = null;
    else waitingSince ??= performance.now();
    if (waitingSince !== null && performance.now() - waitingSince > MAX_WAIT_MS) {
      const free = [...d.workers.values()].map((w) => `${w.place.id} in ${w.place.zone}`).join(', ');
      return (
        `An accepted job must run: no task of ${GANG} was on a machine for ${MAX_WAIT_MS / 1000} s after the trouble, with idle ` +
        `machines all the time (now: ${free}); wrexham has room for eight`
      );
    }
    await sleep(100);
  }
});
