import { createServer } from 'node:http';
import type { IncomingMessage, RequestListener, Server, ServerOptions } from 'node:http';
import type { Socket } from 'node:net';
import { recordAccept } from './connectedAt';
import { ConnectionTable, INSPECTION_PERIOD_MS } from './ConnectionTable';
import type { Protection } from './createProtection';
import { contentLengthOf, hasChunkedBody } from './requestEnd';
import type { RejectionReason } from './rejections';

/** Period in which the runtime checks the timeouts of request heads, in milliseconds. */
const HEAD_CHECK_PERIOD_MS = 1_000;

const REASONS: Record<string, RejectionReason> = {
  HPE_HEADER_OVERFLOW: 'headTooLarge',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 'bodyTooLarge',
  ERR_HTTP_REQUEST_TIMEOUT: 'headTimeout',
};

/** Errors of clients that have disconnected, some during a request. No response can reach them. */
const DISCONNECTIONS = new Set(['ECONNRESET', 'EPIPE', 'ETIMEDOUT', 'HPE_INVALID_EOF_STATE']);

const hasBody = (request: IncomingMessage): boolean =>
  hasChunkedBody(request) || contentLengthOf(request) > 0;

const toServerOptions = ({ limits }: Protection): ServerOptions => ({
  maxHeaderSize: limits.maxHeaderBytes,
  headersTimeout: limits.headerTimeoutMs,
  // A slow body is within the limits while bytes arrive; the table closes it when none do.
  requestTimeout: 0,
  connectionsCheckingInterval: HEAD_CHECK_PERIOD_MS,
});

/**
 * Creates an HTTP server that bounds what its clients can make it hold. Bodies are bounded where they are
 * read, with `readBody`; only the handlers of POST read them.
 *
 * @param handler - handles the requests
 * @param protection - limits of the port
 * @param options - further options of the server
 * @returns the server, which does not listen yet
 */
export const createRequestServer = (
  handler: RequestListener,
  protection: Protection,
  options: ServerOptions = {},
): Server => {
  const { limits } = protection;
  const table = ConnectionTable.create(protection);
  const server = createServer(
    { ...options, ...toServerOptions(protection) },
    (request, response) => {
      if (!table.begin(request, response)) return;
      if (contentLengthOf(request) > limits.maxBodyBytes) {
        table.reject(request.socket, 'bodyTooLarge');
        return;
      }
      if (request.method !== 'POST' && hasBody(request)) request.resume();
      handler(request, response);
    },
  );
  server.on('connection', (socket: Socket) => {
    recordAccept(socket);
    table.add(socket);
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    const { code = '' } = error;
    if (DISCONNECTIONS.has(code)) socket.destroy(error);
    else table.reject(socket as Socket, REASONS[code] ?? 'malformed');
  });
  const timer = setInterval(() => {
    // After a pause of the process timers run first; the sockets must be read before the inspection.
    setImmediate(() => table.inspect());
  }, INSPECTION_PERIOD_MS);
  timer.unref();
  server.once('close', () => clearInterval(timer));
  return server;
};
