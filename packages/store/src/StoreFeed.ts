import type { Log } from '@marjorammast/telemetry';
import type { Changes, KeyValueStore } from './KeyValueStore';
import type { StoredValue } from './Store';

/** What a feed needs. */
export type StoreFeedParts = {
  store: KeyValueStore;
  prefix: string;
  /** Longest wait of one watch, in milliseconds. */
  waitMs: number;
  /** Called after each change with all items and the store's revision. */
  changed: (items: ReadonlyMap<string, StoredValue>, revision: number) => void;
  /** Uniform random numbers below 1. */
  random: () => number;
  log: Log;
};

/** First pause after a failed call, in milliseconds. */
const RETRY_MS = 150;

/** Longest pause between failed calls, in milliseconds. */
const MAX_RETRY_MS = 1_500;

/** Keeps a copy of the keys below a prefix; a copy is never replaced by an older one. */
export class StoreFeed {
  private readonly items = new Map<string, StoredValue>();

  private revision = -1;

  private isRunning = true;

  private failures = 0;

  private retryTimer: NodeJS.Timeout | undefined;

  private wake: (() => void) | undefined;

  private constructor(private readonly parts: StoreFeedParts) {}

  /**
   * @param parts - what the feed needs
   * @returns a feed that has begun to read
   */
  static create(parts: StoreFeedParts): StoreFeed {
    const feed = new StoreFeed(parts);
    void feed.run();
    return feed;
  }

  /** True while the last call was answered. */
  get isConnected(): boolean {
    return this.failures === 0 && this.revision >= 0;
  }

  /** Stops following. */
  stop(): void {
    this.isRunning = false;
    clearTimeout(this.retryTimer);
    this.wake?.();
  }

  private async run(): Promise<void> {
    while (this.isRunning) {
      try {
        if (this.revision < 0) await this.readAll();
        else await this.followOnce();
        this.noteAnswer();
      } catch (error) {
        this.noteFailure(error);
        await this.pause();
      }
    }
  }

  private async readAll(): Promise<void> {
    const { revision, values } = await this.parts.store.read(this.parts.prefix);
    this.items.clear();
    values.forEach((value) => this.items.set(value.key, value));
    this.publish(revision);
  }

  private async followOnce(): Promise<void> {
    const { prefix, store, waitMs } = this.parts;
    // After a failure a short call shows soon that the store is back; a long one may hang in it.
    const wait = this.failures > 0 ? 0 : waitMs;
    const changes = await store.follow(prefix, this.revision, wait);
    if (!this.isRunning) return;
    if (changes.type === 'compacted') {
      this.parts.log.warn({ revision: this.revision }, 'store_history_lost');
      await this.readAll();
      return;
    }
    this.apply(changes);
  }

  private apply({ revision, changed, removed }: Extract<Changes, { type: 'changes' }>): void {
    changed.forEach((value) => this.items.set(value.key, value));
    removed.forEach((key) => this.items.delete(key));
    if (changed.length + removed.length > 0) this.publish(revision);
    else this.revision = Math.max(this.revision, revision);
  }

  private publish(revision: number): void {
    this.revision = Math.max(this.revision, revision);
    if (this.isRunning) this.parts.changed(this.items, this.revision);
  }

  private noteAnswer(): void {
    if (this.failures > 0) this.parts.log.info({ failures: this.failures }, 'store_regained');
    this.failures = 0;
  }

  private noteFailure(error: unknown): void {
    this.failures += 1;
    if (this.failures > 1) return;
    const detail = error instanceof Error ? error.message : String(error);
    this.parts.log.warn({ detail, revision: this.revision }, 'store_lost');
  }

  private async pause(): Promise<void> {
    if (!this.isRunning) return;
    const base = Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** Math.min(10, this.failures - 1));
    const ms = base * (0.5 + this.parts.random() / 2);
    await new Promise<void>((resolve) => {
      this.wake = resolve;
      this.retryTimer = setTimeout(resolve, ms);
    });
  }
}
