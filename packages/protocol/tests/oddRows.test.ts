import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { Link, createCallServer } from '../src/Link';
import type { LinkFault } from '../src/Link';
import { dial, listen } from '../src/tcp';
import { DEEP_JSON, ODD_NUMBERS } from './support/oddValues';

const free = { cpu: 0, memoryMb: 0, accelerators: 0 };

const crash = { isCertain: true, incarnation: 'i@1', agent: 'a', runs: [] };

const wait = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const createFixture = () => {
  const faults: LinkFault[] = [];
  const ended: unknown[] = [];
  const written: { id: number }[] = [];
  const server = createCallServer(
    {
      ended: ({ runs }) => ({ ...(ended.push(...runs) && {}) }),
      renew: () => ({ clock: 1, unsettled: [] }),
    },
    (fault) => faults.push(fault),
  );
  const transport = {
    write: (message: unknown) => void written.push(message as never),
    close: jest.fn(),
  };
  return { faults, ended, written, server, link: Link.create('peer', transport, server) };
};

const ODD_ROWS = [...ODD_NUMBERS, ['a short row', '["j"]'] as const];

describe('odd rows of messages', () => {
  it.each(ODD_ROWS)('skips %s among the ended runs and handles the others', async (_, odd) => {
    const { link, faults, ended } = createFixture();
    const good = ['j', 1, 1, 'done', 5];
    const runs: unknown[] = JSON.parse(`[["j",0,${odd},"done",5],${odd}]`);
    link.receive({ jsonrpc: '2.0', method: 'ended', params: { runs: [...runs, good], free } });
    await wait(1);
    expect(ended).toEqual([good]);
    expect(faults).toMatchObject([{ peer: 'peer', method: 'ended' }]);
  });

  it('skips an odd crash report in the answer to attach', async () => {
    const { link, faults, written } = createFixture();
    const rules = { revision: 0, outDataCenters: [] };
    const answer = link.call('attach', { entry: 'e', rules });
    const view = {
      service: '',
      labels: [],
      capacity: free,
      free,
      state: 'open',
      reason: '',
      slowness: 1,
    };
    const result = {
      agent: 'a',
      dataCenter: 'n',
      rules,
      view,
      crashes: [{ runs: 7 }, crash],
      clock: 1,
    };
    link.receive({ jsonrpc: '2.0', id: written[0]?.id, result });
    await expect(answer).resolves.toMatchObject({ crashes: [crash] });
    expect(faults).toHaveLength(1);
  });

  it('reports many odd rows with a bounded reason', async () => {
    const { link, faults } = createFixture();
    const params = { runs: Array(10_000).fill(7), free: 7 };
    link.receive({ jsonrpc: '2.0', method: 'ended', params });
    await wait(20);
    expect(faults[0]?.reason.length).toBeLessThan(1_000);
  });
});

describe('odd lines', () => {
  const traffic = { sentBytes: 0, receivedBytes: 0, messages: 0 };
  const servers: Server[] = [];

  afterEach(() => servers.forEach((server) => server.close()));

  const portOf = (server: Server) => (server.address() as AddressInfo).port;

  // What the line said is lost. Both ends give up what depends on the link and the caller connects anew.
  it.each([
    ['null', 'null'],
    ['half a message', '{"a":'],
    ['bytes', '\u0000\ufffd'],
  ])('closes the link at %s, and the next link works', async (_, line) => {
    const { server } = createFixture();
    const odd = createServer((socket) => socket.write(`${line}\n`)).listen(0, '127.0.0.1');
    const good = await listen('127.0.0.1:0', server, traffic);
    servers.push(odd, good);
    const link = await dial(`127.0.0.1:${portOf(odd)}`, server, traffic);
    const closed = jest.fn();
    link.onClose(closed);
    await wait(50);
    expect(closed).toHaveBeenCalledTimes(1);
    const next = await dial(`127.0.0.1:${portOf(good)}`, server, traffic);
    await expect(next.call('renew', {})).resolves.toEqual({ clock: 1, unsettled: [] });
    next.close();
  });

  it('goes on after a deeply nested message', async () => {
    const { link } = createFixture();
    link.receive(JSON.parse(DEEP_JSON));
    await wait(5);
    expect(link.isOpen).toBe(true);
  });

  it.each(['10.0.0.1:99999', '10.0.0.1:-1', 'x'])('rejects to dial %s', async (address) => {
    await expect(dial(address, createFixture().server, traffic)).rejects.toThrow();
  });
});
