import { taskKey } from '@marjorammast/protocol';
import type { TaskId, UnsettledTasks } from '@marjorammast/protocol';
import { UNSETTLED_START_RETENTION_MS } from './constants';
import type { WorkerIdentity } from './WorkerClient';

/** A start that got no answer: the worker, or its next incarnation, may carry it out later. */
export type UnsettledStart = {
  task: TaskId;
  run: number;
  /** The incarnation to which the command was sent. */
  worker: WorkerIdentity;
  /** Monotonic time at which a command was last found to have no answer, in milliseconds. */
  unansweredAt: number;
  /** True once the worker has listed the run. Another command of the same run may still be on its way. */
  wasListed: boolean;
};

const keyOf = (task: TaskId, run: number): string => `${taskKey(task)}#${run}`;

/** The starts without an answer that an agent has sent, over all incarnations of its worker. */
export class UnsettledStarts {
  /** By task and run, oldest first. */
  private readonly starts = new Map<string, UnsettledStart>();

  /** @param onAdded - called with each task that has a start without an answer */
  private constructor(private readonly onAdded: (task: UnsettledTasks[number]) => void) {}

  /**
   * @param onAdded - called with the task of each start that is added
   * @returns no starts
   */
  static create(onAdded: (task: UnsettledTasks[number]) => void): UnsettledStarts {
    return new UnsettledStarts(onAdded);
  }

  /** Tasks of the starts that are not older than the retention time. */
  get tasks(): UnsettledTasks {
    this.expire();
    return [...this.starts.values()].map(({ task, worker }) => [task.job, task.index, worker.id]);
  }

  /**
   * @param task - task of a run
   * @param run - number of the run
   * @returns true when a start of that run has no answer
   */
  has(task: TaskId, run: number): boolean {
    return this.starts.has(keyOf(task, run));
  }

  /** Finds the tasks that have a start without an answer, by their keys. */
  get taskKeys(): ReadonlySet<string> {
    return new Set([...this.starts.values()].map(({ task }) => taskKey(task)));
  }

  /**
   * Adds a start that has no answer.
   *
   * @param task - task of the run
   * @param run - number of the run
   * @param worker - incarnation to which the command was sent
   */
  add(task: TaskId, run: number, worker: WorkerIdentity): void {
    this.expire();
    const key = keyOf(task, run);
    const known = this.starts.get(key);
    const unansweredAt = performance.now();
    // The newest start is the last, since the oldest are removed first.
    this.starts.delete(key);
    this.starts.set(
      key,
      known ? { ...known, unansweredAt } : { task, run, worker, unansweredAt, wasListed: false },
    );
    if (!known) this.onAdded([task.job, task.index, worker.id]);
  }

  /**
   * Removes the start of a run, which the worker has carried out.
   *
   * @param task - task of the run
   * @param run - number of the run
   */
  remove(task: TaskId, run: number): void {
    this.starts.delete(keyOf(task, run));
  }

  /** Removes all starts: none of them is carried out any more. */
  clear(): void {
    this.starts.clear();
  }

  /**
   * Records that the worker has listed a run.
   *
   * @param task - task of the run
   * @param run - number of the run
   * @returns the start without an answer, the first time that its run is listed
   */
  recordListed(task: TaskId, run: number): UnsettledStart | undefined {
    if (this.starts.size === 0) return undefined;
    const start = this.starts.get(keyOf(task, run));
    if (!start || start.wasListed) return undefined;
    start.wasListed = true;
    return start;
  }

  private expire(): void {
    const oldestKept = performance.now() - UNSETTLED_START_RETENTION_MS;
    for (
      let [oldest] = this.starts;
      oldest && oldest[1].unansweredAt < oldestKept;
      [oldest] = this.starts
    ) {
      this.starts.delete(oldest[0]);
    }
  }
}
