import type { Snapshot, StoredValue } from './Store';

/** What has changed below a prefix since a revision. */
export type Changes =
  | { type: 'changes'; revision: number; changed: StoredValue[]; removed: string[] }
  /** The store no longer has this history: read again. */
  | { type: 'compacted' };

/** Result of a conditional write. */
export type WriteResult =
  | { type: 'written'; revision: number }
  /** A key was at another revision than expected; nothing was written. */
  | { type: 'conflict' };

/** A key with the revision that it must have; 0 when it must not exist. */
export type Expectation = { key: string; revision: number };

/**
 * The platform's key-value service with its history. Every function rejects with a
 * {@link StoreError} when it gets no answer; a write may then have taken effect.
 */
export type KeyValueStore = {
  /**
   * Reads the keys that begin with a prefix, linearizably.
   *
   * @param prefix - beginning of the keys
   */
  read: (prefix: string) => Promise<Snapshot>;
  /**
   * Waits for changes.
   *
   * @param prefix - beginning of the keys
   * @param after - revision up to which the changes are known
   * @param waitMs - longest time to wait for a first change, in milliseconds
   */
  follow: (prefix: string, after: number, waitMs: number) => Promise<Changes>;
  /**
   * Writes a key if all expectations hold.
   *
   * @param key - the key
   * @param value - new value; `undefined` removes the key
   * @param expected - what must hold
   */
  write: (
    key: string,
    value: string | undefined,
    expected: readonly Expectation[],
  ) => Promise<WriteResult>;
};
