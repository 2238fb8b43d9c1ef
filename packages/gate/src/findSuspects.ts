import { PROBATION_MS } from './constants';
import type { LostRun } from './run';

/**
 * Finds the runs that may have crashed their worker: those that had just been started. A run on probation
 * starts apart from those of other jobs, so that the others are not suspected.
 *
 * @param lostRuns - the runs that the worker had
 * @returns the suspected runs
 */
export const findSuspects = (lostRuns: readonly LostRun[]): LostRun[] => {
  const recent = lostRuns.filter(({ ageMs }) => ageMs < PROBATION_MS);
  const onProbation = recent.filter(({ run }) => run.isSuspect);
  return onProbation.length > 0 ? onProbation : recent;
};
