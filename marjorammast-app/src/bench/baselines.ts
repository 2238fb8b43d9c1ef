import type { BenchJob, Fleet } from './workload';

/** Times at which the slots of each worker become free, in milliseconds. */
type SlotFreeTimes = number[][];

/** End times of the outstanding tasks of each worker, in milliseconds. */
type TaskEndTimes = number[][];

/** Chooses the worker of a task on its arrival and returns the worker's index. */
export type PlacementPolicy = (view: {
  /** Time of arrival, in milliseconds. */
  nowMs: number;
  /** Run time of the task on a worker of slowness 1, in milliseconds. */
  sizeMs: number;
  slots: SlotFreeTimes;
  ends: TaskEndTimes;
  slowness: readonly number[];
  /** Number of tasks that were placed before. */
  turn: number;
}) => number;

const indexOfLeast = (values: readonly number[]): number =>
  values.reduce((best, value, index) => (value < (values[best] ?? Infinity) ? index : best), 0);

const countOutstanding = (ends: TaskEndTimes, worker: number, nowMs: number): number =>
  (ends[worker] ?? []).filter((end) => end > nowMs).length;

/**
 * Creates the baseline policies. Each binds a task to a worker on arrival and knows neither sizes nor
 * speeds.
 *
 * @param random - uniform random numbers from 0 to below 1
 * @returns the policies by name
 */
export const createBaselines = (random: () => number): Record<string, PlacementPolicy> => ({
  random: ({ slots }) => Math.floor(random() * slots.length),
  roundRobin: ({ slots, turn }) => turn % slots.length,
  leastOutstanding: ({ slots, ends, nowMs }) =>
    indexOfLeast(slots.map((_, worker) => countOutstanding(ends, worker, nowMs))),
  twoChoices: ({ slots, ends, nowMs }) => {
    const a = Math.floor(random() * slots.length);
    const b = Math.floor(random() * slots.length);
    return countOutstanding(ends, a, nowMs) <= countOutstanding(ends, b, nowMs) ? a : b;
  },
});

/** Policy that knows every size and speed and chooses the worker on which the task ends first. */
export const omniscient: PlacementPolicy = ({ nowMs, sizeMs, slots, slowness }) =>
  indexOfLeast(
    slots.map(
      (free, worker) => Math.max(nowMs, Math.min(...free)) + sizeMs * (slowness[worker] ?? 1),
    ),
  );

/**
 * Simulates jobs in virtual time, without any overhead, under a placement policy.
 *
 * @param jobs - the jobs in order of arrival
 * @param fleet - the workers
 * @param choose - the placement policy
 * @param largestFirst - whether the tasks of a job are placed in order of decreasing size
 * @returns response time of each job, in milliseconds
 */
export const simulate = (
  jobs: readonly BenchJob[],
  { slowness, slots: count }: Fleet,
  choose: PlacementPolicy,
  largestFirst = false,
): number[] => {
  const slots: SlotFreeTimes = slowness.map(() => new Array<number>(count).fill(0));
  const ends: TaskEndTimes = slowness.map(() => []);
  let turn = 0;
  return jobs.map(({ atMs, sizesMs }) => {
    const order = largestFirst ? [...sizesMs].sort((a, b) => b - a) : sizesMs;
    const jobEnds = order.map((sizeMs) => {
      const worker = choose({ nowMs: atMs, sizeMs, slots, ends, slowness, turn });
      turn += 1;
      const free = slots[worker] ?? [];
      const slot = indexOfLeast(free);
      const end = Math.max(atMs, free[slot] ?? 0) + sizeMs * (slowness[worker] ?? 1);
      free[slot] = end;
      ends[worker] = [...(ends[worker] ?? []).filter((other) => other > atMs), end];
      return end;
    });
    return Math.max(...jobEnds) - atMs;
  });
};
