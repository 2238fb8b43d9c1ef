/**
 * Starts a stopwatch that also counts the time in which the VM was suspended, when the monotonic clock stands
 * still. A step of the wall clock can make it read too much, never too little.
 *
 * @returns reads the elapsed time, in milliseconds
 */
export const createStopwatch = (): (() => number) => {
  const startedAt = performance.now();
  const startedWallTime = Date.now();
  return () => Math.max(performance.now() - startedAt, Date.now() - startedWallTime);
};
