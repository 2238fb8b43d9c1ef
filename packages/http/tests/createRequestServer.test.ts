import { request as startRequest } from 'node:http';
import type { Server } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import * as fc from 'fast-check';
import { BodyBudget, createProtection, createRequestServer, deriveLimits, readBody } from '../src';
import type { Protection, RequestLimits } from '../src';

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const POST_HEAD = 'POST /a HTTP/1.1\r\nHost: h\r\n';

/** Size of a response that does not fit into the buffers of the kernel, in bytes. */
const LARGE_BYTES = 16_000_000;

/** A connection that collects what it receives. */
type Client = { socket: Socket; text: () => string; closed: Promise<unknown> };

describe('createRequestServer', () => {
  const servers: Server[] = [];
  const sockets: Socket[] = [];
  const waiting: (() => void)[] = [];
  const rejections: string[] = [];
  let handled: string[];
  let protection: Protection;
  let port: number;

  /** Answers a POST with the length of its body; `/wait` waits until the end of the test. */
  const serve = async (
    limits: Partial<RequestLimits> = {},
    budget = BodyBudget.create(12_000_000),
  ): Promise<Server> => {
    protection = createProtection('clients', {
      limits: { ...deriveLimits().main, ...limits },
      budget,
      onRejected: ({ reason }) => rejections.push(reason),
    });
    const { maxBodyBytes: maxBytes } = protection.limits;
    const server = createRequestServer((request, response) => {
      const answer = (status: number, text: string) => {
        if (status !== 200) response.setHeader('connection', 'close');
        response.writeHead(status, { 'content-length': text.length }).end(text);
      };
      handled.push(`${request.method} ${request.url}`);
      if (request.method !== 'POST') {
        if (request.url === '/wait') waiting.push(() => answer(200, 'waited'));
        else answer(200, request.url === '/large' ? 'x'.repeat(LARGE_BYTES) : 'ok');
        return;
      }
      void readBody(request, { maxBytes, budget }).then((result) => {
        if (result.type === 'body') answer(200, String(result.text.length));
        else answer(result.type === 'tooLarge' ? 413 : 503, result.type);
      });
    }, protection);
    servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    port = (server.address() as AddressInfo).port;
    return server;
  };

  const open = (...texts: string[]): Client => {
    const socket = connect({ port, host: '127.0.0.1', noDelay: true });
    sockets.push(socket);
    const chunks: Buffer[] = [];
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    socket.on('error', () => undefined);
    texts.forEach((text) => socket.write(text));
    const closed = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    return { socket, text: () => Buffer.concat(chunks).toString(), closed };
  };

  const openMany = async (count: number, ...texts: string[]): Promise<Client[]> => {
    const clients = Array.from({ length: count }, () => open(...texts));
    await sleep(100);
    return clients;
  };

  const waitUntil = async (condition: () => boolean) => {
    const until = performance.now() + 6_000;
    while (!condition() && performance.now() < until) await sleep(5);
    expect(condition()).toBe(true);
  };

  const expectServing = async () => {
    const { text } = open(`${POST_HEAD}Content-Length: 4\r\n\r\nabcd`);
    await waitUntil(() => text().startsWith('HTTP/1.1 200'));
  };

  beforeEach(() => {
    handled = [];
    rejections.length = 0;
  });

  afterEach(() => {
    waiting.splice(0).forEach((answer) => answer());
    sockets.splice(0).forEach((socket) => socket.destroy());
    servers.splice(0).forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
  });

  // Guards against default limits that a client within the published ones meets.
  it('serves the largest permitted request, sent slowly in small chunks', async () => {
    await serve();
    const start = `${POST_HEAD}Content-Length: 262144\r\nX-Long: `;
    const head = `${start}${'y'.repeat(16_384 - start.length - 4)}\r\n\r\n`;
    expect(head).toHaveLength(16_384);
    const client = open();
    const whole = head + 'x'.repeat(262_144);
    for (let at = 0; at < whole.length; at += 997) {
      client.socket.write(whole.slice(at, at + 997));
      await sleep(5);
    }
    await waitUntil(() => client.text().endsWith('262144'));
    expect(client.text()).toMatch(/^HTTP\/1\.1 200/);
    expect(rejections).toEqual([]);
    expect(protection.budget).toMatchObject({ heldBytes: 0, holders: 0 });
  });

  it('serves the largest permitted body in chunks of one byte', async () => {
    await serve();
    const client = open(`${POST_HEAD}Transfer-Encoding: chunked\r\n\r\n`);
    client.socket.write('1\r\nx\r\n'.repeat(262_144));
    client.socket.write('0\r\n\r\n');
    await waitUntil(() => client.text().includes('262144'));
    expect(rejections).toEqual([]);
  });

  it('keeps the connection of an ordinary client for the next request', async () => {
    await serve();
    const client = open(`${POST_HEAD}Content-Length: 4\r\n\r\nabcd`);
    await waitUntil(() => client.text().endsWith('4'));
    client.socket.write(`${POST_HEAD}Content-Length: 5\r\n\r\nabcde`);
    await waitUntil(() => client.text().endsWith('5'));
    expect(client.text()).not.toMatch(/connection: close/i);
  });

  // Guards against a process that reads what it will refuse, until its memory is spent.
  it('answers 413 to an announced body over the limit without handling it', async () => {
    await serve();
    const client = open(`${POST_HEAD}Content-Length: 262145\r\n\r\nabc`);
    await client.closed;
    expect(client.text()).toMatch(/^HTTP\/1\.1 413 [^]*connection: close/);
    expect(handled).toEqual([]);
    expect(rejections).toEqual(['bodyTooLarge']);
    await expectServing();
  });

  it('answers 413 to a body that passes the limit, and closes', async () => {
    await serve();
    const client = open(`${POST_HEAD}Transfer-Encoding: chunked\r\n\r\n`);
    client.socket.write(`50000\r\n${'x'.repeat(0x50000)}\r\n`);
    await client.closed;
    expect(client.text()).toMatch(/^HTTP\/1\.1 413/);
    expect(protection.budget).toMatchObject({ heldBytes: 0, holders: 0 });
    await expectServing();
  });

  it('answers 431 to a head that is too long', async () => {
    await serve();
    const client = open(`GET / HTTP/1.1\r\nX: ${'y'.repeat(17_000)}\r\n\r\n`);
    await client.closed;
    expect(client.text()).toMatch(/^HTTP\/1\.1 431/);
    expect(rejections).toEqual(['headTooLarge']);
    await expectServing();
  });

  it('answers 408 to a head and to a body that stop', async () => {
    await serve({ headerTimeoutMs: 300, bodyTimeoutMs: 300 });
    const head = open('GET / HTTP/1.1\r\nX: ');
    const body = open(`${POST_HEAD}Content-Length: 9\r\n\r\nabc`);
    await Promise.all([head.closed, body.closed]);
    expect(head.text()).toMatch(/^HTTP\/1\.1 408/);
    expect(body.text()).toMatch(/^HTTP\/1\.1 408/);
    expect([...rejections].sort()).toEqual(['bodyTimeout', 'headTimeout']);
    expect(protection.budget).toMatchObject({ heldBytes: 0, holders: 0 });
    await expectServing();
  });

  // Guards against a slow client that is cut off although it goes on.
  it('does not time out a body that goes on slowly', async () => {
    await serve({ bodyTimeoutMs: 800 });
    const client = open(`${POST_HEAD}Content-Length: 20\r\n\r\n`);
    for (let count = 0; count < 20; count += 1) {
      client.socket.write('x');
      await sleep(100);
    }
    await waitUntil(() => client.text().endsWith('20'));
  });

  it('answers 503 to the bodies that hold most when the budget is spent', async () => {
    await serve({}, BodyBudget.create(100_000));
    const clients = await openMany(
      10,
      `${POST_HEAD}Transfer-Encoding: chunked\r\n\r\n`,
      `5000\r\n${'x'.repeat(0x5000)}\r\n`,
    );
    const large = open(`${POST_HEAD}Transfer-Encoding: chunked\r\n\r\n`);
    large.socket.write(`10000\r\n${'x'.repeat(0x10000)}\r\n`);
    await waitUntil(() => large.text().startsWith('HTTP/1.1 503'));
    expect(protection.budget.heldBytes).toBeLessThanOrEqual(100_000);
    expect(clients.filter(({ text }) => text() === '').length).toBeGreaterThan(0);
    await expectServing();
  });

  describe('with too many connections', () => {
    it('closes the one that has been idle longest', async () => {
      await serve({ maxConnections: 3 });
      const [first, second, third] = [
        (await openMany(1))[0],
        (await openMany(1))[0],
        (await openMany(1))[0],
      ];
      await expectServing();
      await first?.closed;
      expect(second?.socket.destroyed).toBe(false);
      expect(third?.socket.destroyed).toBe(false);
    });

    // Guards against many incomplete requests that shut out all others.
    it('closes the incomplete request that has made the least progress, with 503', async () => {
      await serve({ maxConnections: 2 });
      const [stopped] = await openMany(1, `${POST_HEAD}Content-Length: 50000\r\n\r\n`);
      const [going] = await openMany(1, `${POST_HEAD}Content-Length: 50000\r\n\r\n`);
      going?.socket.write('x'.repeat(30_000));
      await sleep(50);
      await expectServing();
      await stopped?.closed;
      expect(stopped?.text()).toMatch(/^HTTP\/1\.1 503 [^]*retry-after: 1/);
      going?.socket.write('x'.repeat(20_000));
      await waitUntil(() => going?.text().endsWith('50000') ?? false);
    });

    // Guards against a request that is cut off because its connection was idle when they were last put in order.
    it('closes an idle one before one that has begun a request since another was closed', async () => {
      await serve({ maxConnections: 3 });
      const [first, second, third] = [open(), open(), open()];
      await sleep(50);
      open();
      await first.closed;
      second.socket.write(`${POST_HEAD}Content-Length: 4\r\n\r\nab`);
      await waitUntil(() => handled.length === 1);
      open();
      await third.closed;
      second.socket.write('cd');
      await waitUntil(() => second.text().startsWith('HTTP/1.1 200'));
    });

    // Guards against the loss of a connection in use while others were idle for longer.
    it('closes the one that is idle longest, not one that was before its last request', async () => {
      await serve({ maxConnections: 3 });
      const [first, second, third] = [open(), open(), open()];
      await sleep(50);
      open();
      await first.closed;
      second.socket.write('GET /a HTTP/1.1\r\nHost: h\r\n\r\n');
      await waitUntil(() => second.text().startsWith('HTTP/1.1 200'));
      open();
      await third.closed;
      second.socket.write('GET /b HTTP/1.1\r\nHost: h\r\n\r\n');
      await waitUntil(() => second.text().split('HTTP/1.1 200').length === 3);
    });

    // Guards against an order that is used for so long that slow requests are closed before idle connections.
    it('closes idle ones that came after the connections were last put in order', async () => {
      await serve({ maxConnections: 2 });
      const first = open();
      const slow = open(`${POST_HEAD}Content-Length: 4\r\n\r\nab`);
      await waitUntil(() => handled.length === 1);
      const third = open();
      await first.closed;
      await sleep(600);
      open();
      await third.closed;
      slow.socket.write('cd');
      await waitUntil(() => slow.text().startsWith('HTTP/1.1 200'));
    });

    it('never closes one that waits for its response, and refuses new ones', async () => {
      await serve({ maxConnections: 2 });
      const clients = await openMany(2, 'GET /wait HTTP/1.1\r\nHost: h\r\n\r\n');
      const [late] = await openMany(1, 'GET / HTTP/1.1\r\nHost: h\r\n\r\n');
      await late?.closed;
      expect(handled).toEqual(['GET /wait', 'GET /wait']);
      waiting.splice(0).forEach((answer) => answer());
      await waitUntil(() => clients.every(({ text }) => text().endsWith('waited')));
    });

    // Guards against an address that has other clients' connections closed by opening ones that are refused.
    it('closes no other one for one of an address that has too many', async () => {
      await serve({ maxConnections: 2, maxConnectionsPerAddress: 2 });
      const others = await openMany(2);
      await open().closed;
      await sleep(50);
      expect(others.map(({ socket }) => socket.destroyed)).toEqual([false, false]);
      expect(rejections).toEqual(['tooManyConnections']);
    });

    it('refuses those of an address that has too many', async () => {
      await serve({ maxConnectionsPerAddress: 2 });
      const clients = await openMany(3);
      await clients[2]?.closed;
      expect(clients[0]?.socket.destroyed).toBe(false);
      clients[0]?.socket.destroy();
      await sleep(50);
      await expectServing();
    });
  });

  // Guards against heads without an end, which the runtime keeps outside of the budget of the bodies.
  it('bounds the memory of incomplete heads', async () => {
    await serve({ incompleteBytes: 2_000_000 });
    const clients = await openMany(40, `GET / HTTP/1.1\r\nX: ${'y'.repeat(15_000)}`);
    await waitUntil(() => clients.filter(({ socket }) => socket.destroyed).length >= 27);
    expect(rejections).toContain('noMemory');
    await expectServing();
  });

  it('counts a head that was begun in the same read as the request before', async () => {
    await serve({ incompleteBytes: 2_000_000 });
    const whole = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
    const clients = await openMany(40, `${whole}GET / HTTP/1.1\r\nX: ${'y'.repeat(15_000)}`);
    await waitUntil(() => clients.filter(({ socket }) => socket.destroyed).length >= 27);
    await expectServing();
  });

  it('closes a connection with too many requests without a response', async () => {
    await serve();
    const client = open('GET /wait HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(1_000));
    await client.closed;
    expect(handled).toHaveLength(16);
    expect(rejections).toEqual(['tooManyRequests']);
  });

  it('closes a client that does not read its response', async () => {
    await serve({ writeTimeoutMs: 500 });
    const client = open('GET /large HTTP/1.1\r\nHost: h\r\n\r\n');
    client.socket.pause();
    await waitUntil(() => rejections.includes('unreadResponse'));
    await expectServing();
  });

  // Guards against responses that pile up, each small, for clients that send requests without end.
  it('closes a client that sends requests and does not read the responses', async () => {
    await serve();
    const client = open();
    client.socket.pause();
    const requests = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(10);
    const timer = setInterval(() => client.socket.write(requests), 1);
    await waitUntil(() => rejections.length > 0);
    clearInterval(timer);
    expect(['tooManyRequests', 'unreadResponse']).toContain(rejections[0]);
    await expectServing();
  });

  // Guards against bodies that no handler reads and that fill the memory of the kernel.
  it('skips the body of a request that is not a POST', async () => {
    await serve();
    const client = open(`PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n`);
    client.socket.write('x'.repeat(200_000));
    client.socket.write('GET /b HTTP/1.1\r\nHost: h\r\n\r\n');
    await waitUntil(() => client.text().split('HTTP/1.1 200').length === 3);
    expect(handled).toEqual(['PUT /a', 'GET /b']);
  });

  it('ends its requests and its inspections when it closes', async () => {
    const server = await serve();
    const client = open('GET /wait HTTP/1.1\r\nHost: h\r\n\r\n');
    await waitUntil(() => waiting.length === 1);
    const closed = new Promise((resolve) => {
      server.close(resolve);
    });
    waiting.splice(0).forEach((answer) => answer());
    await closed;
    expect(client.text()).toMatch(/^HTTP\/1\.1 200/);
  });

  it('serves a client of the runtime that waits for the permission to send', async () => {
    await serve();
    const status = await new Promise((resolve) => {
      const headers = { expect: '100-continue', 'content-length': 3 };
      const call = startRequest({ port, method: 'POST', headers }, (response) => {
        response.resume();
        resolve(response.statusCode);
      });
      call.on('continue', () => call.end('abc'));
      call.flushHeaders();
    });
    expect(status).toBe(200);
  });

  // Guards against a verdict that depends on how the network splits a request.
  it('gives the same status for any split of a request', async () => {
    await serve({ maxBodyBytes: 200, maxHeaderBytes: 1_000 });
    const headers = fc.constantFrom('', `X: ${'y'.repeat(500)}\r\n`, `X: ${'y'.repeat(1_100)}\r\n`);
    const body = fc.constantFrom('', 'abc', 'x'.repeat(200), 'x'.repeat(201));
    const framing = fc.constantFrom('length', 'one chunk', 'small chunks', 'odd');
    const texts = fc.record({ headers, body, framing }).map((parts) => {
      const head = POST_HEAD + parts.headers;
      const { length } = parts.body;
      const hex = length.toString(16);
      if (parts.framing === 'odd') return `${head}Content-Length: x\r\n\r\n`;
      if (parts.framing === 'length')
        return `${head}Content-Length: ${length}\r\n\r\n${parts.body}`;
      const whole = length > 0 ? `${hex}\r\n${parts.body}\r\n` : '';
      const chunks = parts.framing === 'one chunk' ? whole : '1\r\nx\r\n'.repeat(length);
      return `${head}Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
    });
    const send = async (text: string, cuts: number[]): Promise<string> => {
      const client = open();
      const places = [0, ...cuts.map((cut) => cut % text.length), text.length];
      places.sort((left, right) => left - right);
      for (let index = 1; index < places.length; index += 1) {
        if (client.socket.destroyed) break;
        client.socket.write(text.slice(places[index - 1], places[index]));
        await sleep(2);
      }
      await waitUntil(() => client.text() !== '' || client.socket.destroyed);
      client.socket.destroy();
      return client.text().slice(0, 'HTTP/1.1 200'.length);
    };
    await fc.assert(
      fc.asyncProperty(texts, fc.array(fc.nat(2_000), { maxLength: 6 }), async (text, cuts) => {
        expect(await send(text, cuts)).toBe(await send(text, []));
        expect(protection.budget).toMatchObject({ heldBytes: 0, holders: 0 });
      }),
      { numRuns: 60, seed: 72 },
    );
  });
});
