import { EJECTION_MS, EJECTION_FAILURES, MAX_EJECTION_MS } from './constants';

/**
 * Whether a worker gets tasks: a healthy worker gets any number, a worker on trial one at a time until
 * one succeeds, and an ejected worker none.
 */
export type HealthState = 'healthy' | 'trial' | 'ejected';

/**
 * Ejects a worker after failures of different jobs in a row. Failures of one job count once, since the
 * job itself may be the cause.
 */
export class WorkerHealth {
  private readonly failedJobs = new Set<string>();

  private ejectedUntil = 0;

  private ejectionMs = EJECTION_MS;

  private isOnTrial = false;

  private constructor(private readonly now: () => number) {}

  /**
   * @param now - monotonic clock, in milliseconds
   * @returns the health of a worker without failures
   */
  static create(now: () => number): WorkerHealth {
    return new WorkerHealth(now);
  }

  /** Current state. */
  get state(): HealthState {
    if (this.now() < this.ejectedUntil) return 'ejected';
    return this.isOnTrial ? 'trial' : 'healthy';
  }

  /** Time until the end of the present ejection, in milliseconds; 0 or less without one. */
  get ejectionRemainingMs(): number {
    return this.ejectedUntil - this.now();
  }

  /** Records a task that succeeded. */
  recordSuccess(): void {
    this.failedJobs.clear();
    this.isOnTrial = false;
    this.ejectionMs = EJECTION_MS;
  }

  /**
   * Records a task that failed, stalled or was refused because the worker is unhealthy.
   *
   * @param job - job of the task
   * @returns true when this failure ejects the worker
   */
  recordFailure(job: string): boolean {
    if (this.state === 'ejected') return false;
    this.failedJobs.add(job);
    if (!this.isOnTrial && this.failedJobs.size < EJECTION_FAILURES) return false;
    this.ejectedUntil = this.now() + this.ejectionMs;
    this.ejectionMs = Math.min(MAX_EJECTION_MS, this.ejectionMs * 2);
    this.isOnTrial = true;
    this.failedJobs.clear();
    return true;
  }
}
