/**
 * Formats of the messages exchanged with users, workers, the cloud and the state service, and their
 * translation to the terms of the rest of the code: `write...` makes what is sent, `read...` validates what
 * was received. The functions that read the cloud's answers throw if an answer is malformed.
 */
import * as z from 'zod';
import { FENCES_PER_TERM } from '../core/fences.js';
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

const nonNegative = z.number().min(0);
export const jobIdPattern = /^wk-\d{1,19}$/;

const submissionSchema = z.object({
  name_id: z.string().regex(jobIdPattern),
  duty: z.string().min(1).max(200),
  desk: z.string().max(200),
  // `service` is not documented; the operators' own check submits it (docs/questions.md, 1).
  shape: z.enum(['array', 'ensemble', 'service']),
  urgency: z.enum(['production', 'high', 'standard', 'low']),
  shifts: z.number().int().min(1).max(100_000),
  cpus: z.number().gt(0),
  accelerators: nonNegative,
  mem_gb: nonNegative,
  kit: z.string().max(500),
  image_gb: nonNegative,
  breeds: z.array(z.string().max(100)).max(50).nullish(),
  yard: z.string().max(100).nullish(),
  together: z.boolean(),
  spread: z.boolean(),
  loaners: z.boolean(),
  reckon_s: nonNegative,
  waymark_s: nonNegative,
  stow_s: nonNegative,
  due_s: nonNegative.nullish(),
});

const priorities: Record<string, Priority> = {
  production: 'production',
  high: 'high',
  standard: 'normal',
  low: 'low',
};

/** Validates a submission; the error names the first field that is wrong. */
export function readJob(body: unknown): { spec: JobSpec } | { error: string } {
  const parsed = submissionSchema.safeParse(body);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    return { error: `${issue?.path.join('.') || 'body'}: ${issue?.message ?? 'invalid'}` };
  }
  const job = parsed.data;
  return {
    spec: {
      id: job.name_id as JobId,
      class: job.duty,
      team: job.desk,
      gang: job.shape === 'ensemble',
      priority: priorities[job.urgency]!,
      tasks: job.shifts,
      cpus: job.cpus,
      gpus: job.accelerators,
      mem: job.mem_gb,
      image: job.kit,
      imageGb: job.image_gb,
      types: job.breeds ?? null,
      zone: job.yard ?? null,
      oneZone: job.together,
      spread: job.spread,
      spot: job.loaners,
      estimate: job.reckon_s,
      checkpoint: job.waymark_s,
      save: job.stow_s,
      deadline: job.due_s ?? null,
    },
  };
}

export type JobStatus = 'queued' | 'running' | 'done' | 'cancelled';
/** The answer to a user's request for one job: its state and, if given, the counts of its tasks. */
export const writeJobStatus = (
  id: string,
  status: JobStatus,
  counts?: { done: number; running: number },
): object => ({
  name_id: id,
  standing: status === 'cancelled' ? 'aborted' : status,
  ...counts,
});

/**
 * The fencing token, `warrant` in the protocol, grows with the term and, within a term, with the fence of the
 * worker; a worker rejects any message with a lower token than it has seen.
 */
const fencingToken = (term: Term, fence: Fence): number => term * FENCES_PER_TERM + fence;

const writeCommand = (command: Command): object => {
  const shift = `${command.job}/${command.task}`;
  if (command.op === 'start') return { verb: 'launch', shift, try: command.attempt };
  if (command.op === 'stop') return { verb: 'halt', shift, try: command.attempt, leeway_s: command.grace };
  return { verb: 'clear', shift, try: command.attempt };
};

/** The leader's answer to a worker's report. */
export const writeReportAnswer = (term: Term, fence: Fence, commands: Command[]): object => ({
  warrant: fencingToken(term, fence),
  orders: commands.map(writeCommand),
});
/** Commands that the leader sends without waiting for the worker's next report. */
export const writeDirectCall = (term: Term, fence: Fence, session: Session, commands: Command[]): object => ({
  warrant: fencingToken(term, fence),
  stint: session,
  orders: commands.map(writeCommand),
});
/** The answer of a node that does not lead: names the leader if it is known. */
export const writeRedirect = (leader: string | null): object => (leader ? { steward: leader } : {});

const machineTypesSchema = z.object({
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
  return machineTypesSchema.parse(body).breeds.map((type) => ({
    name: type.sku,
    cpus: type.cpus,
    gpus: type.accelerators ?? 0,
    mem: type.mem_gb,
    cacheGb: type.local_gb ?? 100,
    fetch: type.pull_gb_per_s ?? 0.1,
    price: type.price,
    spotPrice: type.market_price ?? type.price,
    boot: type.ready_s,
    zones: type.yards,
  }));
}

export const writeRentalRequest = (rental: {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  n: number;
}): object => ({
  hire: rental.name,
  breed: rental.type,
  yard: rental.zone,
  loaners: rental.spot,
  count: rental.n,
});
export const writeReturnRequest = (machines: readonly MachineId[]): object => ({
  mounts: machines,
});

const rentedMachinesSchema = z.object({ mounts: z.array(z.string()) });
export const readRentedMachines = (body: unknown): MachineId[] =>
  rentedMachinesSchema.parse(body).mounts as MachineId[];

const machineListSchema = z.object({
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
/** A machine as the cloud lists it. */
export interface ListedMachine {
  id: MachineId;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  /** Seconds since it was rented. */
  ageSeconds: number;
}
export function readMachineList(body: unknown): { machines: ListedMachine[]; more: boolean } {
  const page = machineListSchema.parse(body);
  return {
    more: page.truncated ?? false,
    machines: page.mounts.map((machine) => ({
      id: machine.name_id as MachineId,
      type: machine.breed,
      zone: machine.yard,
      spot: machine.loaners ?? false,
      state: machine.standing as ListedMachine['state'],
      ageSeconds: machine.held_s,
    })),
  };
}

// Answers of the state service.
export const errorSchema = z.object({ error: z.string().nullish() });
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
