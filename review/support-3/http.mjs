// Small HTTP helpers of the stand-ins.
/* eslint import-x/extensions: off, no-await-in-loop: off, import-x/prefer-default-export: off */
import { createServer, request as createRequest } from 'node:http';

const parse = (text) => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

const readText = (stream) =>
  new Promise((resolve, reject) => {
    const chunks = [];
    stream.on('data', (chunk) => chunks.push(chunk));
    stream.once('end', () => resolve(Buffer.concat(chunks).toString()));
    stream.once('error', reject);
    stream.once('close', () => reject(new Error('connection closed')));
  });

export const readJson = async (stream) => parse(await readText(stream));

export const sendJson = (response, status, body) => {
  if (response.destroyed) return;
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
};

/** Splits an address into host and port. */
export const splitAddress = (address) => {
  const [host, port] = address.split(':');
  return { host, port: Number(port) };
};

/** Starts a server whose handler may be asynchronous. */
export const startServer = (address, handle) =>
  new Promise((resolve, reject) => {
    const { host, port } = splitAddress(address);
    const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      Promise.resolve(handle(request, response)).catch(() => response.destroy());
    });
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });

export const stopServer = (server) => {
  server?.close();
  server?.closeAllConnections();
};

/**
 * Sends one request on a connection of its own. Resolves with its status and body; rejects when the
 * connection ends without a response.
 */
export const call = (address, method, path, { body, headers = {}, signal } = {}) =>
  new Promise((resolve, reject) => {
    const { host, port } = splitAddress(address);
    const text = body === undefined ? undefined : JSON.stringify(body);
    const request = createRequest(
      {
        host,
        port,
        method,
        path,
        signal,
        agent: false,
        headers: {
          ...headers,
          ...(text === undefined
            ? {}
            : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
        },
      },
      (response) => {
        readText(response).then(
          (answer) => resolve({ status: response.statusCode, body: parse(answer), text: answer }),
          reject,
        );
      },
    );
    request.once('error', reject);
    request.end(text);
  });
