import { SLOWNESS_WEIGHT } from './constants';
import type { Run } from './WorkerLife';

/** Age from which a run's progress says something, in milliseconds. */
const MIN_AGE_MS = 100;

/** Work that must have been watched before it is judged, in milliseconds. */
const MIN_WATCHED_MS = 800;

/** Jobs whose runs must agree before they are judged: one job's estimate may be far off. */
const MIN_JOBS = 4;

/** Factor to the learned slowness from which a worker counts as slowed down. */
const SLOWED_FACTOR = 2.5;

/** Factor to the learned slowness below which it counts as recovered. */
const RECOVERED_FACTOR = 1.6;

/** Time after which a slowed worker without runs gets some again, in milliseconds. */
const SLOWED_MEMORY_MS = 3_000;

/** Factor to fast workers from which runs are moved away. */
const MOVE_FACTOR = 3;

/** Time that a move costs, in milliseconds. */
const MOVE_COST_MS = 150;

/** How much longer than a whole new run the rest must take before a run is moved. */
const MOVE_MARGIN = 1.3;

const watched = (runs: readonly Run[], now: number): Run[] =>
  runs.filter(({ takenAt, estimateMs }) => now - takenAt >= MIN_AGE_MS && estimateMs > 0);

/** Learns how long a worker takes for its runs, relative to the clients' estimates. */
export class SlownessEstimate {
  /** Logarithm of the learned slowness. */
  private log = 0;

  /** Factor by which the worker is slowed down at present. */
  private slowed = 1;

  private slowedAt = 0;

  private constructor() {}

  /** @returns the estimate for a worker of which nothing is known */
  static create(): SlownessEstimate {
    return new SlownessEstimate();
  }

  /** Run time over estimated run time, to two digits. */
  get value(): number {
    return Number((Math.exp(this.log) * this.slowed).toPrecision(2));
  }

  /**
   * Learns from a finished run.
   *
   * @param ms - its run time in milliseconds
   * @param estimateMs - estimated run time in milliseconds
   */
  noteDone(ms: number, estimateMs: number): void {
    if (estimateMs <= 0 || this.slowed > 1) return;
    const sample = Math.log(Math.max(ms, 1) / estimateMs);
    this.log += SLOWNESS_WEIGHT * (sample - this.log);
  }

  /**
   * Judges by the progress of the present runs whether the worker is slowed down.
   *
   * @param runs - runs at work
   * @param now - monotonic time, in milliseconds
   * @returns true when the judgement has changed
   */
  noteProgress(runs: readonly Run[], now: number): boolean {
    const seen = watched(runs, now);
    if (new Set(seen.map(({ task }) => task.job)).size < MIN_JOBS) return false;
    const watchedMs = seen.reduce((sum, { takenAt }) => sum + now - takenAt, 0);
    if (watchedMs < MIN_WATCHED_MS) return false;
    const doneMs = seen.reduce((sum, run) => sum + (run.percent / 100) * run.estimateMs, 0);
    const current = watchedMs / Math.max(1, doneMs);
    const factor = current / Math.exp(this.log);
    const before = this.slowed;
    this.slowedAt = now;
    if (factor >= SLOWED_FACTOR) this.slowed = factor;
    else if (factor <= RECOVERED_FACTOR) this.slowed = 1;
    return this.slowed !== before;
  }

  /**
   * Forgets a judgement that no run has confirmed for long.
   *
   * @param now - monotonic time, in milliseconds
   */
  expire(now: number): void {
    if (now - this.slowedAt > SLOWED_MEMORY_MS) this.slowed = 1;
  }
}

/**
 * Finds runs that would end sooner if they were begun anew on a fast worker.
 *
 * @param runs - runs at work
 * @param slowness - slowness of this worker
 * @param now - monotonic time, in milliseconds
 * @returns the runs to move
 */
export const findSlowRuns = (runs: readonly Run[], slowness: number, now: number): Run[] =>
  watched(runs, now).filter(({ takenAt, percent, bestSlowness }) => {
    if (slowness < bestSlowness * MOVE_FACTOR || percent < 1) return false;
    const wholeMs = ((now - takenAt) * 100) / percent;
    const leftMs = wholeMs - (now - takenAt);
    const elsewhereMs = (wholeMs * bestSlowness) / slowness;
    return leftMs > MOVE_MARGIN * elsewhereMs + MOVE_COST_MS;
  });
