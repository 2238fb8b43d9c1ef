import { createRandomPlacement, placeFastest } from '@marjorammast/entry';
import type { Placement } from '@marjorammast/entry';
import { sleep } from '@marjorammast/protocol';
import { createBaselines, omniscient, simulate } from './baselines';
import { BENCH_KIND, BENCH_TEAM, LocalSystem } from './LocalSystem';
import { createRandom, drawJobs, quantile } from './workload';
import type { BenchJob, Fleet } from './workload';

const WORKERS = 11;
const SLOTS = 8;

/** Ratio of the slowness of the slowest worker to that of the fastest. */
const SLOWNESS_RATIO = 8;

/** Loads as shares of the capacity of the workers. */
const LOADS = [0.5, 0.8, 0.95] as const;

/** Time over which jobs arrive, in milliseconds. */
const DURATION_MS = 20_000;

/**
 * Jobs that arrive in this time, in milliseconds, are not counted: the entries learn the speeds of the
 * workers from them.
 */
const WARM_UP_MS = 5_000;

const ENTRIES = 2;

const DEADLINE_MS = 60_000;

const NOT_AFTER_MS = 110_000;

const fleet: Fleet = {
  slowness: Array.from(
    { length: WORKERS },
    (_, index) => SLOWNESS_RATIO ** (index / (WORKERS - 1)),
  ),
  slots: SLOTS,
};

/**
 * Quantiles of the response times relative to those of the omniscient scheduler, and the number of
 * messages per task beyond those that it needs.
 */
type Figures = { p50ToIdeal: number; p99ToIdeal: number; wastedPerTask?: number };

const compare = (
  jobs: readonly BenchJob[],
  responses: readonly number[],
  idealResponses: readonly number[],
): Figures => {
  const afterWarmUp = (values: readonly number[]) =>
    values.filter((_, index) => (jobs[index]?.atMs ?? 0) >= WARM_UP_MS);
  const ratio = (share: number) =>
    quantile(afterWarmUp(responses), share) / quantile(afterWarmUp(idealResponses), share);
  return { p50ToIdeal: ratio(0.5), p99ToIdeal: ratio(0.99) };
};

/** Runs the jobs in real time on real entries and agents. */
const runOnLocalSystem = async (
  jobs: readonly BenchJob[],
  place: Placement,
): Promise<{ responses: number[]; wastedPerTask: number }> => {
  const system = await LocalSystem.create({
    entries: ENTRIES,
    agents: WORKERS,
    slots: SLOTS,
    place,
    run: async (agent, payload) => {
      await sleep(Number(payload) * (fleet.slowness[agent] ?? 1));
      return '';
    },
  });
  const messagesBefore = system.messages;
  const startedAt = performance.now();
  const responses = await Promise.all(
    jobs.map(async ({ atMs, sizesMs }, index) => {
      await sleep(startedAt + atMs - performance.now());
      const sentAt = performance.now();
      const answer = await system.entries[index % ENTRIES]?.submit(
        {
          key: `job-${index}`,
          team: BENCH_TEAM,
          kind: BENCH_KIND,
          tasks: sizesMs.map((size) => ({ payload: size })),
          urgent: false,
          deadlineMs: DEADLINE_MS,
          notAfter: Date.now() + NOT_AFTER_MS,
          idempotent: false,
        },
        true,
      );
      if (answer?.type !== 'complete') throw new Error(`job ${index}: ${JSON.stringify(answer)}`);
      return performance.now() - sentAt;
    }),
  );
  const tasks = jobs.reduce((sum, { sizesMs }) => sum + sizesMs.length, 0);
  // A task needs two messages, its start and its result. With two entries, half of the jobs arrive at
  // an entry that does not own them, which takes two further messages per job.
  const neededMessages = 2 * tasks + 2 * jobs.length * (1 - 1 / ENTRIES);
  const wastedPerTask = Math.max(0, system.messages - messagesBefore - neededMessages) / tasks;
  system.stop();
  return { responses, wastedPerTask };
};

const round = (value: number): number => Math.round(value * 1_000) / 1_000;

const rounded = (figures: Figures): Figures =>
  Object.fromEntries(Object.entries(figures).map(([key, value]) => [key, round(value)])) as Figures;

/**
 * Compares placement policies with an omniscient scheduler on the same workers and arrivals. That
 * scheduler knows every size and speed. It places the largest task of a job first, and each task on
 * the worker on which it ends first.
 *
 * @param seed - seed of the arrivals
 * @returns the results by load and policy
 */
export const runPlacement = async (seed: number): Promise<Record<string, unknown>> => {
  const loads: Record<string, Record<string, Figures>> = {};
  for (let index = 0; index < LOADS.length; index += 1) {
    const load = LOADS[index] ?? 0;
    const jobs = drawJobs(seed, fleet, load, DURATION_MS);
    const idealResponses = simulate(jobs, fleet, omniscient, true);
    const figures: Record<string, Figures> = {};
    Object.entries(createBaselines(createRandom(seed + 1))).forEach(([name, choose]) => {
      figures[name] = rounded(compare(jobs, simulate(jobs, fleet, choose), idealResponses));
    });
    const fastest = await runOnLocalSystem(jobs, placeFastest);
    figures['ours'] = rounded({
      ...compare(jobs, fastest.responses, idealResponses),
      wastedPerTask: fastest.wastedPerTask,
    });
    const anyIdle = await runOnLocalSystem(jobs, createRandomPlacement(createRandom(seed + 2)));
    figures['oursAnyIdleSlot'] = rounded({
      ...compare(jobs, anyIdle.responses, idealResponses),
      wastedPerTask: anyIdle.wastedPerTask,
    });
    loads[String(load)] = figures;
  }
  return { workers: WORKERS, slots: SLOTS, spread: SLOWNESS_RATIO, durationMs: DURATION_MS, loads };
};
