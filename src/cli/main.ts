/** The `quillhead` program: assembles a controller node from the settings and runs the commands. */
import { randomInt, randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { promisify } from 'node:util';
import { deflate } from 'node:zlib';
import { Command } from 'commander';
import pino from 'pino';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { Controller } from '../actors/controller.js';
import { defaultPolicy, type Policy } from '../core/policy.js';
import type { NodeId } from '../core/types.js';
import { parseHostPort } from '../io/address.js';
import { realClock } from '../io/clock.js';
import { createHttpCall, type HttpCall } from '../io/http-client.js';
import { Metrics, processMetrics } from '../io/metrics.js';
import { PeerLinks } from '../io/peers.js';
import { createApiServer } from '../io/server.js';
import { CloudClient } from '../wire/cloud.js';
import { readSettings, type Settings } from '../wire/settings.js';
import { registerJobCommands, printLog } from './jobs.js';
import { readPolicy } from './policy.js';
import { stubHttpCall, exerciseController } from './warm.js';
import { StateServiceClient } from '../wire/state-service.js';

function loadSettings(file: string): Settings {
  return readSettings(JSON.parse(readFileSync(file, 'utf8')));
}

/** Options that name configuration files. */
interface Files {
  config: string;
  policy?: string;
}

const loadPolicy = async (files: Files): Promise<Policy> =>
  files.policy ? readPolicy(files.policy) : defaultPolicy;

function fail(error: unknown): never {
  process.stderr.write(`quillhead: ${error instanceof Error ? error.message : String(error)}\n`);
  process.exit(2);
}

/** Creates a node's parts without starting them; `httpCall` replaces the real HTTP client. */
function createNode(settings: Settings, policy: Policy, httpCall?: HttpCall) {
  const logger = pino(
    { level: process.env.LOG_LEVEL ?? 'info', base: { node: settings.node } },
    pino.destination({ dest: 2, sync: true }),
  );
  const generator = xoroshiro128plus(randomInt(0x7fffffff));
  // Idle outgoing connections are kept only while a fifth of the sockets stays free for users, peers and new
  // connections.
  let incoming = 0;
  const maxSockets = settings.cluster.machine_limits.sockets;
  const call = httpCall ?? createHttpCall((outgoing) => incoming + outgoing < maxSockets * 0.8);
  const metrics = new Metrics();
  const controller = new Controller(
    {
      clock: realClock,
      store: new StateServiceClient(call, settings.external.state),
      cloud: new CloudClient(call, settings.external.cloud),
      call,
      random: { intBelow: (limit) => uniformInt(generator, 0, limit - 1) },
      logger,
      settings,
      policy,
      measure: metrics.measure,
      deflate: promisify<string, Buffer>(deflate),
    },
    randomUUID(),
  );
  const links = new PeerLinks(
    parseHostPort(settings.back),
    settings.seeds.map((seed) => ({ node: seed.node as NodeId, ...parseHostPort(seed.peer_addr) })),
    () => controller.status(),
    {
      ask: (request) => controller.requests.answerPeer(request),
      status: (status, asked) => controller.handlePeerStatus(status, asked),
    },
    logger,
  );
  const http = createApiServer(
    controller,
    () => ({
      ...controller.status(),
      nextRecord: controller.nextRecord,
      ...controller.leaderStatistics(),
      ...metrics.summarize(),
      process: processMetrics(),
    }),
    logger,
    metrics.measure,
  );
  http.on('connection', (socket) => {
    incoming++;
    socket.once('close', () => incoming--);
  });
  return { logger, controller, links, http };
}

/** Runs a controller node. */
async function serve(settings: Settings, policy: Policy): Promise<void> {
  const { logger, controller, links, http } = createNode(settings, policy);
  links.start();
  const { host, port } = parseHostPort(settings.serve_on);
  http.on('error', fail);
  http.listen(port, host, 1024, () => logger.info({ on: settings.serve_on }, 'serving'));
  await controller.start(links);
}

const WARM_EXIT_MS = 5000;

/** Creates a node and runs its usual operations against stubs, to fill the build's code cache. */
async function warm(): Promise<void> {
  const settings = readSettings({
    node: 'warm',
    area: 'a',
    serve_on: '127.0.0.1:0',
    back: '127.0.0.1:0',
    seeds: [],
    external: { cloud: '127.0.0.1:9', state: '127.0.0.1:9' },
    cluster: {
      zones: ['a'],
      teams: [{ name: 'team', cpus: 8, cpus_max: 16 }],
      workers: { report_s: 0.1, lease_s: 16, gang_wait_s: 30, gang_peer_s: 5, cancel_s: 46 },
      state: { rps: 100, write_rps: 50, value_kb: 8, txn_ops: 12 },
      cloud: { rps: 3, list_lag_s: 10 },
    },
  });
  const { http, controller } = createNode(settings, defaultPolicy, stubHttpCall);
  http.close();
  await exerciseController(controller);
  // The build ends the process itself once it has written the code cache.
  setTimeout(() => process.exit(0), WARM_EXIT_MS);
}

const program = new Command('quillhead')
  .description('A cluster scheduler for small sites')
  .version(process.env.QUILLHEAD_VERSION ?? 'dev');
program
  .command('serve', { isDefault: true })
  .description('run one controller node')
  .requiredOption('--config <file>', "the platform's settings file (JSON)")
  .option('--policy <file>', "the operators' policy file (a CEL expression)")
  .action(async (files: Files) => serve(loadSettings(files.config), await loadPolicy(files)));
program
  .command('check')
  .description("check the platform's settings and the operators' policy")
  .requiredOption('--config <file>', "the platform's settings file (JSON)")
  .option('--policy <file>', "the operators' policy file (a CEL expression)")
  .action(async (files: Files) => {
    loadSettings(files.config);
    process.stdout.write('settings: ok\n');
    if (files.policy) {
      await loadPolicy(files);
      process.stdout.write('policy: ok\n');
    }
  });
program
  .command('log')
  .description('show the records and the snapshot in the state service')
  .requiredOption('--config <file>', "the platform's settings file (JSON)")
  .option('--json', 'print JSON')
  .action((files: Files & { json?: boolean }) => printLog(loadSettings(files.config), files.json === true));
registerJobCommands(program);
program
  .command('warm', { hidden: true })
  .description('used by the build: runs the usual operations of a node once, for the code cache')
  .action(warm);
program.parseAsync().catch(fail);
