import { ActiveJob } from '../src/ActiveJob';

const step = {
  count: 2,
  needs: { cpu: 1, memoryMb: 1, accelerators: 0 },
  estimateMs: 100,
  after: [],
  maxPerWorker: 0,
  traits: [],
};

const create = (): ActiveJob =>
  ActiveJob.create(
    { id: 'a', spec: '', steps: [step], isBestEffort: true, repeatCount: 0 },
    {
      name: 'claims',
      host: 'h.example',
      prefix: '/claims/',
      service: 'desk',
      timeoutMs: 1_500,
      targetLatencyMs: 60,
      stretch: 1.6,
      priority: 0,
      attempts: 2,
      needsAdvice: false,
    },
    step,
    1_000,
  );

describe('ActiveJob', () => {
  // A job was refused while one task was declined and the assignment of the other was on its way.
  it('counts as touched while an assignment has no answer', () => {
    const job = create();
    job.assign(0, 'agent');
    job.assign(1, 'other');
    job.requeue(0);
    expect(job.isTouched).toBe(true);
    job.requeue(1);
    expect(job.isTouched).toBe(false);
  });
});
