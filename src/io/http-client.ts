/** HTTP client for workers, the state service and the cloud, with a pool of persistent connections. */
import net from 'node:net';
import { parseHostPort } from './address.js';
import { encodingOf, ResponseReader, writeRequest } from './http-message.js';

export interface HttpResponse {
  status: number;
  /** Parsed JSON; undefined if the body is empty or malformed. */
  body: unknown;
}

/** Resolves to null if there was no response: the request may have been carried out, or may be later. */
export type HttpCall = (
  address: string,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body: unknown,
  timeoutMs: number,
) => Promise<HttpResponse | null>;

/** How long an idle connection is kept. */
const IDLE_MS = 8000;
const MAX_IDLE_PER_ADDRESS = 4;

/** Whether an idle connection may be kept, given the number of open ones. */
type MayKeep = (openConnections: number) => boolean;
type Settle = (response: HttpResponse | null) => void;

function parseResponse(status: number, text: string): HttpResponse {
  try {
    return { status, body: text ? (JSON.parse(text) as unknown) : undefined };
  } catch {
    return { status, body: undefined };
  }
}

/** One connection, which carries one request at a time. */
class ClientConnection {
  private readonly socket: net.Socket;
  private reader: ResponseReader | null = null;
  private settle: Settle | null = null;

  constructor(
    address: string,
    /** Called when the connection can carry another request. */
    private readonly onIdle: (connection: ClientConnection) => void,
    /** Called when the connection is closed. */
    private readonly onClosed: (connection: ClientConnection) => void,
  ) {
    this.socket = net.connect({ ...parseHostPort(address), noDelay: true });
    this.socket.on('data', (bytes: Buffer) => this.receive(bytes));
    this.socket.on('end', () => this.finish(this.reader?.end() ?? null));
    this.socket.on('error', () => this.destroy());
    this.socket.on('timeout', () => this.destroy());
    this.socket.on('close', () => {
      this.settleRequest(null);
      this.onClosed(this);
    });
  }

  send(text: string, settle: Settle): void {
    this.reader = new ResponseReader();
    this.settle = settle;
    this.socket.write(text, encodingOf(text));
  }

  /** Closes the connection if it stays unused for `IDLE_MS`. */
  startIdleTimeout(): void {
    this.socket.setTimeout(IDLE_MS);
  }

  stopIdleTimeout(): void {
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
    this.settleRequest(parseResponse(response.status, response.body));
    if (!response.close) this.onIdle(this);
  }

  private settleRequest(response: HttpResponse | null): void {
    const { settle } = this;
    this.reader = null;
    this.settle = null;
    settle?.(response);
  }
}

/** Connections by address; the most recently used is reused first, and idle ones are kept while allowed. */
class ConnectionPool {
  private readonly idle = new Map<string, ClientConnection[]>();
  private openConnections = 0;

  constructor(private readonly mayKeep: MayKeep) {}

  take(address: string): ClientConnection {
    const kept = this.idle.get(address)?.pop();
    if (kept) {
      kept.stopIdleTimeout();
      return kept;
    }
    this.openConnections++;
    return new ClientConnection(
      address,
      (connection) => this.keep(address, connection),
      (connection) => this.forget(address, connection),
    );
  }

  private keep(address: string, connection: ClientConnection): void {
    const kept = this.idle.get(address) ?? [];
    if (kept.length >= MAX_IDLE_PER_ADDRESS || !this.mayKeep(this.openConnections))
      return connection.destroy();
    this.idle.set(address, kept);
    kept.push(connection);
    connection.startIdleTimeout();
  }

  private forget(address: string, connection: ClientConnection): void {
    this.openConnections--;
    const kept = this.idle.get(address)?.filter((other) => other !== connection);
    if (kept && kept.length > 0) this.idle.set(address, kept);
    else this.idle.delete(address);
  }
}

/** Creates the function that sends requests, with a connection pool of its own. */
export function createHttpCall(mayKeep: MayKeep = () => true): HttpCall {
  const pool = new ConnectionPool(mayKeep);
  return (address, method, path, body, timeoutMs) =>
    new Promise((resolve) => {
      const text = body === undefined ? undefined : JSON.stringify(body);
      const connection = pool.take(address);
      // A connection whose request was not answered in time is closed, never reused.
      const timer = setTimeout(() => connection.destroy(), timeoutMs);
      connection.send(writeRequest(method, address, path, text), (response) => {
        clearTimeout(timer);
        resolve(response);
      });
    });
}
