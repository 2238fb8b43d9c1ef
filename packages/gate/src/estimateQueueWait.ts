import { NO_RESOURCES, addResources, fits, subtractResources } from '@marjorammast/protocol';
import type { Resources } from '@marjorammast/protocol';
import type { Run } from './run';

/** What the estimate needs to know of a run. */
export type RunProgress = Pick<Run, 'needs' | 'startsAt' | 'percent' | 'estimateMs'>;

/** Progress from which the run time is extrapolated instead of estimated, in percent. */
const MIN_PERCENT = 20;

/**
 * Expected remaining time of a run past its expected end, as a part of its age. The few runs that take several times
 * their estimate are expected to go on for longer the older they are.
 */
const OVERDUE_SHARE = 1 / 4;

/**
 * @param run - a run
 * @param slowness - slowness of its worker
 * @param now - monotonic time, in milliseconds
 * @returns time until the run is expected to end, in milliseconds
 */
export const expectedRemainingMs = (
  { startsAt, percent, estimateMs }: RunProgress,
  slowness: number,
  now: number,
): number => {
  const ageMs = Math.max(0, now - startsAt);
  const startsInMs = Math.max(0, startsAt - now);
  // The progress is as old as the last list of the runs, so it can only prolong the estimate.
  const extrapolatedMs = percent >= MIN_PERCENT ? (ageMs * 100) / percent : 0;
  const remainingMs = Math.max(estimateMs * slowness, extrapolatedMs) - ageMs;
  return startsInMs + (remainingMs > 0 ? remainingMs : ageMs * OVERDUE_SHARE);
};

/**
 * @param runs - the runs of a worker
 * @returns resources that a run needs on average; none without runs
 */
export const meanNeeds = (runs: readonly Pick<Run, 'needs'>[]): Resources => {
  const sum = runs.reduce((total, { needs }) => addResources(total, needs), NO_RESOURCES);
  const count = Math.max(1, runs.length);
  return {
    cpu: sum.cpu / count,
    memoryMb: sum.memoryMb / count,
    accelerators: sum.accelerators / count,
  };
};

/** State of a worker, and the tasks that wait for it. */
export type QueueState = {
  runs: readonly RunProgress[];
  free: Resources;
  /** Resources that the tasks that start before the new one need together. */
  needsAhead: Resources;
  /** Resources that the new task needs. */
  needs: Resources;
  slowness: number;
};

/**
 * Estimates how long a task that is queued now would wait. Load pattern: all workers are full, and entries choose
 * the queues in which their tasks start first.
 *
 * @param state - state of the worker and the queue
 * @param now - monotonic time, in milliseconds
 * @returns the wait in milliseconds; 0 when there is room, `Infinity` when the runs do not make room for it
 */
export const estimateQueueWait = (
  { runs, free, needsAhead, needs, slowness }: QueueState,
  now: number,
): number => {
  let rest = subtractResources(free, needsAhead);
  if (fits(needs, rest)) return 0;
  const ends = runs
    .map((run) => ({ needs: run.needs, inMs: expectedRemainingMs(run, slowness, now) }))
    .sort((a, b) => a.inMs - b.inMs);
  const lastEnd = ends.find((end) => {
    rest = addResources(rest, end.needs);
    return fits(needs, rest);
  });
  return lastEnd ? Math.round(lastEnd.inMs) : Infinity;
};
