/**
 * What the build runs once so that V8's code cache holds the program compiled: a controller that takes the
 * lead, rents machines, hears reports and runs a job, with every call answered inside the process. A
 * function that is not in the cache costs a controller on a small share of a core its first call twice over.
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

const flavors = {
  breeds: [
    { sku: 'box', cpus: 8, mem_gb: 32, local_gb: 50, pull_gb_per_s: 1, price: 1, ready_s: 1, yards: ['a'] },
  ],
};

/** A state service and a cloud that agree to everything. */
export const stubHttpCall: HttpCall = async (_address, method, path) => {
  if (path === '/flavors') return ok(flavors);
  if (path === '/hosts' && method === 'POST') return ok({ mounts: MACHINES });
  if (path.startsWith('/hosts')) return ok({ mounts: [], truncated: false });
  if (path === '/txn') return ok({ ledger: 1 });
  if (path.startsWith('/leases')) return ok({ tenure: 1 });
  if (path.startsWith('/kv?')) return ok({ items: [], truncated: false, ledger: 1 });
  if (path.startsWith('/watch')) return ok({ news: [], ledger: 1 });
  return { status: 404, body: { ledger: 1 } };
};

const job = (number: number): unknown => ({
  ...{ name_id: `wk-${number}`, duty: 'any', desk: 'team', shape: number === 1 ? 'ensemble' : 'array' },
  ...{ urgency: 'standard', shifts: 2, cpus: 2, accelerators: 0, mem_gb: 1, kit: 'image', image_gb: 0.1 },
  ...{ together: number === 1, spread: false, loaners: true, reckon_s: 1, waymark_s: 0, stow_s: 0 },
});

interface Order {
  verb: string;
  shift: string;
  try: number;
}

/** A worker that does at once whatever it is told. */
class WarmWorker {
  private readonly reader = new ReportReader();
  private readonly tasks = new Map<string, object>();
  private sequence = 0;
  private token = 0;

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
      ...{ tally: ++this.sequence, warrant: this.token, recall_s: null, shifts: [...this.tasks.values()] },
    });
    const report = this.reader.read(text);
    if (!report) throw new Error('a report that is none');
    controller.handleReport(report, (answer) => {
      if (answer.kind !== 'commands') return;
      const { warrant, orders } = JSON.parse(
        writeReportAnswerJson(answer.term, answer.fence, answer.commands),
      ) as {
        warrant: number;
        orders: Order[];
      };
      this.token = warrant;
      for (const order of orders) this.execute(order);
    });
  }

  private execute(order: Order): void {
    const key = `${order.shift}#${order.try}`;
    if (order.verb === 'clear') this.tasks.delete(key);
    else this.tasks.set(key, { shift: order.shift, try: order.try, standing: 'ended', cause: 'done' });
  }
}

const sleep = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));

/** Goes through what a controller does most, once. */
export async function exerciseController(controller: Controller): Promise<void> {
  const workers = MACHINES.map((machine) => new WarmWorker(machine));
  void controller.start({ ask: async () => null, isConnected: () => true, statuses: () => [] });
  for (let step = 0; step < STEPS; step++) {
    await sleep(STEP_MS);
    const read = readJob(job((step % JOBS) + 1));
    if ('error' in read) throw new Error(read.error);
    void controller.requests.answer({ kind: 'submit', job: read.spec.id, spec: read.spec });
    void controller.requests.answer({ kind: 'show', job: read.spec.id });
    controller.isReady();
    controller.status();
    for (const worker of workers) worker.report(controller);
  }
  await controller.requests.answer({ kind: 'withdraw', job: 'wk-1' as JobId });
}
