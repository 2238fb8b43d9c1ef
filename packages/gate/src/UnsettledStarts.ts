import { taskKey } from '@marjorammast/protocol';
import type { TaskId, UnsettledTasks } from '@marjorammast/protocol';
import { UNSETTLED_START_RETENTION_MS } from './constants';
import type { WorkerIdentity } from './WorkerClient';

/** A start that got no answer: the worker, or its next incarnation, may carry it out later. */
export type UnsettledStart = {
  task: TaskId;
  run: number;
  /** Start time of the incarnation to which the command was sent, in milliseconds since the Unix epoch. */
  born: number;
  /** Monotonic time at which the command was found to have no answer, in milliseconds. */
  unansweredAt: number;
};

const keyOf = (task: TaskId, run: number): string => `${taskKey(task)}#${run}`;

/** The starts without an answer that an agent has sent, over all incarnations of its worker. */
export class UnsettledStarts {
  /** By task and run, oldest first. */
  private readonly starts = new Map<string, UnsettledStart>();

  /** @param onAdded - called with each task that has a start without an answer */
  private constructor(private readonly onAdded: (task: TaskId) => void) {}

  /**
   * @param onAdded - called with the task of each start that is added
   * @returns no starts
   */
  static create(onAdded: (task: TaskId) => void): UnsettledStarts {
    return new UnsettledStarts(onAdded);
  }

  /** Tasks of the starts that are not older than the retention time, as pairs of job and task index. */
  get tasks(): UnsettledTasks {
    this.expire();
    return [...this.starts.values()].map(({ task }) => [task.job, task.index]);
  }

  /**
   * Adds a start that has no answer, unless it was added before.
   *
   * @param task - task of the run
   * @param run - number of the run
   * @param worker - incarnation to which the command was sent
   */
  add(task: TaskId, run: number, { born }: WorkerIdentity): void {
    const key = keyOf(task, run);
    if (this.starts.has(key)) return;
    this.expire();
    this.starts.set(key, { task, run, born, unansweredAt: performance.now() });
    this.onAdded(task);
  }

  /**
   * Takes out the start of a run that the worker has listed: it has been carried out.
   *
   * @param task - task of the run
   * @param run - number of the run
   * @returns the start, if it had no answer
   */
  take(task: TaskId, run: number): UnsettledStart | undefined {
    if (this.starts.size === 0) return undefined;
    const key = keyOf(task, run);
    const start = this.starts.get(key);
    this.starts.delete(key);
    return start;
  }

  private expire(): void {
    const oldestKept = performance.now() - UNSETTLED_START_RETENTION_MS;
    [...this.starts]
      .filter(([, { unansweredAt }]) => unansweredAt < oldestKept)
      .forEach(([key]) => this.starts.delete(key));
  }
}
