/** The `job` commands, which send requests to a node, and `log`, which prints what the state service holds. */
import { readFileSync } from 'node:fs';
import type { Command } from 'commander';
import { stateFromChunks } from '../actors/snapshot.js';
import { dumpState } from '../core/state-dump.js';
import type { LogRecord } from '../core/types.js';
import { createHttpCall, type HttpResponse } from '../io/http-client.js';
import {
  SNAPSHOT_HEAD_KEY,
  LEADER_KEY,
  RECORD_PREFIX,
  ROOT_PREFIX,
  TERM_KEY,
  recordNumberOf,
  type SnapshotHead,
} from '../wire/keys.js';
import type { Settings } from '../wire/settings.js';
import { StateServiceClient } from '../wire/state-service.js';

/** Exit codes for scripts; `later`: the same request may succeed at another time or node. */
export const EXIT_CODES = { ok: 0, refused: 1, usage: 2, unknown: 3, later: 4 } as const;

const exitCodeOf = (response: HttpResponse | null): number => {
  if (!response || response.status === 429 || response.status >= 500) return EXIT_CODES.later;
  if (response.status === 404) return EXIT_CODES.unknown;
  return response.status < 300 ? EXIT_CODES.ok : EXIT_CODES.refused;
};

/** Prints the response and sets the exit code. */
function printResponse(response: HttpResponse | null, json: boolean): void {
  const body = (response?.body ?? {}) as {
    name_id?: string;
    standing?: string;
    done?: number;
    error?: string;
  };
  if (json) process.stdout.write(`${JSON.stringify({ status: response?.status ?? null, ...body })}\n`);
  else if (!response) process.stdout.write('no answer: ask another node, or again later\n');
  else if (body.standing)
    process.stdout.write(
      `${body.name_id}: ${body.standing}${body.done === undefined ? '' : `, ${body.done} tasks done`}\n`,
    );
  else process.stdout.write(`${response.status}: ${body.error ?? 'no reason given'}\n`);
  process.exitCode = exitCodeOf(response);
}

/** Options of all `job` commands. */
interface JobOptions {
  node: string;
  json?: boolean;
}

/** Sends one request, prints the response and exits. */
const sendRequest = (
  options: JobOptions,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
): Promise<void> =>
  createHttpCall()(options.node, method, path, body, 5000).then((response) => {
    printResponse(response, options.json === true);
    process.exit();
  });

/** Adds `job submit`, `job show` and `job cancel` to the program. */
export function registerJobCommands(program: Command): void {
  const job = program.command('job').description('submit, show and cancel jobs at any node');
  const withOptions = (command: Command): Command =>
    command
      .requiredOption('--node <host:port>', 'address of any node')
      .option('--json', 'print the answer as JSON');
  withOptions(job.command('submit <file>').description('submit a job (JSON as in POST /v1/jobs)')).action(
    (file: string, options: JobOptions) =>
      sendRequest(options, 'POST', '/v1/jobs', JSON.parse(readFileSync(file, 'utf8'))),
  );
  withOptions(job.command('show <id>').description('show the state of a job')).action(
    (id: string, options: JobOptions) => sendRequest(options, 'GET', `/v1/jobs/${encodeURIComponent(id)}`),
  );
  withOptions(job.command('cancel <id>').alias('withdraw').description('cancel a job')).action(
    (id: string, options: JobOptions) =>
      sendRequest(options, 'POST', `/v1/jobs/${encodeURIComponent(id)}/withdraw`, {}),
  );
}

/** Prints the leader, the snapshot and the records that the state service holds; changes nothing. */
export async function printLog(settings: Settings, json: boolean): Promise<void> {
  const stateService = new StateServiceClient(createHttpCall(), settings.external.state);
  const all = await stateService.list(ROOT_PREFIX, null);
  if (!all) {
    process.stderr.write('quillhead: the state service does not answer\n');
    process.exit(EXIT_CODES.later);
  }
  const values = new Map(all.items.map((item) => [item.key, item.value]));
  const head = values.get(SNAPSHOT_HEAD_KEY) as SnapshotHead | undefined;
  const records = all.items
    .filter((item) => item.key.startsWith(RECORD_PREFIX))
    .map((item) => ({ no: recordNumberOf(item.key), ...(item.value as LogRecord) }));
  const restored = head ? stateFromChunks(values, head) : null;
  if (json) {
    const snapshot = restored ? dumpState(restored) : null;
    process.stdout.write(
      `${JSON.stringify({ leader: values.get(LEADER_KEY) ?? null, term: values.get(TERM_KEY) ?? null, head: head ?? null, snapshot, records })}\n`,
    );
  } else {
    const leader = values.get(LEADER_KEY) as { node: string; term: number } | undefined;
    process.stdout.write(`leader: ${leader ? `${leader.node}, term ${leader.term}` : 'none'}\n`);
    if (restored)
      process.stdout.write(
        `snapshot up to record ${head!.upto}: ${restored.jobs.size} jobs, ${restored.outcomes.size} over, ${restored.machines.size} machines\n`,
      );
    for (const record of records)
      process.stdout.write(
        `${record.no} term ${record.term} ${new Date(record.at).toISOString()} ${record.entries.map((entry) => JSON.stringify(entry)).join(' ')}\n`,
      );
  }
  process.exit(EXIT_CODES.ok);
}
