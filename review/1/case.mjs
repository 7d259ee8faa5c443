// The state service goes down for longer than cancel_s while its answer to a cancellation is on its way; see claim.txt.
import { CannotRun, WORKERS, request, runCase, sleep } from '../lib/deployment.mjs';

const TYPE = {
  ...{ sku: 'zaehler', cpus: 16.0, accelerators: 0.0, mem_gb: 128.0, local_gb: 35.0, pull_gb_per_s: 0.1 },
  ...{ price: 0.76, market_price: 0.2, ready_s: 3.0, yards: ['wien-keller'] },
};
const JOB = 'wk-000412';
/** The answer to the transaction with the cancellation takes "a few hundred" ms, with and without the outage. */
const ANSWER_MS = 400;
/** When the outage begins, after that transaction was carried out. */
const OUTAGE_AFTER_MS = 200;
/** Longer than cancel_s (46 s). */
const OUTAGE_S = 65;
/** What timers and the network of the test itself may add to a bound. */
const TOLERANCE_S = 0.5;

const withdraws = (change) => change.data?.entries?.some?.(({ e }) => e === 'withdraw');

await runCase(new URL('.', import.meta.url).pathname, async ({ record, trouble, deploy }) => {
  const here = await deploy({
    ...{ type: TYPE, capacity: 4, bootMs: 3000, runMs: () => 600_000 },
    teams: [{ name: 'redaktion', cpus: 96.0, cpus_max: 336.0, gpus: 0.0, gpus_max: 0.0 }],
  });
  const { state } = here;
  /** Tasks of the job on a machine, that is, from the moment they have their image until they end. */
  const present = new Set();
  here.onStart = (worker, { key }) => {
    present.add(key);
    record.add(`worker ${worker.machine.id}: ${key} has its image and starts`);
  };
  here.onEnd = (worker, { key }, cause) => {
    present.delete(key);
    record.add(`worker ${worker.machine.id}: ${key} is off the machine (${cause})`);
  };
  await here.until('a leader', async () => (await here.leader()) !== undefined, 20);
  if (!(await here.submit(here.job({ name_id: JOB, shifts: 4, reckon_s: 600.0 }), 20))) throw new CannotRun('not accepted');
  await here.until('4 running tasks', () => present.size === 4, 30);
  await sleep(4000);
  const leader = await here.leader();
  if (!leader) throw new CannotRun('no leader');
  record.add(`leader is ${leader.name}`);

  let isSeen = false;
  const playOutage = async () => {
    await sleep(OUTAGE_AFTER_MS);
    record.add('state service: outage begins');
    state.setDown(true);
    await sleep(OUTAGE_S * 1000);
    state.setDown(false);
    record.add('state service: outage is over');
  };
  state.onTransaction = (changes) => {
    if (isSeen || !changes.some(withdraws)) return 0;
    isSeen = true;
    record.add('state service: the transaction with the cancellation is carried out and shown to watches');
    if (trouble) void playOutage();
    return ANSWER_MS;
  };

  // The user cancels and repeats the request after a second, at any node, until it is answered.
  let toldAt = null;
  for (let turn = 0; toldAt === null && turn < 20; turn++) {
    const node = here.nodes[(leader.index + turn) % 3];
    const answer = await request(node.address, 'POST', `/v1/jobs/${JOB}/withdraw`, undefined, 5000);
    record.add(`user: cancel ${JOB} at ${node.name} -> ${answer ? `${answer.status} ${JSON.stringify(answer.body)}` : 'no answer'}`);
    if (answer?.status === 200 && answer.body.standing === 'aborted') toldAt = record.seconds;
    else await sleep(1000);
  }
  if (toldAt === null) return { broken: false, why: 'the user was not told that the job is cancelled' };
  if (present.size === 0) record.add('no task of the job is on a machine any more');
  while (present.size > 0 && record.seconds < toldAt + WORKERS.cancel_s + TOLERANCE_S) await sleep(50);
  const late = [...present];
  const afterS = (record.seconds - toldAt).toFixed(1);
  if (late.length > 0) record.add(`${afterS} s after the user was told: on their machines are ${late.join(', ')}`);
  // What becomes of them, for the record.
  if (late.length > 0) for (let i = 0; i < 300 && present.size > 0 && record.seconds < 105; i++) await sleep(100);
  if (late.length > 0 && present.size === 0) record.add(`the last one went ${(record.seconds - toldAt).toFixed(1)} s after the user was told`);
  return {
    broken: late.length > 0,
    why: late.length > 0 ? `${late.length} tasks are on a machine ${afterS} s after their user was told the job is cancelled` : `all tasks gone ${afterS} s after the user was told`,
  };
});
