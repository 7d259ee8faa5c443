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
  private highestAnsweredFence: Fence | null = null;

  /** Number of calls without an answer that the worker may still carry out. */
  get unansweredCount(): number {
    return this.unanswered.size;
  }

  /**
   * The highest fence of the answered calls of which copies may still be carried out; null when there is none.
   * A worker that forgets an attempt has to see a higher one.
   */
  get answeredFence(): Fence | null {
    return this.highestAnsweredFence;
  }

  sent(call: StartCall): void {
    this.unanswered.set(call.number, call);
  }

  /** The call was answered: it was carried out or refused. Copies of it may still arrive. */
  answered(number: CallNumber): void {
    const call = this.unanswered.get(number);
    if (!call) return;
    this.unanswered.delete(number);
    this.highestAnsweredFence = Math.max(this.highestAnsweredFence ?? 0, call.fence) as Fence;
  }

  /** A report shows this fence: calls under lower ones were carried out before it, or never will be. */
  fenceReported(fence: Fence): void {
    for (const call of this.unanswered.values()) if (call.fence < fence) this.unanswered.delete(call.number);
    if (this.highestAnsweredFence !== null && this.highestAnsweredFence < fence)
      this.highestAnsweredFence = null;
  }

  /** The highest fence of the unanswered calls that may start an attempt; null when there is no such call. */
  highestFenceOf(attempt: AttemptKey): Fence | null {
    let highest: Fence | null = null;
    for (const { attempts, fence } of this.unanswered.values())
      if (attempts.has(attempt) && (highest === null || fence > highest)) highest = fence;
    return highest;
  }
}
