/**
 * When the wall clock advances by more than this over the monotonic clock between two readings, the
 * difference counts as a suspension of the VM, in milliseconds.
 */
const MIN_SUSPENSION_MS = 100;

/**
 * Creates a monotonic clock that includes the time in which the VM was suspended. During a suspension
 * the process's monotonic clock stands still and the wall clock does not. A forward step of the wall
 * clock cannot be told from a suspension and is counted too.
 *
 * @returns the clock, which reads milliseconds
 */
export const createSuspendAwareClock = (): (() => number) => {
  let suspendedMs = 0;
  let wallOffset = Date.now() - performance.now();
  return () => {
    const currentOffset = Date.now() - performance.now();
    if (currentOffset - wallOffset > MIN_SUSPENSION_MS) suspendedMs += currentOffset - wallOffset;
    wallOffset = currentOffset;
    return performance.now() + suspendedMs;
  };
};
