import fc from 'fast-check';
import { WorkerHealth } from '../src/WorkerHealth';

describe('WorkerHealth', () => {
  it('ejects a worker after failures of three different jobs in a row, not after those of one job', () => {
    const health = WorkerHealth.create(() => 1);
    ['a', 'a', 'a', 'b'].forEach((job) => health.recordFailure(job));
    expect(health.state).toBe('healthy');
    health.recordFailure('c');
    expect(health.state).toBe('ejected');
  });

  it('ends every ejection with a trial, at the latest after the maximum length of an ejection', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.boolean(), fc.nat({ max: 9_000 })), { maxLength: 60 }),
        (steps) => {
          let now = 0;
          const health = WorkerHealth.create(() => now);
          steps.forEach(([isSuccess, pauseMs], index) => {
            now += pauseMs;
            if (isSuccess && health.state !== 'ejected') health.recordSuccess();
            else health.recordFailure(`job-${index}`);
          });
          now += 8_000;
          expect(health.state).not.toBe('ejected');
          health.recordSuccess();
          expect(health.state).toBe('healthy');
        },
      ),
      { seed: 71 },
    );
  });
});
