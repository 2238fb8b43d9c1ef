import * as fc from 'fast-check';
import { ActiveJob } from '../src/ActiveJob';
import { sortWaitingJobs } from '../src/sortWaitingJobs';
import { testRoute } from './support';

/** A job that has waited for `ageMs` and takes `runMs`. */
type PlannedJob = { ageMs: number; runMs: number; priority: number };

const plannedJob: fc.Arbitrary<PlannedJob> = fc.record({
  ageMs: fc.integer({ min: 0, max: 1_500 }),
  runMs: fc.integer({ min: 10, max: 1_000 }),
  priority: fc.integer({ min: 0, max: 2 }),
});

const createJob = ({ ageMs, runMs, priority }: PlannedJob, now: number): ActiveJob => {
  const needs = { cpu: 1_000, memoryMb: 10, accelerators: 0 };
  const step = { count: 1, needs, estimateMs: runMs, after: [], maxPerWorker: 0, traits: [] };
  const request = { id: 'a', spec: '', steps: [step], isBestEffort: true, repeatCount: 0 };
  const job = ActiveJob.create(request, { ...testRoute, priority }, step, 9_000);
  return Object.assign(job, { arrivedAt: now - ageMs });
};

const isLate = ({ objectiveAt, step }: ActiveJob, now: number): boolean =>
  now + step.estimateMs > objectiveAt;

const sort = (jobs: readonly ActiveJob[], now: number) =>
  sortWaitingJobs(jobs, () => 1, now).map(({ job }) => job);

/** Runs the jobs one after the other in the given order and counts those that meet their objective. */
const countInTime = (jobs: readonly ActiveJob[], now: number): number =>
  jobs.reduce(
    ({ at, inTime }, { step, objectiveAt }) => {
      const endsAt = at + step.estimateMs;
      return { at: endsAt, inTime: inTime + Number(endsAt <= objectiveAt) };
    },
    { at: now, inTime: 0 },
  ).inTime;

describe('sortWaitingJobs', () => {
  it('puts jobs that can meet their objective first, then those of higher priority, then the nearest', () => {
    const now = performance.now();
    fc.assert(
      fc.property(fc.array(plannedJob, { maxLength: 12 }), (planned) => {
        const jobs = planned.map((job) => createJob(job, now));
        const sorted = sort(jobs, now);
        expect(new Set(sorted)).toEqual(new Set(jobs));
        sorted.slice(1).forEach((job, index) => {
          const before = sorted[index];
          if (!before) return;
          const keys = (one: ActiveJob) =>
            [Number(isLate(one, now)), one.route.priority, one.objectiveAt] as const;
          const [a, b] = [keys(before), keys(job)];
          const differing = a.findIndex((value, key) => value !== b[key]);
          if (differing >= 0) expect(a[differing]).toBeLessThan(Number(b[differing]));
        });
      }),
    );
  });

  // The load: a crowd after which some jobs are late already. In the order of arrival these run first and
  // make others late.
  it('has more jobs of a crowd in time than the order of arrival', () => {
    const now = performance.now();
    const late = Array.from({ length: 5 }, () => ({ ageMs: 400, runMs: 100, priority: 0 }));
    const fresh = Array.from({ length: 3 }, () => ({ ageMs: 0, runMs: 40, priority: 0 }));
    const jobs = [...late, ...fresh].map((job) => createJob(job, now));
    expect(countInTime(jobs, now)).toBe(0);
    expect(countInTime(sort(jobs, now), now)).toBe(3);
  });
});
