// The network between clients and an entry whose VM may be suspended. A suspended VM acknowledges nothing, so that TCP sends
// the client's bytes again after 0.2 s, and then after twice as long each time. What the client sent after them, such as the
// end of the connection, follows once they are acknowledged: one round trip later, and up to 40 ms more, by which a kernel may
// delay the acknowledgement.
/* eslint import-x/extensions: off, import-x/prefer-default-export: off */
import { connect, createServer } from 'node:net';
import { splitAddress } from './http.mjs';

const FIRST_RETRY_MS = 200;

/** Time of the first retransmission of what was sent at the given time that is not in the past. */
const findNextRetry = (sentAt) => {
  let at = sentAt + FIRST_RETRY_MS;
  for (let pauseMs = 2 * FIRST_RETRY_MS; at < performance.now(); pauseMs *= 2) at += pauseMs;
  return at;
};

export class ClientPath {
  constructor(target, { acknowledgementMs }) {
    this.target = splitAddress(target);
    this.acknowledgementMs = acknowledgementMs;
    this.isSuspended = false;
    this.waiting = [];
  }

  /** Starts to listen. Returns the address for the clients. */
  start() {
    return new Promise((resolve, reject) => {
      this.server = createServer({ allowHalfOpen: true }, (client) => this.forward(client));
      this.server.once('error', reject);
      this.server.listen(0, this.target.host, () =>
        resolve(`${this.target.host}:${this.server.address().port}`),
      );
    });
  }

  stop() {
    this.server.close();
  }

  suspend() {
    this.isSuspended = true;
  }

  resume() {
    this.isSuspended = false;
    this.waiting.splice(0).forEach((deliver) => deliver());
  }

  forward(client) {
    const entry = connect(this.target);
    const held = { chunks: [], sentAt: 0, hasEnded: false };
    const deliver = () => {
      held.chunks.splice(0).forEach((chunk) => entry.write(chunk));
      if (held.hasEnded) setTimeout(() => entry.end(), this.acknowledgementMs);
    };
    const hold = () => {
      if (this.waiting.includes(held.schedule)) return;
      held.sentAt = performance.now();
      this.waiting.push(held.schedule);
    };
    held.schedule = () => setTimeout(deliver, findNextRetry(held.sentAt) - performance.now());
    client.on('data', (chunk) => {
      if (!this.isSuspended) {
        entry.write(chunk);
        return;
      }
      hold();
      held.chunks.push(chunk);
    });
    client.on('end', () => {
      if (this.isSuspended || held.chunks.length > 0) held.hasEnded = true;
      else entry.end();
    });
    entry.on('data', (chunk) => client.write(chunk));
    entry.on('end', () => client.end());
    // A connection that breaks is closed on the other side too.
    client.on('error', () => entry.destroy());
    entry.on('error', () => client.destroy());
  }
}
