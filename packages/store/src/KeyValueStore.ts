import type { Snapshot, StoredValue } from './Store';

/** Result of a wait for changes: the changes to the keys with a prefix since a revision. */
export type Changes =
  | { type: 'changes'; revision: number; changed: StoredValue[]; removed: string[] }
  /** The store has compacted this part of its history; the keys must be read again. */
  | { type: 'compacted' };

/** Result of a conditional write. */
export type WriteResult =
  | { type: 'written'; revision: number }
  /** A key was not at its expected revision; nothing was written. */
  | { type: 'conflict' };

/** Precondition of a write: the revision of a key, or 0 for a key that must not exist. */
export type Precondition = { key: string; revision: number };

/**
 * The platform's key-value store as the dispatch design uses it: with conditional writes, and with
 * long polling of its history of changes. Every function rejects with a {@link StoreError} when the
 * store does not answer; a write may then have taken effect.
 */
export type KeyValueStore = {
  /**
   * Reads the keys that start with a prefix. The read is linearizable.
   *
   * @param prefix - prefix of the keys
   */
  read: (prefix: string) => Promise<Snapshot>;
  /**
   * Waits for changes by long polling.
   *
   * @param prefix - prefix of the keys
   * @param after - revision up to which the changes are already known
   * @param waitMs - maximum time to wait for the first change, in milliseconds
   */
  waitForChanges: (prefix: string, after: number, waitMs: number) => Promise<Changes>;
  /**
   * Writes a key if all preconditions hold.
   *
   * @param key - the key
   * @param value - new value; `undefined` deletes the key
   * @param expected - preconditions
   */
  write: (
    key: string,
    value: string | undefined,
    expected: readonly Precondition[],
  ) => Promise<WriteResult>;
};
