/**
 * Run once by the build so that V8's code cache holds the compiled program: a controller becomes leader,
 * rents machines, receives reports and runs a job, with every request answered inside the process. On a small
 * share of a core, the first call of a function that is not in the cache takes twice as long.
 */
import type { Controller } from '../actors/controller.js';
import type { JobId } from '../core/types.js';
import type { HttpResponse, HttpCall } from '../io/http-client.js';
import { ReportReader, writeReportAnswerJson } from '../wire/reports.js';
import { readJob } from '../wire/schemas.js';

const MACHINES = ['vm-1', 'vm-2'];
const JOBS = 3;
const STEP_MS = 100;
const STEPS = 45;

const ok = (body: object): HttpResponse => ({ status: 200, body });

const machineTypes = {
  breeds: [
    { sku: 'box', cpus: 8, mem_gb: 32, local_gb: 50, pull_gb_per_s: 1, price: 1, ready_s: 1, yards: ['a'] },
  ],
};

/** Simulates a state service and a cloud that accept every request. */
export const stubHttpCall: HttpCall = async (_address, method, path) => {
  if (path === '/flavors') return ok(machineTypes);
  if (path === '/hosts' && method === 'POST') return ok({ mounts: MACHINES });
  if (path.startsWith('/hosts')) return ok({ mounts: [], truncated: false });
  if (path === '/txn') return ok({ ledger: 1 });
  if (path.startsWith('/leases')) return ok({ tenure: 1 });
  if (path.startsWith('/kv?')) return ok({ items: [], truncated: false, ledger: 1 });
  if (path.startsWith('/watch')) return ok({ news: [], ledger: 1 });
  return { status: 404, body: { ledger: 1 } };
};

const submission = (number: number): unknown => ({
  ...{ name_id: `wk-${number}`, duty: 'any', desk: 'team', shape: number === 1 ? 'ensemble' : 'array' },
  ...{ urgency: 'standard', shifts: 2, cpus: 2, accelerators: 0, mem_gb: 1, kit: 'image', image_gb: 0.1 },
  ...{ together: number === 1, spread: false, loaners: true, reckon_s: 1, waymark_s: 0, stow_s: 0 },
});

/** A command as the protocol writes it. */
interface WireCommand {
  verb: string;
  shift: string;
  try: number;
}

/** Simulates a worker that finishes each task as soon as it is started. */
class StubWorker {
  private readonly reader = new ReportReader();
  private readonly tasks = new Map<string, object>();
  private sequence = 0;
  private fencingToken = 0;

  constructor(private readonly machine: string) {}

  report(controller: Controller): void {
    const text = JSON.stringify({
      ...{
        mount: this.machine,
        addr: `${this.machine}:9`,
        breed: 'box',
        yard: 'a',
        loaners: false,
        stint: 1,
      },
      ...{
        tally: ++this.sequence,
        warrant: this.fencingToken,
        recall_s: null,
        shifts: [...this.tasks.values()],
      },
    });
    const report = this.reader.read(text);
    if (!report) throw new Error('the stub worker wrote a malformed report');
    controller.handleReport(report, (outcome) => {
      if (outcome.kind !== 'commands') return;
      const { warrant, orders } = JSON.parse(
        writeReportAnswerJson(outcome.term, outcome.fence, outcome.commands),
      ) as {
        warrant: number;
        orders: WireCommand[];
      };
      this.fencingToken = warrant;
      for (const command of orders) this.execute(command);
    });
  }

  private execute(command: WireCommand): void {
    const key = `${command.shift}#${command.try}`;
    if (command.verb === 'clear') this.tasks.delete(key);
    else this.tasks.set(key, { shift: command.shift, try: command.try, standing: 'ended', cause: 'done' });
  }
}

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Runs the usual operations of a controller: submissions, queries, reports and a cancellation. */
export async function exerciseController(controller: Controller): Promise<void> {
  const workers = MACHINES.map((machine) => new StubWorker(machine));
  void controller.start({ ask: async () => null, isConnected: () => true, statuses: () => [] });
  for (let step = 0; step < STEPS; step++) {
    await sleep(STEP_MS);
    const parsed = readJob(submission((step % JOBS) + 1));
    if ('error' in parsed) throw new Error(parsed.error);
    void controller.requests.answer({ kind: 'submit', job: parsed.spec.id, spec: parsed.spec });
    void controller.requests.answer({ kind: 'show', job: parsed.spec.id });
    controller.isReady();
    controller.status();
    for (const worker of workers) worker.report(controller);
  }
  await controller.requests.answer({ kind: 'withdraw', job: 'wk-1' as JobId });
}
