import { taskKey } from '@marjorammast/protocol';
import type { TaskId } from '@marjorammast/protocol';
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
  private readonly starts = new Map<string, UnsettledStart>();

  private constructor() {}

  /** @returns no starts */
  static create(): UnsettledStarts {
    return new UnsettledStarts();
  }

  /**
   * Adds a start that was just found to have no answer.
   *
   * @param task - task of the run
   * @param run - number of the run
   * @param worker - incarnation to which the command was sent
   */
  add(task: TaskId, run: number, { born }: WorkerIdentity): void {
    const key = keyOf(task, run);
    // A repeated start goes to the end, so that the oldest are first.
    this.starts.delete(key);
    this.starts.set(key, { task, run, born, unansweredAt: performance.now() });
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

  /** Removes starts whose retention time has passed. */
  expire(): void {
    const oldestKept = performance.now() - UNSETTLED_START_RETENTION_MS;
    [...this.starts]
      .filter(([, { unansweredAt }]) => unansweredAt < oldestKept)
      .forEach(([key]) => this.starts.delete(key));
  }
}
