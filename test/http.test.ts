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

async function listening(server: net.Server): Promise<string> {
  servers.push(server);
  await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** A server that answers reports with what it was sent, and everything else with its path. */
async function reportServer(): Promise<string> {
  const requests = http.createServer((request, response) => {
    request.resume();
    request.on('end', () => response.end(JSON.stringify({ path: request.url })));
  });
  return listening(
    net.createServer((socket) => {
      new WorkerConnection(
        socket,
        (text, reply) => reply(text === null ? { status: 400, body: '{}' } : { status: 200, body: text }),
        (handed, unread) => {
          requests.emit('connection', handed);
          if (unread.length > 0) handed.unshift(unread);
        },
      );
    }),
  );
}

/** Sends pieces with pauses between them over one connection; what came back. */
async function exchange(address: string, pieces: string[]): Promise<string> {
  const [host, port] = address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  let received = '';
  socket.on('data', (bytes: Buffer) => (received += bytes.toString()));
  for (const piece of pieces) {
    socket.write(piece);
    await new Promise((done) => setTimeout(done, 30));
  }
  socket.destroy();
  return received;
}

const report = (body: string): string =>
  `POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;

describe('connections of workers', () => {
  it('carry reports in any cut, one after the other', async () => {
    const text = report('{"seq":1,"name":"ü"}');
    const address = await reportServer();
    const received = await exchange(address, [
      text.slice(0, 5),
      text.slice(5, 60),
      text.slice(60) + report('{}'),
    ]);
    expect(received.match(/HTTP\/1.1 200 OK/g)).toHaveLength(2);
    expect(received).toContain('{"seq":1,"name":"ü"}');
    expect(received.endsWith('{}')).toBe(true);
  });

  it('leave every other request to the HTTP server, also after reports', async () => {
    const received = await exchange(await reportServer(), [
      report('{"first":true}'),
      'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n',
      'POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}',
    ]);
    expect(received).toContain('{"first":true}');
    expect(received).toContain('{"path":"/ready"}');
    expect(received).toContain('{"path":"/v1/jobs"}');
  });

  it('leave a report without a length, or in chunks, to the HTTP server', async () => {
    const chunked =
      'POST /hello HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n';
    expect(await exchange(await reportServer(), [chunked])).toContain('{"path":"/hello"}');
  });

  it('refuse a body over the limit and close', async () => {
    const head = 'POST /hello HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n';
    const received = await exchange(await reportServer(), [head]);
    expect(received).toContain('HTTP/1.1 400');
    expect(received).toContain('Connection: close');
  });

  it('close on a head that is no HTTP', async () => {
    const bad = 'POST /hello HTTP/1.1\r\nContent-Length: many\r\n\r\n';
    expect(await exchange(await reportServer(), [bad])).toBe('');
  });
});

describe('calls', () => {
  const answering = (write: (socket: net.Socket) => void): Promise<string> =>
    listening(net.createServer((socket) => socket.on('data', () => write(socket)).on('error', () => {})));

  it('read bodies by length, in chunks, and up to the end of the connection', async () => {
    const call = createHttpCall();
    const byLength = await answering((s) => s.write('HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n{"a":1}'));
    const inChunks = await answering((s) => {
      s.write('HTTP/1.1 409 No\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{"a\r\n');
      setTimeout(() => s.write('4\r\n":2}\r\n0\r\n\r\n'), 20);
    });
    const toTheEnd = await answering((s) => s.end('HTTP/1.1 503 No\r\n\r\n{"a":3}'));
    expect(await call(byLength, 'GET', '/', undefined, 1000)).toEqual({ status: 200, body: { a: 1 } });
    expect(await call(inChunks, 'POST', '/', {}, 1000)).toEqual({ status: 409, body: { a: 2 } });
    expect(await call(toTheEnd, 'POST', '/', {}, 1000)).toEqual({ status: 503, body: { a: 3 } });
  });

  it('reuse a connection, and not one that the server closes or that did not answer in time', async () => {
    let connections = 0;
    let silent = false;
    const server = http.createServer((_request, response) => {
      if (!silent) response.end('{}');
    });
    server.on('connection', () => connections++);
    const address = await listening(server);
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

  it('keep no connection when there are no sockets to spare', async () => {
    let connections = 0;
    const server = http.createServer((_request, response) => response.end('{}'));
    server.on('connection', () => connections++);
    const address = await listening(server);
    const call = createHttpCall(() => false);
    for (let i = 0; i < 2; i++) await call(address, 'GET', '/', undefined, 1000);
    expect(connections).toBe(2);
  });

  it('answer null when the connection is refused or breaks off', async () => {
    const call = createHttpCall();
    expect(await call('127.0.0.1:1', 'GET', '/', undefined, 1000)).toBeNull();
    const breaking = await answering((s) => s.end('HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n{"a'));
    expect(await call(breaking, 'GET', '/', undefined, 1000)).toBeNull();
  });

  it('take no head without end and no length that is none', () => {
    expect(() => parseHead(Buffer.alloc(20_000, 'a'))).toThrow(MalformedMessageError);
    const reader = new ResponseReader();
    expect(() => reader.read(Buffer.from('HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n'))).toThrow(
      MalformedMessageError,
    );
  });
});

describe('reports of one worker', () => {
  const text = (tally: number | string, standing = 'running', addr = '10.0.0.1:9'): string =>
    `{"mount":"vm-1","addr":"${addr}","breed":"box","yard":"a","loaners":true,"stint":1,"tally":${tally},` +
    `"warrant":0,"recall_s":null,"shifts":[{"shift":"wk-1/0","try":1,"standing":"${standing}"}]}`;

  it('that differ in their number only share their tasks, and say what a full reading says', () => {
    const reader = new ReportReader();
    const first = reader.read(text(8));
    const second = reader.read(text(9));
    expect(second).toEqual(readReport(JSON.parse(text(9))));
    expect(second?.tasks).toBe(first?.tasks);
    expect(first?.seq).toBe(8);
    const third = reader.read(text(100, 'ended'));
    expect(third).toEqual(readReport(JSON.parse(text(100, 'ended'))));
    expect(third?.tasks).not.toBe(first?.tasks);
  });

  it('are checked in full: a number that JSON does not allow, or another name, is no repetition', () => {
    for (const bad of ['007', '-', '', '1e', '1,"tally":"x"', '{}']) {
      const reader = new ReportReader();
      expect(reader.read(text(8))).not.toBeNull();
      expect(reader.read(text(bad))).toBeNull();
    }
  });

  it('whose number stands in doubt are always read in full', () => {
    const reader = new ReportReader();
    const odd = (tally: number): string => text(tally, 'running', '\\"tally\\":5');
    const first = reader.read(odd(1));
    const second = reader.read(odd(2));
    expect(second?.seq).toBe(2);
    expect(second?.tasks).not.toBe(first?.tasks);
    const twice = (n: number): string => `{"tally":1,${text(3).slice(1, -1)},"x":{"tally":${n}}}`;
    expect(reader.read(twice(4))?.seq).toBe(3);
    expect(reader.read(twice(5))?.seq).toBe(3);
  });
});

describe('metrics', () => {
  it('name times, processor time and memory', () => {
    const figures = processMetrics() as { processorMs: { user: number }; memoryMb: Record<string, number> };
    const metrics = new Metrics();
    for (const ms of [0.2, 3, 5, 200_000]) metrics.measure('round', ms);
    expect(metrics.summarize().round_ms).toMatchObject({ count: 4, p50: 3 });
    expect(figures.processorMs.user).toBeGreaterThan(0);
    expect(figures.memoryMb.resident).toBeGreaterThan(figures.memoryMb.heapUsed!);
  });
});
