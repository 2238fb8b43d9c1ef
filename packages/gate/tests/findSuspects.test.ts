import { PROBATION_MS } from '../src/constants';
import { findSuspects } from '../src/findSuspects';
import type { LostRun } from '../src/run';

const createLostRun = (ageMs: number, isSuspect = false): LostRun =>
  ({ ageMs, run: { isSuspect } }) as LostRun;

describe('findSuspects', () => {
  it('suspects the runs that had just been started', () => {
    const recent = createLostRun(PROBATION_MS - 1);
    expect(findSuspects([createLostRun(PROBATION_MS), recent])).toEqual([recent]);
  });

  it('suspects only the run on probation when there is one', () => {
    const onProbation = createLostRun(20, true);
    expect(findSuspects([createLostRun(30), onProbation])).toEqual([onProbation]);
  });

  it('clears a suspected run once its probation is over', () => {
    const recent = createLostRun(10);
    expect(findSuspects([createLostRun(PROBATION_MS, true), recent])).toEqual([recent]);
  });
});
