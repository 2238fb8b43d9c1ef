import { CLOCK_SKEW_MS, RECORD_RETENTION_MS, SHARD_COUNT, shardOf } from '@marjorammast/protocol';
import type { Outcome, ShardClaim, StartRecord } from '@marjorammast/protocol';

type StoredStart = {
  record: StartRecord;
  shard: number;
  /** Wall-clock time until which the record is kept, in milliseconds. */
  retainedUntil: number;
  /** Functions that resolve the calls that wait for the outcome. */
  waiters: ((outcome: Outcome | undefined) => void)[];
};

const recordKey = (job: string, index: number): string => `${job}#${index}`;

/**
 * Records of the tasks started by this agent, the tasks that are barred from starting, and the
 * highest epoch received for each shard.
 */
export class StartRecords {
  private readonly starts = new Map<string, StoredStart>();

  /** Tasks barred from starting, with the wall-clock time until which they are, in milliseconds. */
  private readonly barredUntil = new Map<string, number>();

  /** Highest epoch received, by shard. */
  private readonly epochs = new Array<number>(SHARD_COUNT).fill(0);

  private constructor() {}

  /** @returns empty records */
  static create(): StartRecords {
    return new StartRecords();
  }

  /** Number of start records. */
  get size(): number {
    return this.starts.size;
  }

  /** Returns the highest epoch received for a shard. */
  epochOf(shard: number): number {
    return this.epochs[shard] ?? 0;
  }

  /** Raises the epoch of a shard; a lower epoch is ignored. */
  raiseEpoch(shard: number, epoch: number): void {
    this.epochs[shard] = Math.max(this.epochOf(shard), epoch);
  }

  /** Returns whether there is a start record of the task. */
  isKnown(job: string, index: number): boolean {
    return this.starts.has(recordKey(job, index));
  }

  /** Returns whether the task is barred from starting. */
  isBarred(job: string, index: number): boolean {
    return this.barredUntil.has(recordKey(job, index));
  }

  /**
   * Bars a task that has not started here from ever starting.
   *
   * @param notAfter - wall-clock time after which the task could not start anyway, in milliseconds
   */
  bar(job: string, index: number, notAfter: number): void {
    this.barredUntil.set(recordKey(job, index), notAfter + CLOCK_SKEW_MS);
  }

  /** Adds the record of a start. The caller does so before it sends the task to the target. */
  add(record: StartRecord): void {
    this.starts.set(recordKey(record.job, record.index), {
      record,
      shard: shardOf(record.job),
      retainedUntil: Date.now() + RECORD_RETENTION_MS,
      waiters: [],
    });
  }

  /** Removes the record of a task that the target certainly did not receive. */
  remove(job: string, index: number): void {
    const key = recordKey(job, index);
    const waiters = this.starts.get(key)?.waiters ?? [];
    this.starts.delete(key);
    waiters.forEach((resolve) => resolve(undefined));
  }

  /** Records the outcome of a task and passes it to the callers that wait for it. */
  finish(job: string, index: number, outcome: Outcome): void {
    const start = this.starts.get(recordKey(job, index));
    if (!start) return;
    start.record = { ...start.record, outcome };
    start.waiters.splice(0).forEach((resolve) => resolve(outcome));
  }

  /**
   * Waits for the outcome of a task.
   *
   * @returns the outcome, or `undefined` when the target has not received the task
   */
  async outcomeOf(job: string, index: number): Promise<Outcome | undefined> {
    const start = this.starts.get(recordKey(job, index));
    if (!start) return undefined;
    if (start.record.outcome) return start.record.outcome;
    return new Promise((resolve) => {
      start.waiters.push(resolve);
    });
  }

  /**
   * Raises the epochs of the given shards, so that starts with lower epochs are refused from now
   * on, and lists the start records of these shards.
   *
   * @param claims - shards with their new epochs
   * @returns the start records of these shards
   */
  fence(claims: readonly ShardClaim[]): StartRecord[] {
    claims.forEach(({ shard, epoch }) => this.raiseEpoch(shard, epoch));
    const shards = new Set(claims.map(({ shard }) => shard));
    return [...this.starts.values()]
      .filter((start) => shards.has(start.shard))
      .map((start) => start.record);
  }

  /** Lists all start records. */
  list(): StartRecord[] {
    return [...this.starts.values()].map(({ record }) => record);
  }

  /** Removes finished start records, and barred tasks, whose retention time has passed. */
  expire(): void {
    const now = Date.now();
    this.starts.forEach((start, key) => {
      if (start.retainedUntil < now && start.record.outcome) this.starts.delete(key);
    });
    this.barredUntil.forEach((until, key) => {
      if (until < now) this.barredUntil.delete(key);
    });
  }
}
