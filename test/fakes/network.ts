import type { HttpResponse, HttpCall } from '../../src/io/http-client.js';
import type { VirtualTime } from './clock.js';

/** Answers a request; null leaves it without an answer. */
export type Handler = (
  method: string,
  path: string,
  body: unknown,
) => HttpResponse | Promise<HttpResponse> | null;

const hostOf = (address: string): string => address.replace(/:.*/, '');

/**
 * Carries requests between simulated hosts. Requests across a cut are dropped, or with `hold` delivered once
 * the cut is over.
 */
export class FakeNetwork {
  private readonly handlers = new Map<string, Handler>();
  private readonly cuts: { a: string; b: string; hold: boolean; until: number }[] = [];
  /** Hosts that receive neither requests nor answers, and until when. */
  private readonly inboundDroppedUntil = new Map<string, number>();
  /** Share of workers' reports of which a delayed duplicate arrives at each node. */
  duplicateShare = 0;
  /** Delay of a duplicate. */
  duplicateDelayMs = (): number => 1000 + this.random() * 40_000;

  constructor(
    readonly time: VirtualTime,
    private readonly random: () => number,
  ) {}

  /** Handles the requests to an address, such as `n0:80`. */
  listen(address: string, handler: Handler): void {
    this.handlers.set(address, handler);
  }
  close(address: string): void {
    this.handlers.delete(address);
  }

  /**
   * Additional delay of a request. The caller's timeout runs from the sending, so a long delay leaves no
   * answer.
   */
  requestDelayMs: (address: string, body: unknown, path: string, from: string) => number = () => 0;

  /**
   * When copies of a request that was carried out and answered reach its receiver again, in milliseconds
   * after the answer. Nobody waits for the answers to the copies.
   */
  copyDelaysMs: (address: string, path: string) => readonly number[] = () => [];
  /** Number of copies that were carried out, by path. */
  readonly copiesDelivered = new Map<string, number>();

  /** Additional delay of the answer to a request, which itself is carried out without delay. */
  responseDelayMs: (address: string, path: string) => number = () => 0;

  /** Cuts the connection between two addresses; '*' stands for every address. */
  cut(a: string, b: string, ms: number, hold = false): void {
    this.cuts.push({ a, b, hold, until: this.time.now + ms });
  }

  /** Pauses a host: what arrives meanwhile waits in its sockets. */
  freeze(host: string, ms: number): void {
    this.frozenUntil.set(host, this.time.now + ms);
  }
  private readonly frozenUntil = new Map<string, number>();

  /** Runs at once, or when the host resumes. */
  private whenResumed(address: string, run: () => void): void {
    const until = this.frozenUntil.get(hostOf(address)) ?? 0;
    if (until > this.time.now) this.time.after(until - this.time.now, () => this.whenResumed(address, run));
    else run();
  }

  /** Cuts a group of hosts off from all others; within the group they reach each other. */
  partition(inside: (host: string) => boolean, ms: number, hold = false): void {
    this.partitions.push({ inside, hold, until: this.time.now + ms });
  }
  private readonly partitions: { inside: (host: string) => boolean; hold: boolean; until: number }[] = [];

  /** Requests of each host to machines: how many are open now, and the highest number at once. */
  readonly callsToWorkers = new Map<string, { open: number; most: number }>();

  /** Drops a worker's requests to controllers; requests to the worker get through, and so do its answers. */
  dropReports(host: string, ms: number): void {
    this.reportsDroppedUntil.set(host, this.time.now + ms);
  }
  private readonly reportsDroppedUntil = new Map<string, number>();

  /** Whether a host is paused or any of its traffic is cut or dropped now. */
  isUnreachable(host: string): boolean {
    const now = this.time.now;
    const until = [this.inboundDroppedUntil, this.reportsDroppedUntil, this.frozenUntil].map(
      (m) => m.get(host) ?? 0,
    );
    return (
      Math.max(...until) > now ||
      this.cuts.some((c) => c.until > now && [c.a, c.b].some((address) => hostOf(address) === host)) ||
      this.partitions.some((p) => p.until > now && p.inside(host))
    );
  }

  /** Number of requests that arrived at each address. */
  readonly requestCounts = new Map<string, number>();

  /** Drops the requests and answers to a host; what it sends gets through. */
  dropIncoming(host: string, ms: number): void {
    this.inboundDroppedUntil.set(host, this.time.now + ms);
  }

  private receives(address: string): boolean {
    return (this.inboundDroppedUntil.get(hostOf(address)) ?? 0) <= this.time.now;
  }

  private duplicateLater(path: string, body: string | undefined): void {
    if (
      path !== '/hello' ||
      body === undefined ||
      this.duplicateShare === 0 ||
      this.random() >= this.duplicateShare
    )
      return;
    this.time.after(this.duplicateDelayMs(), () => {
      for (const [address, handler] of this.handlers)
        if (address.endsWith(':80')) void handler('POST', path, JSON.parse(body));
    });
  }

  /** Delivers the late copies of a request that was just answered. */
  private deliverCopies(from: string, address: string, method: string, path: string, text?: string): void {
    for (const ms of this.copyDelaysMs(address, path))
      this.time.after(ms, () =>
        this.whenResumed(address, () => {
          const handler = this.handlers.get(address);
          if (!handler || this.cutBetween(from, address) || !this.receives(address)) return;
          this.copiesDelivered.set(path, (this.copiesDelivered.get(path) ?? 0) + 1);
          void handler(method, path, text === undefined ? undefined : JSON.parse(text));
        }),
      );
  }

  private cutBetween(x: string, y: string): { hold: boolean; until: number } | undefined {
    const matches = (pattern: string, address: string): boolean => pattern === '*' || pattern === address;
    return (
      this.cuts.find(
        (c) =>
          c.until > this.time.now &&
          ((matches(c.a, x) && matches(c.b, y)) || (matches(c.a, y) && matches(c.b, x))),
      ) ?? this.partitions.find((p) => p.until > this.time.now && p.inside(hostOf(x)) !== p.inside(hostOf(y)))
    );
  }

  /** Usual delay of a request or an answer, in ms. */
  delay(): number {
    return 1 + this.random() * 4;
  }

  /** A client for a host. Answers are ignored once `alive` returns false. */
  caller(from: string, alive: () => boolean): HttpCall {
    return (address, method, path, body, timeoutMs) =>
      new Promise((resolve) => {
        let open = true;
        const calls = this.callsToWorkers.get(from) ?? { open: 0, most: 0 };
        this.callsToWorkers.set(from, calls);
        if (address.startsWith('vm-')) calls.most = Math.max(calls.most, ++calls.open);
        const settle = (answer: HttpResponse | null): void => {
          if (!open) return;
          open = false;
          if (address.startsWith('vm-')) calls.open--;
          if (!alive()) return;
          resolve(answer);
        };
        this.time.after(timeoutMs, () => this.whenResumed(from, () => settle(null)));
        const text = body === undefined ? undefined : JSON.stringify(body);
        const arrive = (): void => this.whenResumed(address, deliver);
        const deliver = (): void => {
          const cut = this.cutBetween(from, address);
          if (cut) {
            if (cut.hold) this.time.after(cut.until - this.time.now + 1, arrive);
            return;
          }
          if (address.endsWith(':80') && (this.reportsDroppedUntil.get(from) ?? 0) > this.time.now) return;
          if (!this.receives(address)) return;
          this.requestCounts.set(address, (this.requestCounts.get(address) ?? 0) + 1);
          this.duplicateLater(path, text);
          const handler = this.handlers.get(address);
          if (!handler) return void this.time.after(this.delay(), () => settle(null));
          void Promise.resolve(handler(method, path, text === undefined ? undefined : JSON.parse(text))).then(
            (answer) => {
              if (!answer) return;
              this.deliverCopies(from, address, method, path, text);
              const json = JSON.stringify(answer.body);
              this.time.after(this.delay() + this.responseDelayMs(address, path), () => {
                if (this.cutBetween(from, address) || !this.receives(from)) return;
                this.whenResumed(from, () =>
                  settle({ status: answer.status, body: json === undefined ? undefined : JSON.parse(json) }),
                );
              });
            },
          );
        };
        this.time.after(this.delay() + this.requestDelayMs(address, body, path, from), arrive);
      });
  }
}
