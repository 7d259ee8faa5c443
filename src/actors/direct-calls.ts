/**
 * Direct calls to workers. The number of open calls is limited; each call has its own number, is logged at
 * `debug` level and is counted. Machines for which no call could be opened wait until open calls end.
 */
import type { Command, Fence, MachineId, Session, Term } from '../core/types.js';
import type { CallNumber } from '../core/unsettled-calls.js';
import type { Clock } from '../io/clock.js';
import type { HttpResponse, HttpCall } from '../io/http-client.js';
import type { Logger } from '../io/logger.js';
import { writeDirectCall } from '../wire/schemas.js';

/** A call is given up after this time without an answer. The worker may still carry it out later. */
export const DIRECT_CALL_TIMEOUT_MS = 2000;

/** A worker's answer to a call whose token is too low or whose session is another. */
const STATUS_REFUSED = 409;

/** A direct call. Its fields appear in log lines as they stand. */
export interface DirectCall {
  machine: MachineId;
  address: string;
  session: Session;
  fence: Fence;
  commands: Command[];
  /** Why each command is sent. */
  why: string[];
}

export interface DirectCallsOptions {
  call: HttpCall;
  clock: Clock;
  logger: Logger;
  term: Term;
  /** Maximum number of open calls. Each machine also keeps a connection open for its reports. */
  maxOpen: number;
  /** Called when a call can be opened for a machine that waited for one. */
  onCallAvailable: (machine: MachineId) => void;
}

/** Opens direct calls within a limit and queues machines above it. */
export class DirectCalls {
  /** Counts since this node began to lead. Refused calls are among the answered ones. */
  readonly totals = { sent: 0, answered: 0, refused: 0, givenUp: 0 };
  private openCount = 0;
  private stopped = false;
  /** Machines that wait until a call can be opened; those with stops of cancelled jobs come first. */
  private readonly urgentMachines = new Set<MachineId>();
  private readonly waitingMachines = new Set<MachineId>();

  constructor(private readonly options: DirectCallsOptions) {}

  get currentlyOpen(): number {
    return this.openCount;
  }

  get hasCapacity(): boolean {
    return this.openCount < this.options.maxOpen;
  }

  /** Queues a machine; `onCallAvailable` is called with it once a call can be opened. */
  enqueue(machine: MachineId, isUrgent: boolean): void {
    (isUrgent ? this.urgentMachines : this.waitingMachines).add(machine);
  }

  /** Removes a machine from the queue, once its commands have been sent another way. */
  dequeue(machine: MachineId): void {
    this.urgentMachines.delete(machine);
    this.waitingMachines.delete(machine);
  }

  /**
   * Opens a call. `onResponse` gets the response, or null if the call was given up; it is not called after
   * `stop`.
   */
  send(call: DirectCall, onResponse: (response: HttpResponse | null) => void): CallNumber {
    const { clock, logger, term } = this.options;
    const number = ++this.totals.sent as CallNumber;
    const sentAt = clock.steady();
    this.openCount++;
    logger.debug({ call: number, ...call }, 'direct call sent');
    const body = writeDirectCall(term, call.fence, call.session, call.commands);
    void this.options.call(call.address, 'POST', '/orders', body, DIRECT_CALL_TIMEOUT_MS).then((response) => {
      if (this.stopped) return;
      this.openCount--;
      this.totals[response ? 'answered' : 'givenUp']++;
      if (response?.status === STATUS_REFUSED) this.totals.refused++;
      const ms = Math.round(clock.steady() - sentAt);
      const { machine } = call;
      logger.debug(
        { call: number, machine, status: response?.status, ms },
        response ? 'answered' : 'given up',
      );
      onResponse(response);
      this.notifyWaiting();
    });
    return number;
  }

  stop(): void {
    this.stopped = true;
  }

  /** Offers the calls that can be opened now to the machines in the queue. */
  private notifyWaiting(): void {
    for (const machines of [this.urgentMachines, this.waitingMachines])
      for (const machine of machines) {
        if (!this.hasCapacity) return;
        machines.delete(machine);
        this.options.onCallAvailable(machine);
      }
  }
}
