/** Part of the fast capacity that is free, below which it is scarce. */
export const SCARCE_FREE_SHARE = 0.15;

/** Part of the fast capacity that is free, from which a scarcity ends. */
export const AMPLE_FREE_SHARE = 0.3;

/**
 * Time for which free capacity counts as scarce after the last sign of it, in milliseconds. It bridges the time
 * between two passes and the changes of free capacity from one run to the next.
 */
export const SCARCITY_HOLD_MS = 300;

/** Change of the state of a service. */
export type ScarcityChange = {
  isScarce: boolean;
  /** Time for which free capacity had been scarce, in milliseconds; 0 when the scarcity begins. */
  durationMs: number;
};

/**
 * Tells whether free capacity on the fast workers of a service is scarce. Load pattern: tasks that need a fast
 * worker come faster than the fast workers finish them, beside short tasks that would meet their latency objective on
 * idle slower workers. The state is that of one entry; it ends by itself when there are no more signs.
 */
export class ScarceRoom {
  /** Time at which the present or last scarcity began, in milliseconds. */
  private startedAt = 0;

  /** Time of the last sign, in milliseconds. */
  private lastSignAt = -Infinity;

  private wasScarce = false;

  private constructor() {}

  /** @returns the state of a service whose fast workers have enough free capacity */
  static create(): ScarceRoom {
    return new ScarceRoom();
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns true while free capacity on fast workers is scarce
   */
  isScarce(now: number): boolean {
    return now - this.lastSignAt < SCARCITY_HOLD_MS;
  }

  /**
   * Records how much fast capacity is free at the beginning of a dispatch pass.
   *
   * @param freeShare - free part of the capacity of the fast workers, from 0 to 1
   * @param now - monotonic time, in milliseconds
   * @returns the change since the last pass, if there was one
   */
  recordFreeShare(freeShare: number, now: number): ScarcityChange | undefined {
    const limit = this.isScarce(now) ? AMPLE_FREE_SHARE : SCARCE_FREE_SHARE;
    if (freeShare < limit) this.recordSign(now);
    const isScarce = this.isScarce(now);
    if (isScarce === this.wasScarce) return undefined;
    this.wasScarce = isScarce;
    const durationMs = isScarce ? 0 : this.lastSignAt + SCARCITY_HOLD_MS - this.startedAt;
    return { isScarce, durationMs };
  }

  /**
   * Records that a job still waits at the end of a dispatch pass.
   *
   * @param now - monotonic time, in milliseconds
   */
  recordWaiting(now: number): void {
    this.recordSign(now);
  }

  private recordSign(now: number): void {
    if (!this.isScarce(now)) this.startedAt = now;
    this.lastSignAt = now;
  }
}
