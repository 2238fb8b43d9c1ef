import type { BoundTaskRows, UnsettledTasks } from '@marjorammast/protocol';
import type { StartKnowledge } from './AgentConnection';
import { BoundTasks } from './BoundTasks';
import type { OutstandingRun } from './OutstandingRuns';
import { workerIdOf } from './workerIdOf';

const NO_AGENTS: readonly string[] = [];

/** Everything an entry knows of bound tasks: by its own runs and agents, and by the word of other entries. */
export class TaskBindings {
  private readonly own = BoundTasks.create();

  /** Bound tasks of which other entries have told. They are not told on: entries could keep them for ever. */
  private readonly told = BoundTasks.create();

  /** Identifiers of the workers of the agents. */
  private readonly workerIds = new Map<string, string>();

  private constructor() {}

  /** @returns bindings of no tasks */
  static create(): TaskBindings {
    return new TaskBindings();
  }

  /**
   * Binds tasks to the worker of an agent: a start that was sent there has no answer.
   *
   * @param agent - name of the agent
   * @param tasks - rows of job, task index and identifier of the worker
   */
  bind(agent: string, tasks: UnsettledTasks): void {
    tasks.forEach(([job, index, workerId]) => this.own.bind(job, index, agent, workerId));
  }

  /**
   * Binds tasks of which another entry has told.
   *
   * @param rows - rows of job, task index, name of the agent and identifier of its worker
   */
  bindTold(rows: BoundTaskRows): void {
    rows
      .filter(([, , agent, workerId]) => (this.workerIds.get(agent) ?? workerId) === workerId)
      .forEach(([job, index, agent, workerId]) => this.told.bind(job, index, agent, workerId));
  }

  /**
   * Binds the tasks of which a lost agent may have sent a start without an answer.
   *
   * @param agent - name of the agent
   * @param runs - the runs that it had
   * @param knowledge - what is known of the starts there
   * @returns the number of these tasks
   */
  bindUnsettled(
    agent: string,
    runs: readonly OutstandingRun[],
    { unsettled, asOf }: StartKnowledge,
  ): number {
    const isNamed = ({ job, index }: OutstandingRun) =>
      unsettled.some(([id, taskIndex]) => id === job.id && taskIndex === index);
    const bound = runs.filter((run) => run.assignedAt >= asOf || isNamed(run));
    bound.forEach(({ job, index, incarnation }) =>
      this.own.bind(job.id, index, agent, workerIdOf(incarnation)),
    );
    return bound.length;
  }

  /**
   * Releases the tasks that are bound to an agent whose worker has another identifier now.
   *
   * @param agent - name of the agent
   * @param incarnation - the present incarnation of its worker; empty without a worker
   */
  release(agent: string, incarnation: string): void {
    const workerId = workerIdOf(incarnation);
    if (workerId === '' || this.workerIds.get(agent) === workerId) return;
    this.workerIds.set(agent, workerId);
    this.own.release(agent, workerId);
    this.told.release(agent, workerId);
  }

  /**
   * @param job - identifier of a job
   * @returns true while tasks of it are bound to workers
   */
  has(job: string): boolean {
    return this.own.has(job) || this.told.has(job);
  }

  /**
   * @param job - identifier of a job
   * @param index - index of a task
   * @returns names of the agents to whose workers the task is bound
   */
  agentsOf(job: string, index: number): readonly string[] {
    if (!this.has(job)) return NO_AGENTS;
    return [...new Set([...this.own.agentsOf(job, index), ...this.told.agentsOf(job, index)])];
  }

  /**
   * @param job - identifier of a job
   * @returns its bound tasks that other entries may not know of
   */
  rowsOf(job: string): BoundTaskRows {
    return this.own.rowsOf(job);
  }
}
