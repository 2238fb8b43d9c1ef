import type { Route } from '@marjorammast/protocol';
import type { ActiveJob } from './ActiveJob';

/** A waiting job, and whether it misses its latency objective even on a fast worker. */
export type QueuedJob = { job: ActiveJob; isLate: boolean };

/**
 * Orders waiting jobs: those that can still meet their latency objective before those that cannot, then
 * by the priority of their route, then by the time of the objective. Load pattern: a crowd, in which
 * work on jobs that are late anyway would make others late too.
 *
 * @param jobs - the waiting jobs
 * @param bestSlownessOf - returns the slowness of the fast workers of a route's service
 * @param now - monotonic time, in milliseconds
 * @returns the jobs in the order in which they are placed
 */
export const sortWaitingJobs = (
  jobs: Iterable<ActiveJob>,
  bestSlownessOf: (route: Route) => number,
  now: number,
): QueuedJob[] =>
  [...jobs]
    .map((job) => {
      const { objectiveAt, route, step } = job;
      const endsAt = now + step.estimateMs * bestSlownessOf(route);
      return { job, objectiveAt, isLate: endsAt > objectiveAt };
    })
    .sort(
      (a, b) =>
        Number(a.isLate) - Number(b.isLate) ||
        a.job.route.priority - b.job.route.priority ||
        a.objectiveAt - b.objectiveAt,
    )
    .map(({ job, isLate }) => ({ job, isLate }));
