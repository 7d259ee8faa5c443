/** HTTP server for users, workers, health checks and metrics. */
import express, { type NextFunction, type Request, type Response } from 'express';
import http from 'node:http';
import net from 'node:net';
import type { Controller } from '../actors/controller.js';
import { jobNotFound, type Reply } from '../actors/admission.js';
import { MAX_BODY_BYTES } from './http-message.js';
import type { Measure } from './metrics.js';
import type { Logger } from './logger.js';
import type { JobId } from '../core/types.js';
import { ReportReader, writeReportAnswerJson } from '../wire/reports.js';
import { jobIdPattern, readJob, writeRedirect } from '../wire/schemas.js';
import { WorkerConnection, type ReportHandler, type ReportResponse } from './worker-connection.js';

const sendReply = (res: http.ServerResponse, reply: Reply): void => {
  if (reply.retryAfter !== undefined) {
    res.setHeader('Retry-After', String(reply.retryAfter));
    // Closing the connection lets the load balancer choose another node for the next attempt.
    res.setHeader('Connection', 'close');
  }
  sendJson(res, reply.status, reply.body);
};

const sendJson = (res: http.ServerResponse, status: number, body: object): void => {
  const text = JSON.stringify(body);
  res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) });
  res.end(text);
};

/** Creates the handler of the reports that arrive on one connection. */
function createReportHandler(controller: Controller): ReportHandler {
  const reader = new ReportReader();
  return (text, reply) => {
    const report = text === null ? null : reader.read(text);
    if (!report) return reply(MALFORMED_REPORT);
    controller.handleReport(report, (outcome) =>
      reply(
        outcome.kind === 'commands'
          ? { status: 200, body: writeReportAnswerJson(outcome.term, outcome.fence, outcome.commands) }
          : { status: 421, body: JSON.stringify(writeRedirect(outcome.leader)) },
      ),
    );
  };
}
const MALFORMED_REPORT: ReportResponse = { status: 400, body: '{"error":"malformed report"}' };

/** Handles a report that WorkerConnection left to Node's HTTP server, such as one with a chunked body. */
function handleReportRequest(
  controller: Controller,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): void {
  const parts: Buffer[] = [];
  let size = 0;
  req.on('data', (bytes: Buffer) => {
    size += bytes.length;
    if (size <= MAX_BODY_BYTES) parts.push(bytes);
  });
  req.on('end', () => {
    const text = size > MAX_BODY_BYTES ? null : Buffer.concat(parts).toString();
    createReportHandler(controller)(text, (response) => {
      res.writeHead(response.status, { 'Content-Type': 'application/json' });
      res.end(response.body);
    });
  });
}

/** Answers a status query without Express, because users query many times as often as they submit. */
function show(controller: Controller, id: string, res: http.ServerResponse, measure: Measure): void {
  if (!jobIdPattern.test(id)) return sendReply(res, jobNotFound);
  const startedAt = performance.now();
  void controller.requests.answer({ kind: 'show', job: id as JobId }).then((reply) => {
    measure('question', performance.now() - startedAt);
    sendReply(res, reply);
  });
}

const JOB_PATH_PREFIX = '/v1/jobs/';

/**
 * Creates the server of all HTTP requests to a node. Reports are read by WorkerConnection; other requests go
 * to Node's HTTP server, and those that are rare go through Express.
 */
export function createApiServer(
  controller: Controller,
  metrics: () => object,
  logger: Logger,
  measure: Measure,
): net.Server {
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  const body = express.json({ limit: '64kb', type: () => true, strict: false });

  app.post('/v1/jobs', body, (req, res) => {
    const submission = readJob(req.body);
    if ('error' in submission) {
      logger.info({ error: submission.error, body: req.body as unknown }, 'malformed submission');
      const id = (req.body as { name_id?: unknown } | null | undefined)?.name_id;
      const reject = (): void => sendJson(res, 400, { error: submission.error });
      if (typeof id !== 'string' || !jobIdPattern.test(id)) return reject();
      // Upholds forgotten: a repeated submission of an accepted job gets the job's state, even if its body is
      // malformed; while nobody can say whether it was accepted, it is not refused for good.
      void controller.requests
        .answer({ kind: 'show', job: id as JobId })
        .then((reply) => (reply.status === 200 || reply.retryAfter ? sendReply(res, reply) : reject()));
      return;
    }
    const startedAt = performance.now();
    void controller.requests
      .answer({ kind: 'submit', job: submission.spec.id, spec: submission.spec })
      .then((reply) => {
        const ms = performance.now() - startedAt;
        measure('answer', ms);
        logger.debug(
          { job: submission.spec.id, status: reply.status, why: reply.body, ms: Math.round(ms) },
          'submission',
        );
        sendReply(res, reply);
      });
  });
  app.post('/v1/jobs/:id/withdraw', (req, res) => {
    const id = req.params.id;
    if (!jobIdPattern.test(id)) return sendReply(res, jobNotFound);
    void controller.requests.answer({ kind: 'withdraw', job: id as JobId }).then((reply) => {
      logger.debug({ job: id, status: reply.status, why: reply.body }, 'cancellation');
      sendReply(res, reply);
    });
  });
  app.get('/metrics', (_req, res) => sendJson(res, 200, metrics()));
  app.use((_req, res) => sendJson(res, 404, { error: 'no such path' }));
  app.use((error: { message?: string }, _req: Request, res: Response, next: NextFunction) => {
    if (res.headersSent) return next(error);
    sendJson(res, 400, { error: error.message ?? 'malformed request' });
  });

  const httpServer = http.createServer({ keepAliveTimeout: 120_000, noDelay: true }, (req, res) => {
    if (req.url === '/hello' && req.method === 'POST') handleReportRequest(controller, req, res);
    else if (req.url === '/ready' && req.method === 'GET')
      sendJson(res, controller.isReady() ? 200 : 503, {});
    else if (req.method === 'GET' && req.url?.startsWith(JOB_PATH_PREFIX))
      show(controller, req.url.slice(JOB_PATH_PREFIX.length), res, measure);
    else app(req, res);
  });
  httpServer.requestTimeout = 15_000;
  return net.createServer({ noDelay: true }, (socket) => {
    new WorkerConnection(socket, createReportHandler(controller), (released, unread) => {
      httpServer.emit('connection', released);
      if (unread.length > 0) released.unshift(unread);
    });
  });
}
