/**
 * The server's side of a worker's connection. Workers send most of what a controller hears, so their
 * reports are read straight off the socket; any other request is left to the HTTP server.
 */
import type net from 'node:net';
import { encodingOf, parseHead, writeResponse, type MessageHead } from './http-message.js';

const REPORT_LINE = 'POST /hello ';
const MAX_BODY_BYTES = 64 * 1024;
const IDLE_MS = 120_000;
const NO_BYTES = Buffer.alloc(0);

export interface ReportResponse {
  status: number;
  body: string;
}

/** Answers the text of one report; `null` instead of a text that was too long. */
export type ReportHandler = (text: string | null, reply: (answer: ReportResponse) => void) => void;

/** Whether what has arrived so far is, or may become, a worker's report. */
function mayBeReport(bytes: Buffer): boolean {
  const length = Math.min(bytes.length, REPORT_LINE.length);
  return bytes.toString('latin1', 0, length) === REPORT_LINE.slice(0, length);
}

/** What the reading of reports off a socket leaves to the HTTP server. */
const isUnusual = (head: MessageHead): boolean =>
  head.chunked || head.expectsContinue || head.contentLength === null;

export class WorkerConnection {
  private pending: Buffer = NO_BYTES;
  private head: MessageHead | null = null;
  private answering = false;
  private readonly receive = (bytes: Buffer): void => this.read(bytes);

  constructor(
    private readonly socket: net.Socket,
    private readonly answer: ReportHandler,
    /** Takes over a connection with what arrived on it and is not read yet. */
    private readonly handOver: (socket: net.Socket, unread: Buffer) => void,
  ) {
    socket.on('data', this.receive);
    socket.setTimeout(IDLE_MS, this.close);
    socket.on('error', this.close);
  }

  private readonly close = (): void => void this.socket.destroy();

  private read(bytes: Buffer): void {
    this.pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
    if (this.answering) {
      // Nothing is to come before the answer; what comes all the same is bounded.
      if (this.pending.length > MAX_BODY_BYTES) this.close();
      return;
    }
    try {
      this.next();
    } catch {
      this.close();
    }
  }

  private next(): void {
    if (!this.head) {
      if (!mayBeReport(this.pending)) return this.leave();
      this.head = parseHead(this.pending);
      if (!this.head) return;
      if (isUnusual(this.head)) return this.leave();
    }
    const { byteLength, contentLength, close } = this.head;
    const end = byteLength + (contentLength ?? 0);
    if (end - byteLength > MAX_BODY_BYTES) return this.respond(null, true);
    if (this.pending.length < end) return;
    const text = this.pending.toString('utf8', byteLength, end);
    this.pending = this.pending.length === end ? NO_BYTES : this.pending.subarray(end);
    this.respond(text, close);
  }

  private respond(text: string | null, close: boolean): void {
    this.head = null;
    this.answering = true;
    this.answer(text, ({ status, body }) => {
      this.answering = false;
      if (this.socket.destroyed) return;
      const out = writeResponse(status, body, close);
      if (close) this.socket.end(out);
      else this.socket.write(out, encodingOf(out));
      if (!close && this.pending.length > 0) this.read(NO_BYTES);
    });
  }

  private leave(): void {
    this.socket.off('data', this.receive);
    this.socket.off('error', this.close);
    this.socket.off('timeout', this.close);
    this.socket.setTimeout(0);
    this.handOver(this.socket, this.pending);
    this.pending = NO_BYTES;
  }
}
