import fc from 'fast-check';
import { MAX_LOST_WORKERS_PER_TASK } from '../src/constants';
import { mustWaitForWorkers } from '../src/mustWaitForWorkers';

const count = fc.nat({ max: 2 * MAX_LOST_WORKERS_PER_TASK });

describe('mustWaitForWorkers', () => {
  it('waits only while a lost worker may have crashed and too many would have', () => {
    fc.assert(
      fc.property(count, count, (silent, crashed) => {
        const isTooMany = silent + crashed >= MAX_LOST_WORKERS_PER_TASK;
        expect(mustWaitForWorkers(silent, crashed)).toBe(silent > 0 && isTooMany);
      }),
      { seed: 1 },
    );
  });
});
