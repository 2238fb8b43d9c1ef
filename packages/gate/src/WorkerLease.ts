import { CLOCK_RATE_TOLERANCE, EXPIRY_MARGIN_MS, LEASE_MS } from './constants';

/**
 * The lease that all runs on a worker share. Commands to the worker state the end of the lease on the
 * worker's clock, so this class also estimates that clock.
 */
export class WorkerLease {
  private syncedAt = performance.now();

  /**
   * Monotonic time by which every requested lease has expired and the worker has ended the runs, in
   * milliseconds.
   */
  private expiresAt = 0;

  /** Monotonic time of the last request, in milliseconds. */
  private requestedAt = 0;

  /** End of the last requested lease on the worker's clock, in milliseconds. */
  private requestedEnd = 0;

  private constructor(private clock: number) {}

  /**
   * @param clock - a reading of the worker's clock, in milliseconds
   * @returns a lease that has not been requested yet
   */
  static create(clock: number): WorkerLease {
    return new WorkerLease(clock);
  }

  /** True when every requested lease has expired, even on the slowest clock allowed. */
  get hasExpired(): boolean {
    return performance.now() >= this.expiresAt;
  }

  /** Time until every requested lease has expired, in whole milliseconds. */
  get expiryMs(): number {
    return Math.ceil(this.expiresAt - performance.now());
  }

  /** Monotonic time at which a lease was last requested, in milliseconds; 0 before the first. */
  get extendedAt(): number {
    return this.requestedAt;
  }

  /** End of the lease that was requested last, on the worker's clock, in milliseconds. */
  get end(): number {
    return this.requestedEnd;
  }

  /** Time until the lease that was requested last ends, in milliseconds; negative once it has ended. */
  get remainingMs(): number {
    return this.requestedAt + LEASE_MS - performance.now();
  }

  /**
   * Updates the estimate from a reading of the worker's clock. A reading behind the estimate is
   * ignored.
   *
   * @param clock - the reading, in milliseconds
   */
  syncClock(clock: number): void {
    if (clock < this.workerTime) return;
    this.clock = clock;
    this.syncedAt = performance.now();
  }

  /**
   * Computes the end of a lease that is requested now, for a start or a renewal.
   *
   * @returns the end on the worker's clock, in milliseconds
   */
  extend(): number {
    this.requestedAt = performance.now();
    this.expiresAt = this.requestedAt + LEASE_MS * CLOCK_RATE_TOLERANCE + EXPIRY_MARGIN_MS;
    this.requestedEnd = Math.floor(this.workerTime + LEASE_MS);
    return this.requestedEnd;
  }

  /**
   * Estimate of the worker's clock. It advances at the rate of the slowest clock allowed, so that it is
   * not ahead of the worker's clock, in milliseconds.
   */
  get workerTime(): number {
    return this.clock + (performance.now() - this.syncedAt) / CLOCK_RATE_TOLERANCE;
  }
}
