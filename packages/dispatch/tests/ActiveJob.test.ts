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
});
