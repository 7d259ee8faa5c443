import { Subject, type Subscription } from 'rxjs';

/** Owns its state. Others communicate with it only by messages, handled one at a time and in order. */
export abstract class Actor<Message> {
  private readonly inbox = new Subject<Message>();
  private readonly subscription: Subscription;
  protected stopped = false;

  constructor() {
    this.subscription = this.inbox.subscribe((message) => this.receive(message));
  }

  tell(message: Message): void {
    if (!this.stopped) this.inbox.next(message);
  }

  protected abstract receive(message: Message): void;

  stop(): void {
    this.stopped = true;
    this.subscription.unsubscribe();
  }
}
