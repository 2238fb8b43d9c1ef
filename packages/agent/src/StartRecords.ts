import { CLOCK_SKEW_MS, RECORD_RETENTION_MS, SHARD_COUNT, shardOf } from '@marjorammast/protocol';
import type { Outcome, ShardClaim, StartRecord } from '@marjorammast/protocol';

type Entry = {
  record: StartRecord;
  shard: number;
  keepUntil: number;
  waiting: ((outcome: Outcome | undefined) => void)[];
};

const taskKey = (job: string, index: number): string => `${job}#${index}`;

/** What was started here, which tasks are barred, and the highest epoch seen for each shard. */
export class StartRecords {
  private readonly entries = new Map<string, Entry>();

  private readonly barred = new Map<string, number>();

  private readonly epochs = new Array<number>(SHARD_COUNT).fill(0);

  private constructor() {}

  /** @returns empty records */
  static create(): StartRecords {
    return new StartRecords();
  }

  /** Number of records kept. */
  get size(): number {
    return this.entries.size;
  }

  /** Highest epoch seen for a shard. */
  epochOf(shard: number): number {
    return this.epochs[shard] ?? 0;
  }

  /** Raises the epoch of a shard. */
  raiseEpoch(shard: number, epoch: number): void {
    this.epochs[shard] = Math.max(this.epochOf(shard), epoch);
  }

  /** True when the task was started here. */
  isKnown(job: string, index: number): boolean {
    return this.entries.has(taskKey(job, index));
  }

  /** True when the task may never start here. */
  isBarred(job: string, index: number): boolean {
    return this.barred.has(taskKey(job, index));
  }

  /**
   * Bars a task that has not started here from ever starting.
   *
   * @param notAfter - wall-clock time after which it could not start anyway
   */
  bar(job: string, index: number, notAfter: number): void {
    this.barred.set(taskKey(job, index), notAfter + CLOCK_SKEW_MS);
  }

  /** Records a start, before the target hears of it. */
  add(record: StartRecord): void {
    this.entries.set(taskKey(record.job, record.index), {
      record,
      shard: shardOf(record.job),
      keepUntil: Date.now() + RECORD_RETENTION_MS,
      waiting: [],
    });
  }

  /** Removes the record of a start that certainly did not reach the target. */
  remove(job: string, index: number): void {
    const key = taskKey(job, index);
    const waiting = this.entries.get(key)?.waiting ?? [];
    this.entries.delete(key);
    waiting.forEach((resolve) => resolve(undefined));
  }

  /** Records the end of a task and tells those who wait for it. */
  finish(job: string, index: number, outcome: Outcome): void {
    const entry = this.entries.get(taskKey(job, index));
    if (!entry) return;
    entry.record = { ...entry.record, outcome };
    entry.waiting.splice(0).forEach((resolve) => resolve(outcome));
  }

  /**
   * Waits for the end of a started task.
   *
   * @returns the outcome, or `undefined` when the task was not started here
   */
  async outcomeOf(job: string, index: number): Promise<Outcome | undefined> {
    const entry = this.entries.get(taskKey(job, index));
    if (!entry) return undefined;
    if (entry.record.outcome) return entry.record.outcome;
    return new Promise((resolve) => {
      entry.waiting.push(resolve);
    });
  }

  /**
   * Refuses lower epochs of some shards from now on and lists what was started for them.
   *
   * @param claims - shards with the new epochs
   * @returns the started-records of these shards
   */
  fence(claims: readonly ShardClaim[]): StartRecord[] {
    claims.forEach(({ shard, epoch }) => this.raiseEpoch(shard, epoch));
    const shards = new Set(claims.map(({ shard }) => shard));
    return [...this.entries.values()]
      .filter((entry) => shards.has(entry.shard))
      .map((entry) => entry.record);
  }

  /** All records. */
  list(): StartRecord[] {
    return [...this.entries.values()].map(({ record }) => record);
  }

  /** Forgets finished records whose retention has passed. */
  expire(): void {
    const now = Date.now();
    this.entries.forEach((entry, key) => {
      if (entry.keepUntil < now && entry.record.outcome) this.entries.delete(key);
    });
    this.barred.forEach((until, key) => {
      if (until < now) this.barred.delete(key);
    });
  }
}
