import { createTestJob } from './support';

describe('ActiveJob', () => {
  // A job was refused while one task was declined and the assignment of the other was on its way.
  it('counts as touched while an assignment has no answer', () => {
    const job = createTestJob(2, 100);
    job.assign(0, 'agent');
    job.assign(1, 'other');
    job.requeue(0);
    expect(job.isTouched).toBe(true);
    job.requeue(1);
    expect(job.isTouched).toBe(false);
  });
});
