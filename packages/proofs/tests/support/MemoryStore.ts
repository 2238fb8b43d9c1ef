import { StoreError } from '@marjorammast/store';
import type { Store, StoredValue } from '@marjorammast/store';

/** Time after which a call that the store does not answer fails, in milliseconds. */
const TIMEOUT_MS = 1_000;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** The store of the first design in memory, with fields that switch simulated faults on and off. */
export class MemoryStore {
  /** True while the store answers no calls and sends no notifications. */
  isDown = false;

  /** True while the store executes writes, but their replies are lost. */
  losesReplies = false;

  /** True while the store sends no notifications to watchers. */
  isWatchSilent = false;

  /** One-way delay of calls and of notifications, in milliseconds. */
  delayMs = 3;

  private revision = 1;

  private readonly values = new Map<string, StoredValue>();

  private readonly watchers = new Set<() => void>();

  private constructor() {}

  /** @returns an empty store */
  static create(): MemoryStore {
    return new MemoryStore();
  }

  /** Reads the value of a key. */
  get(key: string): StoredValue | undefined {
    return this.values.get(key);
  }

  /**
   * Connects a node to the store.
   *
   * @param isReachable - tells whether calls of the node reach the store now
   * @returns the store as the node sees it
   */
  connect(isReachable: () => boolean): Store {
    const receiveRequest = async (): Promise<void> => {
      await sleep(this.delayMs);
      if (!this.isDown && isReachable()) return;
      await sleep(TIMEOUT_MS);
      throw StoreError.create('no answer');
    };
    const sendReply = async (): Promise<void> => {
      await sleep(this.delayMs);
      if (isReachable()) return;
      await sleep(TIMEOUT_MS);
      throw StoreError.create('no answer');
    };
    return {
      read: async (prefix, minRevision = 0) => {
        await receiveRequest();
        const values = [...this.values.values()].filter(
          ({ key, revision }) => key.startsWith(prefix) && revision >= minRevision,
        );
        const snapshot = { revision: this.revision, values };
        await sendReply();
        return snapshot;
      },
      compareAndSwap: async (key, revision, value) => {
        await receiveRequest();
        const written = this.swap(key, revision, value);
        if (this.losesReplies) throw StoreError.create('reply lost');
        await sendReply();
        return written;
      },
      watch: (_prefix, notifyChange) => {
        const notify = () => {
          if (isReachable() && !this.isDown && !this.isWatchSilent) notifyChange();
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
