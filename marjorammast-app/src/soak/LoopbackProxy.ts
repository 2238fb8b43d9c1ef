import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { Transform } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import { sleep } from '@marjorammast/protocol';

/**
 * Simulated fault of a link: `none` is no fault, `slow` delays each chunk of data, `silent` holds
 * back all data until the fault ends, `mute` holds back only the data from server to client.
 */
export type ProxyFault = 'none' | 'slow' | 'silent' | 'mute';

type ConnectionPair = {
  client: Socket;
  server: Socket;
  /** True when the connection carries no more data, also after the fault of the link has ended. */
  isStalled: boolean;
};

type Direction = 'toServer' | 'toClient';

const POLL_MS = 20;

const SLOW_DELAY_MS = 120;

/** TCP proxy between two processes on the loopback address that simulates faults of the link. */
export class LoopbackProxy {
  /** Fault that the proxy simulates at present. */
  fault: ProxyFault = 'none';

  private readonly pairs = new Set<ConnectionPair>();

  private readonly server: Server;

  private constructor(private readonly serverPort: number) {
    this.server = createServer((client) => this.accept(client));
  }

  /**
   * @param port - port on which the proxy listens
   * @param serverPort - port to which it forwards connections
   * @returns the listening proxy
   */
  static async create(port: number, serverPort: number): Promise<LoopbackProxy> {
    const proxy = new LoopbackProxy(serverPort);
    await new Promise<void>((resolve, reject) => {
      proxy.server.once('error', reject);
      proxy.server.listen(port, '127.0.0.1', resolve);
    });
    return proxy;
  }

  /** Resets every connection. */
  reset(): void {
    this.pairs.forEach(({ client, server }) => {
      client.resetAndDestroy();
      server.resetAndDestroy();
    });
  }

  /** Holds back the data of every open connection for good; new connections work. */
  stallConnections(): void {
    this.pairs.forEach((pair) => Object.assign(pair, { isStalled: true }));
  }

  /** Closes the proxy and resets its connections. */
  close(): void {
    this.server.close();
    this.reset();
  }

  private accept(client: Socket): void {
    const server = connect(this.serverPort, '127.0.0.1');
    const pair: ConnectionPair = { client, server, isStalled: false };
    this.pairs.add(pair);
    void this.relay(pair, client, server, 'toServer');
    void this.relay(pair, server, client, 'toClient');
  }

  private async relay(
    pair: ConnectionPair,
    from: Socket,
    to: Socket,
    direction: Direction,
  ): Promise<void> {
    const delaying = new Transform({
      transform: (chunk, _, done) => {
        void this.delayChunk(pair, direction).then(() => done(null, chunk));
      },
    });
    try {
      await pipeline(from, delaying, to);
    } catch {
      // When the connection breaks on one side, the proxy resets the other side.
      to.resetAndDestroy();
    }
    this.pairs.delete(pair);
  }

  private async delayChunk(pair: ConnectionPair, direction: Direction): Promise<void> {
    if (this.fault === 'slow') await sleep(SLOW_DELAY_MS);
    const isHeldBack = () =>
      pair.isStalled ||
      this.fault === 'silent' ||
      (this.fault === 'mute' && direction === 'toClient');
    while (isHeldBack() && !pair.client.destroyed && !pair.server.destroyed) await sleep(POLL_MS);
  }
}
