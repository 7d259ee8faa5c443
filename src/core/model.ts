/** The objects of the cluster state: jobs, task attempts, machines and rental requests. */
import type { AttemptNumber, JobSpec, MachineId, Session, WallMs } from './types.js';

/** One start of one task, present on its machine from the record of its start to the record of its end. */
export interface TaskAttempt {
  job: Job;
  task: number;
  attempt: AttemptNumber;
  machine: Machine;
  session: Session;
  startedAt: WallMs;
  stop: { grace: number; at: WallMs; why: string } | null;
}

/** A job with tasks left to run or to end. Snapshots store every field under its name. */
export interface Job {
  spec: JobSpec;
  /** When it was submitted. */
  at: WallMs;
  /** Its place in the order of submission. */
  order: number;
  withdrawn: boolean;
  /** Tasks with this index or a higher one were never started. */
  fresh: number;
  /** Tasks below `fresh` that wait to be started, with the number of their next attempt. */
  back: Map<number, number>;
  /** Attempts present on a machine, by task. */
  live: Map<number, TaskAttempt>;
  /** How many tasks are done. */
  done: number;
  /** Gangs: the number of the present or next attempt, and whether the present one lost a task. */
  gangTry: number;
  broken: boolean;
  /** Gangs: machines on which tasks of the broken attempt were ready, kept for the next attempt. */
  places: MachineId[];
  /** Failures since a task was last done. */
  errors: number;
  /** Machines on which a task failed. */
  errorMachines: Set<MachineId>;
  /** Back-off: no task is started before this time. */
  notBefore: WallMs;
}

/** A rented machine. Snapshots store its fields under their names, except those derived from its attempts. */
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
  /** Why it is to be returned to the cloud; null while it is kept. */
  drop: string | null;
  /** Failures of tasks since one was last done here, except of jobs that fail on any machine. */
  errors: number;
  /** Attempts present here. */
  live: Set<TaskAttempt>;
  /** How many of these attempts are being stopped. */
  stopping: number;
  /** Counts changes that may alter the commands due to its worker; not part of a snapshot. */
  changes: number;
  /** Sizes in GB of the images that tasks were started with here, the latest last. */
  images: Map<string, number>;
  idleSince: WallMs;
  /** With `gpus` and `mem`: resources in use by the attempts present here. */
  cpus: number;
  gpus: number;
  mem: number;
}

/** A request to the cloud for machines, from its record until the record of the answer. */
export interface RentalRequest {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  /** How many machines are requested. */
  n: number;
  at: WallMs;
}

/** How a job ended, and how many of its tasks were done. */
export type JobOutcome = { state: 'done' | 'cancelled'; done: number };

/** Stop reason of the tasks of a cancelled job. */
export const JOB_CANCELLED = 'cancelled';

/** Stop reason of tasks that wait for a gang which can't start any more. */
export const GANG_BROKEN = 'broken';

/** Whether its worker has reported and it is not to be returned. */
export const isAvailable = (machine: Machine): boolean => machine.session > 0 && machine.drop === null;

/** After failures on this many machines the job is taken to be the cause. */
const JOB_FAULT_MACHINES = 3;

/**
 * How long after a failure, and the pause that follows it, a job's tasks are kept off the machines on which
 * they failed: time enough to rent another one.
 */
const AVOIDANCE_MS = 30_000;

/**
 * Whether a job's tasks are kept off a machine for now: one failed there lately, and they don't fail wherever
 * they run.
 */
export const avoidsMachine = (job: Job, machine: MachineId, now: WallMs): boolean =>
  job.errorMachines.size < JOB_FAULT_MACHINES &&
  job.errorMachines.has(machine) &&
  now < job.notBefore + AVOIDANCE_MS;
