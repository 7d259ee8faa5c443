// Ids, versions and times are small types of their own, so that a term can't be passed for a
// session or a wall time compared with a steady one.
declare const brand: unique symbol;
export type Brand<T, B extends string> = T & { readonly [brand]: B };

export type JobId = Brand<string, 'JobId'>;
export type MachineId = Brand<string, 'MachineId'>;
export type NodeId = Brand<string, 'NodeId'>;
export type Term = Brand<number, 'Term'>;
export type Session = Brand<number, 'Session'>;
export type AttemptNumber = Brand<number, 'AttemptNumber'>;
export type RecordNumber = Brand<number, 'RecordNumber'>;
/** Raised by a leader for one worker, within its term: what it sent there before under a lower one is void. */
export type Fence = Brand<number, 'Fence'>;
/** Time of day in milliseconds; differs between nodes by up to the platform's bound. */
export type WallMs = Brand<number, 'WallMs'>;
/** Milliseconds on one node's steady clock; means nothing on another node. */
export type SteadyMs = Brand<number, 'SteadyMs'>;

export type Priority = 'production' | 'high' | 'normal' | 'low';
export const priorityRank: Record<Priority, number> = { production: 3, high: 2, normal: 1, low: 0 };

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
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  estimate: number;
  checkpoint: number;
  save: number;
  deadline: number | null;
}

export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  mem: number;
  cacheGb: number;
  fetch: number;
  price: number;
  spotPrice: number;
  boot: number;
  zones: string[];
}

export interface Team {
  name: string;
  cpus: number;
  cpusMax: number;
  gpus: number;
  gpusMax: number;
}

export type EndCause =
  'done' | 'stopped' | 'peers' | 'alone' | 'error' | 'no_room' | 'busy' | 'unknown' | 'lost' | 'void';

export type TaskState = 'fetching' | 'waiting' | 'running' | 'saving' | 'exited';

export interface TaskReport {
  job: JobId;
  task: number;
  attempt: AttemptNumber;
  state: TaskState;
  cause?: EndCause;
  saved?: boolean;
}

export interface WorkerReport {
  machine: MachineId;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  session: Session;
  seq: number;
  term: Term;
  fence: Fence;
  notice: number | null;
  tasks: TaskReport[];
}

export type Command =
  | { op: 'start'; job: JobId; task: number; attempt: AttemptNumber }
  | { op: 'stop'; job: JobId; task: number; attempt: AttemptNumber; grace: number }
  | { op: 'forget'; job: JobId; task: number; attempt: AttemptNumber };

/** What a record holds. Everything that a later leader must know is one of these. */
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

export interface LogRecord {
  term: Term;
  /** Unique within the term: tells our own write from another's when an answer was lost. */
  tag: number;
  at: WallMs;
  entries: LogEntry[];
}

export const RESOURCE_EPSILON = 1e-6;
