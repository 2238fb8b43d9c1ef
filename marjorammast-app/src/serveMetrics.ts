import type { Server } from 'node:http';
import { createRequestServer } from '@marjorammast/http';
import type { Protection } from '@marjorammast/http';
import type { PrometheusMetrics } from '@marjorammast/telemetry';
import { parseAddress } from './settings';

/**
 * Starts an HTTP server that serves metrics as text on every path.
 *
 * @param metrics - metrics to serve
 * @param address - host and port to listen on
 * @param protection - bounds of the requests
 * @returns the server when it listens
 */
export const serveMetrics = (
  metrics: PrometheusMetrics,
  address: string,
  protection: Protection,
): Promise<Server> =>
  new Promise((resolve, reject) => {
    const { host, port } = parseAddress(address);
    const server = createRequestServer((request, response) => {
      request.resume();
      metrics.render().then(
        (text) =>
          response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(text),
        (error: Error) => response.writeHead(500).end(error.message),
      );
    }, protection);
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });
