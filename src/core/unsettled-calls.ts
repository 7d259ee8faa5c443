/**
 * Direct calls to one worker that contain starts and may still take effect.
 *
 * Each call is settled on its own: the answer to one says nothing about another that timed out, which may
 * arrive minutes later. A call without an answer is settled by a report that shows a fence above the call's
 * own (from then on the worker drops the call), or by a new session of the worker.
 */
import type { Brand, Fence } from './types.js';

/** Number of a direct call; unique within the leader's term. */
export type CallNumber = Brand<number, 'CallNumber'>;
/** Identifies one attempt of one task, see attemptKey(). */
export type AttemptKey = string;

/** A direct call that contains starts. */
export interface StartCall {
  number: CallNumber;
  /** The call's fence: a worker that has seen a higher one drops the call. */
  fence: Fence;
  /** The attempts that it starts. */
  attempts: ReadonlySet<AttemptKey>;
}

export class UnsettledCalls {
  private readonly calls = new Map<CallNumber, StartCall>();

  get size(): number {
    return this.calls.size;
  }

  sent(call: StartCall): void {
    this.calls.set(call.number, call);
  }

  /** The call was answered: it was carried out or refused, and will not be carried out later. */
  answered(number: CallNumber): void {
    this.calls.delete(number);
  }

  /** A report shows this fence: calls under lower ones were carried out before it, or never will be. */
  fenceReported(fence: Fence): void {
    for (const call of this.calls.values()) if (call.fence < fence) this.calls.delete(call.number);
  }

  /** The highest fence of the calls that may still start an attempt; null when there is no such call. */
  highestFenceOf(attempt: AttemptKey): Fence | null {
    let highest: Fence | null = null;
    for (const { attempts, fence } of this.calls.values())
      if (attempts.has(attempt) && (highest === null || fence > highest)) highest = fence;
    return highest;
  }
}
