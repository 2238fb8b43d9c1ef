import type { WorkerView } from '@marjorammast/protocol';
import { FULL_QUEUE_RETENTION_MS } from './constants';

/** What an agent tells of its queue with each view and each answer. */
export type QueueNews = Pick<WorkerView, 'queueMs' | 'queueFullFor'>;

/**
 * What an entry knows of the queue of one agent and has asked of it. Load pattern: all queues are full, many jobs
 * wait, and a dispatch pass follows each end of a run. Without this knowledge the same tasks were declined again
 * with each pass, and one pass sent tasks of all waiting jobs to the same few queues.
 */
export class QueueRequests {
  /** Number of tasks that the agent has been asked to queue and has not answered for. */
  private pendingTasks = 0;

  /** Tasks of this priority and less urgent ones find no place in the queue. */
  private fullFor = Infinity;

  /** Monotonic time at which the agent told so, in milliseconds. */
  private toldAt = -Infinity;

  private constructor() {}

  /** @returns the requests to an agent that has not been asked */
  static create(): QueueRequests {
    return new QueueRequests();
  }

  /**
   * Records what the agent tells of its queue.
   *
   * @param news - what it tells
   * @param now - monotonic time, in milliseconds
   */
  update({ queueFullFor = Infinity }: QueueNews, now: number): void {
    this.fullFor = queueFullFor;
    this.toldAt = now;
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
  openTasks(limit: number, priority: number, now: number): number {
    // The agent tells nobody that its queue has a place again, so that a full one is asked again in the end.
    const isKnown = now - this.toldAt < FULL_QUEUE_RETENTION_MS;
    if (isKnown && priority >= this.fullFor) return 0;
    return Math.max(0, limit - this.pendingTasks);
  }
}
