import type { WorkerCrash } from '@marjorammast/protocol';
import {
  CRASH_RETENTION_MS,
  MAX_CRASHES_PER_TASK,
  MAX_LOST_RUNS_PER_TASK,
  MAX_SUSPICIONS_PER_TASK,
} from './constants';
import { mustWaitForWorkers } from './mustWaitForWorkers';

/** A run of a crashed worker, with the name of its agent. */
type LostRun = WorkerCrash['runs'][number] & { agent: string };

/** Incarnations of workers that crashed under a task, each with the run that it had. */
type TaskCrashes = Map<string, LostRun>;

/** What is known of a task. */
type TaskRecord = {
  crashes: TaskCrashes;
  /** Workers that were lost with the task and may have crashed: the incarnation by the name of the agent. */
  lostWorkers: Map<string, string>;
};

/** Stands for the incarnation of a worker whose agent was lost too. */
const UNKNOWN_INCARNATION = '';

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
  /** By job, each with the time of the last crash or loss. */
  private readonly jobs = new Map<string, { at: number; tasks: Map<number, TaskRecord> }>();

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
   * Records that a worker was lost with runs, and may have crashed.
   *
   * @param agent - name of the worker's agent
   * @param runs - the runs, by job and index of the task
   * @param incarnation - the incarnation of the worker; absent when the agent was lost too
   */
  recordLoss(
    agent: string,
    runs: readonly { job: string; index: number }[],
    incarnation = UNKNOWN_INCARNATION,
  ): void {
    this.expire();
    runs.forEach(({ job, index }) => {
      const { crashes, lostWorkers } = this.recordOf(job, index);
      if (!crashes.has(incarnation)) lostWorkers.set(agent, incarnation);
    });
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
   * Tells whether a task waits for word of the workers that were lost with it.
   *
   * @param job - identifier of a job
   * @param index - index of one of its tasks
   * @param isBack - tells whether an agent's worker is back, or nothing more will be heard from the agent
   * @returns true when the task must not be started now
   */
  mustWait(job: string, index: number, isBack: (agent: string) => boolean): boolean {
    const record = this.jobs.get(job)?.tasks.get(index);
    if (!record) return false;
    const { crashes, lostWorkers } = record;
    lostWorkers.forEach((_, agent) => {
      if (isBack(agent)) lostWorkers.delete(agent);
    });
    return mustWaitForWorkers(lostWorkers.size, crashes.size);
  }

  /**
   * @param job - identifier of a job
   * @returns index of a task of the job that must not be started again, if there is one
   */
  findSpentTask(job: string): number | undefined {
    const tasks = [...(this.jobs.get(job)?.tasks ?? [])];
    return tasks.find(([, { crashes }]) => isSpent(crashes))?.[0];
  }

  /** Returns true when this crash spends the budget of the task. */
  private add(incarnation: string, run: LostRun): boolean {
    const { crashes, lostWorkers } = this.recordOf(run.job, run.index);
    const lost = lostWorkers.get(run.agent);
    if (lost === incarnation || lost === UNKNOWN_INCARNATION) lostWorkers.delete(run.agent);
    const wasSpent = isSpent(crashes);
    if (!crashes.has(incarnation)) crashes.set(incarnation, run);
    return !wasSpent && isSpent(crashes);
  }

  /** Returns the record of a task, and dates its job anew. */
  private recordOf(job: string, index: number): TaskRecord {
    const tasks = this.jobs.get(job)?.tasks ?? new Map<number, TaskRecord>();
    this.jobs.set(job, { at: performance.now(), tasks });
    const record = tasks.get(index) ?? { crashes: new Map(), lostWorkers: new Map() };
    tasks.set(index, record);
    return record;
  }

  private crashesOf(job: string, index: number): LostRun[] {
    return [...(this.jobs.get(job)?.tasks.get(index)?.crashes.values() ?? [])];
  }

  private expire(): void {
    const oldestKept = performance.now() - CRASH_RETENTION_MS;
    this.jobs.forEach(({ at }, job) => {
      if (at < oldestKept) this.jobs.delete(job);
    });
  }
}
