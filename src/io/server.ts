import express, { type NextFunction, type Request, type Response } from 'express';
import http from 'node:http';
import net from 'node:net';
import type { Controller } from '../actors/controller.js';
import { jobNotFound, type Reply } from '../actors/admission.js';
import type { Measure } from './metrics.js';
import type { Logger } from './logger.js';
import type { JobId } from '../core/types.js';
import { ReportReader, writeReportAnswerJson } from '../wire/reports.js';
import { jobIdPattern, readJob, writeRedirect } from '../wire/schemas.js';
import { WorkerConnection, type ReportHandler, type ReportResponse } from './worker-connection.js';

const send = (res: http.ServerResponse, r: Reply): void => {
  if (r.retryAfter !== undefined) {
    res.setHeader('Retry-After', String(r.retryAfter));
    // A new connection lets the balancer choose a node that can.
    res.setHeader('Connection', 'close');
  }
  json(res, r.status, r.body);
};

const json = (res: http.ServerResponse, status: number, body: object): void => {
  const text = JSON.stringify(body);
  res.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) });
  res.end(text);
};

/** Answers the reports that arrive on one connection. */
function answerReports(controller: Controller): ReportHandler {
  const reader = new ReportReader();
  return (text, reply) => {
    const report = text === null ? null : reader.read(text);
    if (!report) return reply(MALFORMED_REPORT);
    controller.handleReport(report, (h) =>
      reply(
        h.kind === 'commands'
          ? { status: 200, body: writeReportAnswerJson(h.term, h.fence, h.commands) }
          : { status: 421, body: JSON.stringify(writeRedirect(h.leader)) },
      ),
    );
  };
}
const MALFORMED_REPORT: ReportResponse = { status: 400, body: '{"error":"malformed report"}' };

/** A report in a form that its connection's own reading leaves to Node's server. */
function hello(controller: Controller, req: http.IncomingMessage, res: http.ServerResponse): void {
  const parts: Buffer[] = [];
  let size = 0;
  req.on('data', (d: Buffer) => {
    size += d.length;
    if (size <= BODY_MOST) parts.push(d);
  });
  req.on('end', () => {
    const text = size > BODY_MOST ? null : Buffer.concat(parts).toString();
    answerReports(controller)(text, (a) => {
      res.writeHead(a.status, { 'Content-Type': 'application/json' });
      res.end(a.body);
    });
  });
}

/** A user's question, on Node's own server: users ask many times as often as they submit. */
function show(c: Controller, id: string, res: http.ServerResponse, measure: Measure): void {
  if (!jobIdPattern.test(id)) return send(res, jobNotFound);
  const from = performance.now();
  void c.requests.answer({ kind: 'show', job: id as JobId }).then((r) => {
    measure('question', performance.now() - from);
    send(res, r);
  });
}

const JOBS = '/v1/jobs/';
const BODY_MOST = 64 * 1024;

/** The HTTP interface for users, workers and health checks. */
export function createApiServer(
  c: Controller,
  metrics: () => object,
  logger: Logger,
  measure: Measure,
): net.Server {
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  const body = express.json({ limit: '64kb', type: () => true, strict: false });

  app.post('/v1/jobs', body, (req, res) => {
    const j = readJob(req.body);
    if ('error' in j) {
      logger.info({ error: j.error, body: req.body as unknown }, 'malformed submission');
      const id = (req.body as { name_id?: unknown } | null | undefined)?.name_id;
      const refused = (): void => json(res, 400, { error: j.error });
      if (typeof id !== 'string' || !jobIdPattern.test(id)) return refused();
      // Guards forgotten: an accepted job is answered for, whatever its repeat's body.
      void c.requests
        .answer({ kind: 'show', job: id as JobId })
        .then((r) => (r.status === 200 ? send(res, r) : refused()));
      return;
    }
    const from = performance.now();
    void c.requests.answer({ kind: 'submit', job: j.spec.id, spec: j.spec }).then((r) => {
      const ms = performance.now() - from;
      measure('answer', ms);
      logger.debug({ job: j.spec.id, status: r.status, why: r.body, ms: Math.round(ms) }, 'submission');
      send(res, r);
    });
  });
  app.post('/v1/jobs/:id/withdraw', (req, res) => {
    const id = req.params.id;
    if (!jobIdPattern.test(id)) return send(res, jobNotFound);
    void c.requests.answer({ kind: 'withdraw', job: id as JobId }).then((r) => {
      logger.debug({ job: id, status: r.status, why: r.body }, 'cancellation');
      send(res, r);
    });
  });
  app.get('/metrics', (_req, res) => json(res, 200, metrics()));
  app.use((_req, res) => json(res, 404, { error: 'no such path' }));
  app.use((e: { message?: string }, _req: Request, res: Response, next: NextFunction) => {
    if (res.headersSent) return next(e);
    json(res, 400, { error: e.message ?? 'malformed' });
  });

  const requests = http.createServer({ keepAliveTimeout: 120_000, noDelay: true }, (req, res) => {
    if (req.url === '/hello' && req.method === 'POST') hello(c, req, res);
    else if (req.url === '/ready' && req.method === 'GET') json(res, c.isReady() ? 200 : 503, {});
    else if (req.method === 'GET' && req.url?.startsWith(JOBS))
      show(c, req.url.slice(JOBS.length), res, measure);
    else app(req, res);
  });
  requests.requestTimeout = 15_000;
  return net.createServer({ noDelay: true }, (socket) => {
    new WorkerConnection(socket, answerReports(c), (handed, unread) => {
      requests.emit('connection', handed);
      if (unread.length > 0) handed.unshift(unread);
    });
  });
}
