import { createServer } from 'node:net';
import type { Server } from 'node:net';

const HOST = '127.0.0.1';

/** First port of the first block; all blocks lie below the usual ranges of ephemeral ports. */
const FIRST_PORT = 10_240;

/** Number of ports in a block. */
const BLOCK_SIZE = 64;

const BLOCK_COUNT = 300;

/** Listens on a port; the result is `undefined` if the port is in use. */
const listen = (port: number): Promise<Server | undefined> =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'EADDRINUSE') resolve(undefined);
      else reject(error);
    });
    server.listen(port, HOST, () => resolve(server));
  });

/**
 * Allocates ports of the loopback address for programs that start later. A process reserves a block
 * of ports by listening on the first port of the block, so that no other process that uses this
 * class allocates the same ports. Each port is allocated once.
 */
export class PortBlock {
  /** Index of the next block to try. */
  private nextBlock = 0;

  /** Servers that hold the first port of each reserved block. */
  private readonly blockServers: Server[] = [];

  private remainingPorts: number[] = [];

  /** Settles when the last requested allocation has ended; allocations run one after the other. */
  private lastAllocation: Promise<unknown> = Promise.resolve();

  private constructor() {}

  /** @returns an allocator that has not reserved a block yet */
  static create(): PortBlock {
    return new PortBlock();
  }

  /**
   * Allocates a port that nothing listens on.
   *
   * @returns the port
   * @throws Error when no block is free
   */
  next(): Promise<number> {
    const port = this.lastAllocation.then(() => this.takePort());
    // An error reaches only the caller of this allocation; later allocations continue.
    this.lastAllocation = port.catch(() => undefined);
    return port;
  }

  /** Releases the blocks to other processes. */
  close(): void {
    this.blockServers.splice(0).forEach((server) => server.close());
    this.remainingPorts = [];
  }

  private async takePort(): Promise<number> {
    for (;;) {
      const port = this.remainingPorts.shift();
      if (port === undefined) {
        await this.reserveBlock();
        continue;
      }
      const server = await listen(port);
      if (!server) continue;
      await new Promise((resolve) => {
        server.close(resolve);
      });
      return port;
    }
  }

  private async reserveBlock(): Promise<void> {
    while (this.nextBlock < BLOCK_COUNT) {
      const firstPort = FIRST_PORT + this.nextBlock * BLOCK_SIZE;
      this.nextBlock += 1;
      const server = await listen(firstPort);
      if (!server) continue;
      // The reservation must not keep the process alive.
      server.unref();
      this.blockServers.push(server);
      this.remainingPorts = Array.from(
        { length: BLOCK_SIZE - 1 },
        (_, index) => firstPort + 1 + index,
      );
      return;
    }
    throw new Error(`no free block of ports from port ${FIRST_PORT} on`);
  }
}

/** Allocates the ports of this process. */
export const localPorts = PortBlock.create();
