import { serve } from '@hono/node-server';
import type { ServerType } from '@hono/node-server';
import { CLIENT_PROBE_MS } from '@marjorammast/protocol';
import { parseAddress } from './settings';

/** Request handler of an HTTP server. */
type Application = Pick<Parameters<typeof serve>[0], 'fetch'>;

/** The kernel probes idle connections, so that a client that has gone without a sign is found. */
const SERVER_OPTIONS = { keepAlive: true, keepAliveInitialDelay: CLIENT_PROBE_MS };

/**
 * Starts an HTTP server.
 *
 * @param app - the routes
 * @param address - host and port to listen on
 * @returns the server when it listens
 */
export const serveHttp = (app: Application, address: string): Promise<ServerType> =>
  new Promise((resolve, reject) => {
    const { host, port } = parseAddress(address);
    const server = serve(
      { fetch: app.fetch, hostname: host, port, serverOptions: SERVER_OPTIONS },
      () => resolve(server),
    );
    server.once('error', reject);
  });
