import { CLOCK_TOLERANCE, LAPSE_SLACK_MS, LEASE_MS } from './constants';

/** The lease of everything that runs on one worker, and the worker's clock that it is told in. */
export class WorkerLease {
  private readAt = performance.now();

  /** Monotonic time at which every lease has certainly ended. */
  private endsAt = 0;

  private constructor(private clock: number) {}

  /**
   * @param clock - a reading of the worker's clock, in milliseconds
   * @returns a lease that was not asked for yet
   */
  static create(clock: number): WorkerLease {
    return new WorkerLease(clock);
  }

  /** True when every lease that was asked for has certainly ended. */
  get hasEnded(): boolean {
    return performance.now() >= this.endsAt;
  }

  /**
   * Takes a reading of the worker's clock; one that is behind is ignored.
   *
   * @param clock - the reading, in milliseconds
   */
  read(clock: number): void {
    if (clock < this.now()) return;
    this.clock = clock;
    this.readAt = performance.now();
  }

  /** @returns end of a new lease on the worker's clock, in milliseconds */
  extend(): number {
    this.endsAt = performance.now() + LEASE_MS * CLOCK_TOLERANCE + LAPSE_SLACK_MS;
    return Math.floor(this.now() + LEASE_MS);
  }

  /** The worker's clock, never ahead of it by more than its own tolerance. */
  private now(): number {
    return this.clock + (performance.now() - this.readAt) / CLOCK_TOLERANCE;
  }
}
