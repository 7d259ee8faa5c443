/**
 * Server side of a worker's connection. Reports are most of a controller's incoming traffic, so they are read
 * directly from the socket; any other request is left to Node's HTTP server.
 */
import type net from 'node:net';
import { MAX_BODY_BYTES, encodingOf, parseHead, writeResponse, type MessageHead } from './http-message.js';

const REPORT_START = 'POST /hello ';
const IDLE_MS = 120_000;
const EMPTY = Buffer.alloc(0);

export interface ReportResponse {
  status: number;
  body: string;
}

/** Answers one report, given its text; null stands for a text that was too long. */
export type ReportHandler = (text: string | null, reply: (answer: ReportResponse) => void) => void;

/** Whether the received bytes are, or may become, a worker's report. */
function mayBeReport(bytes: Buffer): boolean {
  const length = Math.min(bytes.length, REPORT_START.length);
  return bytes.toString('latin1', 0, length) === REPORT_START.slice(0, length);
}

/** Forms of requests that only the HTTP server reads. */
const needsHttpServer = (head: MessageHead): boolean =>
  head.chunked || head.expectsContinue || head.contentLength === null;

/** Reads reports from one socket and writes their answers, one at a time. */
export class WorkerConnection {
  private pending: Buffer = EMPTY;
  private head: MessageHead | null = null;
  private answering = false;
  private readonly onData = (bytes: Buffer): void => this.read(bytes);

  constructor(
    private readonly socket: net.Socket,
    private readonly answer: ReportHandler,
    /** Takes over the socket, with the bytes that were received and not used. */
    private readonly handOver: (socket: net.Socket, unread: Buffer) => void,
  ) {
    socket.on('data', this.onData);
    socket.setTimeout(IDLE_MS, this.close);
    socket.on('error', this.close);
  }

  private readonly close = (): void => void this.socket.destroy();

  private read(bytes: Buffer): void {
    this.pending = this.pending.length === 0 ? bytes : Buffer.concat([this.pending, bytes]);
    if (this.answering) {
      // A worker waits for the answer before it sends more; whatever arrives anyway is bounded.
      if (this.pending.length > MAX_BODY_BYTES) this.close();
      return;
    }
    try {
      this.processPending();
    } catch {
      this.close();
    }
  }

  private processPending(): void {
    if (!this.head) {
      if (!mayBeReport(this.pending)) return this.releaseSocket();
      this.head = parseHead(this.pending);
      if (!this.head) return;
      if (needsHttpServer(this.head)) return this.releaseSocket();
    }
    const { byteLength, contentLength, close } = this.head;
    const end = byteLength + (contentLength ?? 0);
    if (end - byteLength > MAX_BODY_BYTES) return this.respond(null, true);
    if (this.pending.length < end) return;
    const text = this.pending.toString('utf8', byteLength, end);
    this.pending = this.pending.length === end ? EMPTY : this.pending.subarray(end);
    this.respond(text, close);
  }

  private respond(report: string | null, close: boolean): void {
    this.head = null;
    this.answering = true;
    this.answer(report, ({ status, body }) => {
      this.answering = false;
      if (this.socket.destroyed) return;
      const text = writeResponse(status, body, close);
      if (close) this.socket.end(text);
      else this.socket.write(text, encodingOf(text));
      if (!close && this.pending.length > 0) this.read(EMPTY);
    });
  }

  /** Stops using the socket and hands it to the HTTP server. */
  private releaseSocket(): void {
    this.socket.off('data', this.onData);
    this.socket.off('error', this.close);
    this.socket.off('timeout', this.close);
    this.socket.setTimeout(0);
    this.handOver(this.socket, this.pending);
    this.pending = EMPTY;
  }
}
