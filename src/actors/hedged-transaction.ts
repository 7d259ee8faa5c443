/** Hedged requests: a transaction is sent again until an answer to any of its copies tells its result. */
import type { Clock } from '../io/clock.js';
import type { TransactionResult } from '../wire/state-service.js';

/** Time without an answer after which another copy is sent. */
const HEDGE_DELAY_MS = 1200;
/** The most copies that may be without an answer at once. */
const MAX_OPEN_COPIES = 4;
/** Time-out of one copy: with a copy sent per delay, the most copies are open at once. */
export const COPY_TIMEOUT_MS = HEDGE_DELAY_MS * MAX_OPEN_COPIES;

type ConclusiveResult = Exclude<TransactionResult, { outcome: 'unknown' }>;

/**
 * A transaction whose copies all stay open: the answer to an earlier copy counts although a later one was
 * sent. If each copy were given up when the next is sent, no write would succeed while answers take longer
 * than the delay between copies.
 */
export class HedgedTransaction {
  private openCopies = 0;
  private readonly results: ConclusiveResult[] = [];
  private wakeUp: (() => void) | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly send: () => Promise<TransactionResult>,
  ) {}

  /**
   * Sends another copy, if not too many are open, and waits for an answer to any copy until the next one is
   * due; `unknown` when none tells the result.
   */
  async next(): Promise<TransactionResult> {
    if (this.results.length === 0) {
      if (this.openCopies < MAX_OPEN_COPIES) this.sendCopy();
      await this.waitForResult();
    }
    return this.results.shift() ?? { outcome: 'unknown' };
  }

  private sendCopy(): void {
    this.openCopies++;
    void this.send().then((result) => {
      this.openCopies--;
      if (result.outcome !== 'unknown') this.results.push(result);
      if (result.outcome !== 'unknown' || this.openCopies === 0) this.wakeUp?.();
    });
  }

  private waitForResult(): Promise<void> {
    return new Promise((resolve) => {
      const cancel = this.clock.after(HEDGE_DELAY_MS, resolve);
      this.wakeUp = () => {
        cancel();
        resolve();
      };
    });
  }
}
