/** What the workers actor is told, what it answers, and what it uses from the rest of the leader. */
import type { ClusterState } from '../core/state.js';
import type { Command, Fence, JobId, MachineId, Term, WorkerReport } from '../core/types.js';
import type { Clock } from '../io/clock.js';
import type { HttpCall } from '../io/http-client.js';
import type { Logger } from '../io/logger.js';
import type { LogActor } from './log.js';

/** Commands, and the fence that they are sent under. */
export interface FencedCommands {
  fence: Fence;
  commands: Command[];
}

export type WorkerMessage =
  /** `reply` gets null if this node may not answer; the worker is then redirected. */
  | { kind: 'report'; report: WorkerReport; reply: (answer: FencedCommands | null) => void }
  /** A record was written, so the commands that follow from it may be sent to these machines. */
  | { kind: 'commandsDue'; machines: Iterable<MachineId> }
  /** The write of a cancellation begins (`isUnderWay`) or ends. In between, no start of the job is sent. */
  | { kind: 'cancelling'; job: JobId; isUnderWay: boolean }
  | { kind: 'tick' };

export interface WorkersOptions {
  state: ClusterState;
  log: LogActor;
  call: HttpCall;
  clock: Clock;
  logger: Logger;
  term: Term;
  /** Seconds between two reports of a worker, from the settings. */
  reportPeriodS: number;
  /** Maximum number of direct calls that are open at the same time. */
  maxOpenCalls: number;
  /** Whether the lock is certain to be held. */
  isCertain: () => boolean;
  /** Whether reports may be answered while the lock is not certain. */
  mayAnswerWhileUncertain: () => boolean;
  /** Called when facts from a report have been written to the log. */
  onFactWritten: () => void;
  /** Called when a worker has seen a higher term than this leader's. */
  onHigherTerm: (term: Term) => void;
}

/** Statistics for operators, counted since this node began to lead. */
export interface WorkerStatistics {
  directCalls: { sent: number; answered: number; refused: number; givenUp: number; open: number };
  /** Calls with starts that may still be carried out: open ones, and given up ones that are not yet void. */
  unsettledCalls: number;
  /** Workers that copies of answered calls could make start again what they have forgotten. */
  workersWithAnsweredStarts: number;
  /** Fences raised to invalidate calls without an answer. */
  fencesRaised: number;
  /** Fences raised so that workers forget attempts which answered calls had started. */
  fencesRaisedToForget: number;
  /** Jobs whose cancellation is in a write without an answer, so that their tasks are stopped already. */
  unsettledCancellations: number;
}
