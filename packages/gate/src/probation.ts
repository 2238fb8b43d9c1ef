import { PROBATION_MS } from './constants';
import type { Run } from './run';

/**
 * Finds out for how long nothing else is admitted, since a suspected run is about to start or has just
 * started.
 *
 * @param runs - runs that occupy resources of the worker
 * @param now - monotonic time, in milliseconds
 * @returns the remaining time, in milliseconds; 0 when no run is on probation
 */
export const probationRemainingMs = (runs: readonly Run[], now: number): number =>
  Math.max(
    0,
    ...runs
      .filter(({ isSuspect }) => isSuspect)
      .map(({ startsAt }) => startsAt + PROBATION_MS - now),
  );

/**
 * Finds out how long a suspected run is held back. Load pattern: workers that start tasks many times a second
 * while several jobs have a task that crashes its worker. A suspected task that starts just after another
 * one would be blamed for the crash of that one too.
 *
 * @param runs - runs that occupy resources of the worker
 * @param job - job of the suspected run; its other runs do not matter, since the job fails as a whole
 * @param now - monotonic time, in milliseconds
 * @returns time until the runs of other jobs are past the time in which a crash is expected, in milliseconds
 */
export const probationDelay = (runs: readonly Run[], job: string, now: number): number => {
  const endTimes = runs
    .filter(({ task }) => task.job !== job)
    .map(({ startsAt }) => startsAt + PROBATION_MS);
  return Math.max(0, ...endTimes.map((endsAt) => endsAt - now));
};
