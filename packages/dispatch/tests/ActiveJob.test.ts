import { createTestJob } from './support';

describe('ActiveJob', () => {
  // Guards against refusing a job as if nothing had run while one of its tasks has been declined and
  // the assignment of another has no answer yet.
  it('is committed while an assignment has no answer', () => {
    const job = createTestJob(2, 100);
    job.assign(0, 'agent');
    job.assign(1, 'other');
    job.requeue(0);
    expect(job.isCommitted).toBe(true);
    job.requeue(1);
    expect(job.isCommitted).toBe(false);
  });

  // Guards against a start for a client that has left: after a pause, a pass may run before the timer of the deadline.
  it('starts nothing once its deadline has passed', () => {
    jest.useFakeTimers();
    const job = createTestJob(1, 100);
    jest.advanceTimersByTime(8_999);
    expect(job.mayStart).toBe(true);
    jest.advanceTimersByTime(1);
    expect(job.mayStart).toBe(false);
    jest.useRealTimers();
  });

  // Guards against a number that is no exact integer any more and that no agent accepts.
  it('keeps run numbers exact however often a run does not start', () => {
    const job = createTestJob(1, 100);
    for (let attempt = 0; attempt < 200; attempt += 1) {
      const run = job.assign(0, 'agent');
      expect(Number.isSafeInteger(run)).toBe(true);
      job.raiseRunNumber(0);
      job.requeue(0);
      expect(job.assign(0, 'agent')).toBeGreaterThan(run);
    }
  });
});
