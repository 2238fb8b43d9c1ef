import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { Transform } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import { sleep } from '@marjorammast/protocol';

/**
 * What a proxy does with bytes: `slow` holds each piece for a while, `silent` holds all until the
 * mood ends, `mute` only those on the way back.
 */
export type ProxyMood = 'well' | 'slow' | 'silent' | 'mute';

type Pair = {
  client: Socket;
  server: Socket;
  /** True for a connection that stays silent for good. */
  isStuck: boolean;
};

type Direction = 'there' | 'back';

const HOLD_POLL_MS = 20;

const SLOW_MS = 120;

/** A TCP proxy on the loopback address between two processes. */
export class LoopbackProxy {
  mood: ProxyMood = 'well';

  private readonly pairs = new Set<Pair>();

  private readonly server: Server;

  private constructor(private readonly targetPort: number) {
    this.server = createServer((client) => this.accept(client));
  }

  /**
   * @param port - port on which the proxy listens
   * @param targetPort - port to which it passes connections
   * @returns the proxy, once it listens
   */
  static async create(port: number, targetPort: number): Promise<LoopbackProxy> {
    const proxy = new LoopbackProxy(targetPort);
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

  /** Makes every open connection silent for good; new ones work. */
  stick(): void {
    this.pairs.forEach((pair) => Object.assign(pair, { isStuck: true }));
  }

  /** Ends the proxy and its connections. */
  close(): void {
    this.server.close();
    this.reset();
  }

  private accept(client: Socket): void {
    const server = connect(this.targetPort, '127.0.0.1');
    const pair: Pair = { client, server, isStuck: false };
    this.pairs.add(pair);
    void this.relay(pair, client, server, 'there');
    void this.relay(pair, server, client, 'back');
  }

  private async relay(pair: Pair, from: Socket, to: Socket, direction: Direction): Promise<void> {
    const held = new Transform({
      transform: (piece, _, done) => {
        void this.hold(pair, direction).then(() => done(null, piece));
      },
    });
    try {
      await pipeline(from, held, to);
    } catch {
      // A connection that breaks on one side breaks on the other.
      to.resetAndDestroy();
    }
    this.pairs.delete(pair);
  }

  private async hold(pair: Pair, direction: Direction): Promise<void> {
    if (this.mood === 'slow') await sleep(SLOW_MS);
    const isHeld = () =>
      pair.isStuck || this.mood === 'silent' || (this.mood === 'mute' && direction === 'back');
    while (isHeld() && !pair.client.destroyed && !pair.server.destroyed) await sleep(HOLD_POLL_MS);
  }
}
