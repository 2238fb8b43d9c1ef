import { EJECTION_MS, FAILURES_ALLOWED, MAX_EJECTION_MS } from './constants';

/** Whether a worker gets work: `trial` lets one task show that it is sound again. */
export type Soundness = 'sound' | 'trial' | 'ejected';

/**
 * Ejects a worker on which different jobs fail in a row. Failures of one job count once, since the
 * job may be at fault.
 */
export class WorkerHealth {
  private readonly failedJobs = new Set<string>();

  private ejectedUntil = 0;

  private ejectionMs = EJECTION_MS;

  private onTrial = false;

  private constructor(private readonly now: () => number) {}

  /**
   * @param now - monotonic clock, in milliseconds
   * @returns the health of a sound worker
   */
  static create(now: () => number): WorkerHealth {
    return new WorkerHealth(now);
  }

  /** Current judgement. */
  get soundness(): Soundness {
    if (this.now() < this.ejectedUntil) return 'ejected';
    return this.onTrial ? 'trial' : 'sound';
  }

  /** Notes a task that was done. */
  noteDone(): void {
    this.failedJobs.clear();
    this.onTrial = false;
    this.ejectionMs = EJECTION_MS;
  }

  /**
   * Notes a task that failed, stalled or was turned away.
   *
   * @param job - its job
   * @returns true when the worker is ejected by it
   */
  noteFailure(job: string): boolean {
    if (this.soundness === 'ejected') return false;
    this.failedJobs.add(job);
    if (!this.onTrial && this.failedJobs.size < FAILURES_ALLOWED) return false;
    this.ejectedUntil = this.now() + this.ejectionMs;
    this.ejectionMs = Math.min(MAX_EJECTION_MS, this.ejectionMs * 2);
    this.onTrial = true;
    this.failedJobs.clear();
    return true;
  }
}
