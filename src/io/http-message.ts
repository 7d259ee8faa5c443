/**
 * HTTP/1.1 messages on plain sockets, for nearly all of a controller's traffic: reports of workers and
 * commands to them, and requests to the state service and the cloud. Node's own HTTP classes cost several
 * times as much for each message, too much for a controller that has a small share of a core.
 */

const HEAD_END = '\r\n\r\n';
const MAX_HEAD_BYTES = 16 * 1024;
/** Largest body of a request, by the protocol. */
export const MAX_BODY_BYTES = 64 * 1024;

/** The received bytes are not a valid HTTP message, so the connection can't be used any more. */
export class MalformedMessageError extends Error {}

/** Start line and those headers that the client or the server needs. */
export interface MessageHead {
  startLine: string;
  /** Length of the head, including the empty line that ends it. */
  byteLength: number;
  /** Null if the head has no Content-Length. */
  contentLength: number | null;
  chunked: boolean;
  /** The sender closes the connection after this message. */
  close: boolean;
  /** The sender waits for `100 Continue` before it sends the body. */
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
  if (!/^\d{1,15}$/.test(text))
    throw new MalformedMessageError('Content-Length is not a number of up to 15 digits');
  return Number(text);
}

/** Parses the head at the start of the bytes; null while it is incomplete. */
export function parseHead(bytes: Buffer): MessageHead | null {
  const end = bytes.indexOf(HEAD_END);
  if (end < 0) {
    if (bytes.length > MAX_HEAD_BYTES) throw new MalformedMessageError('message head is longer than 16 KiB');
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

/** Decodes a chunked body; null while it is incomplete. */
export function joinChunks(bytes: Buffer): { body: Buffer; byteLength: number } | null {
  const parts: Buffer[] = [];
  for (let offset = 0; ;) {
    const lineEnd = bytes.indexOf('\r\n', offset);
    if (lineEnd < 0) return null;
    const size = Number.parseInt(bytes.toString('latin1', offset, lineEnd), 16);
    if (!Number.isInteger(size) || size < 0)
      throw new MalformedMessageError('chunk size is not a hexadecimal number');
    const start = lineEnd + 2;
    if (size === 0) {
      // Trailers, if there are any, end with an empty line, as a head does.
      const trailersEnd = bytes.indexOf(HEAD_END, lineEnd);
      return trailersEnd < 0
        ? null
        : { body: Buffer.concat(parts), byteLength: trailersEnd + HEAD_END.length };
    }
    if (bytes.length < start + size + 2) return null;
    parts.push(bytes.subarray(start, start + size));
    offset = start + size + 2;
  }
}

const REASON_PHRASES: Record<number, string> = { 200: 'OK', 400: 'Bad Request', 421: 'Misdirected Request' };

/** Serializes a response with a JSON body. */
export function writeResponse(status: number, body: string, close: boolean): string {
  const length = Buffer.byteLength(body);
  const connection = close ? 'Connection: close\r\n' : '';
  return (
    `HTTP/1.1 ${status} ${REASON_PHRASES[status] ?? 'Status'}\r\nContent-Type: application/json\r\n` +
    `Content-Length: ${length}\r\n${connection}\r\n${body}`
  );
}

/** Encoding in which to write a text to a socket: Latin-1 for ASCII, which saves V8 a second pass over it. */
export const encodingOf = (text: string): 'latin1' | 'utf8' =>
  Buffer.byteLength(text) === text.length ? 'latin1' : 'utf8';

/** Serializes a request; the body, if there is one, is JSON. */
export function writeRequest(method: string, host: string, path: string, body: string | undefined): string {
  const head = `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\n`;
  if (body === undefined) return `${head}\r\n`;
  return `${head}Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
}

/** Parses one response from the bytes that arrive on a connection. */
export class ResponseReader {
  private head: MessageHead | null = null;
  private parts: Buffer[] = [];
  private received = 0;

  /** Adds received bytes; returns the response once it is complete. */
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

  /** Called when the connection ends, which also ends a response that has no length. */
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
