import { createServer } from 'node:net';
import type { Server } from 'node:net';

const HOST = '127.0.0.1';

/** First port of the first block; all blocks lie below the ports that systems give to clients. */
const FIRST_PORT = 10_240;

const BLOCK_SIZE = 64;

const BLOCKS = 300;

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
 * Ports of the loopback address for programs that are started later. A process holds its blocks by
 * listening on the first port of each, so that no other process that uses this class gives out the
 * same port, and gives each port out once.
 */
export class PortBlock {
  private block = 0;

  private readonly holders: Server[] = [];

  private left: number[] = [];

  private pending: Promise<unknown> = Promise.resolve();

  private constructor() {}

  /** @returns a source of ports that holds no block yet */
  static create(): PortBlock {
    return new PortBlock();
  }

  /**
   * Gives a port that nothing listens on and that is not given again.
   *
   * @returns the port
   * @throws Error when all blocks are taken
   */
  next(): Promise<number> {
    const port = this.pending.then(() => this.take());
    // The caller gets the error; whoever asks next is not held up by it.
    this.pending = port.catch(() => undefined);
    return port;
  }

  /** Lets other processes take the blocks. */
  close(): void {
    this.holders.splice(0).forEach((server) => server.close());
    this.left = [];
  }

  private async take(): Promise<number> {
    for (;;) {
      const port = this.left.shift();
      if (port === undefined) {
        await this.holdBlock();
        continue;
      }
      const free = await listen(port);
      if (!free) continue;
      await new Promise((resolve) => {
        free.close(resolve);
      });
      return port;
    }
  }

  private async holdBlock(): Promise<void> {
    while (this.block < BLOCKS) {
      const first = FIRST_PORT + this.block * BLOCK_SIZE;
      this.block += 1;
      const holder = await listen(first);
      if (!holder) continue;
      // The holder must not keep the process alive.
      holder.unref();
      this.holders.push(holder);
      this.left = Array.from({ length: BLOCK_SIZE - 1 }, (_, index) => first + 1 + index);
      return;
    }
    throw new Error(`no free block of ports from ${FIRST_PORT} on`);
  }
}

/** The ports of this process. */
export const localPorts = PortBlock.create();
