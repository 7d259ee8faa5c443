/**
 * Direct calls to one worker that carried starts and may still be carried out.
 *
 * Each call settles for itself: the answer to one says nothing of another that was given up, which may arrive
 * minutes later. What settles a call that got no answer is a report that shows a fence above the call's own
 * (the worker drops it from then on), or a new session of the worker.
 */
import type { Brand, Fence } from './types.js';

/** Numbers the direct calls of one leader; unique within its term. */
export type CallNumber = Brand<number, 'CallNumber'>;
/** Names one attempt of one task, see `attemptKey`. */
export type AttemptKey = string;

export interface StartCall {
  number: CallNumber;
  /** The fence that the call carries: a worker that has seen a higher one drops it. */
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

  /** The call was answered: it was carried out or refused, and won't be again. */
  answered(number: CallNumber): void {
    this.calls.delete(number);
  }

  /** The worker has shown this fence: calls under lower ones were carried out before, or never will be. */
  fenceReported(fence: Fence): void {
    for (const call of this.calls.values()) if (call.fence < fence) this.calls.delete(call.number);
  }

  /** The highest fence of the calls that may still start an attempt; null when there is none. */
  highestFenceOf(attempt: AttemptKey): Fence | null {
    let highest: Fence | null = null;
    for (const { attempts, fence } of this.calls.values())
      if (attempts.has(attempt) && (highest === null || fence > highest)) highest = fence;
    return highest;
  }
}
