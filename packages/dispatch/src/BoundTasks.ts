import type { BoundTaskRows } from '@marjorammast/protocol';
import { BOUND_TASK_RETENTION_MS } from './constants';

/** A worker to which a task is bound. */
type Binding = { agent: string; workerId: string };

/** The bound tasks of one job by task index. */
type JobBindings = { bindings: Map<number, Binding[]>; boundAt: number };

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
   * Binds a task to the worker of an agent. Two copies of a job may bind a task to two workers.
   *
   * @param job - identifier of the job
   * @param index - index of the task
   * @param agent - name of the agent
   * @param workerId - identifier of the worker that may carry out the start
   */
  bind(job: string, index: number, agent: string, workerId: string): void {
    this.expire();
    const bindings = this.jobs.get(job)?.bindings ?? new Map<number, Binding[]>();
    const others = (bindings.get(index) ?? []).filter((binding) => binding.agent !== agent);
    bindings.set(index, [...others, { agent, workerId }]);
    // The last one bound is the last of all, since the oldest are removed first.
    this.jobs.delete(job);
    this.jobs.set(job, { bindings, boundAt: performance.now() });
  }

  /**
   * Releases the tasks that are bound to an earlier worker of an agent. Its present worker has another identifier
   * and refuses the starts that were sent to the earlier one.
   *
   * @param agent - name of the agent
   * @param workerId - identifier of the present worker
   */
  release(agent: string, workerId: string): void {
    const isKept = (binding: Binding) => binding.agent !== agent || binding.workerId === workerId;
    this.jobs.forEach(({ bindings }, job) => {
      bindings.forEach((ofTask, index) => {
        const kept = ofTask.filter(isKept);
        if (kept.length > 0) bindings.set(index, kept);
        else bindings.delete(index);
      });
      if (bindings.size === 0) this.jobs.delete(job);
    });
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
   * @returns names of the agents to whose workers the task is bound
   */
  agentsOf(job: string, index: number): readonly string[] {
    return (this.jobs.get(job)?.bindings.get(index) ?? []).map(({ agent }) => agent);
  }

  /**
   * @param job - identifier of a job
   * @returns rows of job, task index, name of the agent and identifier of its worker
   */
  rowsOf(job: string): BoundTaskRows {
    this.expire();
    return [...(this.jobs.get(job)?.bindings ?? [])].flatMap(([index, ofTask]) =>
      ofTask.map(({ agent, workerId }): BoundTaskRows[number] => [job, index, agent, workerId]),
    );
  }

  private expire(): void {
    const oldestKept = performance.now() - BOUND_TASK_RETENTION_MS;
    for (let [oldest] = this.jobs; oldest && oldest[1].boundAt < oldestKept; [oldest] = this.jobs) {
      this.jobs.delete(oldest[0]);
    }
  }
}
