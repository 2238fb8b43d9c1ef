import fc from 'fast-check';
import { WorkerHealth } from '../src/WorkerHealth';

describe('WorkerHealth', () => {
  it('ejects after failures of three different jobs in a row, not of one job', () => {
    const health = WorkerHealth.create(() => 1);
    ['a', 'a', 'a', 'b'].forEach((job) => health.noteFailure(job));
    expect(health.soundness).toBe('sound');
    health.noteFailure('c');
    expect(health.soundness).toBe('ejected');
  });

  it('always comes back to trial, at the latest after the longest ejection', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.boolean(), fc.nat({ max: 9_000 })), { maxLength: 60 }),
        (steps) => {
          let now = 0;
          const health = WorkerHealth.create(() => now);
          steps.forEach(([isDone, pauseMs], index) => {
            now += pauseMs;
            if (isDone && health.soundness !== 'ejected') health.noteDone();
            else health.noteFailure(`job-${index}`);
          });
          now += 8_000;
          expect(health.soundness).not.toBe('ejected');
          health.noteDone();
          expect(health.soundness).toBe('sound');
        },
      ),
      { seed: 71 },
    );
  });
});
