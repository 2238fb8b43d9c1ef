import { SLOWNESS_WEIGHT } from './constants';
import type { Run } from './run';

/** Learns the logarithm of a worker's slowness from its finished runs. */
export type SlownessLearner = {
  /**
   * @param sample - logarithm of the ratio of actual to estimated run time of the newest run
   * @returns logarithm of the learned slowness
   */
  learn: (sample: number) => number;
};

/** How the slowness of a worker is measured. */
export type SlownessMeasure = {
  /** Creates the learner of a worker without finished runs, whose slowness is taken to be 1. */
  createLearner: () => SlownessLearner;
  /** Ratio of the time to the progress of the running runs. Their progress is that of estimated run time. */
  slownessOfRunning: (runs: readonly Run[], now: number) => number;
};

/**
 * Estimated run time of the part of a run that is done.
 *
 * @param run - a running run
 * @returns the time, in milliseconds
 */
export const doneMsOf = ({ percent, estimateMs }: Run): number => (percent / 100) * estimateMs;

/** Measures the slowness with a moving average of all runs. */
export const averageSlowness: SlownessMeasure = {
  createLearner: () => {
    let logSlowness = 0;
    return {
      learn: (sample) => {
        logSlowness += SLOWNESS_WEIGHT * (sample - logSlowness);
        return logSlowness;
      },
    };
  },
  slownessOfRunning: (runs, now) => {
    const observedMs = runs.reduce((sum, { startsAt }) => sum + now - startsAt, 0);
    const doneMs = runs.reduce((sum, run) => sum + doneMsOf(run), 0);
    return observedMs / Math.max(1, doneMs);
  },
};
