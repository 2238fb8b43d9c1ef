import type { Params } from '@marjorammast/protocol';
import type { Run } from './run';

/**
 * Creates a run that an agent has just admitted.
 *
 * @param assignment - the assignment of the run's task
 * @param index - index of the task in its step
 * @param run - number of the run
 * @param ownerId - identifies the entry connection that assigned the run
 * @returns the run, which is not started yet
 */
export const createRun = (
  assignment: Params<'assign'>,
  index: number,
  run: number,
  ownerId: string,
): Run => {
  const { job, occurrence, step, route, needs, estimateMs } = assignment;
  const { bestSlowness, isSuspect, hasFailedElsewhere } = assignment;
  const now = performance.now();
  return {
    task: { job, occurrence, step, index },
    run,
    ownerId,
    route,
    needs,
    estimateMs,
    bestSlowness,
    admittedAt: now,
    state: 'starting',
    endIfStopped: 'stopped',
    percent: 0,
    lastProgressAt: now,
    wasStarted: false,
    wasListed: false,
    isSuspect,
    hasFailedElsewhere,
  };
};
