import type { Run } from './run';
import { averageSlowness } from './slownessMeasure';
import type { SlownessLearner, SlownessMeasure } from './slownessMeasure';

/** Age from which the progress of a run is taken into account, in milliseconds. */
const MIN_RUN_AGE_MS = 100;

/** Total age of the observed runs from which they are evaluated, in milliseconds. */
const MIN_OBSERVED_MS = 800;

/** Number of different jobs to observe at least, since the run time estimate of one may be wrong. */
const MIN_OBSERVED_JOBS = 4;

/** Ratio of current to learned slowness from which a worker counts as slowed down. */
const SLOWDOWN_RATIO = 2.5;

/** Ratio of current to learned slowness up to which a slowed worker counts as recovered. */
const RECOVERY_RATIO = 1.6;

/**
 * Time without an evaluation after which a worker no longer counts as slowed down, in milliseconds.
 * Without this limit a slowed worker that has no runs could not be evaluated and might get none.
 */
const SLOWDOWN_EXPIRY_MS = 3_000;

/** Ratio of a worker's slowness to that of fast workers from which its runs may be moved. */
const MOVE_SLOWNESS_RATIO = 3;

/** Time that it takes to move a run to another worker, in milliseconds. */
const MOVE_COST_MS = 150;

/**
 * A run is moved when its remaining time exceeds the time of a whole run on a fast worker, multiplied
 * by this factor, plus {@link MOVE_COST_MS}.
 */
const MOVE_GAIN_FACTOR = 1.3;

const observableRuns = (runs: readonly Run[], now: number): Run[] =>
  runs.filter(({ startsAt, estimateMs }) => now - startsAt >= MIN_RUN_AGE_MS && estimateMs > 0);

/**
 * Estimates the slowness of a worker: the ratio of actual run times to those that the clients
 * estimated. It is learned from finished runs and multiplied by a factor for a present slowdown.
 */
export class SlownessEstimate {
  /** Logarithm of the learned slowness. */
  private logSlowness = 0;

  /** Factor by which the worker is slower at present than learned; 1 without a slowdown. */
  private slowdown = 1;

  private slowdownCheckedAt = 0;

  private readonly learner: SlownessLearner;

  private constructor(private readonly measure: SlownessMeasure) {
    this.learner = measure.createLearner();
  }

  /**
   * @param measure - how the slowness is measured
   * @returns the estimate for a worker without finished runs
   */
  static create(measure: SlownessMeasure = averageSlowness): SlownessEstimate {
    return new SlownessEstimate(measure);
  }

  /** Ratio of actual to estimated run time, to two significant digits. */
  get value(): number {
    return Number((Math.exp(this.logSlowness) * this.slowdown).toPrecision(2));
  }

  /**
   * Updates the learned slowness from a finished run.
   *
   * @param ms - actual run time, in milliseconds
   * @param estimateMs - estimated run time, in milliseconds
   */
  learnFromRun(ms: number, estimateMs: number): void {
    if (estimateMs <= 0 || this.slowdown > 1) return;
    this.logSlowness = this.learner.learn(Math.log(Math.max(ms, 1) / estimateMs));
  }

  /**
   * Determines from the progress of the running runs whether the worker is slowed down.
   *
   * @param runs - running runs
   * @param now - monotonic time, in milliseconds
   * @returns true when the slowdown factor has changed
   */
  updateSlowdown(runs: readonly Run[], now: number): boolean {
    const observed = observableRuns(runs, now);
    if (new Set(observed.map(({ task }) => task.job)).size < MIN_OBSERVED_JOBS) return false;
    const observedMs = observed.reduce((sum, { startsAt }) => sum + now - startsAt, 0);
    if (observedMs < MIN_OBSERVED_MS) return false;
    const currentSlowness = this.measure.slownessOfRunning(observed, now);
    const ratio = currentSlowness / Math.exp(this.logSlowness);
    const previous = this.slowdown;
    this.slowdownCheckedAt = now;
    if (ratio >= SLOWDOWN_RATIO) this.slowdown = ratio;
    else if (ratio <= RECOVERY_RATIO) this.slowdown = 1;
    return this.slowdown !== previous;
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns time until the present slowdown expires unless it is observed again, in milliseconds; 0
   * or less without one
   */
  slowdownRemainingMs(now: number): number {
    return this.slowdown > 1 ? this.slowdownCheckedAt + SLOWDOWN_EXPIRY_MS - now : 0;
  }

  /**
   * Resets the slowdown factor when it has not been evaluated for {@link SLOWDOWN_EXPIRY_MS}.
   *
   * @param now - monotonic time, in milliseconds
   */
  expireSlowdown(now: number): void {
    if (now - this.slowdownCheckedAt >= SLOWDOWN_EXPIRY_MS) this.slowdown = 1;
  }
}

/**
 * Finds runs that would end sooner if they were restarted on a fast worker.
 *
 * @param runs - running runs
 * @param slowness - slowness of this worker
 * @param now - monotonic time, in milliseconds
 * @returns the runs to move
 */
export const findSlowRuns = (runs: readonly Run[], slowness: number, now: number): Run[] =>
  observableRuns(runs, now).filter(({ startsAt, percent, bestSlowness }) => {
    if (slowness < bestSlowness * MOVE_SLOWNESS_RATIO || percent < 1) return false;
    const totalMs = ((now - startsAt) * 100) / percent;
    const remainingMs = totalMs - (now - startsAt);
    const restartedMs = (totalMs * bestSlowness) / slowness;
    return remainingMs > MOVE_GAIN_FACTOR * restartedMs + MOVE_COST_MS;
  });
