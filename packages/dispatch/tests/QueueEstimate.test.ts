import { findRefusal } from '../src/findRefusal';
import { QueueEstimate } from '../src/QueueEstimate';

/** A crowd: jobs of equal work arrive faster than the workers take them. */
const CROWD = { jobsPerS: 200, servedPerS: 100, work: 1_000, objectiveMs: 200, runMs: 60 };

/** Latest useful start of a job, counted from its arrival, in milliseconds. */
const START_WITHIN_MS = 3 * CROWD.objectiveMs - CROWD.runMs;

/**
 * Replays the crowd for four seconds in steps of 10 ms. Jobs are served in the order of their arrival.
 *
 * @param isEstimateUsed - false for the naive rule, which refuses a job only when its time is over
 * @returns time for which each refused job was held, and number of jobs served
 */
const replayCrowd = (isEstimateUsed: boolean) => {
  const estimate = QueueEstimate.create();
  const heldMs: number[] = [];
  let queue: number[] = [];
  let served = 0;
  for (let now = 0; now < 4_000; now += 10) {
    queue.push(...Array<number>((CROWD.jobsPerS * 10) / 1_000).fill(now));
    const started = queue.splice(0, (CROWD.servedPerS * 10) / 1_000);
    served += started.length;
    estimate.record(started.length * CROWD.work, queue.length > 0, now);
    queue = queue.filter((arrivedAt, index) => {
      const ageMs = now - arrivedAt;
      const waitMs = estimate.waitMsFor(index * CROWD.work, CROWD.work);
      const refusal = findRefusal(
        {
          ageMs,
          objectiveMs: CROWD.objectiveMs,
          startWithinMs: START_WITHIN_MS - ageMs,
          estimatedWaitMs: isEstimateUsed ? waitMs : undefined,
          hasWorkers: true,
        },
        0,
      );
      if (refusal) heldMs.push(ageMs);
      return !refusal;
    });
  }
  return { heldMs, served };
};

const mean = (values: readonly number[]) =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

describe('QueueEstimate', () => {
  it('makes no estimate before it has seen work wait', () => {
    const estimate = QueueEstimate.create();
    estimate.record(1_000, false, 0);
    estimate.record(1_000, false, 500);
    expect(estimate.waitMsFor(0, 1_000)).toBeUndefined();
  });

  it('estimates the wait from the rate at which work is placed while other work waits', () => {
    const estimate = QueueEstimate.create();
    for (let now = 0; now <= 1_000; now += 10) estimate.record(50, true, now);
    expect(estimate.waitMsFor(1_000, 1)).toBeCloseTo(200, -1);
  });

  // Guards against an estimate of days (and a time to retry of days) after a second in which all workers
  // were lost (further, scale-2, 2026-12-04).
  it('takes a time in which nothing is placed to go on for about as long', () => {
    const estimate = QueueEstimate.create();
    for (let now = 0; now <= 500; now += 10) estimate.record(0, true, now);
    expect(estimate.waitMsFor(0, 1_000)).toBeGreaterThan(300);
    expect(estimate.waitMsFor(0, 1_000)).toBeLessThan(700);
    expect(estimate.waitMsFor(3_000, 1_000)).toBeLessThan(2_800);
  });

  // Guards against refusals of the first jobs after a pause, which was taken for a wait.
  it('does not count the time in which nothing was queued', () => {
    const estimate = QueueEstimate.create();
    for (let now = 0; now <= 100; now += 10) estimate.record(50, true, now);
    estimate.recordIdle(110);
    estimate.record(50, true, 6_000);
    estimate.record(50, true, 6_010);
    expect(estimate.waitMsFor(1_000, 1)).toBeUndefined();
  });

  it('has jobs of a crowd refused far sooner than at the end of their time, and serves no fewer', () => {
    const naive = replayCrowd(false);
    const estimated = replayCrowd(true);
    expect(mean(naive.heldMs)).toBeGreaterThanOrEqual(START_WITHIN_MS);
    expect(mean(estimated.heldMs)).toBeLessThan(START_WITHIN_MS / 4);
    expect(estimated.served).toBe(naive.served);
  });
});
