import type { WorkerCrash } from '@marjorammast/protocol';
import {
  CRASH_RETENTION_MS,
  MAX_CRASHES_PER_TASK,
  MAX_LOST_RUNS_PER_TASK,
  MAX_SUSPICIONS_PER_TASK,
} from './constants';
import { mustWaitForWorkers } from './mustWaitForWorkers';

/** A run that a worker had when it crashed or was lost. */
type LostRun = WorkerCrash['runs'][number];

/** An incarnation of a worker that was lost with a task, and the run that it had. */
type Loss = { incarnation: string; run: LostRun };

/** Incarnations of workers that crashed under a task, each with the run that it had. */
type TaskCrashes = Map<string, LostRun>;

/** What is known of a task. */
type TaskRecord = {
  crashes: TaskCrashes;
  /** Workers that were lost with the task and may have crashed, by the name of the agent. */
  losses: Map<string, Loss>;
};

/** A task under which too many workers have crashed. */
export type CrashingTask = { job: string; index: number; route: string };

const toCrashingTask = ({ job, index, route }: LostRun): CrashingTask => ({ job, index, route });

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

  /** Names of the agents whose workers were lost. */
  private readonly lostAgents = new Set<string>();

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
    return runs.filter((run) => this.add(agent, incarnation, run)).map(toCrashingTask);
  }

  /**
   * Records that a worker was lost with runs, and may have crashed.
   *
   * @param agent - name of the worker's agent
   * @param incarnation - the incarnation of the worker
   * @param runs - the runs
   */
  recordLoss(
    agent: string,
    incarnation: string,
    runs: readonly Omit<LostRun, 'isSuspect'>[],
  ): void {
    this.expire();
    this.lostAgents.add(agent);
    runs.forEach((run) => {
      const { crashes, losses } = this.recordOf(run.job, run.index);
      const loss = { incarnation, run: { ...run, isSuspect: false } };
      if (!crashes.has(incarnation)) losses.set(agent, loss);
    });
  }

  /**
   * Records that an agent has word of its worker again, or that nothing more will be heard from the agent.
   * A lost worker that has another incarnation now has crashed.
   *
   * @param agent - name of the agent
   * @param incarnation - the present incarnation of its worker; absent when nothing more will be heard
   * @returns the tasks whose crash budget is spent with a crash that shows by this
   */
  recordReturn(agent: string, incarnation?: string): CrashingTask[] {
    if (!this.lostAgents.delete(agent)) return [];
    const tasks = [...this.jobs.values()].flatMap((job) => [...job.tasks.values()]);
    const losses = tasks.flatMap((task) => {
      const loss = task.losses.get(agent);
      task.losses.delete(agent);
      return loss ? [loss] : [];
    });
    return losses
      .filter((loss) => incarnation !== undefined && loss.incarnation !== incarnation)
      .filter((loss) => this.add(agent, loss.incarnation, loss.run))
      .map(({ run }) => toCrashingTask(run));
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
   * @returns true when the task must not be started now
   */
  mustWait(job: string, index: number): boolean {
    const record = this.jobs.get(job)?.tasks.get(index);
    return record !== undefined && mustWaitForWorkers(record.losses.size, record.crashes.size);
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
  private add(agent: string, incarnation: string, run: LostRun): boolean {
    const { crashes, losses } = this.recordOf(run.job, run.index);
    if (losses.get(agent)?.incarnation === incarnation) losses.delete(agent);
    const wasSpent = isSpent(crashes);
    if (!crashes.has(incarnation)) crashes.set(incarnation, run);
    return !wasSpent && isSpent(crashes);
  }

  /** Returns the record of a task, and dates its job anew. */
  private recordOf(job: string, index: number): TaskRecord {
    const tasks = this.jobs.get(job)?.tasks ?? new Map<number, TaskRecord>();
    this.jobs.set(job, { at: performance.now(), tasks });
    const record = tasks.get(index) ?? { crashes: new Map(), losses: new Map() };
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
