import type { AddressInfo } from 'node:net';
import {
  CallError,
  Link,
  createCallServer,
  dial as dialPort,
  listen,
} from '@marjorammast/protocol';
import type { BoundTaskRows } from '@marjorammast/protocol';
import { createLog } from '@marjorammast/telemetry';
import { PeerClient } from '../src/PeerClient';

const ROWS: BoundTaskRows = [['a', 3, 'agent-1', 'i-1']];

const PEERS = ['first', 'second', 'third'].map((name) => ({ name, address: name, dataCenter: '' }));

/** Creates the client of the entry `first`; `third` refuses connections. */
const createFixture = () => {
  const received: BoundTaskRows[] = [];
  const links: Link[] = [];
  const lines: string[] = [];
  const onFault = jest.fn();
  const server = createCallServer(
    { bound: ({ bound }) => ({ ...(received.push(bound) && {}) }) },
    onFault,
  );
  const dial = (address: string): Promise<Link> => {
    if (address === 'third') return Promise.reject(CallError.create('notSent', 'refused'));
    const ends: Link[] = [];
    const createEnd = (other: number) => {
      const write = (message: unknown) => ends[other]?.receive(JSON.parse(JSON.stringify(message)));
      return Link.create(address, { write, close: () => undefined }, server);
    };
    ends.push(createEnd(1), createEnd(0));
    links.push(...ends.slice(0, 1));
    return Promise.resolve(ends[0] as Link);
  };
  const log = createLog('test', 'info', (line) => lines.push(line));
  const client = PeerClient.create({ entry: 'first', dial, random: () => 0, log });
  client.updatePeers(PEERS);
  return { client, received, links, lines, onFault };
};

describe('PeerClient', () => {
  it('tells another entry of bound tasks over a connection that it then closes', async () => {
    const { client, received, links } = createFixture();
    expect(client.peerNames).toEqual(['second', 'third']);
    await client.tellBoundTasks('second', ROWS);
    expect(received).toEqual([ROWS]);
    expect(links.map(({ isOpen }) => isOpen)).toEqual([false]);
  });

  it('logs that an entry cannot be reached', async () => {
    const { client, received, lines } = createFixture();
    await client.tellBoundTasks('third', ROWS);
    expect(received).toEqual([]);
    expect(lines.filter((line) => line.includes('event=peer_unreachable'))).toHaveLength(1);
  });

  it('makes the other entry skip odd rows only', async () => {
    const { client, received, onFault } = createFixture();
    const odd = [...ROWS, ['b', -1, 'agent-1', 'i-1'], ['c', 0]] as BoundTaskRows;
    await client.tellBoundTasks('second', odd);
    expect(received).toEqual([ROWS]);
    expect(onFault).toHaveBeenCalledTimes(1);
  });

  // Guards against a notice that the port of the other entry cuts off: it takes 256 KiB from an unknown connection.
  it('tells another entry of more bound tasks than its port takes in a first message', async () => {
    const rows = Array.from({ length: 5_000 }, (_, index): BoundTaskRows[number] => [
      ...([
        'a'.repeat(16),
        index,
        'agent-1-of-a-data-center',
        'worker-1-of-a-data-center',
      ] as const),
    ]);
    const received: BoundTaskRows = [];
    const server = createCallServer(
      { bound: ({ bound }) => ({ ...(received.push(...bound) && {}) }) },
      () => undefined,
    );
    const traffic = { sentBytes: 0, receivedBytes: 0, messages: 0 };
    const port = await listen('127.0.0.1:0', server, traffic);
    const client = PeerClient.create({
      entry: 'first',
      dial: (address) => dialPort(address, server, traffic),
      random: () => 0,
      log: createLog('test', 'silent'),
    });
    const address = `127.0.0.1:${(port.address() as AddressInfo).port}`;
    client.updatePeers([{ name: 'second', address, dataCenter: '' }]);
    await client.tellBoundTasks('second', rows);
    port.close();
    expect(received).toEqual(rows);
  });
});
