import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** One job of an experiment; sizes are run times on a worker of slowness 1, in milliseconds. */
export type BenchJob = { atMs: number; sizesMs: number[] };

/** Workers of an experiment. */
export type Fleet = { slowness: number[]; slots: number };

const SMALLEST_MS = 50;
const LARGEST_MS = 1_000;
const MEDIAN_MS = 150;
const SIGMA = 0.8;

/** Share of the tasks that last several seconds, and how long they last. */
const LONG_SHARE = 0.02;
const LONG_MS = 3_000;

/**
 * Creates a seeded source of uniform random numbers below 1.
 *
 * @param seed - the seed
 */
export const createRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};

const normal = (random: () => number): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

const sizeMs = (random: () => number): number => {
  if (random() < LONG_SHARE) return LONG_MS;
  const size = MEDIAN_MS * Math.exp(SIGMA * normal(random));
  return Math.min(LARGEST_MS, Math.max(SMALLEST_MS, size));
};

const taskCount = (random: () => number): number => {
  const kind = random();
  if (kind < 0.6) return 1 + Math.floor(random() * 4);
  if (kind < 0.9) return 5 + Math.floor(random() * 26);
  return 31 + Math.floor(random() * 140);
};

/** Work that a fleet can do, in milliseconds of size for each millisecond. */
export const capacityOf = ({ slowness, slots }: Fleet): number =>
  slowness.reduce((sum, factor) => sum + slots / factor, 0);

/**
 * Draws jobs that arrive at random and load a fleet to a share of its capacity.
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
  const budgetMs = capacityOf(fleet) * load * durationMs;
  let drawnMs = 0;
  while (drawnMs < budgetMs) {
    const sizesMs = Array.from({ length: taskCount(random) }, () => sizeMs(random));
    drawnMs += sizesMs.reduce((sum, size) => sum + size, 0);
    jobs.push({ atMs: random() * durationMs, sizesMs });
  }
  return jobs.sort((a, b) => a.atMs - b.atMs);
};

/**
 * A value below which a share of the values lies.
 *
 * @param values - the values
 * @param share - between 0 and 1
 */
export const quantile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN;
};
