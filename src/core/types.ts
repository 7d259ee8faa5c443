/**
 * Types that all parts of the scheduler share: identifiers, jobs, machine types, reports and log records.
 *
 * Identifiers, versions and times are branded, so that the compiler rejects a term passed as a session or a
 * wall-clock time compared with a steady-clock time.
 */
declare const brand: unique symbol;
export type Brand<T, B extends string> = T & { readonly [brand]: B };

export type JobId = Brand<string, 'JobId'>;
export type MachineId = Brand<string, 'MachineId'>;
export type NodeId = Brand<string, 'NodeId'>;
/** Election epoch: a leader has a higher one than all leaders before it. */
export type Term = Brand<number, 'Term'>;
/** Number of one run of a machine's worker; a later run has killed all tasks of the earlier ones. */
export type Session = Brand<number, 'Session'>;
/** Counts the starts of one task, from 1. */
export type AttemptNumber = Brand<number, 'AttemptNumber'>;
export type RecordNumber = Brand<number, 'RecordNumber'>;
/**
 * The part of a worker's fencing token that a leader raises within its term. A worker drops calls that carry a
 * lower token than it has seen.
 */
export type Fence = Brand<number, 'Fence'>;
/** Wall-clock time in milliseconds; clocks of different nodes differ by up to the platform's bound. */
export type WallMs = Brand<number, 'WallMs'>;
/** Milliseconds of one node's steady clock; not comparable between nodes. */
export type SteadyMs = Brand<number, 'SteadyMs'>;

export type Priority = 'production' | 'high' | 'normal' | 'low';
/** A higher rank is served first. */
export const priorityRank: Record<Priority, number> = { production: 3, high: 2, normal: 1, low: 0 };

/** A job as submitted. `cpus`, `gpus` and `mem` (GB) are for each task; times are in seconds. */
export interface JobSpec {
  id: JobId;
  class: string;
  team: string;
  gang: boolean;
  priority: Priority;
  tasks: number;
  cpus: number;
  gpus: number;
  mem: number;
  image: string;
  imageGb: number;
  /** Names of the machine types that may run it; null: any. */
  types: string[] | null;
  zone: string | null;
  /** All tasks must run in the same zone. */
  oneZone: boolean;
  /** At most half of the tasks, rounded up, may run in the same zone. */
  spread: boolean;
  /** Tasks may run on spot machines. */
  spot: boolean;
  /** Expected run time of a task. */
  estimate: number;
  /** Checkpoint interval; 0: the job takes no checkpoints. */
  checkpoint: number;
  /** Time that a task needs to save when it is stopped. */
  save: number;
  deadline: number | null;
}

/** A machine type as the cloud offers it. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  mem: number;
  cacheGb: number;
  /** Image download rate in GB/s. */
  fetch: number;
  price: number;
  spotPrice: number;
  /** Seconds from the request until a machine is up. */
  boot: number;
  zones: string[];
}

/** A team's guaranteed resources, and its limits. */
export interface Team {
  name: string;
  cpus: number;
  cpusMax: number;
  gpus: number;
  gpusMax: number;
}

/**
 * Why an attempt ended. No worker reports the last two: `lost` is the end with the machine or the worker's
 * session, `void` that of an attempt stopped before its start was delivered.
 */
export type EndCause =
  'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown' | 'lost' | 'void';

export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';

/** The state of one attempt, as its worker reports it. */
export interface TaskReport {
  job: JobId;
  task: number;
  attempt: AttemptNumber;
  state: TaskState;
  cause?: EndCause;
  /** Its state was saved before it exited. */
  saved?: boolean;
}

/** One report of a worker, which shows all of its tasks. */
export interface WorkerReport {
  machine: MachineId;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  session: Session;
  /** Number of the report within the session. */
  seq: number;
  term: Term;
  fence: Fence;
  /** Seconds until the machine is taken away; null: no notice was given. */
  notice: number | null;
  tasks: TaskReport[];
}

/** An instruction of the leader to a worker. */
export type Command =
  | { op: 'start'; job: JobId; task: number; attempt: AttemptNumber }
  | { op: 'stop'; job: JobId; task: number; attempt: AttemptNumber; grace: number }
  | { op: 'forget'; job: JobId; task: number; attempt: AttemptNumber };

/**
 * One decision or observation in a record. Everything that a later leader must know is one of these.
 *
 * The fields are stored: `e` is the kind, `m` a machine or several, `s` a worker's session, `p` the tasks
 * concerned. `hire` is a rental request and `hired` its answer, `drop` the decision to return machines,
 * `gone` means that the cloud has taken them back; for `mark` see ClusterState.processedUpTo.
 */
export type LogEntry =
  | { e: 'job'; spec: JobSpec }
  | { e: 'withdraw'; job: JobId }
  | { e: 'up'; m: MachineId; addr: string; type: string; zone: string; spot: boolean; s: Session }
  | { e: 'start'; job: JobId; p: [task: number, attempt: number, machine: MachineId][] }
  | { e: 'stop'; job: JobId; p: number[]; grace: number; why: string }
  | { e: 'end'; p: [job: JobId, task: number, attempt: number, cause: EndCause, saved: boolean][] }
  | { e: 'hire'; name: string; type: string; zone: string; spot: boolean; n: number }
  | { e: 'hired'; name: string; m: MachineId[] }
  | { e: 'drop'; m: MachineId[]; why: string }
  | { e: 'gone'; m: MachineId[] }
  | { e: 'types'; types: MachineType[] }
  | { e: 'mark'; upto: number };

/** The value of one key of the log. */
export interface LogRecord {
  term: Term;
  /** Unique within the term: identifies a leader's own write whose answer was lost. */
  tag: number;
  at: WallMs;
  entries: LogEntry[];
}

/** Tolerance for the rounding of sums of resources. */
export const RESOURCE_EPSILON = 1e-6;
