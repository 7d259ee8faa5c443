/**
 * Direct calls to workers: a bounded number open at once, each with a number of its own, its fate logged at
 * `debug` and counted. Machines for which no call was free are offered again as calls end.
 */
import type { Command, Fence, MachineId, Session, Term } from '../core/types.js';
import type { CallNumber } from '../core/unsettled-calls.js';
import type { Clock } from '../io/clock.js';
import type { HttpResponse, HttpCall } from '../io/http-client.js';
import type { Logger } from '../io/logger.js';
import { writeDirectCall } from '../wire/schemas.js';

/** A call without an answer is given up after so long; it may still be carried out later. */
export const DIRECT_CALL_MS = 2000;

export interface DirectCall {
  machine: MachineId;
  address: string;
  session: Session;
  fence: Fence;
  commands: Command[];
}

export interface DirectCallsOptions {
  call: HttpCall;
  clock: Clock;
  logger: Logger;
  term: Term;
  /** Calls open at once: every machine keeps a connection for its reports besides. */
  mostOpen: number;
  /** A call is free for a machine that waited for one. */
  onFree: (machine: MachineId) => void;
}

export class DirectCalls {
  /** Counts since this node began to lead. */
  readonly totals = { sent: 0, answered: 0, givenUp: 0 };
  private open = 0;
  private stopped = false;
  /** Machines that wait for a free call; those with stops of cancelled jobs are served first. */
  private readonly urgent = new Set<MachineId>();
  private readonly waiting = new Set<MachineId>();

  constructor(private readonly options: DirectCallsOptions) {}

  get openNow(): number {
    return this.open;
  }

  get isFree(): boolean {
    return this.open < this.options.mostOpen;
  }

  /** `onFree` is told of the machine when a call is free. */
  wait(machine: MachineId, isUrgent: boolean): void {
    (isUrgent ? this.urgent : this.waiting).add(machine);
  }

  /** What the machine waited to be told has travelled otherwise. */
  waitNoMore(machine: MachineId): void {
    this.urgent.delete(machine);
    this.waiting.delete(machine);
  }

  /** Sends a call; `then` gets its answer, or null when it was given up. Not called after `stop`. */
  send(call: DirectCall, then: (answer: HttpResponse | null) => void): CallNumber {
    const { clock, logger, term } = this.options;
    const number = ++this.totals.sent as CallNumber;
    const sentAt = clock.steady();
    this.open++;
    logger.debug({ call: number, ...call }, 'direct call sent');
    const body = writeDirectCall(term, call.fence, call.session, call.commands);
    void this.options.call(call.address, 'POST', '/orders', body, DIRECT_CALL_MS).then((answer) => {
      if (this.stopped) return;
      this.open--;
      this.totals[answer ? 'answered' : 'givenUp']++;
      const ms = Math.round(clock.steady() - sentAt);
      const { machine } = call;
      logger.debug({ call: number, machine, status: answer?.status, ms }, answer ? 'answered' : 'given up');
      then(answer);
      this.offerFree();
    });
    return number;
  }

  stop(): void {
    this.stopped = true;
  }

  private offerFree(): void {
    for (const machines of [this.urgent, this.waiting])
      for (const machine of machines) {
        if (!this.isFree) return;
        machines.delete(machine);
        this.options.onFree(machine);
      }
  }
}
