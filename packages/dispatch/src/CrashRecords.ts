import type { WorkerCrash } from '@marjorammast/protocol';
import { CRASH_RETENTION_MS, MAX_CRASHES_PER_TASK, MAX_SUSPICIONS_PER_TASK } from './constants';

/** Incarnations of workers that crashed while they ran a task. */
type TaskCrashes = {
  all: Set<string>;
  /** Those of which the task is suspected to be the cause. */
  suspected: Set<string>;
};

/** A task under which too many workers have crashed. */
export type CrashingTask = { job: string; index: number; route: string };

const isSpent = ({ all, suspected }: TaskCrashes): boolean =>
  suspected.size >= MAX_SUSPICIONS_PER_TASK || all.size >= MAX_CRASHES_PER_TASK;

/**
 * Counts the crashes of workers under tasks, also under those of other entries: a job that is sent again
 * after its entry was lost must not begin with a new budget. Agents report crashes to all entries that
 * are attached to them, and those of the last minute to an entry that attaches.
 */
export class CrashRecords {
  /** By job, in the order in which the jobs were first recorded. */
  private readonly jobs = new Map<string, { at: number; tasks: Map<number, TaskCrashes> }>();

  private constructor() {}

  /** @returns no crashes */
  static create(): CrashRecords {
    return new CrashRecords();
  }

  /**
   * Records a crash. One that is reported again is not counted again.
   *
   * @param crash - the crashed incarnation of a worker and its runs
   * @returns the tasks whose crash budget is spent with this crash
   */
  record({ incarnation, runs }: WorkerCrash): CrashingTask[] {
    this.expire();
    return runs
      .filter(([job, index, , isSuspect]) => this.add(incarnation, job, index, isSuspect))
      .map(([job, index, route]) => ({ job, index, route }));
  }

  /**
   * @param job - identifier of a job
   * @param index - index of one of its tasks
   * @returns true when a worker crashed just after it had started the task
   */
  isSuspect(job: string, index: number): boolean {
    return (this.jobs.get(job)?.tasks.get(index)?.suspected.size ?? 0) > 0;
  }

  /**
   * @param job - identifier of a job
   * @returns index of a task of the job that must not be started again, if there is one
   */
  findSpentTask(job: string): number | undefined {
    const tasks = [...(this.jobs.get(job)?.tasks ?? [])];
    return tasks.find(([, crashes]) => isSpent(crashes))?.[0];
  }

  /** Returns true when this crash spends the budget of the task. */
  private add(incarnation: string, job: string, index: number, isSuspect: boolean): boolean {
    const record = this.jobs.get(job) ?? { at: performance.now(), tasks: new Map() };
    this.jobs.set(job, record);
    const crashes = record.tasks.get(index) ?? { all: new Set(), suspected: new Set() };
    record.tasks.set(index, crashes);
    const wasSpent = isSpent(crashes);
    crashes.all.add(incarnation);
    if (isSuspect) crashes.suspected.add(incarnation);
    return !wasSpent && isSpent(crashes);
  }

  private expire(): void {
    const oldestKept = performance.now() - CRASH_RETENTION_MS;
    this.jobs.forEach(({ at }, job) => {
      if (at < oldestKept) this.jobs.delete(job);
    });
  }
}
