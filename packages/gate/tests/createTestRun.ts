import type { Run } from '../src/run';

/**
 * Creates a running run that started at time 0.
 *
 * @param job - identifier of its job
 * @param estimateMs - estimated run time, in milliseconds
 * @param percent - its progress
 * @returns the run
 */
export const createTestRun = (job: string, estimateMs: number, percent: number): Run => ({
  task: { job, occurrence: 0, step: 0, index: 0 },
  run: 1,
  ownerId: 'entry',
  needs: { cpu: 1, memoryMb: 1, accelerators: 0 },
  estimateMs,
  bestSlowness: 1,
  startsAt: 0,
  startBy: Infinity,
  state: 'running',
  endIfStopped: 'stopped',
  percent,
  lastProgressAt: 0,
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
