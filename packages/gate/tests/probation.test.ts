import fc from 'fast-check';
import { PROBATION_MS } from '../src/constants';
import { probationDelay, probationRemainingMs } from '../src/probation';
import type { Run } from '../src/run';

const createRun = (job: string, startsAt: number, isSuspect = false): Run =>
  ({ task: { job }, startsAt, isSuspect }) as Run;

const runs = fc.array(
  fc
    .tuple(fc.constantFrom('a', 'b', 'c'), fc.integer({ min: 0, max: 1_000 }), fc.boolean())
    .map((fields) => createRun(...fields)),
);

describe('probation', () => {
  it('lets no run of another job start within the probation time before a suspected one', () => {
    fc.assert(
      fc.property(runs, fc.integer({ min: 0, max: 1_000 }), (others, now) => {
        const startsAt = now + probationDelay(others, 'a', now);
        const neighbours = others.filter((run) => run.startsAt + PROBATION_MS > startsAt);
        expect(neighbours.filter(({ task }) => task.job !== 'a')).toEqual([]);
      }),
    );
  });

  it('lasts from the admission of a suspected run until the probation time after its start', () => {
    const run = createRun('a', 500, true);
    expect(probationRemainingMs([run], 450)).toBe(50 + PROBATION_MS);
    expect(probationRemainingMs([run], 500 + PROBATION_MS - 1)).toBe(1);
    expect(probationRemainingMs([run], 500 + PROBATION_MS)).toBe(0);
    expect(probationRemainingMs([createRun('a', 500)], 500)).toBe(0);
  });
});
