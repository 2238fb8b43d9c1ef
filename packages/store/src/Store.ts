/** A value in the platform's store. */
export type StoredValue = {
  key: string;
  value: string;
  /** Revision of the store at which the value was last written. */
  revision: number;
};

/** Keys with a common prefix, as of one revision. */
export type Snapshot = {
  /** Revision of the whole store at the time of the read. */
  revision: number;
  values: StoredValue[];
};

/**
 * The platform's key-value store as the first design uses it: with compare-and-swap and a watch.
 * Every function rejects with a {@link StoreError} when the store does not answer; a write may then
 * have taken effect.
 */
export type Store = {
  /**
   * Reads the keys that start with a prefix. The read is linearizable.
   *
   * @param prefix - prefix of the keys
   * @param minRevision - skips values that were last written before this revision
   */
  read: (prefix: string, minRevision?: number) => Promise<Snapshot>;
  /**
   * Writes a key if it is still at the expected revision.
   *
   * @param key - the key
   * @param revision - expected revision of the key; 0 when it must not exist
   * @param value - new value; `undefined` deletes the key
   * @returns the new revision, or `undefined` when the key was at another revision
   */
  compareAndSwap: (
    key: string,
    revision: number,
    value: string | undefined,
  ) => Promise<number | undefined>;
  /**
   * Watches the keys that start with a prefix. Changes may be missed, so the caller must also poll.
   *
   * @param prefix - prefix of the keys
   * @param notifyChange - called after a change
   * @returns a function that stops the watch
   */
  watch: (prefix: string, notifyChange: () => void) => () => void;
};

/** The store did not answer; a write may have taken effect. */
export class StoreError extends Error {
  private constructor(message: string) {
    super(message);
  }

  /**
   * @param message - human-readable description
   * @returns the error
   */
  static create(message: string): StoreError {
    return new StoreError(message);
  }
}
