import type { Route } from '@marjorammast/protocol';
import { MAX_DOUBLED_RUN } from './constants';
import type { JobOutcome, JobRequest, Step } from './job';

/** State of one task of an active job. */
export type TaskState =
  | { type: 'waiting' }
  /** A run was assigned to an agent and has not ended. */
  | { type: 'assigned'; agent: string; run: number }
  | { type: 'done' };

type Task = {
  state: TaskState;
  /** Number of the newest run; 0 before the first. */
  run: number;
  failures: number;
  /** Names of the agents on whose workers the task has failed or stalled. */
  avoidedAgents: Set<string>;
};

/** A job that this entry has accepted and not answered. */
export class ActiveJob {
  /** Built on first use, since an entry that forwards the job does not need them. */
  private builtTasks: Task[] | undefined;

  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt = performance.now();

  /** True once an agent has admitted a run, or a run may have started after a failed assignment. */
  mayHaveRun = false;

  /** Name of the entry to which the job was forwarded, unless that entry has declined it. */
  forwardedTo: string | undefined;

  /** Monotonic time before which no task may start, in milliseconds. */
  notBefore = 0;

  /** One function for each submission of the job: true while the submission is certainly still wanted. */
  readonly startGuards = new Set<() => boolean>();

  private doneCount = 0;

  private isHeld = false;

  private readonly waiters: ((outcome: JobOutcome) => void)[] = [];

  private outcome: JobOutcome | undefined;

  private constructor(
    readonly request: JobRequest,
    readonly route: Route,
    readonly step: Step,
    /** Monotonic time of the client's deadline, in milliseconds. */
    readonly deadlineAt: number,
  ) {}

  /**
   * @param request - the job as the client submitted it
   * @param route - route of the job
   * @param step - its only step
   * @param remainingMs - time until the client's deadline, in milliseconds
   * @returns a job of which all tasks are waiting
   */
  static create(request: JobRequest, route: Route, step: Step, remainingMs: number): ActiveJob {
    return new ActiveJob(request, route, step, performance.now() + remainingMs);
  }

  /** Identifier of the job. */
  get id(): string {
    return this.request.id;
  }

  /** The tasks by their index. */
  get tasks(): Task[] {
    this.builtTasks ??= Array.from({ length: this.step.count }, () => ({
      state: { type: 'waiting' },
      run: 0,
      failures: 0,
      avoidedAgents: new Set<string>(),
    }));
    return this.builtTasks;
  }

  /**
   * False while it is not certain that the job is wanted, or while earlier runs of it may be active elsewhere. After
   * a pause the deadline may have passed though its timer has not run yet.
   */
  get mayStart(): boolean {
    const now = performance.now();
    if (this.isHeld || now < this.notBefore || now >= this.deadlineAt) return false;
    return this.startGuards.size === 0 || [...this.startGuards].some((isWanted) => isWanted());
  }

  /** Lets no task start until {@link unhold} is called. */
  hold(): void {
    this.isHeld = true;
  }

  /** Ends {@link hold}. */
  unhold(): void {
    this.isHeld = false;
  }

  /** True until the job is answered. */
  get isOpen(): boolean {
    return this.outcome === undefined;
  }

  /** True when all tasks are done. */
  get isDone(): boolean {
    return this.doneCount === this.tasks.length;
  }

  /** Indexes of the tasks that are not assigned and not done. */
  get waitingTasks(): number[] {
    return [...this.tasks.keys()].filter((index) => this.tasks[index]?.state.type === 'waiting');
  }

  /**
   * Monotonic time of the latency objective, in milliseconds. It follows from the route and the
   * estimated run time, and does not depend on how fast the available workers are.
   */
  get objectiveAt(): number {
    const { route, step } = this;
    return this.arrivedAt + route.stretch * step.estimateMs + route.targetLatencyMs;
  }

  /**
   * True when a run may have started or may still start. Such a job can no longer be refused as if
   * nothing had run.
   */
  get isCommitted(): boolean {
    if (this.mayHaveRun || this.forwardedTo !== undefined) return true;
    return this.tasks.some(({ state }) => state.type === 'assigned');
  }

  /** Names of the agents to which runs of the job are assigned. */
  get agents(): string[] {
    const names = (this.builtTasks ?? []).flatMap(({ state }) =>
      state.type === 'assigned' ? [state.agent] : [],
    );
    return [...new Set(names)];
  }

  /**
   * Assigns a new run of a task to an agent.
   *
   * @param index - index of the task
   * @param agent - name of the agent
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
   * @param index - index of the task
   * @param agent - name of the agent
   * @param run - number of the run
   * @returns true when this run on this agent is the task's current one
   */
  isAssigned(index: number, agent: string, run: number): boolean {
    const state = this.tasks[index]?.state;
    return state?.type === 'assigned' && state.agent === agent && state.run === run;
  }

  /**
   * Marks a task as waiting again.
   *
   * @param index - index of the task
   */
  requeue(index: number): void {
    const task = this.tasks[index];
    if (task) task.state = { type: 'waiting' };
  }

  /**
   * Doubles a task's run number, to raise it above the numbers that a worker may have seen from
   * another entry: a worker refuses a run unless its number is higher. Above a limit the number rises by
   * one, so that it stays an exact integer.
   *
   * @param index - index of the task
   */
  raiseRunNumber(index: number): void {
    const task = this.tasks[index];
    if (task && task.run < MAX_DOUBLED_RUN) task.run *= 2;
  }

  /**
   * Marks a task as done.
   *
   * @param index - index of the task
   */
  markDone(index: number): void {
    const task = this.tasks[index];
    if (!task || task.state.type === 'done') return;
    task.state = { type: 'done' };
    this.doneCount += 1;
  }

  /**
   * Waits until the job is answered.
   *
   * @returns the outcome
   */
  waitForOutcome(): Promise<JobOutcome> {
    if (this.outcome) return Promise.resolve(this.outcome);
    return new Promise((resolve) => {
      this.waiters.push(resolve);
    });
  }

  /**
   * Answers the job, unless it was answered before.
   *
   * @param outcome - the final outcome
   */
  settle(outcome: JobOutcome): void {
    if (this.outcome) return;
    this.outcome = outcome;
    this.waiters.splice(0).forEach((resolve) => resolve(outcome));
  }
}
