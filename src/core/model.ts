/** What the log's state is made of: jobs, their tasks that are somewhere, machines and rentals. */
import type { AttemptNumber, JobSpec, MachineId, Session, WallMs } from './types.js';

/** One start of one task: present on its machine from the logged decision to the logged end. */
export interface TaskAttempt {
  job: Job;
  task: number;
  attempt: AttemptNumber;
  machine: Machine;
  session: Session;
  startedAt: WallMs;
  stop: { grace: number; at: WallMs; why: string } | null;
}

export interface Job {
  spec: JobSpec;
  at: WallMs;
  order: number;
  withdrawn: boolean;
  /** Tasks from here on were never started. */
  fresh: number;
  /** Tasks that were started and wait to be started again, with the next attempt's number. */
  back: Map<number, number>;
  live: Map<number, TaskAttempt>;
  done: number;
  /** Gangs: the number of the next attempt, and whether the present one lost a task. */
  gangTry: number;
  broken: boolean;
  /** Gangs: where tasks of the broken attempt were ready, for the next one. */
  places: MachineId[];
  errors: number;
  errorMachines: Set<MachineId>;
  notBefore: WallMs;
}

export interface Machine {
  id: MachineId;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  /** 0 until its worker has reported. */
  session: Session;
  hiredAt: WallMs;
  upAt: WallMs;
  drop: string | null;
  errors: number;
  live: Set<TaskAttempt>;
  /** How many of them are being stopped. */
  stopping: number;
  /** Counts what changed of the commands that its worker is due; not part of a snapshot. */
  changes: number;
  /** Images that tasks were started with here, latest last. */
  images: Map<string, number>;
  idleSince: WallMs;
  cpus: number;
  gpus: number;
  mem: number;
}

export interface RentalRequest {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  n: number;
  at: WallMs;
}

export type JobOutcome = { state: 'done' | 'cancelled'; done: number };

/** Why the tasks of a cancelled job are stopped. */
export const JOB_CANCELLED = 'cancelled';

/** Why tasks that wait for a gang which can't start any more are stopped. */
export const GANG_BROKEN = 'broken';

/** Its worker has reported, and it is not to be given back. */
export const isAvailable = (m: Machine): boolean => m.session > 0 && m.drop === null;

/** From here on the failures are taken to be the job's own. */
const FAILS_ANYWHERE = 3;

/** Where a task failed it is not started again, unless it fails wherever it runs. */
export const avoidsMachine = (job: Job, m: MachineId): boolean =>
  job.errorMachines.size < FAILS_ANYWHERE && job.errorMachines.has(m);
