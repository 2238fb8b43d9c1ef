import { BOUND_TASK_RETENTION_MS } from './constants';

type Binding = { agent: string; at: number };

const keyOf = (job: string, index: number): string => `${job}#${index}`;

/**
 * Tasks that may be started on one worker only, since a start that was sent there has no answer: the worker or
 * its next incarnation may carry it out later, and a worker has at most one run of a task. The tasks of a
 * job stay bound when the job is submitted again, also to another entry.
 */
export class BoundTasks {
  /** By job and task index, oldest first. */
  private readonly bindings = new Map<string, Binding>();

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
    const key = keyOf(job, index);
    if (!this.bindings.has(key)) this.bindings.set(key, { agent, at: performance.now() });
  }

  /**
   * @param job - identifier of a job
   * @param index - index of the task
   * @returns name of the only agent whose worker may start the task; `undefined` when any may
   */
  agentOf(job: string, index: number): string | undefined {
    if (this.bindings.size === 0) return undefined;
    return this.bindings.get(keyOf(job, index))?.agent;
  }

  private expire(): void {
    const oldestKept = performance.now() - BOUND_TASK_RETENTION_MS;
    this.bindings.forEach(({ at }, key) => {
      if (at < oldestKept) this.bindings.delete(key);
    });
  }
}
