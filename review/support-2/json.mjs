import { createServer, request as createRequest } from 'node:http';

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const readText = async (stream) => {
  const chunks = [];
  // eslint-disable-next-line no-restricted-syntax
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
};

const parse = (text) => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Listens at an address; `handle` returns the status and the body, or nothing for no answer. */
export const listenJson = (host, port, handle) =>
  new Promise((resolve, reject) => {
    const server = createServer(async (request, response) => {
      try {
        const body = parse(await readText(request)) ?? {};
        const url = new URL(request.url, 'http://stand-in');
        const { method, headers } = request;
        const answer = await handle({ method, url, headers, body });
        if (!answer || response.destroyed) return;
        response.writeHead(answer.status, { 'content-type': 'application/json' });
        response.end(JSON.stringify(answer.body));
      } catch {
        response.destroy();
      }
    });
    server.keepAliveTimeout = 60_000;
    server.once('error', reject);
    server.listen(port, host, () => resolve(server));
  });

/**
 * Sends one request on a connection of its own.
 *
 * @returns the status and the body, or the error of a request without an answer
 */
export const sendJson = (address, method, path, { body, headers = {}, timeoutMs = 60_000 } = {}) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const text = body === undefined ? undefined : JSON.stringify(body);
    const length = text === undefined ? {} : { 'content-length': Buffer.byteLength(text) };
    const request = createRequest({
      ...{ host, port, method, path, agent: false, timeout: timeoutMs },
      headers: { 'content-type': 'application/json', ...length, ...headers },
    });
    request.once('timeout', () => request.destroy(new Error('no answer in time')));
    request.once('error', (error) => resolve({ error: error.message }));
    request.once('response', async (response) => {
      try {
        const answer = await readText(response);
        resolve({ status: response.statusCode, body: parse(answer), headers: response.headers });
      } catch (error) {
        resolve({ error: error.message });
      }
    });
    request.end(text);
  });
