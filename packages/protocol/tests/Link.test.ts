import * as fc from 'fast-check';
import { Link, createCallServer } from '../src/Link';
import type { LinkFault } from '../src/Link';

/** Number of generated messages; 10,000 by hand. */
const FUZZ_RUNS = Number(process.env['FUZZ_RUNS'] ?? 300);

const nextTurn = () =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** A link whose peer sends what the test wants. */
const createFixture = () => {
  const faults: LinkFault[] = [];
  const written: unknown[] = [];
  const renewals: object[] = [];
  const server = createCallServer(
    {
      renew: (params) => {
        renewals.push(params);
        return { clock: 1, unsettled: [] };
      },
      abandon: () => {
        throw new Error('broken');
      },
    },
    (fault) => faults.push(fault),
  );
  const transport = { write: (message: unknown) => void written.push(message), close: jest.fn() };
  return { faults, written, renewals, link: Link.create('peer', transport, server) };
};

const call = (method: string, params: unknown, id = 1) => ({ jsonrpc: '2.0', id, method, params });

describe('Link', () => {
  const unexpected: unknown[] = [];
  const recordUnexpected = (error: unknown) => unexpected.push(error);

  beforeAll(() => {
    process.on('unhandledRejection', recordUnexpected);
    process.on('uncaughtException', recordUnexpected);
  });

  afterAll(() => {
    process.off('unhandledRejection', recordUnexpected);
    process.off('uncaughtException', recordUnexpected);
  });

  it('reports a call that fails its schema with its method, peer and reason, and answers an error', async () => {
    const { link, faults, written } = createFixture();
    link.receive(call('abandon', { jobs: 7 }));
    await nextTurn();
    expect(faults).toEqual([
      { peer: 'peer', method: 'abandon', reason: expect.stringContaining('expected array') },
    ]);
    expect(written).toMatchObject([{ id: 1, error: {} }]);
  });

  it('reports a handler that throws', async () => {
    const { link, faults } = createFixture();
    link.receive(call('abandon', { jobs: [] }));
    await nextTurn();
    expect(faults).toMatchObject([{ method: 'abandon', reason: 'broken' }]);
  });

  it('handles every call after any malformed message, and lets no error out', async () => {
    const method = fc.constantFrom('renew', 'abandon', 'assign', 'view', 'nothing');
    const message = fc.oneof(
      fc.jsonValue(),
      fc.tuple(method, fc.jsonValue()).map(([name, params]) => call(name, params)),
      fc.record(
        { jsonrpc: fc.constant('2.0'), id: fc.jsonValue(), method: fc.jsonValue() },
        { requiredKeys: [] },
      ),
      fc.record({ jsonrpc: fc.constant('2.0'), id: fc.nat(3), result: fc.jsonValue() }),
      fc.array(fc.jsonValue()),
    );
    await fc.assert(
      fc.asyncProperty(message, async (malformed) => {
        const { link, renewals } = createFixture();
        link.receive(malformed);
        await nextTurn();
        const before = renewals.length;
        link.receive(call('renew', {}, 9));
        await nextTurn();
        expect(renewals).toHaveLength(before + 1);
        expect(link.isOpen).toBe(true);
      }),
      { numRuns: FUZZ_RUNS, seed: 11 },
    );
    expect(unexpected).toEqual([]);
  });

  // A process that was paused for longer than the timeout runs its timers before it reads its sockets. It
  // must not take the other process for silent.
  it('takes an answer that had arrived while the process was paused', async () => {
    const { link, written } = createFixture();
    const result = await new Promise((resolve, reject) => {
      setImmediate(() => {
        link.call('renew', {}, 20).then(resolve, reject);
        const [{ id }] = written as [{ id: number }];
        setImmediate(() => link.receive({ jsonrpc: '2.0', id, result: { clock: 7 } }));
        const pausedUntil = performance.now() + 60;
        while (performance.now() < pausedUntil);
      });
    });
    expect(result).toEqual({ clock: 7, unsettled: [] });
  });
});
