/**
 * HTTP/1.1 messages on plain sockets, for the exchanges that make up nearly all of a controller's traffic:
 * reports and commands of workers, and calls to the state service and the cloud. Node's own HTTP classes
 * cost several times as much for each message, which a controller on a small share of a core can't afford.
 */

const HEAD_END = '\r\n\r\n';
const MAX_HEAD_BYTES = 16 * 1024;

export class MalformedMessageError extends Error {}

export interface MessageHead {
  startLine: string;
  /** Bytes up to and including the empty line. */
  byteLength: number;
  /** Null: the head names no length. */
  contentLength: number | null;
  chunked: boolean;
  /** The sender closes the connection after this message. */
  close: boolean;
  /** The sender waits for an interim answer before it sends the body. */
  expectsContinue: boolean;
}

const headerPattern = (name: string): RegExp => new RegExp(`\\r\\n${name}:[ \\t]*([^\\r\\n]*)`, 'i');
const CONTENT_LENGTH = headerPattern('content-length');
const TRANSFER_ENCODING = headerPattern('transfer-encoding');
const CONNECTION = headerPattern('connection');
const EXPECT = headerPattern('expect');

const header = (head: string, pattern: RegExp): string | null => pattern.exec(head)?.[1]?.trim() ?? null;

function contentLengthOf(head: string): number | null {
  const text = header(head, CONTENT_LENGTH);
  if (text === null) return null;
  if (!/^\d{1,15}$/.test(text)) throw new MalformedMessageError('content-length');
  return Number(text);
}

/** Null while the head is incomplete. */
export function parseHead(bytes: Buffer): MessageHead | null {
  const end = bytes.indexOf(HEAD_END);
  if (end < 0) {
    if (bytes.length > MAX_HEAD_BYTES) throw new MalformedMessageError('head too long');
    return null;
  }
  const head = bytes.toString('latin1', 0, end + 2);
  const startLine = head.slice(0, head.indexOf('\r\n'));
  const connection = header(head, CONNECTION)?.toLowerCase();
  const encoding = header(head, TRANSFER_ENCODING);
  return {
    startLine,
    byteLength: end + HEAD_END.length,
    contentLength: contentLengthOf(head),
    chunked: encoding !== null && /chunked$/i.test(encoding),
    close: connection === 'close' || (startLine.includes('HTTP/1.0') && connection !== 'keep-alive'),
    expectsContinue: header(head, EXPECT) !== null,
  };
}

/** Joins the chunks of a chunked body; null while the last one is missing. */
export function joinChunks(bytes: Buffer): { body: Buffer; byteLength: number } | null {
  const parts: Buffer[] = [];
  for (let at = 0; ;) {
    const lineEnd = bytes.indexOf('\r\n', at);
    if (lineEnd < 0) return null;
    const size = Number.parseInt(bytes.toString('latin1', at, lineEnd), 16);
    if (!Number.isInteger(size) || size < 0) throw new MalformedMessageError('chunk size');
    const start = lineEnd + 2;
    if (size === 0) {
      // Trailers, if any, end with an empty line as a head does.
      const trailersEnd = bytes.indexOf(HEAD_END, lineEnd);
      return trailersEnd < 0
        ? null
        : { body: Buffer.concat(parts), byteLength: trailersEnd + HEAD_END.length };
    }
    if (bytes.length < start + size + 2) return null;
    parts.push(bytes.subarray(start, start + size));
    at = start + size + 2;
  }
}

const REASONS: Record<number, string> = { 200: 'OK', 400: 'Bad Request', 421: 'Misdirected Request' };

/** A response with a JSON body, head and body in one piece. */
export function writeResponse(status: number, body: string, close: boolean): string {
  const length = Buffer.byteLength(body);
  const connection = close ? 'Connection: close\r\n' : '';
  return (
    `HTTP/1.1 ${status} ${REASONS[status] ?? 'Status'}\r\nContent-Type: application/json\r\n` +
    `Content-Length: ${length}\r\n${connection}\r\n${body}`
  );
}

/** How a text may be written: encoding ASCII as Latin-1 spares V8 a second pass over it. */
export const encodingOf = (text: string): 'latin1' | 'utf8' =>
  Buffer.byteLength(text) === text.length ? 'latin1' : 'utf8';

/** A request, head and body in one piece. */
export function writeRequest(method: string, host: string, path: string, body: string | undefined): string {
  const head = `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\n`;
  if (body === undefined) return `${head}\r\n`;
  return `${head}Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

/** Collects one response from a connection's bytes. */
export class ResponseReader {
  private head: MessageHead | null = null;
  private parts: Buffer[] = [];
  private received = 0;

  /** Takes what arrived; the response once it is whole. */
  read(bytes: Buffer): { status: number; body: string; close: boolean } | null {
    this.parts.push(bytes);
    this.received += bytes.length;
    this.head ??= parseHead(this.joined());
    const { head } = this;
    if (!head) return null;
    if (head.chunked) {
      const joined = joinChunks(this.joined().subarray(head.byteLength));
      return joined && this.result(joined.body.toString());
    }
    if (this.status === 204 || this.status === 304) return this.result('');
    if (head.contentLength === null || this.received < head.byteLength + head.contentLength) return null;
    return this.result(this.joined().toString('utf8', head.byteLength, head.byteLength + head.contentLength));
  }

  /** The connection ended: a response without a length ends with it. */
  end(): { status: number; body: string; close: boolean } | null {
    const { head } = this;
    if (!head || head.chunked || head.contentLength !== null) return null;
    return { ...this.result(this.joined().toString('utf8', head.byteLength)), close: true };
  }

  private get status(): number {
    return Number(this.head?.startLine.split(' ')[1]);
  }

  private result(body: string): { status: number; body: string; close: boolean } {
    return { status: this.status, body, close: this.head!.close };
  }

  private joined(): Buffer {
    if (this.parts.length > 1) this.parts = [Buffer.concat(this.parts)];
    return this.parts[0]!;
  }
}
