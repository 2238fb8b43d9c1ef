import * as fc from 'fast-check';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { robustSlowness } from '../src/robustSlowness';
import { SlownessEstimate } from '../src/SlownessEstimate';
import { averageSlowness } from '../src/slownessMeasure';
import type { SlownessMeasure } from '../src/slownessMeasure';
import { createTestRun } from './createTestRun';

/** Part of the runs that take {@link STRAGGLER_FACTOR} times as long. */
const STRAGGLER_SHARE = 0.03;

const STRAGGLER_FACTOR = 7;

const ESTIMATE_ERROR = 0.4;

const TASK_DEVIATION = 0.15;

const ESTIMATE_MS = 100;

/** Finished runs of a worker in one replay. */
const RUNS = 400;

const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);

const SLOWNESSES = [0.77, 0.83, 1, 1.8];

/** Run times of a worker over their estimates, of which some are stragglers. */
const createRatios = (slowness: number, seed: number): number[] => {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const spread = (part: number) => 1 + part * (2 * random() - 1);
  return Array.from({ length: RUNS }, () => {
    const factor = random() < STRAGGLER_SHARE ? STRAGGLER_FACTOR : 1;
    return (slowness * factor * spread(TASK_DEVIATION)) / spread(ESTIMATE_ERROR);
  });
};

const replay = (measure: SlownessMeasure, slowness: number, seed: number): number[] => {
  const estimate = SlownessEstimate.create(measure);
  return createRatios(slowness, seed).map((ratio) => {
    estimate.learnFromRun(ratio * ESTIMATE_MS, ESTIMATE_MS);
    return estimate.value;
  });
};

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/** Part of the errors that is smaller than the value returned. */
const quantile = (values: readonly number[], part: number): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length * part)] ?? 0;

const errorsOf = (measure: SlownessMeasure, slowness: number, seed: number): number[] =>
  replay(measure, slowness, seed).map((value) => Math.abs(value / slowness - 1));

/** Errors of the slowness once it is learned, over all replays. */
const settledErrors = (measure: SlownessMeasure): number[] =>
  SLOWNESSES.flatMap((slowness) =>
    SEEDS.flatMap((seed) => errorsOf(measure, slowness, seed).slice(RUNS / 4)),
  );

/** Number of runs after which the slowness of a slow worker is first known to 10 %, averaged over the seeds. */
const runsToTenPercent = (measure: SlownessMeasure): number =>
  mean(SEEDS.map((seed) => errorsOf(measure, 1.8, seed).findIndex((error) => error <= 0.1) + 1));

const jobs = ['a', 'b', 'c', 'd', 'e', 'f'];

describe('robustSlowness', () => {
  // Guards against a worker that looks slow because of a few long runs: 3 of 100 runs take 7 times as long.
  it('knows the slowness better than a moving average while a few runs are long', () => {
    const average = settledErrors(averageSlowness);
    const robust = settledErrors(robustSlowness);
    expect(mean(average)).toBeGreaterThan(0.09);
    expect(mean(robust)).toBeLessThan(0.065);
    expect(quantile(average, 0.95)).toBeGreaterThan(0.25);
    expect(quantile(robust, 0.95)).toBeLessThan(0.16);
  });

  // Guards against a slow worker that gets long tasks after its start, since nobody knows yet that it is slow.
  it('learns the slowness of a new worker in fewer runs than a moving average', () => {
    expect(runsToTenPercent(averageSlowness)).toBeGreaterThan(15);
    expect(runsToTenPercent(robustSlowness)).toBeLessThan(10);
  });

  // Guards against a worker that gets no tasks any more because its first run was long: slowness 3 is the limit.
  it('keeps a worker in use whose first run was long', () => {
    const estimate = SlownessEstimate.create(robustSlowness);
    estimate.learnFromRun(STRAGGLER_FACTOR * ESTIMATE_MS, ESTIMATE_MS);
    expect(estimate.value).toBeLessThan(1.35);
  });

  it('forgets a former speed within as many runs as it looks back', () => {
    const estimate = SlownessEstimate.create(robustSlowness);
    for (let index = 0; index < 100; index += 1) estimate.learnFromRun(200, 100);
    for (let index = 0; index < 32; index += 1) estimate.learnFromRun(80, 100);
    expect(estimate.value).toBe(0.8);
  });

  it('stays within the range of the usual runs, however long a quarter of the recent ones takes', () => {
    const usual = fc.double({ min: 0.5, max: 2, noNaN: true });
    const long = fc.double({ min: 2, max: 1_000, noNaN: true });
    const ratios = fc.tuple(
      fc.array(usual, { minLength: 24, maxLength: 24 }),
      fc.array(long, { minLength: 8, maxLength: 8 }),
    );
    fc.assert(
      fc.property(ratios, fc.infiniteStream(fc.nat()), ([usualRatios, longRatios], order) => {
        const shuffled = [...usualRatios, ...longRatios]
          .map((ratio) => ({ ratio, rank: order.next().value as number }))
          .sort((a, b) => a.rank - b.rank);
        const estimate = SlownessEstimate.create(robustSlowness);
        shuffled.forEach(({ ratio }) => estimate.learnFromRun(ratio * 1_000, 1_000));
        // The value is rounded to two significant digits.
        expect(estimate.value).toBeGreaterThanOrEqual(Math.min(...usualRatios) * 0.95);
        expect(estimate.value).toBeLessThanOrEqual(Math.max(...usualRatios) * 1.05);
      }),
      { seed: 75 },
    );
  });

  // Guards against a healthy worker that counts as slowed down because of runs far past their estimate.
  it('sees no slowdown in the progress of a minority of long runs', () => {
    const usual = jobs.slice(0, 4).map((job) => createTestRun(job, 1_000, 40));
    const long = jobs
      .slice(4)
      .map((job) => ({ ...createTestRun(job, 1_000, 60), startsAt: -3_800 }));
    const runs = [...usual, ...long];
    const average = SlownessEstimate.create();
    expect(average.updateSlowdown(runs, 400)).toBe(true);
    expect(average.value).toBeGreaterThan(3);
    const robust = SlownessEstimate.create(robustSlowness);
    expect(robust.updateSlowdown(runs, 400)).toBe(false);
    expect(robust.value).toBe(1);
  });

  it('sees a slowdown of all runs, and its end', () => {
    const estimate = SlownessEstimate.create(robustSlowness);
    expect(
      estimate.updateSlowdown(
        jobs.map((job) => createTestRun(job, 200, 20)),
        300,
      ),
    ).toBe(true);
    expect(estimate.value).toBeGreaterThan(6);
    expect(
      estimate.updateSlowdown(
        jobs.map((job) => createTestRun(job, 300, 90)),
        300,
      ),
    ).toBe(true);
    expect(estimate.value).toBe(1);
  });
});
