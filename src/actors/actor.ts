import { Subject, type Subscription } from 'rxjs';

/**
 * Base class of components that alone change their state. Others send them messages, which are handled
 * synchronously and in the order in which they are sent.
 */
export abstract class Actor<Message> {
  private readonly inbox = new Subject<Message>();
  private readonly subscription: Subscription;
  protected stopped = false;

  constructor() {
    this.subscription = this.inbox.subscribe((message) => this.receive(message));
  }

  /** Delivers a message; ignored after `stop`. */
  tell(message: Message): void {
    if (!this.stopped) this.inbox.next(message);
  }

  protected abstract receive(message: Message): void;

  stop(): void {
    this.stopped = true;
    this.subscription.unsubscribe();
  }
}
