/** The HTTP interface and the links between controllers, over real sockets, and the settings. */
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import type { Controller } from '../src/actors/controller.js';
import type { UserRequests } from '../src/actors/user-requests.js';
import { retryLater } from '../src/actors/admission.js';
import { realClock } from '../src/io/clock.js';
import { PeerLinks, type PeerRequest, type PeerStatus } from '../src/io/peers.js';
import { createApiServer } from '../src/io/server.js';
import { readSettings } from '../src/wire/settings.js';
import { settingsFor, silent, World } from './fakes/world.js';

const cleanups: (() => void)[] = [];
afterEach(() => {
  for (const cleanUp of cleanups.splice(0)) cleanUp();
});

describe('the HTTP interface, over loopback', () => {
  /** Starts the server with a controller that answers as given; returns its URL. */
  const startServer = async (answer: UserRequests['answer']): Promise<string> => {
    const controller = { requests: { answer }, isReady: () => true } as unknown as Controller;
    const server = createApiServer(
      controller,
      () => ({}),
      silent,
      () => {},
    );
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    cleanups.push(() => server.close());
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  };
  const post = (url: string, body: string): Promise<Response> => fetch(url, { method: 'POST', body });
  const job = new World(1).job();

  it('rejects submissions that are malformed or too long, and job ids of another form', async () => {
    const url = await startServer(() => Promise.resolve({ status: 201, body: {} }));
    const malformed = [
      '{',
      '[]',
      '{}',
      JSON.stringify({ ...job, name_id: 'x-1' }),
      JSON.stringify({ ...job, shifts: 0 }),
    ];
    for (const body of [...malformed, JSON.stringify({ ...job, kit: 'x'.repeat(70_000) })])
      expect((await post(`${url}/v1/jobs`, body)).status).toBe(400);
    expect((await post(`${url}/v1/jobs`, JSON.stringify({ ...job, unknown_field: 1 }))).status).toBe(201);
    // Every field except those that may be null is required.
    for (const field of Object.keys(job).filter((k) => !['breeds', 'yard', 'due_s'].includes(k))) {
      expect([
        field,
        (await post(`${url}/v1/jobs`, JSON.stringify({ ...job, [field]: undefined }))).status,
      ]).toEqual([field, 400]);
      expect([
        field,
        (await post(`${url}/v1/jobs`, JSON.stringify({ ...job, [field]: null }))).status,
      ]).toEqual([field, 400]);
    }
    for (const field of ['breeds', 'yard', 'due_s'])
      expect((await post(`${url}/v1/jobs`, JSON.stringify({ ...job, [field]: undefined }))).status).toBe(201);
    expect((await fetch(`${url}/v1/jobs/nonsense`)).status).toBe(404);
    expect((await fetch(`${url}/ready`)).status).toBe(200);
  });

  it('answers a repeated submission of an accepted job with its state, even if the body is malformed', async () => {
    const url = await startServer((request) =>
      Promise.resolve(
        request.kind === 'show' && request.job === job.name_id
          ? { status: 200, body: { standing: 'running' } }
          : { status: request.kind === 'show' ? 404 : 201, body: {} },
      ),
    );
    const malformed = (name_id: string): string => JSON.stringify({ ...job, name_id, shifts: -1 });
    expect((await post(`${url}/v1/jobs`, malformed(job.name_id))).status).toBe(200);
    expect((await post(`${url}/v1/jobs`, malformed('wk-999'))).status).toBe(400);
  });

  // Guards against forgotten: the earlier submission may be in the log while no node can say so.
  it('does not refuse a malformed repetition for good while it can not tell whether the job is accepted', async () => {
    const url = await startServer(() => Promise.resolve(retryLater('a write is not answered')));
    expect((await post(`${url}/v1/jobs`, JSON.stringify({ ...job, shifts: -1 }))).status).toBe(503);
    expect((await post(`${url}/v1/jobs`, JSON.stringify({ ...job, name_id: 'x-1' }))).status).toBe(400);
  });

  it('sends Retry-After and closes the connection when it can not answer now', async () => {
    const url = await startServer(() => Promise.resolve(retryLater('not now', 2)));
    const response = await post(`${url}/v1/jobs`, JSON.stringify(job));
    expect(response.status).toBe(503);
    expect(response.headers.get('retry-after')).toBe('2');
    expect(response.headers.get('connection')).toBe('close');
  });
});

describe('links between controllers, over loopback', () => {
  it('carry statuses, requests and responses, and return null for a node that is not connected', async () => {
    const status = (node: string): PeerStatus => ({
      node,
      run: 'r',
      term: 7,
      leading: true,
      workers: 3,
      stateAge: 1,
      leader: node,
      leaderTerm: 7,
      takingOver: false,
      remembersMs: 1e12,
      reachesState: true,
      inDoubt: true,
      gaveWay: true,
    });
    const received: PeerStatus[] = [];
    /** Send times repeated by the statuses received in reply. */
    const sentTimes: number[] = [];
    const requests: PeerRequest[] = [];
    const freePort = async (): Promise<number> => {
      const { createServer } = await import('node:net');
      const server = createServer();
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
      const port = (server.address() as AddressInfo).port;
      await new Promise((resolve) => server.close(resolve));
      return port;
    };
    const [port0, port1] = [await freePort(), await freePort()];
    const createLinks = (own: string, port: number, peer: string, peerPort: number): PeerLinks =>
      new PeerLinks(
        { host: '127.0.0.1', port },
        [{ node: peer as never, host: '127.0.0.1', port: peerPort }],
        () => status(own),
        {
          ask: (request) => {
            requests.push(request);
            return Promise.resolve({ status: 200, body: '{"x":1}', retryAfter: 0 });
          },
          status: (peerStatus, sentAt) => {
            received.push(peerStatus);
            if (sentAt) sentTimes.push(sentAt);
          },
        },
        silent,
      );
    const links0 = createLinks('n0', port0, 'n1', port1);
    const links1 = createLinks('n1', port1, 'n0', port0);
    cleanups.push(
      () => links0.stop(),
      () => links1.stop(),
    );
    links1.start();
    links0.start();
    await expect.poll(() => received.length, { timeout: 5000 }).toBeGreaterThan(1);
    expect(received[0]).toMatchObject({
      term: 7,
      leading: true,
      workers: 3,
      leaderTerm: 7,
      remembersMs: 1e12,
    });
    // A status in reply repeats the time at which this node sent its own, by this node's clock.
    await expect.poll(() => sentTimes.length, { timeout: 5000 }).toBeGreaterThan(1);
    for (const sentAt of sentTimes) expect(Math.abs(sentAt - realClock.steady())).toBeLessThan(10_000);
    expect(await links0.ask('n1', { kind: 'show', job: 'wk-1' })).toMatchObject({
      status: 200,
      body: '{"x":1}',
    });
    expect(requests[0]).toMatchObject({ kind: 'show', job: 'wk-1' });
    expect(await links0.ask('n9', { kind: 'show', job: 'wk-1' })).toBeNull();
  });
});

describe('the settings', () => {
  it('accept unknown fields, and name a missing or wrong one', () => {
    const settings = settingsFor(0);
    expect(readSettings({ ...settings, new_field: 1 }).node).toBe('n0');
    expect(() => readSettings({ ...settings, back: 'nowhere' })).toThrow(/settings: back:/);
    expect(() => readSettings({ ...settings, cluster: { ...settings.cluster, workers: {} } })).toThrow(
      /cluster\.workers\.report_s/,
    );
  });
});
