import type { SlownessMeasure } from './slownessMeasure';
import { doneMsOf } from './slownessMeasure';

/** Number of recent runs from which the slowness is learned. */
const RECENT_RUNS = 32;

/**
 * Number of runs of slowness 1 that a worker is assumed to have had before its first one. Without them, a single long
 * first run would make the worker look too slow to get others. They have no influence after six runs.
 */
const ASSUMED_RUNS = 2;

/** Part of the runs that is left out at each end of their order. */
const TRIMMED_SHARE = 1 / 4;

/** Mean of the middle half of the samples; of up to two samples, the mean of all. */
const midmeanOf = (samples: readonly number[]): number => {
  const { length } = samples;
  const trimmed = Math.min(Math.ceil(length * TRIMMED_SHARE), Math.floor((length - 1) / 2));
  const middle = [...samples].sort((a, b) => a - b).slice(trimmed, length - trimmed);
  return middle.reduce((sum, sample) => sum + sample, 0) / middle.length;
};

const medianOf = (values: readonly number[]): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 1;
};

/**
 * Measures the slowness with the middle half of the recent runs. Load pattern: a few runs take several times their
 * estimate. Since they last longer than others, up to a third of a worker's present runs may be such. They do not
 * show how fast the worker is.
 */
export const robustSlowness: SlownessMeasure = {
  createLearner: () => {
    let samples = Array.from({ length: ASSUMED_RUNS }, () => 0);
    return {
      learn: (sample) => {
        samples = [...samples, sample].slice(-RECENT_RUNS);
        return midmeanOf(samples);
      },
    };
  },
  slownessOfRunning: (runs, now) =>
    medianOf(runs.map((run) => (now - run.startsAt) / Math.max(1, doneMsOf(run)))),
};
