import type { HttpResponse, HttpCall } from '../../src/io/http-client.js';
import type { VirtualTime } from './clock.js';

export type Handler = (
  method: string,
  path: string,
  body: unknown,
) => HttpResponse | Promise<HttpResponse> | null;

const hostOf = (address: string): string => address.replace(/:.*/, '');

/** Carries requests between hosts; cuts drop them or hold them until the cut is over. */
export class FakeNetwork {
  private readonly hosts = new Map<string, Handler>();
  private readonly cuts: { a: string; b: string; hold: boolean; until: number }[] = [];
  /** Hosts that send but don't receive: no answer and no request reaches them. */
  private readonly deaf = new Map<string, number>();
  /** Share of workers' reports of which a copy comes late, at any node. */
  duplicateShare = 0;
  duplicateDelayMs = (): number => 1000 + this.random() * 40_000;

  constructor(
    readonly time: VirtualTime,
    private readonly random: () => number,
  ) {}

  listen(address: string, h: Handler): void {
    this.hosts.set(address, h);
  }
  close(address: string): void {
    this.hosts.delete(address);
  }

  /** How long a request is held back on its way, in ms; 0: not at all. Whoever sent it gets no answer. */
  requestDelayMs: (address: string, body: unknown, path: string) => number = () => 0;

  /** How long the answer to a request is held back on its way, in ms: it was carried out in time. */
  responseDelayMs: (address: string, path: string) => number = () => 0;

  /** '*' stands for every host. */
  cut(a: string, b: string, ms: number, hold = false): void {
    this.cuts.push({ a, b, hold, until: this.time.now + ms });
  }

  /** A host that stands still: what comes meanwhile waits in its sockets. */
  freeze(host: string, ms: number): void {
    this.frozen.set(host, this.time.now + ms);
  }
  private readonly frozen = new Map<string, number>();

  /** Runs at once, or when the host goes on. */
  private awake(address: string, run: () => void): void {
    const until = this.frozen.get(hostOf(address)) ?? 0;
    if (until > this.time.now) this.time.after(until - this.time.now, () => this.awake(address, run));
    else run();
  }

  /** A zone that is cut off: its hosts reach each other and nobody else. */
  partition(inside: (host: string) => boolean, ms: number, hold = false): void {
    this.partitions.push({ inside, hold, until: this.time.now + ms });
  }
  private readonly partitions: { inside: (host: string) => boolean; hold: boolean; until: number }[] = [];

  /** Requests from a host to machines that are open at once, and the most there were. */
  readonly callsToWorkers = new Map<string, { open: number; most: number }>();

  /** A host whose requests to controllers are lost, while it is reached and answers. */
  dropReports(host: string, ms: number): void {
    this.muted.set(host, this.time.now + ms);
  }
  private readonly muted = new Map<string, number>();

  /** Whether a host is cut off, deaf, mute or stands still now. */
  isUnreachable(host: string): boolean {
    const now = this.time.now;
    const until = [this.deaf, this.muted, this.frozen].map((m) => m.get(host) ?? 0);
    return (
      Math.max(...until) > now ||
      this.cuts.some((c) => c.until > now && [c.a, c.b].some((x) => hostOf(x) === host)) ||
      this.partitions.some((p) => p.until > now && p.inside(host))
    );
  }

  /** Requests that arrived at each address. */
  readonly requestCounts = new Map<string, number>();

  dropIncoming(host: string, ms: number): void {
    this.deaf.set(host, this.time.now + ms);
  }

  private hears(address: string): boolean {
    return (this.deaf.get(hostOf(address)) ?? 0) <= this.time.now;
  }

  private copyLater(path: string, body: string | undefined): void {
    if (
      path !== '/hello' ||
      body === undefined ||
      this.duplicateShare === 0 ||
      this.random() >= this.duplicateShare
    )
      return;
    this.time.after(this.duplicateDelayMs(), () => {
      for (const [a, h] of this.hosts) if (a.endsWith(':80')) void h('POST', path, JSON.parse(body));
    });
  }

  private cutBetween(x: string, y: string): { hold: boolean; until: number } | undefined {
    const is = (p: string, q: string): boolean => p === '*' || p === q;
    return (
      this.cuts.find(
        (c) => c.until > this.time.now && ((is(c.a, x) && is(c.b, y)) || (is(c.a, y) && is(c.b, x))),
      ) ?? this.partitions.find((p) => p.until > this.time.now && p.inside(hostOf(x)) !== p.inside(hostOf(y)))
    );
  }

  delay(): number {
    return 1 + this.random() * 4;
  }

  caller(from: string, alive: () => boolean): HttpCall {
    return (address, method, path, body, timeoutMs) =>
      new Promise((resolve) => {
        let open = true;
        const calls = this.callsToWorkers.get(from) ?? { open: 0, most: 0 };
        this.callsToWorkers.set(from, calls);
        if (address.startsWith('vm-')) calls.most = Math.max(calls.most, ++calls.open);
        const end = (a: HttpResponse | null): void => {
          if (!open) return;
          open = false;
          if (address.startsWith('vm-')) calls.open--;
          if (!alive()) return;
          resolve(a);
        };
        this.time.after(timeoutMs, () => this.awake(from, () => end(null)));
        const text = body === undefined ? undefined : JSON.stringify(body);
        const arrive = (): void => this.awake(address, deliver);
        const deliver = (): void => {
          const cut = this.cutBetween(from, address);
          if (cut) {
            if (cut.hold) this.time.after(cut.until - this.time.now + 1, arrive);
            return;
          }
          if (address.endsWith(':80') && (this.muted.get(from) ?? 0) > this.time.now) return;
          if (!this.hears(address)) return;
          this.requestCounts.set(address, (this.requestCounts.get(address) ?? 0) + 1);
          this.copyLater(path, text);
          const h = this.hosts.get(address);
          if (!h) return void this.time.after(this.delay(), () => end(null));
          void Promise.resolve(h(method, path, text === undefined ? undefined : JSON.parse(text))).then(
            (a) => {
              if (!a) return;
              const back = JSON.stringify(a.body);
              this.time.after(this.delay() + this.responseDelayMs(address, path), () => {
                if (this.cutBetween(from, address) || !this.hears(from)) return;
                this.awake(from, () =>
                  end({ status: a.status, body: back === undefined ? undefined : JSON.parse(back) }),
                );
              });
            },
          );
        };
        this.time.after(this.delay() + this.requestDelayMs(address, body, path), arrive);
      });
  }
}
