import * as fc from 'fast-check';
import { MIN_STALL_TIMEOUT_MS } from '../src/constants';
import { findStalledRuns } from '../src/findStalledRuns';
import type { Run } from '../src/run';

const createRun = (estimateMs: number, lastProgressAt: number): Run => ({
  task: { job: 'a', occurrence: 0, step: 0, index: 0 },
  run: 1,
  ownerId: 'entry',
  needs: { cpu: 1_000, memoryMb: 10, accelerators: 0 },
  estimateMs,
  bestSlowness: 1,
  startsAt: 0,
  startBy: Infinity,
  state: 'running',
  endIfStopped: 'stopped',
  percent: 10,
  lastProgressAt,
  wasListed: true,
  route: 'claims',
  isSuspect: false,
  hasFailedElsewhere: false,
  spec: '',
  starts: 0,
  pendingStarts: 0,
  wasStarted: true,
  isWanted: true,
  startToken: 0,
});

describe('findStalledRuns', () => {
  it('finds a run only after a fifth of its estimate, and never before the shortest time', () => {
    const ms = fc.integer({ min: 0, max: 20_000 });
    fc.assert(
      fc.property(ms, ms, (estimateMs, idleMs) => {
        const isStalled = idleMs > MIN_STALL_TIMEOUT_MS && idleMs > estimateMs / 5;
        const run = createRun(estimateMs, 0);
        expect(findStalledRuns([run], idleMs)).toEqual(isStalled ? [run] : []);
      }),
    );
  });
});
