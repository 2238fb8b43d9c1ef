import { SlownessEstimate, findSlowRuns } from '../src/SlownessEstimate';
import { createTestRun as run } from './createTestRun';

const jobs = ['a', 'b', 'c', 'd'];

describe('SlownessEstimate', () => {
  it('converges to the ratio of actual to estimated run times', () => {
    const estimate = SlownessEstimate.create();
    for (let index = 0; index < 100; index += 1) estimate.learnFromRun(200, 100);
    expect(estimate.value).toBeCloseTo(2, 1);
  });

  it('detects a slowdown and the recovery from the progress of the runs', () => {
    const estimate = SlownessEstimate.create();
    const slow = jobs.map((job) => run(job, 200, 20));
    expect(estimate.updateSlowdown(slow, 300)).toBe(true);
    expect(estimate.value).toBeGreaterThan(6);
    const recovered = jobs.map((job) => run(job, 300, 90));
    expect(estimate.updateSlowdown(recovered, 300)).toBe(true);
    expect(estimate.value).toBe(1);
  });

  it('detects no slowdown from the wrong estimate of one job', () => {
    const estimate = SlownessEstimate.create();
    const oneJob = Array.from({ length: 8 }, () => run('a', 100, 10));
    expect(estimate.updateSlowdown(oneJob, 500)).toBe(false);
    expect(estimate.value).toBe(1);
  });

  it('ignores progress that is faster than the learned slowness', () => {
    const estimate = SlownessEstimate.create();
    expect(
      estimate.updateSlowdown(
        jobs.map((job) => run(job, 1_000, 99)),
        300,
      ),
    ).toBe(false);
    expect(estimate.value).toBe(1);
  });

  it('resets the slowdown of a worker without runs after some time', () => {
    const estimate = SlownessEstimate.create();
    estimate.updateSlowdown(
      jobs.map((job) => run(job, 200, 20)),
      300,
    );
    estimate.expireSlowdown(3_000);
    expect(estimate.value).toBeGreaterThan(6);
    estimate.expireSlowdown(3_400);
    expect(estimate.value).toBe(1);
  });
});

describe('findSlowRuns', () => {
  it('selects only runs that would end sooner on another worker', () => {
    const early = run('a', 1_000, 5);
    const late = run('b', 1_000, 90);
    expect(findSlowRuns([early, late], 7, 300)).toEqual([early]);
  });

  it('selects no runs of a worker that is about half as fast as the fast workers', () => {
    expect(findSlowRuns([run('a', 1_000, 5)], 2.2, 300)).toEqual([]);
  });
});
