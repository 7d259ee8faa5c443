/** HTTP requests to workers, the state service and the cloud, over connections that are kept and reused. */
import net from 'node:net';
import { parseHostPort } from './address.js';
import { encodingOf, ResponseReader, writeRequest } from './http-message.js';

export interface HttpResponse {
  status: number;
  body: unknown;
}

/** null: no answer; the request may or may not have been carried out, now or later. */
export type HttpCall = (
  address: string,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body: unknown,
  timeoutMs: number,
) => Promise<HttpResponse | null>;

/** How long a connection is kept with nothing to do. */
const IDLE_MS = 8000;
const MAX_IDLE_PER_ADDRESS = 4;

/** Whether another connection may be kept, when so many are open. */
type MayKeep = (open: number) => boolean;
type Settle = (answer: HttpResponse | null) => void;

function parseAnswer(status: number, text: string): HttpResponse {
  try {
    return { status, body: text ? (JSON.parse(text) as unknown) : undefined };
  } catch {
    return { status, body: undefined };
  }
}

/** One connection: carries one request at a time. */
class ClientConnection {
  private readonly socket: net.Socket;
  private reader: ResponseReader | null = null;
  private settle: Settle | null = null;

  constructor(
    address: string,
    /** Told once the connection is usable for another request, or is gone for good. */
    private readonly onIdle: (connection: ClientConnection) => void,
    private readonly onClosed: (connection: ClientConnection) => void,
  ) {
    this.socket = net.connect({ ...parseHostPort(address), noDelay: true });
    this.socket.on('data', (bytes: Buffer) => this.receive(bytes));
    this.socket.on('end', () => this.finish(this.reader?.end() ?? null));
    this.socket.on('error', () => this.destroy());
    this.socket.on('timeout', () => this.destroy());
    this.socket.on('close', () => {
      this.answer(null);
      this.onClosed(this);
    });
  }

  send(text: string, settle: Settle): void {
    this.reader = new ResponseReader();
    this.settle = settle;
    this.socket.write(text, encodingOf(text));
  }

  /** Nothing is under way: the connection closes by itself after a while. */
  idle(): void {
    this.socket.setTimeout(IDLE_MS);
  }

  busy(): void {
    this.socket.setTimeout(0);
  }

  destroy(): void {
    this.socket.destroy();
  }

  private receive(bytes: Buffer): void {
    if (!this.reader) return this.destroy();
    try {
      const response = this.reader.read(bytes);
      if (response) this.finish(response);
    } catch {
      this.destroy();
    }
  }

  private finish(response: { status: number; body: string; close: boolean } | null): void {
    if (!response || response.close) this.destroy();
    if (!response) return;
    this.answer(parseAnswer(response.status, response.body));
    if (!response.close) this.onIdle(this);
  }

  private answer(answer: HttpResponse | null): void {
    const { settle } = this;
    this.reader = null;
    this.settle = null;
    settle?.(answer);
  }
}

/** Connections by address; idle ones are reused, the latest first, and kept only while sockets are to spare. */
class ConnectionPool {
  private readonly idle = new Map<string, ClientConnection[]>();
  private open = 0;

  constructor(private readonly mayKeep: MayKeep) {}

  take(address: string): ClientConnection {
    const kept = this.idle.get(address)?.pop();
    if (kept) {
      kept.busy();
      return kept;
    }
    this.open++;
    return new ClientConnection(
      address,
      (connection) => this.keep(address, connection),
      (connection) => this.forget(address, connection),
    );
  }

  private keep(address: string, connection: ClientConnection): void {
    const kept = this.idle.get(address) ?? [];
    if (kept.length >= MAX_IDLE_PER_ADDRESS || !this.mayKeep(this.open)) return connection.destroy();
    this.idle.set(address, kept);
    kept.push(connection);
    connection.idle();
  }

  private forget(address: string, connection: ClientConnection): void {
    this.open--;
    const kept = this.idle.get(address)?.filter((other) => other !== connection);
    if (kept && kept.length > 0) this.idle.set(address, kept);
    else this.idle.delete(address);
  }
}

export function createHttpCall(mayKeep: MayKeep = () => true): HttpCall {
  const pool = new ConnectionPool(mayKeep);
  return (address, method, path, body, timeoutMs) =>
    new Promise((resolve) => {
      const text = body === undefined ? undefined : JSON.stringify(body);
      const connection = pool.take(address);
      // No connection is kept on trust: one that did not answer in time is not used again.
      const timer = setTimeout(() => connection.destroy(), timeoutMs);
      connection.send(writeRequest(method, address, path, text), (answer) => {
        clearTimeout(timer);
        resolve(answer);
      });
    });
}
