import { sleep } from '@marjorammast/protocol';
import { createLog } from '@marjorammast/telemetry';
import { StoreMirror } from '../src/StoreMirror';
import { StoreError } from '../src/Store';
import type { Changes, KeyValueStore } from '../src/KeyValueStore';

/** Results of the calls to the store, in order. */
type ScriptedResults = {
  reads: { revision: number; values: { key: string; value: string; revision: number }[] }[];
  polls: (Changes | Error)[];
};

const startMirror = (results: ScriptedResults) => {
  const waits: number[] = [];
  const published: [number, string[]][] = [];
  const store: KeyValueStore = {
    read: async () => results.reads.shift() ?? Promise.reject(StoreError.create('no more reads')),
    waitForChanges: async (_prefix, _after, waitMs) => {
      waits.push(waitMs);
      const next = results.polls.shift();
      if (next === undefined) return sleep(3_600_000).then(() => ({ type: 'compacted' }));
      if (next instanceof Error) throw next;
      return next;
    },
    write: async () => ({ type: 'conflict' }),
  };
  const mirror = StoreMirror.create({
    store,
    prefix: '',
    waitMs: 4_000,
    onChange: (items, revision) => published.push([revision, [...items.keys()]]),
    random: () => 1,
    log: createLog('test', 'silent'),
  });
  return { mirror, waits, published };
};

const createItem = (key: string, revision: number) => ({ key, value: 'v', revision });

const createChanges = (revision: number, keys: string[], removed: string[] = []): Changes => ({
  type: 'changes',
  revision,
  changed: keys.map((key) => createItem(key, revision)),
  removed,
});

describe('StoreMirror', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('applies changes and deletions in order', async () => {
    const { mirror, published } = startMirror({
      reads: [{ revision: 5, values: [createItem('a', 4)] }],
      polls: [createChanges(6, ['b']), createChanges(6, []), createChanges(8, [], ['a'])],
    });
    await jest.advanceTimersByTimeAsync(100);
    mirror.stop();
    expect(published).toEqual([
      [5, ['a']],
      [6, ['a', 'b']],
      [8, ['b']],
    ]);
  });

  it('reads all keys again after the store has compacted its history', async () => {
    const { mirror, published } = startMirror({
      reads: [
        { revision: 5, values: [createItem('a', 4)] },
        { revision: 30, values: [createItem('c', 29)] },
      ],
      polls: [{ type: 'compacted' }],
    });
    await jest.advanceTimersByTimeAsync(100);
    mirror.stop();
    expect(published).toEqual([
      [5, ['a']],
      [30, ['c']],
    ]);
  });

  // A long poll that is sent while the store does not answer hangs even after it has recovered.
  it('polls without waiting after a failure until a call is answered', async () => {
    const { mirror, waits } = startMirror({
      reads: [{ revision: 5, values: [] }],
      polls: [StoreError.create('reset'), StoreError.create('reset'), createChanges(6, ['a'])],
    });
    await jest.advanceTimersByTimeAsync(2_000);
    mirror.stop();
    expect(waits).toEqual([4_000, 0, 0, 4_000]);
  });

  // Guards against an evacuation that is followed late, since the mirror still pauses when the store is back.
  it('asks a store that was away for long again at least each half second', async () => {
    const callTimes: number[] = [];
    const store: KeyValueStore = {
      read: async () => ({ revision: 5, values: [] }),
      waitForChanges: () => {
        callTimes.push(performance.now());
        return Promise.reject(StoreError.create('no answer'));
      },
      write: async () => ({ type: 'conflict' }),
    };
    const log = createLog('test', 'silent');
    const options = { store, prefix: '', waitMs: 4_000, onChange: jest.fn(), random: () => 1, log };
    const mirror = StoreMirror.create(options);
    await jest.advanceTimersByTimeAsync(20_000);
    mirror.stop();
    const pauses = callTimes.slice(1).map((at, index) => at - (callTimes[index] ?? 0));
    expect(callTimes.length).toBeGreaterThan(10);
    expect(Math.max(...pauses)).toBeLessThanOrEqual(500);
  });
});
