import { sleep } from '@marjorammast/protocol';
import type { Store, StoredValue } from './Store';

/** Tries to settle a write whose reply was lost. */
const SETTLE_TRIES = 4;

/** Pause between two tries to settle a write, in milliseconds. */
const SETTLE_PAUSE_MS = 150;

/** What became of a compare-and-swap whose reply may have been lost. */
export type Swap =
  | { type: 'written'; revision: number }
  /** Another write came first. */
  | { type: 'conflict'; found: StoredValue | undefined }
  /** The store does not answer; the write may have taken effect. */
  | { type: 'unsettled' };

const find = async (store: Store, key: string): Promise<StoredValue | undefined> =>
  (await store.read(key)).values.find((value) => value.key === key);

/**
 * Writes a key and settles a lost reply by reading the key back. The value must differ from every
 * other value ever written to the key, for example by a nonce in it.
 *
 * @param store - the store
 * @param key - the key
 * @param revision - expected revision of the key; 0 when it must not exist
 * @param value - new value
 * @returns what became of the write
 */
export const swap = async (
  store: Store,
  key: string,
  revision: number,
  value: string,
): Promise<Swap> => {
  for (let attempt = 0; attempt < SETTLE_TRIES; attempt += 1) {
    try {
      const written = await store.compareAndSwap(key, revision, value);
      if (written !== undefined) return { type: 'written', revision: written };
      const found = await find(store, key);
      if (found?.value === value) return { type: 'written', revision: found.revision };
      return { type: 'conflict', found };
    } catch {
      await sleep(SETTLE_PAUSE_MS);
    }
  }
  return { type: 'unsettled' };
};
