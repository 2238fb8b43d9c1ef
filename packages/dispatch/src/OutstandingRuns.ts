import type { ActiveJob } from './ActiveJob';

/** A run that was assigned to an agent and has not ended. */
export type OutstandingRun = {
  job: ActiveJob;
  index: number;
  run: number;
  /** The incarnation of the agent's worker when the run was assigned. */
  incarnation: string;
};

const keyOf = (jobId: string, index: number): string => `${jobId}#${index}`;

/** The runs of an entry that have not ended, by agent. */
export class OutstandingRuns {
  /** By agent, then by job and task index. */
  private readonly runsByAgent = new Map<string, Map<string, OutstandingRun>>();

  private constructor() {}

  /** @returns no runs */
  static create(): OutstandingRuns {
    return new OutstandingRuns();
  }

  /** Number of runs at all agents. */
  get count(): number {
    return [...this.runsByAgent.values()].reduce((sum, runs) => sum + runs.size, 0);
  }

  /**
   * @param agent - name of an agent
   * @returns true while the agent has runs
   */
  has(agent: string): boolean {
    return (this.runsByAgent.get(agent)?.size ?? 0) > 0;
  }

  /**
   * Finds the run of a task at an agent.
   *
   * @param agent - name of the agent
   * @param jobId - identifier of the job
   * @param index - index of the task
   * @returns the run, or `undefined` when the task has none there
   */
  find(agent: string, jobId: string, index: number): OutstandingRun | undefined {
    return this.runsByAgent.get(agent)?.get(keyOf(jobId, index));
  }

  /**
   * Adds a run.
   *
   * @param agent - name of the agent
   * @param run - the run
   */
  add(agent: string, run: OutstandingRun): void {
    const runs = this.runsByAgent.get(agent) ?? new Map<string, OutstandingRun>();
    runs.set(keyOf(run.job.id, run.index), run);
    this.runsByAgent.set(agent, runs);
  }

  /**
   * Removes the run of a task at an agent.
   *
   * @param agent - name of the agent
   * @param jobId - identifier of the job
   * @param index - index of the task
   */
  remove(agent: string, jobId: string, index: number): void {
    this.runsByAgent.get(agent)?.delete(keyOf(jobId, index));
  }

  /**
   * Removes all runs at an agent.
   *
   * @param agent - name of the agent
   * @returns the removed runs
   */
  removeAll(agent: string): OutstandingRun[] {
    const runs = [...(this.runsByAgent.get(agent)?.values() ?? [])];
    this.runsByAgent.delete(agent);
    return runs;
  }
}
