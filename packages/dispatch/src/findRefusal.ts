import {
  MAX_RETRY_AFTER_MS,
  MIN_RETRY_AFTER_MS,
  NO_WORKERS_RETRY_AFTER_MS,
  NO_WORKERS_WAIT_SHARE,
} from './constants';
import type { RefusalReason } from './job';

/** What is known of a waiting job of which nothing has run, and of the work ahead of it. */
export type WaitingJob = {
  /** Time since its arrival, in milliseconds. */
  ageMs: number;
  /** Time from its arrival to its latency objective, in milliseconds. */
  objectiveMs: number;
  /** Time in which its last task has to start for the answer to be of use, in milliseconds. */
  startWithinMs: number;
  /** Estimated time until its last task starts, in milliseconds; `undefined` without an estimate. */
  estimatedWaitMs: number | undefined;
  /** True when its service has a worker that takes tasks. */
  hasWorkers: boolean;
};

/** Why a job is refused and when the client may send it again. */
export type Refusal = { reason: RefusalReason; retryAfterMs: number };

/**
 * Decides whether a waiting job is refused. Load pattern: more work arrives than the workers can take,
 * or the workers that a job relied on are lost. A job that cannot start in time is refused as soon as
 * that is known, not when its time is over: its client can go elsewhere, and the queue stays as long as
 * what can still be served.
 *
 * @param job - the job and the work ahead of it
 * @param jitter - uniform random number in [0, 1), which spreads the clients that come back
 * @returns the refusal, or `undefined` while the job may still be served
 */
export const findRefusal = (job: WaitingJob, jitter: number): Refusal | undefined => {
  const { ageMs, objectiveMs, startWithinMs, estimatedWaitMs, hasWorkers } = job;
  if (!hasWorkers && ageMs >= objectiveMs * NO_WORKERS_WAIT_SHARE) {
    return { reason: 'noWorkers', retryAfterMs: NO_WORKERS_RETRY_AFTER_MS * (1 + jitter) };
  }
  const waitMs = estimatedWaitMs ?? 0;
  if (waitMs <= startWithinMs) return undefined;
  // There is room again once the work that waits now has been placed.
  const roomAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
  return { reason: 'noRoom', retryAfterMs: roomAfterMs * (1 + jitter) };
};
