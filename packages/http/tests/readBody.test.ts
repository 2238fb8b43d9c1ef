import { PassThrough } from 'node:stream';
import * as fc from 'fast-check';
import { BodyBudget, readBody } from '../src';
import type { BodyResult } from '../src';
import { PAGE_BYTES } from '../src/PagePool';

/** Number of generated cases of each property; 10,000 by hand. */
const FUZZ_RUNS = Number(process.env['FUZZ_RUNS'] ?? 300);

const options = { numRuns: FUZZ_RUNS, seed: 71 };

const MAX_BYTES = 3 * PAGE_BYTES;

/** Splits bytes at the given places, which may lie beyond the end. Each chunk has memory of its own. */
const split = (bytes: Buffer, places: number[]): Buffer[] => {
  const cuts = [0, ...places.filter((place) => place < bytes.length), bytes.length];
  cuts.sort((left, right) => left - right);
  const chunks = cuts.slice(1).map((end, index) => bytes.subarray(cuts[index], end));
  return chunks.filter(({ length }) => length > 0).map((chunk) => Buffer.from(chunk));
};

const turn = () => new Promise(setImmediate);

type End = 'whole' | 'stops' | 'breaks';

/** Sends chunks to `readBody`, and returns its verdict; `open` if it still waits. */
const read = async (
  chunks: Buffer[],
  end: End,
  budget = BodyBudget.create(1_000_000),
): Promise<{ result: BodyResult | { type: 'open' }; heldBytes: number }> => {
  const request = new PassThrough();
  let result: BodyResult | { type: 'open' } = { type: 'open' };
  const reading = readBody(request, { maxBytes: MAX_BYTES, budget }).then((verdict) => {
    result = verdict;
  });
  chunks.forEach((chunk) => request.write(chunk));
  await turn();
  if (end === 'breaks') request.destroy();
  if (end === 'whole') request.end();
  await turn();
  const { heldBytes } = budget;
  request.destroy();
  await reading;
  return { result, heldBytes };
};

const size = fc.oneof(
  fc.integer({ min: 0, max: 300 }),
  fc.integer({ min: MAX_BYTES - 3, max: MAX_BYTES + 3 }),
  fc.integer({ min: 0, max: 2 * MAX_BYTES }),
);

const bytes = fc.oneof(
  fc
    .tuple(size, fc.string({ unit: 'grapheme', minLength: 1, maxLength: 5 }))
    .map(([length, text]) => Buffer.alloc(length, text)),
  fc.uint8Array({ maxLength: 64 }).map((array) => Buffer.from(array)),
);

const places = fc.array(fc.oneof(fc.nat(64), fc.nat(2 * MAX_BYTES)), { maxLength: 40 });

describe('readBody', () => {
  it('reads a body that arrives in one chunk', async () => {
    const { result } = await read([Buffer.from('{"a":1}')], 'whole');
    expect(result).toEqual({ type: 'body', text: '{"a":1}' });
  });

  it('reads an empty body, and one of exactly the maximum', async () => {
    expect((await read([], 'whole')).result).toEqual({ type: 'body', text: '' });
    const { result } = await read([Buffer.alloc(MAX_BYTES, 'x')], 'whole');
    expect(result).toEqual({ type: 'body', text: 'x'.repeat(MAX_BYTES) });
  });

  it('refuses a body one byte over the maximum without waiting for its end', async () => {
    const { result, heldBytes } = await read([Buffer.alloc(MAX_BYTES + 1)], 'stops');
    expect(result).toEqual({ type: 'tooLarge' });
    expect(heldBytes).toBe(0);
  });

  it('reports a request that was broken off before', async () => {
    const request = new PassThrough();
    request.destroy();
    const budget = BodyBudget.create(100);
    expect(await readBody(request, { maxBytes: 10, budget })).toEqual({ type: 'broken' });
  });

  // Guards against a byte that keeps the buffer of 64 kB in memory in which it was received.
  it('does not keep a chunk that is a part of a larger buffer', async () => {
    const slab = Buffer.alloc(65_536, 'x');
    const budget = BodyBudget.create(100_000);
    const { heldBytes } = await read([slab.subarray(0, 1)], 'stops', budget);
    expect(heldBytes).toBe(PAGE_BYTES);
  });

  it('holds no more for a body in chunks of one byte than for one in a few chunks', async () => {
    const length = PAGE_BYTES + 1;
    const chunks = Array.from({ length }, () => Buffer.from('x'));
    expect((await read(chunks, 'stops')).heldBytes).toBe(2 * PAGE_BYTES);
  });

  // Guards against ordinary requests that wait while the process goes through chunks of one byte.
  it.each([
    [31, 'broken'],
    [32, 'noMemory'],
  ])('beside %i other bodies, ends one in chunks of one byte as %s', async (others, type) => {
    const budget = BodyBudget.create(1_000_000);
    for (let count = 1; count < others; count += 1) budget.reserve({ evict: () => undefined }, 1);
    const chunks = Array.from({ length: 2_000 }, () => Buffer.from('x'));
    expect((await read(chunks, 'breaks', budget)).result.type).toBe(type);
  });

  it('gives the same verdict for any split and any end', async () => {
    const end = fc.constantFrom<End>('whole', 'stops', 'breaks');
    await fc.assert(
      fc.asyncProperty(bytes, places, end, async (body, cuts, how) => {
        const budget = BodyBudget.create(1_000_000);
        const inParts = await read(split(body, cuts), how, budget);
        const atOnce = await read(split(body, []), how);
        expect(inParts.result).toEqual(atOnce.result);
        expect(budget).toMatchObject({ heldBytes: 0, holders: 0 });
        if (how === 'whole' && body.length <= MAX_BYTES) {
          const text = body.toString().replace(/^\uFEFF/, '');
          expect(inParts.result).toEqual({ type: 'body', text });
        }
      }),
      options,
    );
  });

  // Guards against memory that grows with the number of clients, and against bytes that are never released.
  it('never exceeds the budget, whatever many clients send', async () => {
    const step = fc.record({
      client: fc.nat(7),
      size: fc.oneof(fc.integer({ min: 1, max: 3 }), fc.integer({ min: 1, max: MAX_BYTES })),
      action: fc.constantFrom('write', 'write', 'write', 'write', 'end', 'break'),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 60 }), async (steps) => {
        const limit = 4 * PAGE_BYTES + 7;
        const budget = BodyBudget.create(limit);
        const clients = Array.from({ length: 8 }, () => {
          const request = new PassThrough();
          return {
            request,
            sent: 0,
            ended: false,
            result: readBody(request, { maxBytes: MAX_BYTES, budget }),
          };
        });
        for (let index = 0; index < steps.length; index += 1) {
          const { client = 0, size: length = 0, action } = steps[index] ?? {};
          const sender = clients[client];
          if (!sender || sender.ended || sender.request.destroyed) continue;
          if (action === 'write') {
            sender.request.write(Buffer.alloc(length, 'x'));
            sender.sent += length;
          }
          if (action === 'end') sender.request.end();
          if (action === 'break') sender.request.destroy();
          sender.ended = action === 'end';
          await turn();
          expect(budget.heldBytes).toBeLessThanOrEqual(limit);
          expect(budget.heldBytes + budget.pages.freeBytes).toBeLessThanOrEqual(limit);
        }
        clients.forEach(({ request, ended }) => !ended && request.destroy());
        const results = await Promise.all(clients.map(({ result }) => result));
        results.forEach((result, index) => {
          if (result.type === 'body') expect(result.text).toHaveLength(clients[index]?.sent ?? -1);
        });
        expect(budget).toMatchObject({ heldBytes: 0, holders: 0 });
      }),
      options,
    );
  });
});
