import type { BenchJob, Fleet } from './workload';

/** Free times of the slots of each worker, in milliseconds. */
type Slots = number[][];

/** Outstanding tasks of each worker: their end times. */
type Ends = number[][];

/** Picks a worker for one task at its arrival. */
export type Choice = (view: {
  nowMs: number;
  sizeMs: number;
  slots: Slots;
  ends: Ends;
  slowness: readonly number[];
  turn: number;
}) => number;

const indexOfLeast = (values: readonly number[]): number =>
  values.reduce((best, value, index) => (value < (values[best] ?? Infinity) ? index : best), 0);

const outstanding = (ends: Ends, worker: number, nowMs: number): number =>
  (ends[worker] ?? []).filter((end) => end > nowMs).length;

/** Baselines: each binds a task to a worker at once, without knowing sizes or speeds. */
export const createBaselines = (random: () => number): Record<string, Choice> => ({
  random: ({ slots }) => Math.floor(random() * slots.length),
  roundRobin: ({ slots, turn }) => turn % slots.length,
  leastOutstanding: ({ slots, ends, nowMs }) =>
    indexOfLeast(slots.map((_, worker) => outstanding(ends, worker, nowMs))),
  twoChoices: ({ slots, ends, nowMs }) => {
    const a = Math.floor(random() * slots.length);
    const b = Math.floor(random() * slots.length);
    return outstanding(ends, a, nowMs) <= outstanding(ends, b, nowMs) ? a : b;
  },
});

/** Knows every size and speed and takes the worker on which the task ends first. */
export const omniscient: Choice = ({ nowMs, sizeMs, slots, slowness }) =>
  indexOfLeast(
    slots.map(
      (free, worker) => Math.max(nowMs, Math.min(...free)) + sizeMs * (slowness[worker] ?? 1),
    ),
  );

/**
 * Runs jobs in virtual time, without any overhead, under a choice of workers.
 *
 * @param jobs - the jobs in order of arrival
 * @param fleet - the workers
 * @param choose - the policy
 * @param largestFirst - whether the tasks of a job are bound in order of falling size
 * @returns response time of each job, in milliseconds
 */
export const simulate = (
  jobs: readonly BenchJob[],
  { slowness, slots: count }: Fleet,
  choose: Choice,
  largestFirst = false,
): number[] => {
  const slots: Slots = slowness.map(() => new Array<number>(count).fill(0));
  const ends: Ends = slowness.map(() => []);
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
