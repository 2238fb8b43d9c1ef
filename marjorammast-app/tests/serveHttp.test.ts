import { readFileSync } from 'node:fs';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { CLIENT_PROBE_MS, sleep } from '@marjorammast/protocol';
import { localPorts } from '../src/local/PortBlock';
import { serveHttp } from '../src/serveHttp';

/** Code of the kernel for a timer that sends a keep-alive probe. */
const PROBE_TIMER = '02';

/** Length of the kernel's unit for the time to a timer, in milliseconds. */
const TICK_MS = 10;

const toHexPort = (port: number): string => port.toString(16).toUpperCase().padStart(4, '0');

/** Reads the kernel's timer of the server's end of a connection. */
const readTimer = (serverPort: number, clientPort: number): { code: string; ms: number } => {
  const rows = readFileSync('/proc/net/tcp', 'utf8').split('\n');
  const fields = rows.map((row) => row.trim().split(/\s+/));
  const isOfConnection = ([, local = '', remote = '']: string[]) =>
    local.endsWith(`:${toHexPort(serverPort)}`) && remote.endsWith(`:${toHexPort(clientPort)}`);
  const [code = '', ticks = ''] = fields.find(isOfConnection)?.[5]?.split(':') ?? [];
  return { code, ms: Number.parseInt(ticks, 16) * TICK_MS };
};

describe('serveHttp', () => {
  const cleanups: (() => void)[] = [];

  afterEach(() => cleanups.splice(0).forEach((cleanup) => cleanup()));

  // Guards against a job that is worked on to its deadline, since the reset of its client was lost on the way.
  it('probes the connection of a client that waits', async () => {
    const port = await localPorts.next();
    const requests: Request[] = [];
    const fetch = (request: Request): Promise<Response> => {
      requests.push(request);
      return new Promise((resolve) => {
        cleanups.push(() => resolve(new Response()));
      });
    };
    const server = await serveHttp({ fetch }, `127.0.0.1:${port}`);
    const client: Socket = connect(port, '127.0.0.1');
    cleanups.push(
      () => client.destroy(),
      () => server.close(),
    );
    client.write('GET / HTTP/1.1\r\nHost: h.example\r\n\r\n');
    while (requests.length === 0) await sleep(5);
    const timer = readTimer(port, client.localPort ?? 0);
    expect(timer.code).toBe(PROBE_TIMER);
    expect(timer.ms).toBeLessThanOrEqual(CLIENT_PROBE_MS + TICK_MS);
  });
});
