import { StoreError } from '@marjorammast/store';
import type { Store, StoredValue } from '@marjorammast/store';

/** Time after which a call to a store that is down fails, in milliseconds. */
const TIMEOUT_MS = 1_000;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** The platform's store in memory, with its faults as switches. */
export class MemoryStore {
  isDown = false;

  losesReplies = false;

  isWatchSilent = false;

  delayMs = 3;

  private revision = 1;

  private readonly values = new Map<string, StoredValue>();

  private readonly watchers = new Set<() => void>();

  private constructor() {}

  /** @returns an empty store */
  static create(): MemoryStore {
    return new MemoryStore();
  }

  /** The value of a key. */
  get(key: string): StoredValue | undefined {
    return this.values.get(key);
  }

  /**
   * The store as one node sees it.
   *
   * @param isReachable - whether the node's calls reach the store now
   */
  connect(isReachable: () => boolean): Store {
    const admit = async (): Promise<void> => {
      await sleep(this.delayMs);
      if (!this.isDown && isReachable()) return;
      await sleep(TIMEOUT_MS);
      throw StoreError.create('no answer');
    };
    const leave = async (): Promise<void> => {
      await sleep(this.delayMs);
      if (isReachable()) return;
      await sleep(TIMEOUT_MS);
      throw StoreError.create('no answer');
    };
    return {
      read: async (prefix, minRevision = 0) => {
        await admit();
        const values = [...this.values.values()].filter(
          ({ key, revision }) => key.startsWith(prefix) && revision >= minRevision,
        );
        const snapshot = { revision: this.revision, values };
        await leave();
        return snapshot;
      },
      compareAndSwap: async (key, revision, value) => {
        await admit();
        const written = this.swap(key, revision, value);
        if (this.losesReplies) throw StoreError.create('reply lost');
        await leave();
        return written;
      },
      watch: (_prefix, changed) => {
        const notify = () => {
          if (isReachable() && !this.isDown && !this.isWatchSilent) changed();
        };
        this.watchers.add(notify);
        return () => this.watchers.delete(notify);
      },
    };
  }

  private swap(key: string, revision: number, value: string | undefined): number | undefined {
    if ((this.values.get(key)?.revision ?? 0) !== revision) return undefined;
    this.revision += 1;
    if (value === undefined) this.values.delete(key);
    else this.values.set(key, { key, value, revision: this.revision });
    this.watchers.forEach((notify) => setTimeout(notify, this.delayMs));
    return this.revision;
  }
}
