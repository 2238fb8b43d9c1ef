import type { Resources } from './dispatchMessages';

/** The zero amount of every resource. */
export const NO_RESOURCES: Resources = { cpu: 0, memoryMb: 0, accelerators: 0 };

/**
 * @param a - first amount
 * @param b - second amount
 * @returns the sum of each resource
 */
export const addResources = (a: Resources, b: Resources): Resources => ({
  cpu: a.cpu + b.cpu,
  memoryMb: a.memoryMb + b.memoryMb,
  accelerators: a.accelerators + b.accelerators,
});

/**
 * @param a - amount to subtract from
 * @param b - amount to subtract
 * @returns the difference of each resource, which may be negative
 */
export const subtractResources = (a: Resources, b: Resources): Resources => ({
  cpu: a.cpu - b.cpu,
  memoryMb: a.memoryMb - b.memoryMb,
  accelerators: a.accelerators - b.accelerators,
});

/**
 * @param resources - amounts of which some may be negative
 * @returns the same amounts, with zero in place of each negative one
 */
export const withoutDeficits = ({ cpu, memoryMb, accelerators }: Resources): Resources => ({
  cpu: Math.max(0, cpu),
  memoryMb: Math.max(0, memoryMb),
  accelerators: Math.max(0, accelerators),
});

/**
 * @param needs - resources that a task needs
 * @param free - free resources
 * @returns true when the free amount of every resource suffices
 */
export const fits = (needs: Resources, free: Resources): boolean =>
  needs.cpu <= free.cpu &&
  needs.memoryMb <= free.memoryMb &&
  needs.accelerators <= free.accelerators;

/**
 * Counts how many equal tasks fit into the free resources.
 *
 * @param needs - resources that one task needs
 * @param free - free resources
 * @returns the number of tasks, or `Infinity` for a task that needs nothing
 */
export const countFitting = (needs: Resources, free: Resources): number => {
  const countBy = (need: number, available: number) =>
    need > 0 ? Math.floor(available / need) : Infinity;
  return Math.max(
    0,
    Math.min(
      countBy(needs.cpu, free.cpu),
      countBy(needs.memoryMb, free.memoryMb),
      countBy(needs.accelerators, free.accelerators),
    ),
  );
};

/**
 * @param needs - resources that one task needs
 * @param count - number of tasks
 * @returns resources that all the tasks need
 */
export const scaleResources = (needs: Resources, count: number): Resources => ({
  cpu: needs.cpu * count,
  memoryMb: needs.memoryMb * count,
  accelerators: needs.accelerators * count,
});
