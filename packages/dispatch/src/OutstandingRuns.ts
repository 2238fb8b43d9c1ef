import type { ActiveJob } from './ActiveJob';

/** A run that was assigned to an agent and has not ended. */
export type OutstandingRun = {
  job: ActiveJob;
  index: number;
  run: number;
  /** The incarnation of the agent's worker when the run was assigned. */
  incarnation: string;
  /** Monotonic time of the assignment, in milliseconds. */
  assignedAt: number;
};

const keyOf = (jobId: string, index: number): string => `${jobId}#${index}`;

/** The runs of an entry that have not ended, also those of jobs that were answered. */
export class OutstandingRuns {
  /** By agent, then by job and task index. */
  private readonly runsByAgent = new Map<string, Map<string, OutstandingRun>>();

  /** By job; contains also the runs of lost agents until they are removed. */
  private readonly runsByJob = new Map<string, Set<OutstandingRun>>();

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
   * Tells whether runs of an earlier submission of a job have not ended.
   *
   * @param job - the present submission
   * @returns true while such runs may be active
   */
  hasEarlierRuns(job: ActiveJob): boolean {
    // Runs of a later submission are added only when there are none of the earlier one.
    const [firstRun] = this.runsByJob.get(job.id) ?? [];
    return firstRun !== undefined && firstRun.job !== job;
  }

  /**
   * @param job - identifier of a job
   * @returns true while a run of any submission of the job has not ended
   */
  hasRunsOf(job: string): boolean {
    return this.runsByJob.has(job);
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
    const runsOfJob = this.runsByJob.get(run.job.id) ?? new Set<OutstandingRun>();
    runsOfJob.add(run);
    this.runsByJob.set(run.job.id, runsOfJob);
  }

  /**
   * Removes the run of a task at an agent, which has ended.
   *
   * @param agent - name of the agent
   * @param jobId - identifier of the job
   * @param index - index of the task
   */
  remove(agent: string, jobId: string, index: number): void {
    const run = this.find(agent, jobId, index);
    if (!run) return;
    this.runsByAgent.get(agent)?.delete(keyOf(jobId, index));
    this.removeDetached(run);
  }

  /**
   * Detaches all runs from an agent that is lost. They may be active until they are removed.
   *
   * @param agent - name of the agent
   * @returns the runs
   */
  detachAll(agent: string): OutstandingRun[] {
    const runs = [...(this.runsByAgent.get(agent)?.values() ?? [])];
    this.runsByAgent.delete(agent);
    return runs;
  }

  /**
   * Removes a run that was detached from its agent and has ended.
   *
   * @param run - the run
   */
  removeDetached(run: OutstandingRun): void {
    const runs = this.runsByJob.get(run.job.id);
    runs?.delete(run);
    if (runs?.size === 0) this.runsByJob.delete(run.job.id);
  }
}
