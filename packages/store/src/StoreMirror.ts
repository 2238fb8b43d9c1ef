import type { Log } from '@marjorammast/telemetry';
import type { Changes, KeyValueStore } from './KeyValueStore';
import type { StoredValue } from './Store';

/** Dependencies and options of a mirror. */
export type StoreMirrorOptions = {
  store: KeyValueStore;
  /** Prefix of the keys to copy. */
  prefix: string;
  /** Maximum duration of one long poll for changes, in milliseconds. */
  waitMs: number;
  /** Called after each change with all copied values, by key, and the revision of the store. */
  onChange: (items: ReadonlyMap<string, StoredValue>, revision: number) => void;
  /** Uniform random numbers in [0, 1), for the jitter of retries. */
  random: () => number;
  log: Log;
};

/** Initial retry delay after a failed call, in milliseconds; it doubles with each failure. */
const RETRY_MS = 150;

/** Maximum retry delay, in milliseconds. */
const MAX_RETRY_MS = 400;

/**
 * Maintains a local copy of the keys with a prefix. The copy never goes back to an older revision.
 */
export class StoreMirror {
  private readonly items = new Map<string, StoredValue>();

  /** Revision of the copy; -1 before the initial read. */
  private revision = -1;

  private isRunning = true;

  /** Number of failed calls since the last answer. */
  private failures = 0;

  private retryTimer: NodeJS.Timeout | undefined;

  private endRetryDelay: (() => void) | undefined;

  /** Monotonic time of the last answer, in milliseconds. */
  private answeredAt = performance.now();

  private constructor(private readonly options: StoreMirrorOptions) {}

  /**
   * @param options - dependencies and options
   * @returns a mirror that has started to read
   */
  static create(options: StoreMirrorOptions): StoreMirror {
    const mirror = new StoreMirror(options);
    void mirror.run();
    return mirror;
  }

  /** True when the initial read has succeeded and the last call was answered. */
  get isConnected(): boolean {
    return this.failures === 0 && this.revision >= 0;
  }

  /** Time since the last answer of the store, or since the start, in milliseconds. */
  get answerAgeMs(): number {
    return performance.now() - this.answeredAt;
  }

  /** Stops the updates. */
  stop(): void {
    this.isRunning = false;
    clearTimeout(this.retryTimer);
    this.endRetryDelay?.();
  }

  private async run(): Promise<void> {
    while (this.isRunning) {
      try {
        if (this.revision < 0) await this.readAll();
        else await this.pollOnce();
        this.handleAnswer();
      } catch (error) {
        this.handleFailure(error);
        await this.waitBeforeRetry();
      }
    }
  }

  private async readAll(): Promise<void> {
    const { revision, values } = await this.options.store.read(this.options.prefix);
    this.items.clear();
    values.forEach((value) => this.items.set(value.key, value));
    this.publish(revision);
  }

  private async pollOnce(): Promise<void> {
    const { prefix, store, waitMs } = this.options;
    // After a failure the call does not wait for changes, so that it soon shows whether the store
    // answers again. A long poll that is sent while the store does not answer could still hang after
    // the store has recovered.
    const currentWaitMs = this.failures > 0 ? 0 : waitMs;
    const changes = await store.waitForChanges(prefix, this.revision, currentWaitMs);
    if (!this.isRunning) return;
    if (changes.type === 'compacted') {
      this.options.log.warn({ revision: this.revision }, 'store_history_lost');
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
    if (this.isRunning) this.options.onChange(this.items, this.revision);
  }

  private handleAnswer(): void {
    if (this.failures > 0) this.options.log.info({ failures: this.failures }, 'store_regained');
    this.failures = 0;
    this.answeredAt = performance.now();
  }

  private handleFailure(error: unknown): void {
    this.failures += 1;
    if (this.failures > 1) return;
    const detail = error instanceof Error ? error.message : String(error);
    const answerAgeMs = Math.round(this.answerAgeMs);
    this.options.log.warn({ detail, answerAgeMs, revision: this.revision }, 'store_lost');
  }

  private async waitBeforeRetry(): Promise<void> {
    if (!this.isRunning) return;
    const delayMs = Math.min(MAX_RETRY_MS, RETRY_MS * 2 ** Math.min(10, this.failures - 1));
    const jitteredMs = delayMs * (0.5 + this.options.random() / 2);
    await new Promise<void>((resolve) => {
      this.endRetryDelay = resolve;
      this.retryTimer = setTimeout(resolve, jitteredMs);
    });
  }
}
