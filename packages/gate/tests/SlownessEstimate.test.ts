import { SlownessEstimate, findSlowRuns } from '../src/SlownessEstimate';
import type { Run } from '../src/WorkerLife';

const run = (job: string, estimateMs: number, percent: number): Run => ({
  task: { job, occurrence: 0, step: 0, index: 0 },
  run: 1,
  owner: 'entry',
  needs: { cpu: 1, memoryMb: 1, accelerators: 0 },
  estimateMs,
  bestSlowness: 1,
  takenAt: 0,
  state: 'running',
  stopAs: 'stopped',
  percent,
  progressAt: 0,
  isListed: true,
});

const jobs = ['a', 'b', 'c', 'd'];

describe('SlownessEstimate', () => {
  it('follows run times over estimates', () => {
    const estimate = SlownessEstimate.create();
    for (let index = 0; index < 100; index += 1) estimate.noteDone(200, 100);
    expect(estimate.value).toBeCloseTo(2, 1);
  });

  it('sees a worker that slows down from the progress of its runs, and its recovery', () => {
    const estimate = SlownessEstimate.create();
    const slow = jobs.map((job) => run(job, 200, 20));
    expect(estimate.noteProgress(slow, 300)).toBe(true);
    expect(estimate.value).toBeGreaterThan(6);
    const well = jobs.map((job) => run(job, 300, 90));
    expect(estimate.noteProgress(well, 300)).toBe(true);
    expect(estimate.value).toBe(1);
  });

  it('does not judge by the wrong estimate of one job', () => {
    const estimate = SlownessEstimate.create();
    const oneJob = Array.from({ length: 8 }, () => run('a', 100, 10));
    expect(estimate.noteProgress(oneJob, 500)).toBe(false);
    expect(estimate.value).toBe(1);
  });

  it('never judges a worker to be faster than learned', () => {
    const estimate = SlownessEstimate.create();
    expect(
      estimate.noteProgress(
        jobs.map((job) => run(job, 1_000, 99)),
        300,
      ),
    ).toBe(false);
    expect(estimate.value).toBe(1);
  });

  it('gives a slowed worker without runs another chance', () => {
    const estimate = SlownessEstimate.create();
    estimate.noteProgress(
      jobs.map((job) => run(job, 200, 20)),
      300,
    );
    estimate.expire(3_000);
    expect(estimate.value).toBeGreaterThan(6);
    estimate.expire(3_400);
    expect(estimate.value).toBe(1);
  });
});

describe('findSlowRuns', () => {
  it('moves only runs that end sooner elsewhere', () => {
    const early = run('a', 1_000, 5);
    const late = run('b', 1_000, 90);
    expect(findSlowRuns([early, late], 7, 300)).toEqual([early]);
  });

  it('moves nothing off a worker that is only half as fast', () => {
    expect(findSlowRuns([run('a', 1_000, 5)], 2.2, 300)).toEqual([]);
  });
});
