import { Subject, type Subscription } from 'rxjs';

/** Owns its state; the others speak to it by messages only, one at a time, in order. */
export abstract class Actor<M> {
  private readonly inbox = new Subject<M>();
  private readonly sub: Subscription;
  protected stopped = false;

  constructor() {
    this.sub = this.inbox.subscribe((m) => this.receive(m));
  }

  tell(m: M): void {
    if (!this.stopped) this.inbox.next(m);
  }

  protected abstract receive(m: M): void;

  stop(): void {
    this.stopped = true;
    this.sub.unsubscribe();
  }
}
