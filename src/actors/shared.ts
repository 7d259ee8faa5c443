import { sleep, type Clock } from '../io/clock.js';

/**
 * One run of something costly for all who ask meanwhile. A run that began before a question can't answer
 * it, so who asks during one waits for the next; runs keep a distance.
 */
export class Shared<T> {
  private now: Promise<T> | null = null;
  private next: Promise<T> | null = null;
  private at = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly apartMs: number,
    private readonly run: () => Promise<T>,
  ) {}

  get(): Promise<T> {
    if (!this.now) return (this.now = this.start());
    this.next ??= this.now.then(() => {
      this.next = null;
      return (this.now = this.start());
    });
    return this.next;
  }

  private async start(): Promise<T> {
    await sleep(this.clock, Math.max(0, this.at + this.apartMs - this.clock.steady()));
    this.at = this.clock.steady();
    try {
      return await this.run();
    } finally {
      this.now = null;
    }
  }
}
