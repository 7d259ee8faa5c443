/**
 * Direct calls to one worker that contain starts and may still take effect.
 *
 * A call is settled by a report that shows a fence above the call's own (from then on the worker drops every
 * copy of it), or by a new session of the worker. An answer settles neither its own call, since a copy of it
 * may arrive minutes later, nor any other. It shows only that the call was carried out, so that the worker
 * holds the attempts and ignores copies for as long as it has not forgotten them.
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
  private readonly unanswered = new Map<CallNumber, StartCall>();
  /** Attempts of answered calls, with the highest fence of these calls. */
  private readonly answeredStarts = new Map<AttemptKey, Fence>();
  private reportedFence = 0 as Fence;

  /** Number of calls without an answer that the worker may still carry out. */
  get unansweredCount(): number {
    return this.unanswered.size;
  }

  /** Number of attempts that a copy of an answered call would start, had the worker forgotten them. */
  get answeredStartCount(): number {
    return this.answeredStarts.size;
  }

  sent(call: StartCall): void {
    this.unanswered.set(call.number, call);
  }

  /** The call was answered: it was carried out or refused. Copies of it may still arrive. */
  answered(number: CallNumber): void {
    const call = this.unanswered.get(number);
    if (!call) return;
    this.unanswered.delete(number);
    if (call.fence < this.reportedFence) return;
    for (const attempt of call.attempts)
      if (call.fence >= (this.answeredStarts.get(attempt) ?? 0)) this.answeredStarts.set(attempt, call.fence);
  }

  /** A report shows this fence: calls under lower ones were carried out before it, or never will be. */
  fenceReported(fence: Fence): void {
    for (const call of this.unanswered.values()) if (call.fence < fence) this.unanswered.delete(call.number);
    if (fence <= this.reportedFence) return;
    this.reportedFence = fence;
    for (const [attempt, highest] of this.answeredStarts)
      if (highest < fence) this.answeredStarts.delete(attempt);
  }

  /** The highest fence of the unanswered calls that may start an attempt; null when there is no such call. */
  highestFenceOf(attempt: AttemptKey): Fence | null {
    let highest: Fence | null = null;
    for (const { attempts, fence } of this.unanswered.values())
      if (attempts.has(attempt) && (highest === null || fence > highest)) highest = fence;
    return highest;
  }

  /** The highest fence of the answered calls whose copies may start an attempt; null when there is none. */
  highestAnsweredFenceOf(attempt: AttemptKey): Fence | null {
    return this.answeredStarts.get(attempt) ?? null;
  }
}
