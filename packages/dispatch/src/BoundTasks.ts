import { BOUND_TASK_RETENTION_MS } from './constants';

/** The bound tasks of one job: names of their agents by task index. */
type JobBindings = { agents: Map<number, string>; boundAt: number };

/**
 * Tasks that may be started on one worker only, since a start that was sent there has no answer: the worker or
 * its next incarnation may carry it out later, and a worker has at most one run of a task. The tasks of a
 * job stay bound when the job is submitted again, also to another entry.
 */
export class BoundTasks {
  /** By job, in the order of their last bindings. */
  private readonly jobs = new Map<string, JobBindings>();

  private constructor() {}

  /** @returns no tasks */
  static create(): BoundTasks {
    return new BoundTasks();
  }

  /**
   * Binds a task to the worker of an agent, unless it is bound.
   *
   * @param job - identifier of the job
   * @param index - index of the task
   * @param agent - name of the agent
   */
  bind(job: string, index: number, agent: string): void {
    this.expire();
    const agents = this.jobs.get(job)?.agents ?? new Map<number, string>();
    if (!agents.has(index)) agents.set(index, agent);
    this.jobs.delete(job);
    this.jobs.set(job, { agents, boundAt: performance.now() });
  }

  /**
   * @param job - identifier of a job
   * @returns true when a start of one of its tasks may be carried out later
   */
  has(job: string): boolean {
    this.expire();
    return this.jobs.has(job);
  }

  /**
   * @param job - identifier of a job
   * @param index - index of the task
   * @returns name of the only agent whose worker may start the task; `undefined` when any may
   */
  agentOf(job: string, index: number): string | undefined {
    return this.jobs.get(job)?.agents.get(index);
  }

  /**
   * @param job - identifier of a job
   * @returns pairs of the index of each task that is bound and the name of its agent
   */
  tasksOf(job: string): [number, string][] {
    this.expire();
    return [...(this.jobs.get(job)?.agents ?? [])];
  }

  private expire(): void {
    const oldestKept = performance.now() - BOUND_TASK_RETENTION_MS;
    for (let [oldest] = this.jobs; oldest && oldest[1].boundAt < oldestKept; [oldest] = this.jobs) {
      this.jobs.delete(oldest[0]);
    }
  }
}
