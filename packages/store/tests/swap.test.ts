import fc from 'fast-check';
import { StoreError, swap } from '../src';
import type { Store, StoredValue } from '../src';

const SEED = 20261204;

/** What happens to one call: it may fail before or after it takes effect. */
type Fate = 'answered' | 'lostBefore' | 'lostAfter';

const createStore = (fates: Fate[], other?: string): { store: Store; values: () => string[] } => {
  let stored: StoredValue | undefined;
  let revision = 1;
  const written: string[] = [];
  const put = (key: string, value: string) => {
    revision += 1;
    stored = { key, value, revision };
    written.push(value);
  };
  const run = <T>(act: () => T): Promise<T> => {
    const fate = fates.shift() ?? 'answered';
    if (fate === 'lostBefore') return Promise.reject(StoreError.create('lost'));
    const result = act();
    return fate === 'answered'
      ? Promise.resolve(result)
      : Promise.reject(StoreError.create('lost'));
  };
  if (other) put('k', other);
  const store: Store = {
    read: () => run(() => ({ revision, values: stored ? [stored] : [] })),
    compareAndSwap: (key, expected, value) =>
      run(() => {
        if ((stored?.revision ?? 0) !== expected) return undefined;
        put(key, value ?? '');
        return revision;
      }),
    watch: () => () => undefined,
  };
  return { store, values: () => written };
};

const fates = fc.array(fc.constantFrom<Fate>('answered', 'lostBefore', 'lostAfter'), {
  maxLength: 8,
});

describe('swap', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  const run = async (list: Fate[], other?: string) => {
    const { store, values } = createStore([...list], other);
    const result = swap(store, 'k', 0, 'mine');
    await jest.advanceTimersByTimeAsync(2_000);
    return { result: await result, values: values() };
  };

  it('says written only when its value was written, once, whatever replies are lost', () =>
    fc.assert(
      fc.asyncProperty(fates, async (list) => {
        const { result, values } = await run(list);
        expect(values.length).toBeLessThanOrEqual(1);
        expect(result.type).not.toBe('conflict');
        if (result.type === 'written') expect(values).toEqual(['mine']);
      }),
      { seed: SEED, numRuns: 300 },
    ));

  it('never overwrites a value that came first', () =>
    fc.assert(
      fc.asyncProperty(fates, async (list) => {
        const { result, values } = await run(list, 'theirs');
        expect(values).toEqual(['theirs']);
        expect(result.type).not.toBe('written');
      }),
      { seed: SEED, numRuns: 300 },
    ));
});
