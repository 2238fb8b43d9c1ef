import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

/** Finds a port of the loopback address that nothing listens on. */
export const findPort = (): Promise<number> =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
