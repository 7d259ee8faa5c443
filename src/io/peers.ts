import net from 'node:net';
import { Root, type Message } from 'protobufjs/light.js';
import type { NodeId, SteadyMs } from '../core/types.js';
import { realClock } from './clock.js';
import type { Logger } from './logger.js';

/** What a node tells the others about itself, twice a second. */
export interface PeerStatus {
  node: string;
  run: string;
  term: number;
  leading: boolean;
  /** Who leads, or led last, as far as it knows, and under which term; empty: nobody known. */
  leader: string;
  leaderTerm: number;
  /** A take-over of its own is under way. */
  takingOver: boolean;
  /** How far back its knowledge of terms reaches, in milliseconds. */
  remembersMs: number;
  /** Workers whose reports reached this node lately. */
  workers: number;
  /** Milliseconds since the state service last answered this node. */
  stateAge: number;
  /** The state service just answered a question of this node in time. */
  reachesState: boolean;
  /** It holds the lock, and gets little done at the state service: the others are to see how they fare. */
  inDoubt: boolean;
  /** It gave the lock away lately because it got too little done at the state service. */
  gaveWay: boolean;
}

/** The last status of a peer, and its age in milliseconds. */
export interface ReceivedStatus {
  status: PeerStatus;
  ageMs: number;
}

export interface PeerRequest {
  /** position: how far the leader's log is. */
  kind: 'submit' | 'show' | 'withdraw' | 'position';
  job: string;
  /** The job as this project knows it, in JSON; only for submissions. */
  spec?: string;
}

export interface PeerResponse {
  status: number;
  /** JSON */
  body: string;
  retryAfter: number;
}

export interface Peers {
  ask(node: string, ask: PeerRequest): Promise<PeerResponse | null>;
  /** Whether a connection to the node stands. */
  isConnected(node: string): boolean;
  /** The last status of each peer. */
  statuses(): ReceivedStatus[];
}

const root = Root.fromJSON({
  nested: {
    Status: {
      fields: {
        node: { type: 'string', id: 1 },
        run: { type: 'string', id: 2 },
        term: { type: 'double', id: 3 },
        leading: { type: 'bool', id: 4 },
        workers: { type: 'uint32', id: 5 },
        stateAge: { type: 'double', id: 6 },
        leader: { type: 'string', id: 7 },
        leaderTerm: { type: 'double', id: 8 },
        takingOver: { type: 'bool', id: 9 },
        remembersMs: { type: 'double', id: 10 },
        reachesState: { type: 'bool', id: 11 },
        inDoubt: { type: 'bool', id: 12 },
        gaveWay: { type: 'bool', id: 13 },
      },
    },
    Ask: {
      fields: {
        id: { type: 'uint32', id: 1 },
        kind: { type: 'string', id: 2 },
        job: { type: 'string', id: 3 },
        spec: { type: 'string', id: 4 },
      },
    },
    Answer: {
      fields: {
        id: { type: 'uint32', id: 1 },
        status: { type: 'uint32', id: 2 },
        body: { type: 'string', id: 3 },
        retryAfter: { type: 'uint32', id: 4 },
      },
    },
    Frame: {
      oneofs: { what: { oneof: ['status', 'ask', 'answer'] } },
      fields: {
        status: { type: 'Status', id: 1 },
        ask: { type: 'Ask', id: 2 },
        answer: { type: 'Answer', id: 3 },
        asked: { type: 'double', id: 4 },
      },
    },
  },
});
const Frame = root.lookupType('Frame');

interface FrameValue {
  status?: PeerStatus | null;
  /** With a status: when the question was put, on the clock of who put it; the answer says it again. */
  asked?: number;
  ask?: ({ id: number } & PeerRequest) | null;
  answer?: ({ id: number } & PeerResponse) | null;
}

const encode = (f: FrameValue): Buffer => {
  const body = Frame.encode(Frame.fromObject(f)).finish();
  const out = Buffer.allocUnsafe(4 + body.length);
  out.writeUInt32BE(body.length, 0);
  out.set(body, 4);
  return out;
};

const MOST = 1 << 20;

/** Cuts a stream into frames: four bytes of length, then the message. */
function reader(onFrame: (f: FrameValue) => void, onBad: () => void): (d: Buffer) => void {
  let held: Buffer = Buffer.alloc(0);
  return (d) => {
    held = held.length === 0 ? d : Buffer.concat([held, d]);
    while (held.length >= 4) {
      const n = held.readUInt32BE(0);
      if (n > MOST) return onBad();
      if (held.length < 4 + n) return;
      let f: Message;
      try {
        f = Frame.decode(held.subarray(4, 4 + n));
      } catch {
        return onBad();
      }
      held = held.subarray(4 + n);
      onFrame(f as unknown as FrameValue);
    }
  };
}

/** Whether a status says something: one that was made up or damaged must prove nothing and extend nothing. */
export const isValidStatus = (status: PeerStatus): boolean =>
  [status.term, status.leaderTerm].every((term) => Number.isSafeInteger(term) && term >= 0) &&
  [status.remembersMs, status.stateAge, status.workers].every((amount) => amount >= 0 && amount < Infinity);

const ASK_MS = 1500;
const SILENT_MS = 2500;

export class PeerLinks implements Peers {
  private readonly known = new Map<string, { status: PeerStatus; at: number }>();
  private readonly open = new Map<string, net.Socket>();
  private readonly waiting = new Map<number, { on: net.Socket; end: (a: PeerResponse | null) => void }>();
  private nextId = 1;

  constructor(
    private readonly listen: { host: string; port: number },
    private readonly peers: { node: NodeId; host: string; port: number }[],
    private readonly mine: () => PeerStatus,
    private readonly on: {
      ask: (a: PeerRequest) => Promise<PeerResponse>;
      status: (s: PeerStatus, asked?: SteadyMs) => void;
    },
    private readonly log: Logger,
  ) {}

  private server: net.Server | null = null;
  private stopped = false;

  stop(): void {
    this.stopped = true;
    this.server?.close();
    for (const s of this.sockets) s.destroy();
  }
  private readonly sockets = new Set<net.Socket>();

  start(): void {
    const server = net.createServer((s) => {
      this.sockets.add(s);
      s.on('close', () => this.sockets.delete(s));
      s.setNoDelay(true);
      s.setTimeout(10_000, () => s.destroy());
      s.on('error', () => s.destroy());
      s.on(
        'data',
        reader(
          (f) => {
            if (f.status) {
              this.heard(f.status);
              s.write(encode({ status: this.mine(), asked: f.asked }));
            }
            if (f.ask) {
              const { id, ...ask } = f.ask;
              void this.on.ask(ask).then((a) => {
                if (!s.destroyed) s.write(encode({ answer: { id, ...a } }));
              });
            }
          },
          () => s.destroy(),
        ),
      );
    });
    server.on('error', (e) => this.log.error({ err: e.message }, 'peer listener'));
    this.server = server;
    server.listen(this.listen.port, this.listen.host);
    for (const p of this.peers) this.dial(p);
  }

  private heard(s: PeerStatus, asked?: SteadyMs): void {
    if (!this.peers.some(({ node }) => node === s.node) || !isValidStatus(s)) return this.noteUnsound(s);
    this.known.set(s.node, { status: s, at: realClock.steady() });
    this.on.status(s, asked);
  }

  private noteUnsound(status: PeerStatus): void {
    if (this.hasHeardUnsound) return;
    this.hasHeardUnsound = true;
    this.log.error({ status }, 'a status of a controller can not be read');
  }
  private hasHeardUnsound = false;

  private dial(p: { node: NodeId; host: string; port: number }): void {
    const s = net.connect({ host: p.host, port: p.port, noDelay: true });
    this.sockets.add(s);
    let last = realClock.steady();
    const ask = (): void => void s.write(encode({ status: this.mine(), asked: realClock.steady() }));
    const tick = setInterval(() => {
      if (realClock.steady() - last > SILENT_MS) s.destroy();
      else if (!s.connecting) ask();
    }, 500);
    s.on('connect', () => {
      last = realClock.steady();
      this.open.set(p.node, s);
      ask();
    });
    s.on(
      'data',
      reader(
        (f) => {
          last = realClock.steady();
          if (f.status) this.heard(f.status, f.asked as SteadyMs);
          if (f.answer) {
            const { id, ...a } = f.answer;
            this.waiting.get(id)?.end(a);
          }
        },
        () => s.destroy(),
      ),
    );
    s.on('error', () => s.destroy());
    s.on('close', () => {
      clearInterval(tick);
      this.sockets.delete(s);
      if (this.open.get(p.node) === s) this.open.delete(p.node);
      for (const w of [...this.waiting.values()]) if (w.on === s) w.end(null);
      if (!this.stopped) setTimeout(() => this.dial(p), 500);
    });
  }

  ask(node: string, ask: PeerRequest): Promise<PeerResponse | null> {
    const s = this.open.get(node);
    if (!s) return Promise.resolve(null);
    const id = this.nextId++ >>> 0;
    return new Promise((resolve) => {
      const end = (a: PeerResponse | null): void => {
        clearTimeout(timer);
        this.waiting.delete(id);
        resolve(a);
      };
      const timer = setTimeout(() => end(null), ASK_MS);
      this.waiting.set(id, { on: s, end });
      s.write(encode({ ask: { id, ...ask } }));
    });
  }

  isConnected(node: string): boolean {
    return this.open.has(node);
  }

  statuses(): ReceivedStatus[] {
    const now = realClock.steady();
    return [...this.known.values()].map((k) => ({ status: k.status, ageMs: now - k.at }));
  }
}
