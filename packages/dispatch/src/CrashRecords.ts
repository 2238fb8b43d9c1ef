import type { WorkerCrash } from '@marjorammast/protocol';
import {
  CRASH_RETENTION_MS,
  MAX_CRASHES_PER_TASK,
  MAX_LOST_RUNS_PER_TASK,
  MAX_SUSPICIONS_PER_TASK,
} from './constants';

/** A run of a crashed worker, with the name of its agent. */
type LostRun = WorkerCrash['runs'][number] & { agent: string };

/** Incarnations of workers that crashed under a task, each with the run that it had. */
type TaskCrashes = Map<string, LostRun>;

/** A task under which too many workers have crashed. */
export type CrashingTask = { job: string; index: number; route: string };

const isSpent = (crashes: TaskCrashes): boolean => {
  const started = [...crashes.values()].filter(({ wasStarted }) => wasStarted);
  const suspicions = started.filter(({ isSuspect }) => isSuspect);
  return (
    suspicions.length >= MAX_SUSPICIONS_PER_TASK ||
    started.length >= MAX_CRASHES_PER_TASK ||
    crashes.size >= MAX_LOST_RUNS_PER_TASK
  );
};

/**
 * Counts the crashes of workers under tasks, also under those of other entries: a job that is sent again
 * after its entry was lost must not begin with a new budget. Agents report crashes to all entries that
 * are attached to them, and those of the last minute to an entry that attaches.
 */
export class CrashRecords {
  /** By job, each with the time of its last crash. */
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
  record({ incarnation, agent, runs }: WorkerCrash): CrashingTask[] {
    this.expire();
    return runs
      .filter((run) => this.add(incarnation, { ...run, agent }))
      .map(({ job, index, route }) => ({ job, index, route }));
  }

  /**
   * @param job - identifier of a job
   * @param index - index of one of its tasks
   * @returns true when a worker crashed just after it had started the task
   */
  isSuspect(job: string, index: number): boolean {
    return this.crashesOf(job, index).some((run) => run.isSuspect);
  }

  /**
   * @param job - identifier of a job
   * @param index - index of one of its tasks
   * @returns names of the agents whose workers crashed under the task
   */
  agentsOf(job: string, index: number): string[] {
    return this.crashesOf(job, index).map(({ agent }) => agent);
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
  private add(incarnation: string, run: LostRun): boolean {
    const { job, index } = run;
    const tasks = this.jobs.get(job)?.tasks ?? new Map<number, TaskCrashes>();
    this.jobs.set(job, { at: performance.now(), tasks });
    const crashes: TaskCrashes = tasks.get(index) ?? new Map<string, LostRun>();
    tasks.set(index, crashes);
    const wasSpent = isSpent(crashes);
    if (!crashes.has(incarnation)) crashes.set(incarnation, run);
    return !wasSpent && isSpent(crashes);
  }

  private crashesOf(job: string, index: number): LostRun[] {
    return [...(this.jobs.get(job)?.tasks.get(index)?.values() ?? [])];
  }

  private expire(): void {
    const oldestKept = performance.now() - CRASH_RETENTION_MS;
    this.jobs.forEach(({ at }, job) => {
      if (at < oldestKept) this.jobs.delete(job);
    });
  }
}
