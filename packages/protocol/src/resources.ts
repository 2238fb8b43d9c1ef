import type { Resources } from './dispatchMessages';

/** No room at all. */
export const NO_RESOURCES: Resources = { cpu: 0, memoryMb: 0, accelerators: 0 };

/**
 * @param a - first amount
 * @param b - second amount
 * @returns their sum in each dimension
 */
export const addResources = (a: Resources, b: Resources): Resources => ({
  cpu: a.cpu + b.cpu,
  memoryMb: a.memoryMb + b.memoryMb,
  accelerators: a.accelerators + b.accelerators,
});

/**
 * @param a - amount to take from
 * @param b - amount to take
 * @returns the difference in each dimension, which may be negative
 */
export const subtractResources = (a: Resources, b: Resources): Resources => ({
  cpu: a.cpu - b.cpu,
  memoryMb: a.memoryMb - b.memoryMb,
  accelerators: a.accelerators - b.accelerators,
});

/**
 * @param needs - what a task needs
 * @param free - what is left
 * @returns true when the task fits in every dimension
 */
export const fits = (needs: Resources, free: Resources): boolean =>
  needs.cpu <= free.cpu &&
  needs.memoryMb <= free.memoryMb &&
  needs.accelerators <= free.accelerators;

/**
 * Counts how many equal tasks fit.
 *
 * @param needs - what one task needs
 * @param free - what is left
 * @returns the number, `Infinity` for a task that needs nothing
 */
export const countFitting = (needs: Resources, free: Resources): number => {
  const along = (need: number, left: number) => (need > 0 ? Math.floor(left / need) : Infinity);
  return Math.max(
    0,
    Math.min(
      along(needs.cpu, free.cpu),
      along(needs.memoryMb, free.memoryMb),
      along(needs.accelerators, free.accelerators),
    ),
  );
};

/**
 * @param needs - what one task needs
 * @param count - number of tasks
 * @returns what all of them need
 */
export const scaleResources = (needs: Resources, count: number): Resources => ({
  cpu: needs.cpu * count,
  memoryMb: needs.memoryMb * count,
  accelerators: needs.accelerators * count,
});
