import type { Params } from '@marjorammast/protocol';
import { MAX_ASSIGNMENT_AGE_MS } from './constants';
import type { Run } from './run';

/**
 * Creates a run that an agent has just admitted.
 *
 * @param assignment - the assignment of the run's task
 * @param index - index of the task in its step
 * @param run - number of the run
 * @param ownerId - identifies the entry connection that assigned the run
 * @param startDelayMs - time until the worker gets the command to start it, in milliseconds
 * @returns the run, which is not started yet
 */
export const createRun = (
  assignment: Params<'assign'>,
  index: number,
  run: number,
  ownerId: string,
  startDelayMs: number,
): Run => {
  const { job, occurrence, step, route, spec, needs, estimateMs } = assignment;
  const { bestSlowness, isSuspect, hasFailedElsewhere, echo, heldMs } = assignment;
  const startsAt = performance.now() + startDelayMs;
  return {
    task: { job, occurrence, step, index },
    run,
    ownerId,
    route,
    spec,
    needs,
    estimateMs,
    bestSlowness,
    startsAt,
    startBy: echo + heldMs + MAX_ASSIGNMENT_AGE_MS,
    state: startDelayMs > 0 ? 'waiting' : 'starting',
    endIfStopped: 'stopped',
    percent: 0,
    lastProgressAt: startsAt,
    startToken: 0,
    wasStarted: false,
    starts: 0,
    pendingStarts: 0,
    wasListed: false,
    isSuspect,
    hasFailedElsewhere,
    isWanted: true,
  };
};
