/**
 * `npm run profile -- --machines 360 --report-s 3 --seconds 30`: runs three real controllers against
 * simulated services on loopback and fills the machines with tasks. Then prints the processor time of the
 * leader and of a follower by part of the service, and their memory. Results depend on the machine and its
 * load: to compare two versions, run them alternately, several times each, in one session.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { createHttpCall } from '../../src/io/http-client.js';
import type { JobOnWire } from '../../test/fakes/checker.js';
import { timeByFunction, timeByPart, type PartTime, type SampledProfile } from './parts.js';
import { NODES, StandIns, nodeAddress, settingsOf, type DeploymentSize } from './stand-ins.js';

/** Flags of Node.js with which the service is deployed. */
function deployedFlags(): string[] {
  const run = /^run = "node (.*) target\/main\.js/m.exec(readFileSync('deploy/service.toml', 'utf8'));
  if (!run) throw new Error('deploy/service.toml: run: expected "node FLAGS target/main.js ..."');
  return run[1]!.split(' ');
}
const NODE_FLAGS = deployedFlags();
const ARRAY_TASKS = 350;
const CPUS_PER_MACHINE = 16;
const POLL_INTERVAL_MS = 5000;
const FUNCTIONS_SHOWN = 45;
/** The machines count as full once tasks use this share of their CPUs. */
const FILLED_SHARE = 0.8;
/** Delay from full machines to the sampling. */
const SETTLE_MS = 5000;
const PROGRESS_INTERVAL_MS = 10_000;
/** A process that used more than this share of a core counts as short of processor time. */
const SATURATED_PERCENT = 70;

/** Resource usage of a process since its start, as the probe writes it. */
interface Usage {
  processorMicroseconds: { user: number; system: number };
  memory: Record<string, number>;
  collections: Record<'young' | 'old', { count: number; ms: number }>;
  atMs: number;
}
/** What the probe writes for one sampling. */
interface Sampling {
  started: Usage;
  ended: Usage;
  profile: SampledProfile;
}

const sleep = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));
const call = createHttpCall();

const { values: options } = parseArgs({
  options: {
    machines: { type: 'string', default: '360' },
    'report-s': { type: 'string', default: '3' },
    seconds: { type: 'string', default: '30' },
    program: { type: 'string', default: 'target/main.js' },
    'task-s': { type: 'string', default: '100' },
    'fill-s': { type: 'string', default: '150' },
    functions: { type: 'boolean', default: false },
  },
});
const size: DeploymentSize = {
  machines: Number(options.machines),
  reportSeconds: Number(options['report-s']),
};

function startNode(directory: string, index: number): ChildProcess {
  const config = join(directory, `node-${index}.json`);
  writeFileSync(config, JSON.stringify(settingsOf(index, size)));
  const probe = join('tools', 'profile', 'probe.mjs');
  return spawn(
    process.execPath,
    [...NODE_FLAGS, '--import', `./${probe}`, options.program, '--config', config],
    {
      stdio: ['ignore', 'ignore', 'inherit'],
      env: { ...process.env, LOG_LEVEL: 'error', PROFILE_OUT: join(directory, `profile-${index}.json`) },
    },
  );
}

const metricsOf = async (index: number): Promise<Record<string, unknown>> =>
  ((await call(nodeAddress(index), 'GET', '/metrics', undefined, 2000))?.body ?? {}) as Record<
    string,
    unknown
  >;

/** Waits until a node leads; returns its index. */
async function untilLeader(): Promise<number> {
  for (;;) {
    for (const index of NODES) if ((await metricsOf(index)).leading === true) return index;
    await sleep(200);
  }
}

const job = (number: number): JobOnWire => ({
  name_id: `wk-${String(number).padStart(6, '0')}`,
  duty: 'any',
  desk: 'red',
  shape: 'array',
  urgency: 'standard',
  shifts: ARRAY_TASKS,
  cpus: 1,
  accelerators: 0,
  mem_gb: 4.6,
  kit: `image-${number % 8}`,
  image_gb: 0.5,
  breeds: null,
  yard: null,
  together: false,
  spread: false,
  loaners: false,
  reckon_s: Number(options['task-s']),
  waymark_s: 0,
  stow_s: 0,
  due_s: null,
});

/** Submits arrays so that the machines stay full, and polls each of them until it is done. */
async function simulateUsers(standIns: StandIns, isRunning: () => boolean): Promise<void> {
  let number = 0;
  let submittedTasks = 0;
  const doneJobs = new Set<string>();
  const poll = async (id: string): Promise<void> => {
    while (isRunning()) {
      await sleep(POLL_INTERVAL_MS);
      const node = Math.floor(Math.random() * NODES.length);
      const answer = await call(nodeAddress(node), 'GET', `/v1/jobs/${id}`, undefined, 2000);
      if ((answer?.body as { standing?: string } | undefined)?.standing === 'done')
        return void doneJobs.add(id);
    }
  };
  while (isRunning()) {
    const openTasks = submittedTasks - doneJobs.size * ARRAY_TASKS;
    if (openTasks < size.machines * CPUS_PER_MACHINE * 1.2) {
      const next = job(++number);
      standIns.checker.submitted(next);
      const answer = await call(nodeAddress(number % NODES.length), 'POST', '/v1/jobs', next, 5000);
      if (answer?.status === 201) {
        submittedTasks += ARRAY_TASKS;
        void poll(next.name_id);
      }
    }
    await sleep(100);
  }
}

const printTable = (title: string, rows: readonly PartTime[], seconds: number): void => {
  process.stdout.write(`\n${title}\n`);
  for (const { part, milliseconds } of rows)
    if (part !== 'idle')
      process.stdout.write(`  ${(milliseconds / seconds).toFixed(2).padStart(8)} ms/s  ${part}\n`);
};

/** Prints what one controller used during the sampling. */
function printReport(title: string, sampling: Sampling): void {
  const { started, ended, profile } = sampling;
  const seconds = (ended.atMs - started.atMs) / 1000;
  const usedMsPerS = (kind: 'user' | 'system'): number =>
    (ended.processorMicroseconds[kind] - started.processorMicroseconds[kind]) / 1000 / seconds;
  const megabytes = Object.entries(ended.memory).map(
    ([name, bytes]) => `${name} ${(bytes / 2 ** 20).toFixed(1)}`,
  );
  process.stdout.write(
    `\n== ${title}: user ${usedMsPerS('user').toFixed(1)} ms/s, system ${usedMsPerS('system').toFixed(1)} ms/s\n`,
  );
  process.stdout.write(`memory (MB): ${megabytes.join(', ')}\n`);
  for (const kind of ['young', 'old'] as const) {
    const count = ended.collections[kind].count - started.collections[kind].count;
    const ms = ended.collections[kind].ms - started.collections[kind].ms;
    process.stdout.write(`${kind} collections: ${count}, ${(ms / seconds).toFixed(2)} ms/s\n`);
  }
  printTable('by part', timeByPart(profile), seconds);
  if (options.functions)
    printTable('by function', timeByFunction(profile).slice(0, FUNCTIONS_SHOWN), seconds);
}

/** Processor milliseconds that a controller has used since its start. */
async function processorMsOf(index: number): Promise<number> {
  const { process: figures } = (await metricsOf(index)) as {
    process?: { processorMs: { user: number; system: number } };
  };
  return figures ? figures.processorMs.user + figures.processorMs.system : 0;
}

/** Waits until the machines are full. Throws an Error that names the saturated process on a time-out. */
async function fill(standIns: StandIns, leading: number): Promise<void> {
  const wantedCpus = size.machines * CPUS_PER_MACHINE * FILLED_SHARE;
  const startedAt = performance.now();
  const standInsUsageAtStart = process.cpuUsage();
  const leaderMsAtStart = await processorMsOf(leading);
  for (let printedAt = startedAt; standIns.cpusHeld() < wantedCpus; await sleep(500)) {
    const now = performance.now();
    const progress = `${standIns.workers.size} of ${size.machines} workers up, ${standIns.cpusHeld()} of ${wantedCpus} CPUs in use`;
    if (now - printedAt > PROGRESS_INTERVAL_MS) {
      process.stderr.write(`${Math.round((now - startedAt) / 1000)} s: ${progress}\n`);
      printedAt = now;
    }
    if (now - startedAt < Number(options['fill-s']) * 1000) continue;
    const standInsUsed = process.cpuUsage(standInsUsageAtStart);
    const percent = (ms: number): number => Math.round((ms / (now - startedAt)) * 100);
    const standInsPercent = percent((standInsUsed.user + standInsUsed.system) / 1000);
    const leaderPercent = percent((await processorMsOf(leading)) - leaderMsAtStart);
    const saturated =
      standInsPercent > SATURATED_PERCENT
        ? 'the stand-ins'
        : leaderPercent > SATURATED_PERCENT
          ? 'the leader'
          : 'neither';
    throw new Error(
      `not full after ${options['fill-s']} s: ${progress}; of a core the stand-ins used ${standInsPercent}%, ` +
        `the leader ${leaderPercent}%: ${saturated} ran short of processor time (--fill-s sets the time limit)`,
    );
  }
}

/** Runs the deployment, samples its controllers and prints the results. */
async function measure(directory: string): Promise<void> {
  const standIns = new StandIns(size);
  const nodes = NODES.map((index) => startNode(directory, index));
  let isRunning = true;
  try {
    const leading = await untilLeader();
    void simulateUsers(standIns, () => isRunning);
    await fill(standIns, leading);
    await sleep(SETTLE_MS);
    for (const node of nodes) node.kill('SIGUSR2');
    await sleep(Number(options.seconds) * 1000);
    for (const node of nodes) node.kill('SIGUSR2');
    await sleep(2000);
    process.stdout.write(
      `${standIns.workers.size} workers, ${standIns.cpusHeld()} CPUs in use, leader ${leading}\n`,
    );
    for (const index of [leading, (leading + 1) % NODES.length]) {
      const sampling = JSON.parse(readFileSync(join(directory, `profile-${index}.json`), 'utf8')) as Sampling;
      printReport(index === leading ? 'leader' : 'follower', sampling);
    }
    const metrics = await metricsOf(leading);
    process.stdout.write(`\nleader's /metrics: ${JSON.stringify(metrics)}\n`);
    for (const violation of standIns.checker.violations.slice(0, 10))
      process.stdout.write(`violated rule: ${violation}\n`);
  } finally {
    isRunning = false;
    for (const node of nodes) node.kill('SIGKILL');
    standIns.stop();
  }
}

const directory = mkdtempSync(join(tmpdir(), 'quillhead-profile-'));
let failed = false;
try {
  await measure(directory);
} catch (error) {
  failed = true;
  process.stderr.write(`profile: ${error instanceof Error ? error.message : String(error)}\n`);
} finally {
  rmSync(directory, { recursive: true });
}
process.exit(failed ? 1 : 0);
