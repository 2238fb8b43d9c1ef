import { connect } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import * as fc from 'fast-check';
import { BodyBudget, deriveLimits } from '@marjorammast/http';
import type { PeerLimits } from '@marjorammast/http';
import { isValidCall } from '../src/InboundConnections';
import { LineAssembler } from '../src/LineAssembler';
import { createCallServer } from '../src/Link';
import { dial, listen } from '../src/tcp';

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const CALL = `${JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'renew', params: {} })}\n`;

describe('the port for other processes', () => {
  const traffic = { sentBytes: 0, receivedBytes: 0, messages: 0 };
  const sockets: Socket[] = [];
  const servers: Server[] = [];
  const rejections: string[] = [];
  const calls = createCallServer({ renew: () => ({ clock: 1, unsettled: [] }) }, () => undefined);
  let address: string;

  const serve = async (limits: Partial<PeerLimits> = {}) => {
    rejections.length = 0;
    const onRejected = (reason: string) => void rejections.push(reason);
    const whole = { ...deriveLimits().peers, ...limits, onRejected };
    const server = await listen('127.0.0.1:0', calls, traffic, whole);
    servers.push(server);
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  };

  const open = async (text: string): Promise<{ socket: Socket; isClosed: () => boolean }> => {
    const [host, port] = address.split(':');
    const socket = connect({ host, port: Number(port) });
    sockets.push(socket);
    let closed = false;
    socket.on('error', () => undefined);
    socket.on('close', () => {
      closed = true;
    });
    socket.resume();
    socket.write(text);
    await sleep(40);
    return { socket, isClosed: () => closed };
  };

  const expectServing = async () => {
    const link = await dial(address, calls, traffic);
    await expect(link.call('renew', {})).resolves.toEqual({ clock: 1, unsettled: [] });
    link.close();
  };

  afterEach(() => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    servers.splice(0).forEach((server) => server.close());
  });

  // Guards against 4 MiB of memory for each connection of an unknown client.
  it('closes an unknown connection whose first line goes on past 256 KiB', async () => {
    await serve();
    const { isClosed } = await open('x'.repeat(300_000));
    await sleep(50);
    expect(isClosed()).toBe(true);
    expect(rejections).toEqual(['lineTooLong']);
    await expectServing();
  });

  it('takes a line of up to 4 MiB from a process that has sent a valid call', async () => {
    await serve();
    const peer = await open(CALL);
    peer.socket.write('x'.repeat(4_000_000));
    await sleep(100);
    expect(peer.isClosed()).toBe(false);
    peer.socket.write('x'.repeat(500_000));
    await sleep(100);
    expect(peer.isClosed()).toBe(true);
    expect(rejections).toEqual(['lineTooLong']);
  });

  // Guards against many unknown clients that cut off the real processes.
  it('bounds the partial lines of all unknown connections, not at the cost of real peers', async () => {
    await serve({ unknownLineBytes: 200_000 });
    const peer = await open(CALL);
    peer.socket.write('x'.repeat(500_000));
    const unknown = [];
    for (let count = 0; count < 6; count += 1) unknown.push(await open('x'.repeat(60_000)));
    expect(unknown.filter(({ isClosed }) => isClosed()).length).toBeGreaterThanOrEqual(3);
    expect(new Set(rejections)).toEqual(new Set(['noMemory']));
    expect(peer.isClosed()).toBe(false);
    await expectServing();
  });

  it('closes the oldest unknown connection when there are too many, never a real peer', async () => {
    await serve({ maxConnections: 3 });
    const peer = await open(CALL);
    const first = await open('');
    const second = await open('');
    await expectServing();
    expect(first.isClosed()).toBe(true);
    expect(second.isClosed()).toBe(false);
    expect(peer.isClosed()).toBe(false);
  });

  it('refuses a connection when all others are of real peers', async () => {
    await serve({ maxConnections: 2 });
    const peers = [await open(CALL), await open(CALL)];
    const late = await open(CALL);
    expect(late.isClosed()).toBe(true);
    expect(peers.map(({ isClosed }) => isClosed())).toEqual([false, false]);
  });

  // Guards against answers that pile up for a process that sends calls and reads nothing.
  it('bounds what all connections have not read', async () => {
    await serve({ unsentBytes: 100_000 });
    const { socket } = await open(CALL);
    socket.pause();
    const until = performance.now() + 10_000;
    while (rejections.length === 0 && performance.now() < until) {
      if (socket.writableLength < 1_000_000) socket.write(CALL.repeat(500));
      await sleep(1);
    }
    expect(rejections).toEqual(['unreadResponse']);
    await expectServing();
  });

  it.each([
    ['a call', CALL, true],
    ['an unknown method', '{"jsonrpc":"2.0","method":"toString","params":{}}', false],
    ['odd parameters', '{"jsonrpc":"2.0","method":"renew","params":7}', false],
    ['an answer', '{"jsonrpc":"2.0","id":1,"result":{}}', false],
    ['a number', '7', false],
  ])('tells from %s whether a process has called', (_, text, isValid) => {
    expect(isValidCall(JSON.parse(text))).toBe(isValid);
  });
});

describe('LineAssembler', () => {
  const collect = (chunks: Buffer[], maxBytes: number) => {
    const budget = BodyBudget.create(1_000_000);
    const texts: Buffer[] = [];
    const overflows: string[] = [];
    const assembler = LineAssembler.create(
      () => ({ maxBytes, budget }),
      (lines) => texts.push(Buffer.from(lines)),
      (reason) => overflows.push(reason),
    );
    chunks.forEach((chunk) => assembler.add(chunk));
    const { heldBytes } = budget;
    assembler.end();
    return { text: Buffer.concat(texts).toString(), overflows, heldBytes, rest: budget.heldBytes };
  };

  // Guards against a message that is lost or doubled at the border of a chunk.
  it('passes on the same lines for any split, and releases its memory', () => {
    const line = fc.string({ unit: 'grapheme', maxLength: 30 }).map((text) => `${text}\n`);
    const text = fc.array(line, { maxLength: 20 }).map((lines) => Buffer.from(lines.join('')));
    const cuts = fc.array(fc.nat(700), { maxLength: 30 });
    fc.assert(
      fc.property(text, fc.string({ maxLength: 20 }), cuts, (lines, last, places) => {
        const bytes = Buffer.concat([lines, Buffer.from(last)]);
        const sorted = [0, ...places.filter((place) => place < bytes.length), bytes.length];
        sorted.sort((left, right) => left - right);
        const chunks = sorted.slice(1).map((end, index) => bytes.subarray(sorted[index], end));
        const result = collect(chunks, 1_000);
        expect(result.text).toBe(bytes.toString());
        expect(result).toMatchObject({ overflows: [], rest: 0 });
      }),
      { numRuns: 500, seed: 73 },
    );
  });

  it.each([
    ['one chunk', [100]],
    ['chunks of one byte', Array<number>(100).fill(1)],
  ])('reports a line over the maximum once, in %s', (_, sizes) => {
    const chunks = sizes.map((size) => Buffer.alloc(size, 'x'));
    const result = collect([...chunks, Buffer.from('y\n')], 60);
    expect(result).toEqual({ text: '', overflows: ['lineTooLong'], heldBytes: 0, rest: 0 });
  });
});
