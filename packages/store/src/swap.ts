import { sleep } from '@marjorammast/protocol';
import type { Store, StoredValue } from './Store';

/** Number of attempts after which the outcome of a write is reported as unsettled. */
const MAX_ATTEMPTS = 4;

/** Delay between two attempts, in milliseconds. */
const RETRY_DELAY_MS = 150;

/** Outcome of a compare-and-swap with retries. */
export type SwapResult =
  | { type: 'written'; revision: number }
  /** Another write has changed the key; `found` is its current value. */
  | { type: 'conflict'; found: StoredValue | undefined }
  /** The store does not answer, so the write may or may not have taken effect. */
  | { type: 'unsettled' };

const find = async (store: Store, key: string): Promise<StoredValue | undefined> =>
  (await store.read(key)).values.find((value) => value.key === key);

/**
 * Writes a key by compare-and-swap and retries after a lost reply. On a conflict the key is read
 * back to find out whether an earlier attempt has written it. The value must therefore differ from
 * every other value ever written to the key, for example by a nonce.
 *
 * @param store - the store
 * @param key - the key
 * @param revision - expected revision of the key; 0 when it must not exist
 * @param value - new value
 * @returns the outcome
 */
export const swap = async (
  store: Store,
  key: string,
  revision: number,
  value: string,
): Promise<SwapResult> => {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    try {
      const written = await store.compareAndSwap(key, revision, value);
      if (written !== undefined) return { type: 'written', revision: written };
      const found = await find(store, key);
      if (found?.value === value) return { type: 'written', revision: found.revision };
      return { type: 'conflict', found };
    } catch {
      await sleep(RETRY_DELAY_MS);
    }
  }
  return { type: 'unsettled' };
};
