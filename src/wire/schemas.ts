// The protocols' words end here: inside there are only jobs, tasks, workers, terms and sessions.
import * as z from 'zod';
import type {
  Command,
  Fence,
  JobId,
  JobSpec,
  MachineId,
  MachineType,
  Priority,
  Session,
  Term,
} from '../core/types.js';

const amount = z.number().min(0);
export const jobIdPattern = /^wk-\d{1,19}$/;

const submission = z.object({
  name_id: z.string().regex(jobIdPattern),
  duty: z.string().min(1).max(200),
  desk: z.string().max(200),
  // `service` stands on no page; the operators' own check submits it (docs/questions.md, 1).
  shape: z.enum(['array', 'ensemble', 'service']),
  urgency: z.enum(['production', 'high', 'standard', 'low']),
  shifts: z.number().int().min(1).max(100_000),
  cpus: z.number().gt(0),
  accelerators: amount,
  mem_gb: amount,
  kit: z.string().max(500),
  image_gb: amount,
  breeds: z.array(z.string().max(100)).max(50).nullish(),
  yard: z.string().max(100).nullish(),
  together: z.boolean(),
  spread: z.boolean(),
  loaners: z.boolean(),
  reckon_s: amount,
  waymark_s: amount,
  stow_s: amount,
  due_s: amount.nullish(),
});

const priorityIn: Record<string, Priority> = {
  production: 'production',
  high: 'high',
  standard: 'normal',
  low: 'low',
};

export function readJob(body: unknown): { spec: JobSpec } | { error: string } {
  const r = submission.safeParse(body);
  if (!r.success) {
    const i = r.error.issues[0];
    return { error: `${i?.path.join('.') || 'body'}: ${i?.message ?? 'invalid'}` };
  }
  const b = r.data;
  return {
    spec: {
      id: b.name_id as JobId,
      class: b.duty,
      team: b.desk,
      gang: b.shape === 'ensemble',
      priority: priorityIn[b.urgency]!,
      tasks: b.shifts,
      cpus: b.cpus,
      gpus: b.accelerators,
      mem: b.mem_gb,
      image: b.kit,
      imageGb: b.image_gb,
      types: b.breeds ?? null,
      zone: b.yard ?? null,
      oneZone: b.together,
      spread: b.spread,
      spot: b.loaners,
      estimate: b.reckon_s,
      checkpoint: b.waymark_s,
      save: b.stow_s,
      deadline: b.due_s ?? null,
    },
  };
}

export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';
export const writeJobStatus = (
  id: string,
  s: JobStatus,
  counts?: { done: number; running: number },
): object => ({
  name_id: id,
  standing: s === 'cancelled' ? 'aborted' : s,
  ...counts,
});

/** A worker's token orders terms, and within a term the fences that its leader raised for this worker. */
export const FENCES_PER_TERM = 2 ** 20;
const token = (term: Term, fence: Fence): number => term * FENCES_PER_TERM + fence;

const writeCommand = (c: Command): object => {
  const shift = `${c.job}/${c.task}`;
  if (c.op === 'start') return { verb: 'launch', shift, try: c.attempt };
  if (c.op === 'stop') return { verb: 'halt', shift, try: c.attempt, leeway_s: c.grace };
  return { verb: 'clear', shift, try: c.attempt };
};

export const writeReportAnswer = (term: Term, fence: Fence, orders: Command[]): object => ({
  warrant: token(term, fence),
  orders: orders.map(writeCommand),
});
export const writeDirectCall = (term: Term, fence: Fence, session: Session, orders: Command[]): object => ({
  warrant: token(term, fence),
  stint: session,
  orders: orders.map(writeCommand),
});
export const writeRedirect = (leader: string | null): object => (leader ? { steward: leader } : {});

const flavors = z.object({
  breeds: z.array(
    z.object({
      sku: z.string(),
      cpus: z.number(),
      accelerators: z.number().nullish(),
      mem_gb: z.number(),
      local_gb: z.number().nullish(),
      pull_gb_per_s: z.number().nullish(),
      price: z.number(),
      market_price: z.number().nullish(),
      ready_s: z.number(),
      yards: z.array(z.string()),
    }),
  ),
});

export function readMachineTypes(body: unknown): MachineType[] {
  return flavors.parse(body).breeds.map((b) => ({
    name: b.sku,
    cpus: b.cpus,
    gpus: b.accelerators ?? 0,
    mem: b.mem_gb,
    cacheGb: b.local_gb ?? 100,
    fetch: b.pull_gb_per_s ?? 0.1,
    price: b.price,
    spotPrice: b.market_price ?? b.price,
    boot: b.ready_s,
    zones: b.yards,
  }));
}

export const writeRentalRequest = (h: {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  n: number;
}): object => ({
  hire: h.name,
  breed: h.type,
  yard: h.zone,
  loaners: h.spot,
  count: h.n,
});
export const writeReturnRequest = (m: readonly MachineId[]): object => ({ mounts: m });

const names = z.object({ mounts: z.array(z.string()) });
export const readRentedMachines = (body: unknown): MachineId[] => names.parse(body).mounts as MachineId[];

const list = z.object({
  mounts: z.array(
    z.object({
      name_id: z.string(),
      addr: z.string().nullish(),
      breed: z.string(),
      yard: z.string(),
      loaners: z.boolean().nullish(),
      standing: z.string(),
      held_s: z.number(),
    }),
  ),
  truncated: z.boolean().nullish(),
});
export interface ListedMachine {
  id: MachineId;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  ageSeconds: number;
}
export function readMachineList(body: unknown): { machines: ListedMachine[]; more: boolean } {
  const b = list.parse(body);
  return {
    more: b.truncated ?? false,
    machines: b.mounts.map((m) => ({
      id: m.name_id as MachineId,
      type: m.breed,
      zone: m.yard,
      spot: m.loaners ?? false,
      state: m.standing as ListedMachine['state'],
      ageSeconds: m.held_s,
    })),
  };
}

// State service
export const transactionSchema = z.object({ ledger: z.number(), failed: z.array(z.string()).nullish() });
export const keySchema = z.object({
  key: z.string(),
  data: z.unknown(),
  stamp: z.number(),
  tenure: z.number().nullish(),
});
export const keyListSchema = z.object({
  items: z.array(z.object({ key: z.string(), data: z.unknown().optional(), stamp: z.number() })),
  truncated: z.boolean().nullish(),
  ledger: z.number(),
});
export const watchSchema = z.object({
  ledger: z.number(),
  news: z.array(
    z.object({
      write: z.string().nullish(),
      remove: z.string().nullish(),
      data: z.unknown().optional(),
      stamp: z.number(),
    }),
  ),
});
export const leaseSchema = z.object({ tenure: z.number() });
