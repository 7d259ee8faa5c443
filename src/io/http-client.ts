import http from 'node:http';
import type net from 'node:net';
import { hostPort } from './address.js';

export interface HttpAnswer {
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
) => Promise<HttpAnswer | null>;

/** How long a connection is kept with nothing to do. */
const FREE_MS = 8000;

/** Keeps connections for later only while the node has sockets to spare. */
class SparingAgent extends http.Agent {
  private readonly mine = new Set<net.Socket>();

  constructor(private readonly spare: (mine: number) => boolean) {
    super({ keepAlive: true, maxFreeSockets: 4, scheduling: 'lifo', timeout: FREE_MS });
  }

  override keepSocketAlive(socket: net.Socket): boolean {
    if (!this.mine.has(socket)) {
      this.mine.add(socket);
      socket.once('close', () => this.mine.delete(socket));
    }
    if (!this.spare(this.mine.size)) return false;
    super.keepSocketAlive(socket);
    return true;
  }
}

/** spare: whether another connection may be kept, when so many are kept or were. */
export function httpCaller(spare: (mine: number) => boolean = () => true): HttpCall {
  // A socket to each of a thousand workers, beside the one that it reports on, would be over the limit.
  const agent = new SparingAgent(spare);
  return (address, method, path, body, timeoutMs) =>
    new Promise((resolve) => {
      const text = body === undefined ? undefined : JSON.stringify(body);
      let settled = false;
      const settle = (a: HttpAnswer | null): void => {
        if (settled) return;
        settled = true;
        clearTimeout(timer);
        resolve(a);
      };
      const req = http.request(
        {
          agent,
          ...hostPort(address),
          method,
          path,
          headers:
            text === undefined
              ? {}
              : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) },
        },
        (res) => {
          const parts: Buffer[] = [];
          res.on('data', (d: Buffer) => parts.push(d));
          res.on('error', () => settle(null));
          res.on('aborted', () => settle(null));
          res.on('end', () => {
            const raw = Buffer.concat(parts).toString();
            try {
              settle({ status: res.statusCode ?? 0, body: raw ? JSON.parse(raw) : undefined });
            } catch {
              settle({ status: res.statusCode ?? 0, body: undefined });
            }
          });
        },
      );
      // No connection is kept on trust: one that did not answer in time is not used again.
      const timer = setTimeout(() => {
        settle(null);
        req.destroy();
      }, timeoutMs);
      req.on('error', () => settle(null));
      req.setNoDelay(true);
      req.end(text);
    });
}
