/** A value in the platform's store. */
export type StoredValue = {
  key: string;
  value: string;
  /** Revision of the store at which the value was last written. */
  revision: number;
};

/** Result of reading keys that share a prefix. */
export type Snapshot = {
  /** Revision of the whole store at the time of the read. */
  revision: number;
  values: StoredValue[];
};

/**
 * What the system uses of the platform's key-value service. Every function rejects with a
 * {@link StoreError} when it gets no answer.
 */
export type Store = {
  /**
   * Reads, linearizably, the keys that begin with a prefix.
   *
   * @param prefix - beginning of the keys
   * @param minRevision - leaves out values last written before this revision
   */
  read: (prefix: string, minRevision?: number) => Promise<Snapshot>;
  /**
   * Writes a key if it was last written at a given revision.
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
   * Calls a function after changes below a prefix. Changes may be missed: the caller reads too.
   *
   * @param prefix - beginning of the keys
   * @param changed - called after a change
   * @returns a function that ends the watch
   */
  watch: (prefix: string, changed: () => void) => () => void;
};

/** The store gave no answer; a write may have taken effect. */
export class StoreError extends Error {
  private constructor(message: string) {
    super(message);
  }

  /**
   * @param message - text for a person
   * @returns the error
   */
  static create(message: string): StoreError {
    return new StoreError(message);
  }
}
