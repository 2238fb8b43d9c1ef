import { QUEUE_ESTIMATE_WINDOW_MS } from './constants';
import type { Step } from './job';

/** Time over which the rate is averaged before an estimate is made, in milliseconds. */
const MIN_OBSERVED_MS = 300;

/**
 * Work of tasks of a step: processor time that they are expected to take.
 *
 * @param step - the step
 * @param tasks - number of its tasks
 * @returns the work, in thousandths of a core times milliseconds
 */
export const workOf = ({ needs, estimateMs }: Step, tasks: number): number =>
  needs.cpu * estimateMs * tasks;

/**
 * Estimates how long queued work waits, from the rate at which this entry has placed work lately while
 * other work was waiting. Load pattern: more work arrives than the workers can take, so that the queue
 * grows, and what is at its end will not start in time.
 */
export class QueueEstimate {
  /** Work placed while other work was waiting, decayed over the window. */
  private placedWork = 0;

  /** Time for which work was waiting, decayed over the window, in milliseconds. */
  private waitingMs = 0;

  private updatedAt = 0;

  private wasWaiting = false;

  private constructor() {}

  /** @returns an estimate without observations */
  static create(): QueueEstimate {
    return new QueueEstimate();
  }

  /**
   * Records the result of one dispatch pass.
   *
   * @param placedWork - work that was placed, in thousandths of a core times milliseconds
   * @param isWaiting - true when other work is still waiting
   * @param now - monotonic time, in milliseconds
   */
  record(placedWork: number, isWaiting: boolean, now: number): void {
    const elapsedMs = now - this.updatedAt;
    const decay = Math.exp(-elapsedMs / QUEUE_ESTIMATE_WINDOW_MS);
    this.updatedAt = now;
    this.placedWork *= decay;
    this.waitingMs *= decay;
    if (this.wasWaiting) {
      this.placedWork += placedWork;
      this.waitingMs += elapsedMs;
    }
    this.wasWaiting = isWaiting;
  }

  /**
   * Records that a dispatch pass found no queued work of this kind, as its jobs have left the queue.
   *
   * @param now - monotonic time, in milliseconds
   */
  recordIdle(now: number): void {
    if (this.wasWaiting) this.record(0, false, now);
  }

  /**
   * Estimates when queued work has been placed. One more job counts as placed than was seen, so that a
   * time in which nothing was placed is taken to go on for about as long, and not forever.
   *
   * @param workAhead - work that is placed before the job, in thousandths of a core times milliseconds
   * @param jobWork - work of the job itself
   * @returns time until the last of it is placed, in milliseconds; `undefined` when too little has been
   * observed for an estimate
   */
  waitMsFor(workAhead: number, jobWork: number): number | undefined {
    if (this.waitingMs < MIN_OBSERVED_MS) return undefined;
    return ((workAhead + jobWork) * this.waitingMs) / Math.max(this.placedWork + jobWork, 1);
  }
}
