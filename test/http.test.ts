/** HTTP on plain sockets: connections of workers, requests to other services, repeated reports, and metrics. */
import http from 'node:http';
import net from 'node:net';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { createHttpCall } from '../src/io/http-client.js';
import { MalformedMessageError, parseHead, ResponseReader } from '../src/io/http-message.js';
import { Metrics, processMetrics } from '../src/io/metrics.js';
import { WorkerConnection } from '../src/io/worker-connection.js';
import { ReportReader, readReport } from '../src/wire/reports.js';

const servers: (net.Server | http.Server)[] = [];
afterEach(() => {
  for (const server of servers.splice(0)) server.close();
});

/** Starts a server on a free port; returns its address. */
async function listen(server: net.Server): Promise<string> {
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts a server that answers reports with their own text, and everything else with the path. */
async function startReportServer(): Promise<string> {
  const httpServer = http.createServer((request, response) => {
    request.resume();
    request.on('end', () => response.end(JSON.stringify({ path: request.url })));
  });
  return listen(
    net.createServer((socket) => {
      new WorkerConnection(
        socket,
        (text, reply) => reply(text === null ? { status: 400, body: '{}' } : { status: 200, body: text }),
        (released, unread) => {
          httpServer.emit('connection', released);
          if (unread.length > 0) released.unshift(unread);
        },
      );
    }),
  );
}

/** The longest that the server may take to answer; far more than it needs beside other load. */
const ANSWER_LIMIT_MS = 4000;

/**
 * Sends pieces over one connection with pauses between them. Returns what was received once it ends with the last
 * answer, or once the server has closed the connection; fails if neither comes within the limit.
 */
async function exchange(address: string, pieces: string[], lastAnswer?: string): Promise<string> {
  const [host, port] = address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  let received = '';
  const isOver = new Promise<boolean>((resolve) => {
    socket.on('data', (bytes: Buffer) => {
      received += bytes.toString();
      if (lastAnswer !== undefined && received.endsWith(lastAnswer)) resolve(true);
    });
    socket.on('close', () => resolve(true));
    setTimeout(() => resolve(false), ANSWER_LIMIT_MS).unref();
  });
  for (const piece of pieces) {
    socket.write(piece);
    await new Promise((resolve) => setTimeout(resolve, 30));
  }
  const isInTime = await isOver;
  socket.destroy();
  if (!isInTime)
    throw new Error(`no last answer and no close within ${ANSWER_LIMIT_MS} ms, got: ${received}`);
  return received;
}

const reportRequest = (body: string): string =>
  `POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;

describe('worker connections', () => {
  it('read reports that arrive in pieces or several at once', async () => {
    const text = reportRequest('{"seq":1,"name":"ü"}');
    const address = await startReportServer();
    const pieces = [text.slice(0, 5), text.slice(5, 60), text.slice(60) + reportRequest('{}')];
    const received = await exchange(address, pieces, '{}');
    expect(received.match(/HTTP\/1.1 200 OK/g)).toHaveLength(2);
    expect(received).toContain('{"seq":1,"name":"ü"}');
    expect(received.endsWith('{}')).toBe(true);
  });

  it('hand every other request to the HTTP server, also after reports', async () => {
    const pieces = [
      reportRequest('{"first":true}'),
      'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n',
      'POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}',
    ];
    const received = await exchange(await startReportServer(), pieces, '{"path":"/v1/jobs"}');
    expect(received).toContain('{"first":true}');
    expect(received).toContain('{"path":"/ready"}');
    expect(received).toContain('{"path":"/v1/jobs"}');
  });

  it('hand a report with a chunked body to the HTTP server', async () => {
    const chunked =
      'POST /hello HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n';
    const answer = '{"path":"/hello"}';
    expect(await exchange(await startReportServer(), [chunked], answer)).toContain(answer);
  });

  it('reject a body over the limit and close', async () => {
    const head = 'POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n';
    const received = await exchange(await startReportServer(), [head]);
    expect(received).toContain('HTTP/1.1 400');
    expect(received).toContain('Connection: close');
  });

  it('close on a malformed head', async () => {
    const bad = 'POST /hello HTTP/1.1\r\nContent-Length: many\r\n\r\n';
    expect(await exchange(await startReportServer(), [bad])).toBe('');
  });
});

describe('the HTTP client', () => {
  /** Starts a server that calls `write` on receiving data. */
  const respondWith = (write: (socket: net.Socket) => void): Promise<string> =>
    listen(net.createServer((socket) => socket.on('data', () => write(socket)).on('error', () => {})));

  it('reads bodies delimited by length, by chunks and by the end of the connection', async () => {
    const call = createHttpCall();
    const byLength = await respondWith((socket) =>
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n{"a":1}'),
    );
    const inChunks = await respondWith((socket) => {
      socket.write('HTTP/1.1 409 No\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{"a\r\n');
      setTimeout(() => socket.write('4\r\n":2}\r\n0\r\n\r\n'), 20);
    });
    const toTheEnd = await respondWith((socket) => socket.end('HTTP/1.1 503 No\r\n\r\n{"a":3}'));
    expect(await call(byLength, 'GET', '/', undefined, 1000)).toEqual({ status: 200, body: { a: 1 } });
    expect(await call(inChunks, 'POST', '/', {}, 1000)).toEqual({ status: 409, body: { a: 2 } });
    expect(await call(toTheEnd, 'POST', '/', {}, 1000)).toEqual({ status: 503, body: { a: 3 } });
  });

  it('reuses a connection, but not one whose request timed out', async () => {
    let connections = 0;
    let silent = false;
    const server = http.createServer((_request, response) => {
      if (!silent) response.end('{}');
    });
    server.on('connection', () => connections++);
    const address = await listen(server);
    const call = createHttpCall();
    for (let i = 0; i < 3; i++) await call(address, 'GET', '/', undefined, 1000);
    expect(connections).toBe(1);
    silent = true;
    expect(await call(address, 'GET', '/', undefined, 50)).toBeNull();
    silent = false;
    expect((await call(address, 'GET', '/', undefined, 1000))?.status).toBe(200);
    expect(connections).toBe(2);
    server.closeAllConnections();
  });

  it('keeps no idle connection when no sockets are to spare', async () => {
    let connections = 0;
    const server = http.createServer((_request, response) => response.end('{}'));
    server.on('connection', () => connections++);
    const address = await listen(server);
    const call = createHttpCall(() => false);
    for (let i = 0; i < 2; i++) await call(address, 'GET', '/', undefined, 1000);
    expect(connections).toBe(2);
  });

  it('returns null when the connection is refused or ends early', async () => {
    const call = createHttpCall();
    expect(await call('127.0.0.1:1', 'GET', '/', undefined, 1000)).toBeNull();
    const breaking = await respondWith((socket) =>
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n{"a'),
    );
    expect(await call(breaking, 'GET', '/', undefined, 1000)).toBeNull();
  });

  it('rejects a head that is too long and a malformed Content-Length', () => {
    expect(() => parseHead(Buffer.alloc(20_000, 'a'))).toThrow(MalformedMessageError);
    const reader = new ResponseReader();
    expect(() => reader.read(Buffer.from('HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n'))).toThrow(
      MalformedMessageError,
    );
  });
});

describe('successive reports of one worker', () => {
  const reportText = (tally: number | string, standing = 'running', addr = '10.0.0.1:9'): string =>
    `{"mount":"vm-1","addr":"${addr}","breed":"box","yard":"a","loaners":true,"stint":1,"tally":${tally},` +
    `"warrant":0,"recall_s":null,"shifts":[{"shift":"wk-1/0","try":1,"standing":"${standing}"}]}`;

  it('share their tasks if only the sequence number differs, and equal what full parsing gives', () => {
    const reader = new ReportReader();
    const first = reader.read(reportText(8));
    const second = reader.read(reportText(9));
    expect(second).toEqual(readReport(JSON.parse(reportText(9))));
    expect(second?.tasks).toBe(first?.tasks);
    expect(first?.seq).toBe(8);
    const third = reader.read(reportText(100, 'ended'));
    expect(third).toEqual(readReport(JSON.parse(reportText(100, 'ended'))));
    expect(third?.tasks).not.toBe(first?.tasks);
  });

  it('are rejected if the sequence number is malformed or followed by other text', () => {
    for (const malformed of ['007', '-', '', '1e', '1,"tally":"x"', '{}']) {
      const reader = new ReportReader();
      expect(reader.read(reportText(8))).not.toBeNull();
      expect(reader.read(reportText(malformed))).toBeNull();
    }
  });

  it('are always parsed in full if the place of the sequence number is ambiguous', () => {
    const reader = new ReportReader();
    const escaped = (tally: number): string => reportText(tally, 'running', '\\"tally\\":5');
    const first = reader.read(escaped(1));
    const second = reader.read(escaped(2));
    expect(second?.seq).toBe(2);
    expect(second?.tasks).not.toBe(first?.tasks);
    const withTwoTallies = (other: number): string =>
      `{"tally":1,${reportText(3).slice(1, -1)},"x":{"tally":${other}}}`;
    expect(reader.read(withTwoTallies(4))?.seq).toBe(3);
    expect(reader.read(withTwoTallies(5))?.seq).toBe(3);
  });
});

describe('metrics', () => {
  it('report durations, processor time and memory', () => {
    const ownProcess = processMetrics() as {
      processorMs: { user: number };
      memoryMb: Record<string, number>;
    };
    const metrics = new Metrics();
    for (const ms of [0.2, 3, 5, 200_000]) metrics.measure('round', ms);
    expect(metrics.summarize().round_ms).toMatchObject({ count: 4, p50: 3 });
    expect(ownProcess.processorMs.user).toBeGreaterThan(0);
    expect(ownProcess.memoryMb.resident).toBeGreaterThan(ownProcess.memoryMb.heapUsed!);
  });
});
