/** Messages between the controllers: statuses, and users' requests passed on to the leader. */
import net from 'node:net';
import { Root, type Message } from 'protobufjs/light.js';
import type { NodeId, SteadyMs } from '../core/types.js';
import { realClock } from './clock.js';
import type { Logger } from './logger.js';

/** Status that each node sends to its peers twice a second. */
export interface PeerStatus {
  node: string;
  /** Id of the process, to tell it from an earlier one of the same node. */
  run: string;
  /** The highest term that the node knows. */
  term: number;
  leading: boolean;
  /** The current or last leader that the node knows of, and its term; empty if it knows of none. */
  leader: string;
  leaderTerm: number;
  takingOver: boolean;
  /** How far back the node's knowledge of terms reaches, in milliseconds. */
  remembersMs: number;
  /** Number of workers whose reports reached this node recently. */
  workers: number;
  /** Milliseconds since the state service last answered; of a leader, since its lock was last certain. */
  stateAge: number;
  /** The state service recently answered a request of this node in time. */
  reachesState: boolean;
  /** Holds the lock but gets little done at the state service; peers are to check their own access to it. */
  inDoubt: boolean;
  /** Gave up the lock recently because it got too little done at the state service. */
  gaveWay: boolean;
}

export interface ReceivedStatus {
  status: PeerStatus;
  ageMs: number;
}

/** A user's request that is passed on to the leader, or a question about the leader's log. */
export interface PeerRequest {
  /** `position` asks how far the leader's log goes. */
  kind: 'submit' | 'show' | 'withdraw' | 'position';
  job: string;
  /** JobSpec as JSON; only for submissions. */
  spec?: string;
}

/** What the user is to be answered: HTTP status, body as JSON text, and seconds for Retry-After. */
export interface PeerResponse {
  status: number;
  body: string;
  retryAfter: number;
}

/** The other controllers, as the actors see them. */
export interface Peers {
  /** Resolves to null if the node is not connected or does not answer in time. */
  ask(node: string, request: PeerRequest): Promise<PeerResponse | null>;
  isConnected(node: string): boolean;
  /** The last valid status of each peer. */
  statuses(): ReceivedStatus[];
}

/** Protocol Buffers schema of the messages; the field numbers must not change. */
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
  /** With a status: when it was sent, by the sender's steady clock. The status in reply repeats the value. */
  asked?: number;
  ask?: ({ id: number } & PeerRequest) | null;
  answer?: ({ id: number } & PeerResponse) | null;
}

const encode = (frame: FrameValue): Buffer => {
  const body = Frame.encode(Frame.fromObject(frame)).finish();
  const bytes = Buffer.allocUnsafe(4 + body.length);
  bytes.writeUInt32BE(body.length, 0);
  bytes.set(body, 4);
  return bytes;
};

const MAX_FRAME_BYTES = 1 << 20;

/** Splits a byte stream into frames, each preceded by its length in four bytes (big endian). */
function frameReader(onFrame: (frame: FrameValue) => void, onInvalid: () => void): (bytes: Buffer) => void {
  let buffered: Buffer = Buffer.alloc(0);
  return (bytes) => {
    buffered = buffered.length === 0 ? bytes : Buffer.concat([buffered, bytes]);
    while (buffered.length >= 4) {
      const length = buffered.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES) return onInvalid();
      if (buffered.length < 4 + length) return;
      let frame: Message;
      try {
        frame = Frame.decode(buffered.subarray(4, 4 + length));
      } catch {
        return onInvalid();
      }
      buffered = buffered.subarray(4 + length);
      onFrame(frame as unknown as FrameValue);
    }
  };
}

/** Whether all numbers of a status are valid: a corrupt one must not count as evidence of who leads. */
export const isValidStatus = (status: PeerStatus): boolean =>
  [status.term, status.leaderTerm].every((term) => Number.isSafeInteger(term) && term >= 0) &&
  [status.remembersMs, status.stateAge, status.workers].every((amount) => amount >= 0 && amount < Infinity);

const REQUEST_TIMEOUT_MS = 1500;
/** A connection on which nothing arrives for this long is closed and opened anew. */
const SILENCE_TIMEOUT_MS = 2500;

/** Connects to every peer, exchanges statuses with it twice a second, and sends and answers requests. */
export class PeerLinks implements Peers {
  private readonly lastStatuses = new Map<string, { status: PeerStatus; at: number }>();
  private readonly connections = new Map<string, net.Socket>();
  private readonly pending = new Map<number, { via: net.Socket; settle: (r: PeerResponse | null) => void }>();
  private nextId = 1;

  constructor(
    private readonly listenAddress: { host: string; port: number },
    private readonly peers: { node: NodeId; host: string; port: number }[],
    private readonly ownStatus: () => PeerStatus,
    private readonly handlers: {
      ask: (request: PeerRequest) => Promise<PeerResponse>;
      /** Takes a peer's status; `asked`: when this node sent the status that it replies to. */
      status: (status: PeerStatus, asked?: SteadyMs) => void;
    },
    private readonly log: Logger,
  ) {}

  private server: net.Server | null = null;
  private stopped = false;

  stop(): void {
    this.stopped = true;
    this.server?.close();
    for (const socket of this.sockets) socket.destroy();
  }
  private readonly sockets = new Set<net.Socket>();

  start(): void {
    const server = net.createServer((socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      socket.setNoDelay(true);
      socket.setTimeout(10_000, () => socket.destroy());
      socket.on('error', () => socket.destroy());
      socket.on(
        'data',
        frameReader(
          (frame) => {
            if (frame.status) {
              this.handleStatus(frame.status);
              socket.write(encode({ status: this.ownStatus(), asked: frame.asked }));
            }
            if (frame.ask) {
              const { id, ...request } = frame.ask;
              void this.handlers.ask(request).then((response) => {
                if (!socket.destroyed) socket.write(encode({ answer: { id, ...response } }));
              });
            }
          },
          () => socket.destroy(),
        ),
      );
    });
    server.on('error', (error) => this.log.error({ err: error.message }, 'the listener for peers failed'));
    this.server = server;
    server.listen(this.listenAddress.port, this.listenAddress.host);
    for (const peer of this.peers) this.dial(peer);
  }

  private handleStatus(received: PeerStatus, asked?: SteadyMs): void {
    if (!this.peers.some(({ node }) => node === received.node) || !isValidStatus(received))
      return this.logInvalid(received);
    this.lastStatuses.set(received.node, { status: received, at: realClock.steady() });
    this.handlers.status(received, asked);
  }

  private logInvalid(status: PeerStatus): void {
    if (this.hasLoggedInvalidStatus) return;
    this.hasLoggedInvalidStatus = true;
    this.log.error({ status }, 'a status of a controller can not be read');
  }
  private hasLoggedInvalidStatus = false;

  /** Connects to a peer, exchanges statuses with it, and connects again after the connection is lost. */
  private dial(peer: { node: NodeId; host: string; port: number }): void {
    const socket = net.connect({ host: peer.host, port: peer.port, noDelay: true });
    this.sockets.add(socket);
    let lastReceivedAt = realClock.steady();
    const send = (): void =>
      void socket.write(encode({ status: this.ownStatus(), asked: realClock.steady() }));
    const interval = setInterval(() => {
      if (realClock.steady() - lastReceivedAt > SILENCE_TIMEOUT_MS) socket.destroy();
      else if (!socket.connecting) send();
    }, 500);
    socket.on('connect', () => {
      lastReceivedAt = realClock.steady();
      this.connections.set(peer.node, socket);
      send();
    });
    socket.on(
      'data',
      frameReader(
        (frame) => {
          lastReceivedAt = realClock.steady();
          if (frame.status) this.handleStatus(frame.status, frame.asked as SteadyMs);
          if (frame.answer) {
            const { id, ...response } = frame.answer;
            this.pending.get(id)?.settle(response);
          }
        },
        () => socket.destroy(),
      ),
    );
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      clearInterval(interval);
      this.sockets.delete(socket);
      if (this.connections.get(peer.node) === socket) this.connections.delete(peer.node);
      for (const request of [...this.pending.values()]) if (request.via === socket) request.settle(null);
      if (!this.stopped) setTimeout(() => this.dial(peer), 500);
    });
  }

  ask(node: string, request: PeerRequest): Promise<PeerResponse | null> {
    const socket = this.connections.get(node);
    if (!socket) return Promise.resolve(null);
    const id = this.nextId++ >>> 0;
    return new Promise((resolve) => {
      const settle = (response: PeerResponse | null): void => {
        clearTimeout(timer);
        this.pending.delete(id);
        resolve(response);
      };
      const timer = setTimeout(() => settle(null), REQUEST_TIMEOUT_MS);
      this.pending.set(id, { via: socket, settle });
      socket.write(encode({ ask: { id, ...request } }));
    });
  }

  isConnected(node: string): boolean {
    return this.connections.has(node);
  }

  statuses(): ReceivedStatus[] {
    const now = realClock.steady();
    return [...this.lastStatuses.values()].map((last) => ({ status: last.status, ageMs: now - last.at }));
  }
}
