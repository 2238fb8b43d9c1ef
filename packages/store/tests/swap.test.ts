import fc from 'fast-check';
import { StoreError, swap } from '../src';
import type { Store, StoredValue } from '../src';

const SEED = 20261204;

/** Effect of one call: its reply may be lost before or after the call takes effect. */
type CallResult = 'answered' | 'lostBefore' | 'lostAfter';

const createStore = (
  results: CallResult[],
  other?: string,
): { store: Store; values: () => string[] } => {
  let stored: StoredValue | undefined;
  let revision = 1;
  const written: string[] = [];
  const put = (key: string, value: string) => {
    revision += 1;
    stored = { key, value, revision };
    written.push(value);
  };
  const reply = <T>(act: () => T): Promise<T> => {
    const callResult = results.shift() ?? 'answered';
    if (callResult === 'lostBefore') return Promise.reject(StoreError.create('lost'));
    const result = act();
    return callResult === 'answered'
      ? Promise.resolve(result)
      : Promise.reject(StoreError.create('lost'));
  };
  if (other) put('k', other);
  const store: Store = {
    read: () => reply(() => ({ revision, values: stored ? [stored] : [] })),
    compareAndSwap: (key, expected, value) =>
      reply(() => {
        if ((stored?.revision ?? 0) !== expected) return undefined;
        put(key, value ?? '');
        return revision;
      }),
    watch: () => () => undefined,
  };
  return { store, values: () => written };
};

const callResults = fc.array(fc.constantFrom<CallResult>('answered', 'lostBefore', 'lostAfter'), {
  maxLength: 8,
});

describe('swap', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  const run = async (list: CallResult[], other?: string) => {
    const { store, values } = createStore([...list], other);
    const result = swap(store, 'k', 0, 'mine');
    await jest.advanceTimersByTimeAsync(2_000);
    return { result: await result, values: values() };
  };

  it('reports success only if its value was written exactly once, whichever replies are lost', () =>
    fc.assert(
      fc.asyncProperty(callResults, async (list) => {
        const { result, values } = await run(list);
        expect(values.length).toBeLessThanOrEqual(1);
        expect(result.type).not.toBe('conflict');
        if (result.type === 'written') expect(values).toEqual(['mine']);
      }),
      { seed: SEED, numRuns: 300 },
    ));

  it('never overwrites an earlier value', () =>
    fc.assert(
      fc.asyncProperty(callResults, async (list) => {
        const { result, values } = await run(list, 'theirs');
        expect(values).toEqual(['theirs']);
        expect(result.type).not.toBe('written');
      }),
      { seed: SEED, numRuns: 300 },
    ));
});
