import express, { type NextFunction, type Request, type Response } from 'express';
import http from 'node:http';
import type { Controller } from '../actors/controller.js';
import { noSuchJob, type Reply } from '../actors/admission.js';
import type { Measure } from './metrics.js';
import type { Logger } from './logger.js';
import type { JobId } from '../core/types.js';
import { jobIdForm, readJob, readReport, writeElsewhere, writeOrders } from '../wire/schemas.js';

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

/** A worker's report, on Node's own server. */
function hello(c: Controller, req: http.IncomingMessage, res: http.ServerResponse): void {
  const parts: Buffer[] = [];
  let size = 0;
  req.on('data', (d: Buffer) => {
    size += d.length;
    if (size <= BODY_MOST) parts.push(d);
  });
  req.on('end', () => {
    const r = size > BODY_MOST ? null : readReport(parse(parts));
    if (!r) return json(res, 400, { error: 'malformed report' });
    c.hello(r, (h) => {
      if (h.answer === 'stay') json(res, 200, writeOrders(h.term, h.fence, h.orders));
      else json(res, 421, writeElsewhere(h.leader));
    });
  });
}

/** A user's question, on Node's own server: users ask many times as often as they submit. */
function show(c: Controller, id: string, res: http.ServerResponse, measure: Measure): void {
  if (!jobIdForm.test(id)) return send(res, noSuchJob);
  const from = performance.now();
  void c.user({ kind: 'show', job: id as JobId }).then((r) => {
    measure('question', performance.now() - from);
    send(res, r);
  });
}

const JOBS = '/v1/jobs/';
const BODY_MOST = 64 * 1024;

function parse(parts: Buffer[]): unknown {
  try {
    return JSON.parse((parts.length === 1 ? parts[0]! : Buffer.concat(parts)).toString());
  } catch {
    return undefined;
  }
}

/** The HTTP interface for users, workers and health checks. */
export function server(c: Controller, metrics: () => object, logger: Logger, measure: Measure): http.Server {
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');
  const body = express.json({ limit: '64kb', type: () => true, strict: false });

  app.get('/ready', (_req, res) => json(res, c.ready() ? 200 : 503, {}));
  app.post('/v1/jobs', body, (req, res) => {
    const j = readJob(req.body);
    if ('error' in j) {
      logger.info({ error: j.error, body: req.body as unknown }, 'malformed submission');
      const id = (req.body as { name_id?: unknown } | null | undefined)?.name_id;
      const refused = (): void => json(res, 400, { error: j.error });
      if (typeof id !== 'string' || !jobIdForm.test(id)) return refused();
      // Guards forgotten: an accepted job is answered for, whatever its repeat's body.
      void c
        .user({ kind: 'show', job: id as JobId })
        .then((r) => (r.status === 200 ? send(res, r) : refused()));
      return;
    }
    const from = performance.now();
    void c.user({ kind: 'submit', job: j.spec.id, spec: j.spec }).then((r) => {
      const ms = performance.now() - from;
      measure('answer', ms);
      logger.debug({ job: j.spec.id, status: r.status, why: r.body, ms: Math.round(ms) }, 'submission');
      send(res, r);
    });
  });
  app.post('/v1/jobs/:id/withdraw', (req, res) => {
    const id = req.params.id;
    if (!jobIdForm.test(id)) return send(res, noSuchJob);
    void c.user({ kind: 'withdraw', job: id as JobId }).then((r) => send(res, r));
  });
  app.get('/metrics', (_req, res) => json(res, 200, metrics()));
  app.use((_req, res) => json(res, 404, { error: 'no such path' }));
  app.use((e: { message?: string }, _req: Request, res: Response, next: NextFunction) => {
    if (res.headersSent) return next(e);
    json(res, 400, { error: e.message ?? 'malformed' });
  });

  // Hundreds of reports a second would spend more in express than on what they say.
  const s = http.createServer({ keepAliveTimeout: 120_000, noDelay: true }, (req, res) => {
    if (req.url === '/hello' && req.method === 'POST') hello(c, req, res);
    else if (req.method === 'GET' && req.url?.startsWith(JOBS))
      show(c, req.url.slice(JOBS.length), res, measure);
    else app(req, res);
  });
  s.requestTimeout = 15_000;
  return s;
}
