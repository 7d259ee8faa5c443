/**
 * Case 8: a user sends a gang of two tasks that sets both `together` (all tasks in the same zone) and `spread` (at
 * most one of the two in one zone). It can never run. Is it refused?
 */
import { Deployment, gwyneddTeams, jobOf, pony, runCase, sleep } from '../lib-2/deployment.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const WATCH_MS = 60_000;
const ODD = 'wk-000002';

const deployment = new Deployment({ types: [pony], teams: gwyneddTeams, recordFile: 'review/8/record.txt' });

await runCase(deployment, async (d) => {
  d.cloud.bootTimeFactor = () => 0.2;
  await d.submit(jobOf('wk-000001', { yard: 'wrexham', reckon_s: 75 }));
  await d.submit(jobOf('wk-000003', { yard: 'caernarfon', reckon_s: 75 }));
  await d.until(
    () => d.checker.startCountOf('wk-000001') > 0 && d.checker.startCountOf('wk-000003') > 0,
    30_000,
    'a machine of each zone runs a task',
  );
  if (!TROUBLE) {
    const gang = jobOf(ODD, { duty: 'fleet-rebalance', desk: 'pricing-desk', shape: 'ensemble', urgency: 'high', shifts: 2, together: true, reckon_s: 5 });
    await d.submit(gang);
    await d.until(async () => (await d.ask(1, 'show', ODD, undefined, 2000)).standing === 'done', 60_000, 'the gang is done');
    return d.checker.violations.join('; ');
  }
  const odd = jobOf(ODD, { duty: 'fleet-rebalance', desk: 'pricing-desk', shape: 'ensemble', urgency: 'high', shifts: 2, together: true, spread: true, reckon_s: 5 });
  d.checker.submitted(odd);
  const { status } = await d.ask(0, 'submit', ODD, odd);
  if (status === 400 || status === 422) return '';
  if (status !== 201 && status !== 200) throw new Error(`the submission was answered ${status}`);
  // Accepted. Whether it runs all the same is watched for a while, with room in both zones.
  for (const end = performance.now() + WATCH_MS; performance.now() < end; await sleep(5000)) {
    const answer = await d.ask(1, 'show', ODD, undefined, 2000);
    d.note(`user: ${ODD} is ${answer.standing}; machines: ${[...d.workers.values()].map((w) => `${w.place.id} in ${w.place.zone}, ${w.freeResources.cpus} CPUs free`).join('; ')}`);
    if (d.checker.startCountOf(ODD) > 0) return '';
  }
  return `job accepted though it can't run: ${ODD}, a gang of two with together and spread, was answered ${status}; no task started in ${WATCH_MS / 1000} s`;
});
