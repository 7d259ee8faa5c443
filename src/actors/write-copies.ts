/** A transaction that is repeated until an answer to any of its copies says what became of it. */
import type { Clock } from '../io/clock.js';
import type { TransactionResult } from '../wire/store.js';

/** A copy without an answer is followed by another after so long. */
const REPEAT_MS = 1200;
/** Copies whose answers are waited for at once. */
const MOST_OPEN = 4;
/** An answer is waited for as long as that many copies take. */
export const COPY_TIMEOUT_MS = REPEAT_MS * MOST_OPEN;

type Conclusion = Exclude<TransactionResult, { r: 'unknown' }>;

/**
 * Guards log writes against answers that take long: a copy's answer counts though a later copy was sent. Giving the
 * first one up would let no write get through while every answer takes longer than the repeat.
 */
export class HedgedTransaction {
  private open = 0;
  private readonly conclusions: Conclusion[] = [];
  private wake: (() => void) | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly send: () => Promise<TransactionResult>,
  ) {}

  /** Sends another copy, if not too many are open, and waits for an answer to any; `unknown` when none came. */
  async next(): Promise<TransactionResult> {
    if (this.conclusions.length === 0) {
      if (this.open < MOST_OPEN) this.sendCopy();
      await this.answerOrRepeat();
    }
    return this.conclusions.shift() ?? { outcome: 'unknown' };
  }

  private sendCopy(): void {
    this.open++;
    void this.send().then((result) => {
      this.open--;
      if (result.outcome !== 'unknown') this.conclusions.push(result);
      if (result.outcome !== 'unknown' || this.open === 0) this.wake?.();
    });
  }

  private answerOrRepeat(): Promise<void> {
    return new Promise((resolve) => {
      const cancel = this.clock.after(REPEAT_MS, resolve);
      this.wake = () => {
        cancel();
        resolve();
      };
    });
  }
}
