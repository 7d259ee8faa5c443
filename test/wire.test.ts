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

const closers: (() => void)[] = [];
afterEach(() => {
  for (const c of closers.splice(0)) c();
});

describe('the HTTP interface, over loopback', () => {
  const open = async (answer: UserRequests['answer']): Promise<string> => {
    const c = { requests: { answer }, isReady: () => true } as unknown as Controller;
    const s = createApiServer(
      c,
      () => ({}),
      silent,
      () => {},
    );
    await new Promise<void>((ok) => s.listen(0, '127.0.0.1', ok));
    closers.push(() => s.close());
    return `http://127.0.0.1:${(s.address() as AddressInfo).port}`;
  };
  const post = (url: string, body: string): Promise<Response> => fetch(url, { method: 'POST', body });
  const job = new World(1).job();

  it('refuses what is malformed or too long, and ids of another form', async () => {
    const at = await open(() => Promise.resolve({ status: 201, body: {} }));
    const bad = [
      '{',
      '[]',
      '{}',
      JSON.stringify({ ...job, name_id: 'x-1' }),
      JSON.stringify({ ...job, shifts: 0 }),
    ];
    for (const b of [...bad, JSON.stringify({ ...job, kit: 'x'.repeat(70_000) })])
      expect((await post(`${at}/v1/jobs`, b)).status).toBe(400);
    expect((await post(`${at}/v1/jobs`, JSON.stringify({ ...job, unheard: 1 }))).status).toBe(201);
    // Every field but those that may be null.
    for (const f of Object.keys(job).filter((k) => !['breeds', 'yard', 'due_s'].includes(k))) {
      expect([f, (await post(`${at}/v1/jobs`, JSON.stringify({ ...job, [f]: undefined }))).status]).toEqual([
        f,
        400,
      ]);
      expect([f, (await post(`${at}/v1/jobs`, JSON.stringify({ ...job, [f]: null }))).status]).toEqual([
        f,
        400,
      ]);
    }
    for (const f of ['breeds', 'yard', 'due_s'])
      expect((await post(`${at}/v1/jobs`, JSON.stringify({ ...job, [f]: undefined }))).status).toBe(201);
    expect((await fetch(`${at}/v1/jobs/nonsense`)).status).toBe(404);
    expect((await fetch(`${at}/ready`)).status).toBe(200);
  });

  it('answers for an accepted job, whatever the body of its repeat', async () => {
    const at = await open((a) =>
      Promise.resolve(
        a.kind === 'show' && a.job === job.name_id
          ? { status: 200, body: { standing: 'running' } }
          : { status: a.kind === 'show' ? 404 : 201, body: {} },
      ),
    );
    const broken = (name_id: string): string => JSON.stringify({ ...job, name_id, shifts: -1 });
    expect((await post(`${at}/v1/jobs`, broken(job.name_id))).status).toBe(200);
    expect((await post(`${at}/v1/jobs`, broken('wk-999'))).status).toBe(400);
  });

  it('says when to come back, and lets the balancer choose anew', async () => {
    const at = await open(() => Promise.resolve(retryLater('not now', 2)));
    const r = await post(`${at}/v1/jobs`, JSON.stringify(job));
    expect(r.status).toBe(503);
    expect(r.headers.get('retry-after')).toBe('2');
    expect(r.headers.get('connection')).toBe('close');
  });
});

describe('the peer link, over loopback', () => {
  it('carries statuses, questions and answers, and says when nobody answers', async () => {
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
    const heard: PeerStatus[] = [];
    const answers: number[] = [];
    const asked: PeerRequest[] = [];
    const free = async (): Promise<number> => {
      const { createServer } = await import('node:net');
      const s = createServer();
      await new Promise<void>((ok) => s.listen(0, '127.0.0.1', ok));
      const p = (s.address() as AddressInfo).port;
      await new Promise((ok) => s.close(ok));
      return p;
    };
    const [p0, p1] = [await free(), await free()];
    const link = (me: string, port: number, other: string, to: number): PeerLinks =>
      new PeerLinks(
        { host: '127.0.0.1', port },
        [{ node: other as never, host: '127.0.0.1', port: to }],
        () => status(me),
        {
          ask: (a) => {
            asked.push(a);
            return Promise.resolve({ status: 200, body: '{"x":1}', retryAfter: 0 });
          },
          status: (s, at) => {
            heard.push(s);
            if (at) answers.push(at);
          },
        },
        silent,
      );
    const a = link('n0', p0, 'n1', p1);
    const b = link('n1', p1, 'n0', p0);
    closers.push(
      () => a.stop(),
      () => b.stop(),
    );
    b.start();
    a.start();
    await expect.poll(() => heard.length, { timeout: 5000 }).toBeGreaterThan(1);
    expect(heard[0]).toMatchObject({ term: 7, leading: true, workers: 3, leaderTerm: 7, remembersMs: 1e12 });
    // An answer says when its question was put, by the clock of who put it.
    await expect.poll(() => answers.length, { timeout: 5000 }).toBeGreaterThan(1);
    for (const at of answers) expect(Math.abs(at - realClock.steady())).toBeLessThan(10_000);
    expect(await a.ask('n1', { kind: 'show', job: 'wk-1' })).toMatchObject({ status: 200, body: '{"x":1}' });
    expect(asked[0]).toMatchObject({ kind: 'show', job: 'wk-1' });
    expect(await a.ask('n9', { kind: 'show', job: 'wk-1' })).toBeNull();
  });
});

describe('the settings', () => {
  it('take unknown fields, and name a missing or wrong one', () => {
    const s = settingsFor(0);
    expect(readSettings({ ...s, new_field: 1 }).node).toBe('n0');
    expect(() => readSettings({ ...s, back: 'nowhere' })).toThrow(/settings: back:/);
    expect(() => readSettings({ ...s, cluster: { ...s.cluster, workers: {} } })).toThrow(
      /cluster\.workers\.report_s/,
    );
  });
});
