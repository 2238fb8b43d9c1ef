import fc from 'fast-check';
import { StoreError, swap } from '../src';
import type { Store, StoredValue } from '../src';

const SEED = 20261204;

/**
 * Result of one call to the store. `lostBefore`: the call is lost and has no effect. `lostAfter`:
 * the call takes effect, but its reply is lost.
 */
type CallResult = 'answered' | 'lostBefore' | 'lostAfter';

const createStore = (
  results: CallResult[],
  earlierValue?: string,
): { store: Store; values: () => string[] } => {
  let stored: StoredValue | undefined;
  let revision = 1;
  const written: string[] = [];
  const put = (key: string, value: string) => {
    revision += 1;
    stored = { key, value, revision };
    written.push(value);
  };
  const call = <T>(act: () => T): Promise<T> => {
    const callResult = results.shift() ?? 'answered';
    if (callResult === 'lostBefore') return Promise.reject(StoreError.create('lost'));
    const result = act();
    return callResult === 'answered'
      ? Promise.resolve(result)
      : Promise.reject(StoreError.create('lost'));
  };
  if (earlierValue) put('k', earlierValue);
  const store: Store = {
    read: () => call(() => ({ revision, values: stored ? [stored] : [] })),
    compareAndSwap: (key, expected, value) =>
      call(() => {
        if ((stored?.revision ?? 0) !== expected) return undefined;
        put(key, value ?? '');
        return revision;
      }),
    watch: () => () => undefined,
  };
  return { store, values: () => written };
};

const callResultLists = fc.array(
  fc.constantFrom<CallResult>('answered', 'lostBefore', 'lostAfter'),
  {
    maxLength: 8,
  },
);

describe('swap', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  const run = async (callResults: CallResult[], earlierValue?: string) => {
    const { store, values } = createStore([...callResults], earlierValue);
    const result = swap(store, 'k', 0, 'mine');
    await jest.advanceTimersByTimeAsync(2_000);
    return { result: await result, values: values() };
  };

  it('writes its value at most once and reports success only if it did, whichever replies are lost', () =>
    fc.assert(
      fc.asyncProperty(callResultLists, async (callResults) => {
        const { result, values } = await run(callResults);
        expect(values.length).toBeLessThanOrEqual(1);
        expect(result.type).not.toBe('conflict');
        if (result.type === 'written') expect(values).toEqual(['mine']);
      }),
      { seed: SEED, numRuns: 300 },
    ));

  it('never overwrites an earlier value', () =>
    fc.assert(
      fc.asyncProperty(callResultLists, async (callResults) => {
        const { result, values } = await run(callResults, 'theirs');
        expect(values).toEqual(['theirs']);
        expect(result.type).not.toBe('written');
      }),
      { seed: SEED, numRuns: 300 },
    ));
});
