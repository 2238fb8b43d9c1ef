import { sleep } from '@marjorammast/protocol';
import { createLog } from '@marjorammast/telemetry';
import { StoreFeed } from '../src/StoreFeed';
import { StoreError } from '../src/Store';
import type { Changes, KeyValueStore } from '../src/KeyValueStore';

type Script = {
  reads: { revision: number; values: { key: string; value: string; revision: number }[] }[];
  follows: (Changes | Error)[];
};

const play = (script: Script) => {
  const waits: number[] = [];
  const seen: [number, string[]][] = [];
  const store: KeyValueStore = {
    read: async () => script.reads.shift() ?? Promise.reject(StoreError.create('no more reads')),
    follow: async (_prefix, _after, waitMs) => {
      waits.push(waitMs);
      const next = script.follows.shift();
      if (next === undefined) return sleep(3_600_000).then(() => ({ type: 'compacted' }));
      if (next instanceof Error) throw next;
      return next;
    },
    write: async () => ({ type: 'conflict' }),
  };
  const feed = StoreFeed.create({
    store,
    prefix: '',
    waitMs: 4_000,
    changed: (items, revision) => seen.push([revision, [...items.keys()]]),
    random: () => 1,
    log: createLog('test', 'silent'),
  });
  return { feed, waits, seen };
};

const item = (key: string, revision: number) => ({ key, value: 'v', revision });

const changes = (revision: number, keys: string[], removed: string[] = []): Changes => ({
  type: 'changes',
  revision,
  changed: keys.map((key) => item(key, revision)),
  removed,
});

describe('StoreFeed', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('applies changes and removals in order', async () => {
    const { feed, seen } = play({
      reads: [{ revision: 5, values: [item('a', 4)] }],
      follows: [changes(6, ['b']), changes(6, []), changes(8, [], ['a'])],
    });
    await jest.advanceTimersByTimeAsync(100);
    feed.stop();
    expect(seen).toEqual([
      [5, ['a']],
      [6, ['a', 'b']],
      [8, ['b']],
    ]);
  });

  it('reads all again when the store has dropped its history', async () => {
    const { feed, seen } = play({
      reads: [
        { revision: 5, values: [item('a', 4)] },
        { revision: 30, values: [item('c', 29)] },
      ],
      follows: [{ type: 'compacted' }],
    });
    await jest.advanceTimersByTimeAsync(100);
    feed.stop();
    expect(seen).toEqual([
      [5, ['a']],
      [30, ['c']],
    ]);
  });

  // A long watch that is sent into a silent store hangs past the store's return.
  it('asks with short calls after a failure until one is answered', async () => {
    const { feed, waits } = play({
      reads: [{ revision: 5, values: [] }],
      follows: [StoreError.create('reset'), StoreError.create('reset'), changes(6, ['a'])],
    });
    await jest.advanceTimersByTimeAsync(2_000);
    feed.stop();
    expect(waits).toEqual([4_000, 0, 0, 4_000]);
  });
});
