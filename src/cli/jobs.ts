/** The commands that ask a node about jobs, and the one that shows what the state service holds. */
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
import { StateServiceClient } from '../wire/store.js';

/** Exit codes that scripts can use. */
export const EXIT = { ok: 0, refused: 1, usage: 2, unknown: 3, later: 4 } as const;

const exitOf = (a: HttpResponse | null): number => {
  if (!a || a.status === 429 || a.status >= 500) return EXIT.later;
  if (a.status === 404) return EXIT.unknown;
  return a.status < 300 ? EXIT.ok : EXIT.refused;
};

function tell(a: HttpResponse | null, json: boolean): void {
  const body = (a?.body ?? {}) as { name_id?: string; standing?: string; done?: number; error?: string };
  if (json) process.stdout.write(`${JSON.stringify({ status: a?.status ?? null, ...body })}\n`);
  else if (!a) process.stdout.write('no answer: ask another node, or again later\n');
  else if (body.standing)
    process.stdout.write(
      `${body.name_id}: ${body.standing}${body.done === undefined ? '' : `, ${body.done} tasks done`}\n`,
    );
  else process.stdout.write(`${a.status}: ${body.error ?? 'no reason given'}\n`);
  process.exitCode = exitOf(a);
}

interface Common {
  node: string;
  json?: boolean;
}

const ask = (o: Common, method: 'GET' | 'POST', path: string, body?: unknown): Promise<void> =>
  createHttpCall()(o.node, method, path, body, 5000).then((a) => {
    tell(a, o.json === true);
    process.exit();
  });

export function registerJobCommands(program: Command): void {
  const job = program.command('job').description('submit, show and cancel jobs at any node');
  const common = (c: Command): Command =>
    c.requiredOption('--node <host:port>', 'a node').option('--json', 'answer in JSON');
  common(job.command('submit <file>').description('submit a job (JSON as in the interface)')).action(
    (file: string, o: Common) => ask(o, 'POST', '/v1/jobs', JSON.parse(readFileSync(file, 'utf8'))),
  );
  common(job.command('show <id>').description('the state of a job')).action((id: string, o: Common) =>
    ask(o, 'GET', `/v1/jobs/${encodeURIComponent(id)}`),
  );
  common(job.command('cancel <id>').alias('withdraw').description('cancel a job')).action(
    (id: string, o: Common) => ask(o, 'POST', `/v1/jobs/${encodeURIComponent(id)}/withdraw`, {}),
  );
}

/** A read-only view of what the state service holds. */
export async function printLog(settings: Settings, json: boolean): Promise<void> {
  const store = new StateServiceClient(createHttpCall(), settings.external.state);
  const all = await store.list(ROOT_PREFIX, null);
  if (!all) {
    process.stderr.write('quillhead: the state service does not answer\n');
    process.exit(EXIT.later);
  }
  const at = new Map(all.items.map((i) => [i.key, i.value]));
  const head = at.get(SNAPSHOT_HEAD_KEY) as SnapshotHead | undefined;
  const records = all.items
    .filter((i) => i.key.startsWith(RECORD_PREFIX))
    .map((i) => ({ no: recordNumberOf(i.key), ...(i.value as LogRecord) }));
  const folded = head ? stateFromChunks(at, head) : null;
  if (json) {
    const snapshot = folded ? dumpState(folded) : null;
    process.stdout.write(
      `${JSON.stringify({ leader: at.get(LEADER_KEY) ?? null, term: at.get(TERM_KEY) ?? null, head: head ?? null, snapshot, records })}\n`,
    );
  } else {
    const leader = at.get(LEADER_KEY) as { node: string; term: number } | undefined;
    process.stdout.write(`leader: ${leader ? `${leader.node}, term ${leader.term}` : 'none'}\n`);
    if (folded)
      process.stdout.write(
        `snapshot up to record ${head!.upto}: ${folded.jobs.size} jobs, ${folded.outcomes.size} over, ${folded.machines.size} machines\n`,
      );
    for (const r of records)
      process.stdout.write(
        `${r.no} term ${r.term} ${new Date(r.at).toISOString()} ${r.entries.map((e) => JSON.stringify(e)).join(' ')}\n`,
      );
  }
  process.exit(EXIT.ok);
}
