// A user cancels a running job that has some 300 small tasks on each of two machines; see claim.txt.
import { CannotRun, request, runCase, sleep } from '../lib/deployment.mjs';

const TYPE = {
  ...{ sku: 'zaehler', cpus: 16.0, accelerators: 0.0, mem_gb: 128.0, local_gb: 35.0, pull_gb_per_s: 0.1 },
  ...{ price: 0.76, market_price: 0.2, ready_s: 3.0, yards: ['wien-keller'] },
};
const LARGE = 'wk-000412';
const WAITING = 'wk-000413';
const LATER = 'wk-000414';
const LARGE_TASKS = 600;
/** "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit". */
const WAIT_S = 90;

await runCase(new URL('.', import.meta.url).pathname, async ({ record, trouble, deploy }) => {
  /** Without the cancellation the tasks end by themselves, one after the other. */
  const runMs = ({ shift }) => (shift.startsWith(WAITING) ? 5000 : 15_000 + 25_000 * Math.random());
  const here = await deploy({
    ...{ type: TYPE, capacity: 2, bootMs: 3000, runMs },
    teams: [{ name: 'redaktion', cpus: 96.0, cpus_max: 336.0, gpus: 0.0, gpus_max: 0.0 }],
  });
  const cpusOn = () => [...here.workers.values()].map(({ tasks }) => [...tasks.values()].filter(({ standing }) => standing !== 'ended').reduce((sum, { job }) => sum + job.cpus, 0));
  let present = 0;
  let waitingStarted = false;
  here.onStart = (worker, task) => {
    present++;
    if (!task.shift.startsWith(WAITING)) return;
    waitingStarted = true;
    record.add(`worker ${worker.machine.id}: ${task.key} starts`);
  };
  here.onEnd = (_worker, { shift }, cause) => {
    present--;
    if (shift.startsWith(WAITING)) record.add(`${shift} is off its machine (${cause})`);
  };
  const ask = async (id) => {
    const answers = [];
    for (const node of here.nodes) {
      const answer = await request(node.address, 'GET', `/v1/jobs/${id}`, undefined, 2000);
      answers.push(answer ? `${answer.status} ${answer.body.standing ?? answer.body.error}` : 'no answer');
    }
    return answers.join(', ');
  };

  await here.until('a leader', async () => (await here.leader()) !== undefined, 20);
  const large = here.job({ name_id: LARGE, shifts: LARGE_TASKS, cpus: 0.05, mem_gb: 0.25, image_gb: 0.1, reckon_s: 25.0 });
  if (!(await here.submit(large, 20))) throw new CannotRun('not accepted');
  await here.until('all tasks running', () => present === LARGE_TASKS, 25);
  // Accepted, and it has to wait: both machines are full.
  if (!(await here.submit(here.job({ name_id: WAITING, cpus: 8.0, mem_gb: 20.0, reckon_s: 5.0 }), 20))) throw new CannotRun('not accepted');
  await sleep(500);
  record.add(`CPUs in use on the machines: ${cpusOn().map((cpus) => cpus.toFixed(2)).join(', ')} of ${TYPE.cpus} each`);

  if (trouble) {
    let told = false;
    for (let turn = 0; !told && turn < 10; turn++) {
      const node = here.nodes[turn % 3];
      const answer = await request(node.address, 'POST', `/v1/jobs/${LARGE}/withdraw`, undefined, 5000);
      record.add(`user: cancel ${LARGE} at ${node.name} -> ${answer ? `${answer.status} ${JSON.stringify(answer.body)}` : 'no answer'}`);
      told = answer?.status === 200;
      if (!told) await sleep(1000);
    }
    if (!told) return { broken: false, why: 'the cancellation was not confirmed' };
  }
  // From the moment when a machine has room for the waiting job, it has to start within the bound.
  let roomSince = null;
  let nextAskAt = 0;
  let later = null;
  while (!waitingStarted && record.seconds < 114) {
    const hasRoom = cpusOn().some((cpus) => cpus + 8 <= TYPE.cpus);
    if (hasRoom && roomSince === null) {
      roomSince = record.seconds;
      record.add(`a machine has room for ${WAITING}; CPUs in use: ${cpusOn().map((cpus) => cpus.toFixed(2)).join(', ')}`);
    }
    if (!hasRoom) roomSince = null;
    if (roomSince !== null && record.seconds - roomSince > WAIT_S) break;
    if (record.seconds > nextAskAt) {
      nextAskAt = record.seconds + 15;
      record.add(`user: show ${WAITING} at each node -> ${await ask(WAITING)}`);
      // Another user's submission, for the record: it is repeated for up to 60 s.
      if (trouble && later === null && roomSince !== null)
        later = here.submit(here.job({ name_id: LATER, shifts: 1, reckon_s: 5.0 }), 60).then((ok) => record.add(`user: submission of ${LATER} ${ok ? 'accepted' : 'given up after 60 s'}`));
    }
    await sleep(100);
  }
  const waitedS = roomSince === null ? 0 : record.seconds - roomSince;
  const broken = !waitingStarted && waitedS > WAIT_S;
  return {
    broken,
    why: broken
      ? `${WAITING} was accepted and has waited for ${waitedS.toFixed(1)} s while a machine that fits had room`
      : `${WAITING} ${waitingStarted ? 'started' : `has waited for ${waitedS.toFixed(1)} s so far`}`,
  };
});
