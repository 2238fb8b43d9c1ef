import type { WorkerView } from '@marjorammast/protocol';
import { FULL_QUEUE_RETENTION_MS } from './constants';

/** What an agent reports of its queue with each view and each answer. */
export type QueueReport = Pick<WorkerView, 'queueMs' | 'queueFullFor'>;

/**
 * State of one agent's queue as an entry knows it, with the requests to queue tasks that are under way. Load pattern:
 * all queues are full, many jobs wait, and a dispatch pass follows each end of a run. Without this state each pass
 * would send the same tasks to the same full queues again.
 */
export class QueueRequests {
  /** Number of tasks that the agent has been asked to queue and has not answered for. */
  private pendingTasks = 0;

  /** Tasks of this priority and less urgent ones have no place in the queue. */
  private fullFor = Infinity;

  /** Monotonic time of the latest report, in milliseconds. */
  private reportedAt = -Infinity;

  private constructor() {}

  /** @returns the requests to an agent that has not been asked */
  static create(): QueueRequests {
    return new QueueRequests();
  }

  /**
   * Records a report of the agent.
   *
   * @param report - the report
   * @param now - monotonic time, in milliseconds
   */
  update({ queueFullFor = Infinity }: QueueReport, now: number): void {
    this.fullFor = queueFullFor;
    this.reportedAt = now;
  }

  /**
   * Records tasks that the agent is asked to queue.
   *
   * @param tasks - their number
   */
  send(tasks: number): void {
    this.pendingTasks += tasks;
  }

  /**
   * Records the answer to a request, or that there is none.
   *
   * @param tasks - number of tasks of the request
   */
  settle(tasks: number): void {
    this.pendingTasks -= tasks;
  }

  /**
   * @param limit - number of tasks that may wait at the agent together
   * @param priority - priority of a task's route
   * @param now - monotonic time, in milliseconds
   * @returns the number of such tasks that the agent may be asked to queue now
   */
  remainingTasks(limit: number, priority: number, now: number): number {
    // Agents do not report that their queue has a place again, so a full queue is asked again after a while.
    const isKnown = now - this.reportedAt < FULL_QUEUE_RETENTION_MS;
    if (isKnown && priority >= this.fullFor) return 0;
    return Math.max(0, limit - this.pendingTasks);
  }
}
