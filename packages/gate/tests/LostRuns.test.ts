import { LostRuns } from '../src/LostRuns';
import type { Run } from '../src/run';

const startsAt = (at: number) => ({ startsAt: at }) as Run;

describe('LostRuns', () => {
  it('reports active and expired runs once, without those admitted after the crash', () => {
    const lostRuns = LostRuns.create();
    const [expired, active, later] = [startsAt(10), startsAt(90), startsAt(110)];
    lostRuns.addExpired([expired]);
    expect(lostRuns.report([active, later], 100)).toEqual([
      { run: active, ageMs: 10 },
      { run: expired, ageMs: 90 },
    ]);
    expect(lostRuns.report([active], 100)).toBeUndefined();
  });

  it('loses nothing with a worker that was only silent', () => {
    const lostRuns = LostRuns.create();
    lostRuns.addExpired([startsAt(10)]);
    lostRuns.clear();
    expect(lostRuns.report([], 100)).toEqual([]);
  });
});
