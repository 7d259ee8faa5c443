/**
 * A TCP proxy on a loopback address with a free port. It passes bytes on, and can be told to hold them, to reset
 * connections or to refuse new ones. Bytes that are held are delivered in order afterwards, also when the sender
 * has closed the connection; a connection that is opened during a hold and given up is never completed.
 */
import net from 'node:net';

export class Link {
  /** 'pass', 'hold', 'refuse' */
  mode = 'pass';
  #pairs = new Set();
  #server;

  /** `target` returns `{ host, port }` when a connection is opened. */
  constructor(target) {
    this.target = target;
    this.#server = net.createServer({ noDelay: true, allowHalfOpen: true }, (near) => this.#accept(near));
  }

  async listen() {
    await new Promise((done) => this.#server.listen(0, '127.0.0.1', done));
    this.address = `127.0.0.1:${this.#server.address().port}`;
    return this;
  }

  #accept(near) {
    near.on('error', () => {});
    if (this.mode === 'refuse') return near.resetAndDestroy();
    const pair = { near, far: null, toFar: [], toNear: [], nearEnded: false, nearClosed: false };
    this.#pairs.add(pair);
    near.on('data', (bytes) => {
      pair.toFar.push(bytes);
      this.#flush(pair);
    });
    near.on('end', () => {
      pair.nearEnded = true;
      this.#flush(pair);
    });
    near.on('close', () => {
      pair.nearClosed = pair.nearEnded = true;
      this.#flush(pair);
    });
    if (this.mode === 'pass') this.#connect(pair);
  }

  #connect(pair) {
    pair.far = net.connect({ ...this.target(), noDelay: true });
    pair.far.on('error', () => {});
    pair.far.on('data', (bytes) => {
      pair.toNear.push(bytes);
      this.#flush(pair);
    });
    pair.far.on('close', () => {
      pair.farClosed = true;
      this.#flush(pair);
    });
  }

  #flush(pair) {
    if (this.mode === 'hold') return;
    if (!pair.far) {
      // Opened during a hold: completed only if the client still waits.
      if (pair.nearClosed) return void this.#pairs.delete(pair);
      this.#connect(pair);
    }
    for (const bytes of pair.toFar.splice(0)) if (!pair.far.destroyed) pair.far.write(bytes);
    for (const bytes of pair.toNear.splice(0)) if (!pair.near.destroyed) pair.near.write(bytes);
    if (pair.nearEnded && !pair.farClosed) pair.far.end();
    if (pair.farClosed && !pair.nearClosed) pair.near.end();
    if (pair.nearClosed && pair.farClosed) this.#pairs.delete(pair);
  }

  pass() {
    this.mode = 'pass';
    for (const pair of [...this.#pairs]) this.#flush(pair);
  }

  hold() {
    this.mode = 'hold';
  }

  /** Resets the open connections and those that are opened from now on. */
  refuse() {
    this.mode = 'refuse';
    this.reset();
  }

  reset() {
    for (const { near, far } of this.#pairs) {
      near.resetAndDestroy();
      far?.resetAndDestroy();
    }
    this.#pairs.clear();
  }

  close() {
    this.#server.close();
    this.reset();
  }
}
