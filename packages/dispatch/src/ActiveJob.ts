import type { Route } from '@marjorammast/protocol';
import type { JobOutcome, JobRequest, Step } from './job';

/** State of one task of an active job. */
export type TaskState =
  | { type: 'waiting' }
  /** A run was assigned and has not ended. */
  | { type: 'assigned'; agent: string; run: number }
  | { type: 'done' };

type Task = {
  state: TaskState;
  /** Number of the newest run. */
  run: number;
  failures: number;
  /** Agents on which the task has failed or stalled. */
  avoid: Set<string>;
};

/** One job that this entry has accepted and not answered. */
export class ActiveJob {
  readonly tasks: Task[];

  readonly arrivedAt = performance.now();

  /** True once a run may have started. */
  mayHaveRun = false;

  private doneCount = 0;

  private readonly waiters: ((outcome: JobOutcome) => void)[] = [];

  private outcome: JobOutcome | undefined;

  private constructor(
    readonly request: JobRequest,
    readonly route: Route,
    readonly step: Step,
    /** Monotonic time at which the client gives up, in milliseconds. */
    readonly deadlineAt: number,
  ) {
    this.tasks = Array.from({ length: step.count }, () => ({
      state: { type: 'waiting' },
      run: 0,
      failures: 0,
      avoid: new Set<string>(),
    }));
  }

  /**
   * @param request - the job as handed in
   * @param route - its queue
   * @param step - its only step
   * @param leftMs - time until the client gives up, in milliseconds
   * @returns a job with all tasks waiting
   */
  static create(request: JobRequest, route: Route, step: Step, leftMs: number): ActiveJob {
    return new ActiveJob(request, route, step, performance.now() + leftMs);
  }

  get id(): string {
    return this.request.id;
  }

  /** True until the job is answered. */
  get isOpen(): boolean {
    return this.outcome === undefined;
  }

  get isDone(): boolean {
    return this.doneCount === this.tasks.length;
  }

  /** Indexes of the tasks that wait for a worker. */
  get waiting(): number[] {
    return [...this.tasks.keys()].filter((index) => this.tasks[index]?.state.type === 'waiting');
  }

  /**
   * Monotonic time of the latency objective, in milliseconds: it is set by the work itself, not by
   * how fast the workers at hand are.
   */
  get objectiveAt(): number {
    const { route, step } = this;
    return this.arrivedAt + route.stretch * step.estimateMs + route.targetLatencyMs;
  }

  /** True when a run has started or may yet. */
  get isTouched(): boolean {
    return this.mayHaveRun || this.tasks.some(({ state }) => state.type === 'assigned');
  }

  /** Names of the agents that have runs of the job. */
  get agents(): string[] {
    const names = this.tasks.flatMap(({ state }) =>
      state.type === 'assigned' ? [state.agent] : [],
    );
    return [...new Set(names)];
  }

  /**
   * Notes a new run of a task.
   *
   * @param index - the task
   * @param agent - agent that is asked
   * @returns number of the run
   */
  assign(index: number, agent: string): number {
    const task = this.tasks[index];
    if (!task) return 0;
    task.run += 1;
    task.state = { type: 'assigned', agent, run: task.run };
    return task.run;
  }

  /**
   * @param index - the task
   * @param agent - agent that reports
   * @param run - number of the run
   * @returns true when this run is the task's present one
   */
  isAssigned(index: number, agent: string, run: number): boolean {
    const state = this.tasks[index]?.state;
    return state?.type === 'assigned' && state.agent === agent && state.run === run;
  }

  /** Puts a task back in line. */
  requeue(index: number): void {
    const task = this.tasks[index];
    if (task) task.state = { type: 'waiting' };
  }

  /** Raises a task's run number above those that a worker may have seen from another entry. */
  skipRuns(index: number): void {
    const task = this.tasks[index];
    if (task) task.run *= 2;
  }

  /** Notes that a task is done. */
  finish(index: number): void {
    const task = this.tasks[index];
    if (!task || task.state.type === 'done') return;
    task.state = { type: 'done' };
    this.doneCount += 1;
  }

  /**
   * Waits for the outcome.
   *
   * @returns the outcome
   */
  wait(): Promise<JobOutcome> {
    if (this.outcome) return Promise.resolve(this.outcome);
    return new Promise((resolve) => {
      this.waiters.push(resolve);
    });
  }

  /**
   * Answers the job.
   *
   * @param outcome - the final outcome
   */
  settle(outcome: JobOutcome): void {
    if (this.outcome) return;
    this.outcome = outcome;
    this.waiters.splice(0).forEach((resolve) => resolve(outcome));
  }
}
