import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { getRequestListener } from '@hono/node-server';
import { createRequestServer } from '@marjorammast/http';
import type { Protection } from '@marjorammast/http';
import { CLIENT_PROBE_MS } from '@marjorammast/protocol';
import { parseAddress } from './settings';

/** Request handler of an HTTP server. */
type Application = { fetch: Parameters<typeof getRequestListener>[0] };

/** The kernel probes idle connections, so that a client that has gone without a sign is found. */
const SERVER_OPTIONS = { keepAlive: true, keepAliveInitialDelay: CLIENT_PROBE_MS };

/**
 * Starts an HTTP server.
 *
 * @param app - the routes
 * @param address - host and port to listen on
 * @param protection - bounds what clients can make the process hold; without it clients are trusted
 * @returns the server when it listens
 */
export const serveHttp = (
  app: Application,
  address: string,
  protection?: Protection,
): Promise<Server> =>
  new Promise((resolve, reject) => {
    const { host, port } = parseAddress(address);
    const listener = getRequestListener(app.fetch);
    const server = protection
      ? createRequestServer(listener, protection, SERVER_OPTIONS)
      : createServer(SERVER_OPTIONS, listener);
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
