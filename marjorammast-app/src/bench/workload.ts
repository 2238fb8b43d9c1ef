import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/**
 * A job of an experiment. `atMs` is its time of arrival, `sizesMs` are the run times of its tasks on a
 * worker of slowness 1, in milliseconds.
 */
export type BenchJob = { atMs: number; sizesMs: number[] };

/** Workers of an experiment: the slowness of each worker and the number of slots of every worker. */
export type Fleet = { slowness: number[]; slots: number };

/** Parameters of the log-normal distribution of the task sizes, and its limits in milliseconds. */
const MIN_SIZE_MS = 50;
const MAX_SIZE_MS = 1_000;
const MEDIAN_SIZE_MS = 150;
const SIGMA = 0.8;

/** Share of long tasks, and their size in milliseconds. */
const LONG_SHARE = 0.02;
const LONG_SIZE_MS = 3_000;

/**
 * Creates a seeded source of uniform random numbers from 0 to below 1.
 *
 * @param seed - the seed
 * @returns a function that draws the next number
 */
export const createRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};

const drawNormal = (random: () => number): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

const drawSizeMs = (random: () => number): number => {
  if (random() < LONG_SHARE) return LONG_SIZE_MS;
  const size = MEDIAN_SIZE_MS * Math.exp(SIGMA * drawNormal(random));
  return Math.min(MAX_SIZE_MS, Math.max(MIN_SIZE_MS, size));
};

const drawTaskCount = (random: () => number): number => {
  const draw = random();
  if (draw < 0.6) return 1 + Math.floor(random() * 4);
  if (draw < 0.9) return 5 + Math.floor(random() * 26);
  return 31 + Math.floor(random() * 140);
};

/** Capacity of a fleet, in milliseconds of task size per millisecond. */
export const capacityOf = ({ slowness, slots }: Fleet): number =>
  slowness.reduce((sum, factor) => sum + slots / factor, 0);

/**
 * Draws jobs with random times of arrival whose tasks load a fleet to a share of its capacity.
 *
 * @param seed - seed of the draw
 * @param fleet - the workers
 * @param load - share of the capacity
 * @param durationMs - time over which jobs arrive
 * @returns the jobs in order of arrival
 */
export const drawJobs = (
  seed: number,
  fleet: Fleet,
  load: number,
  durationMs: number,
): BenchJob[] => {
  const random = createRandom(seed);
  const jobs: BenchJob[] = [];
  const totalSizeMs = capacityOf(fleet) * load * durationMs;
  let drawnSizeMs = 0;
  while (drawnSizeMs < totalSizeMs) {
    const sizesMs = Array.from({ length: drawTaskCount(random) }, () => drawSizeMs(random));
    drawnSizeMs += sizesMs.reduce((sum, size) => sum + size, 0);
    jobs.push({ atMs: random() * durationMs, sizesMs });
  }
  return jobs.sort((a, b) => a.atMs - b.atMs);
};

/**
 * Computes a quantile.
 *
 * @param values - the values
 * @param share - share of the values that lie below the quantile, from 0 to 1
 * @returns the quantile; `NaN` without values
 */
export const quantile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN;
};
