import { MAX_CLOCK_DRIFT } from './constants';

/**
 * A reading of the clock of another process, from which the age of a message is told without comparing two
 * clocks. A reading that was under way for long makes each message look older by that time. Load pattern: an
 * entry that has too little processor time handles answers late; with the newest reading all its assignments
 * would be declined as stale. The reading that took least time is therefore kept.
 */
export class ClockReading {
  private constructor(private reading: { clock: number; at: number }) {}

  /**
   * @param clock - the other process's clock, in milliseconds
   * @returns the first reading
   */
  static create(clock: number): ClockReading {
    return new ClockReading({ clock, at: performance.now() });
  }

  /** The other process's clock, in milliseconds. */
  get clock(): number {
    return this.reading.clock;
  }

  /** Monotonic time of this process at which the reading arrived, in milliseconds. */
  get at(): number {
    return this.reading.at;
  }

  /**
   * Takes a newer reading, unless it was under way for longer than the present one.
   *
   * @param clock - the other process's clock, in milliseconds
   */
  update(clock: number): void {
    const now = performance.now();
    const elapsedMs = now - this.reading.at;
    const expectedClock = this.reading.clock + elapsedMs;
    if (clock >= expectedClock - elapsedMs * MAX_CLOCK_DRIFT) this.reading = { clock, at: now };
  }
}
