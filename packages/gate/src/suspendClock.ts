/** Difference between the time of day and the steady clock that counts as a suspension, in milliseconds. */
const STEP_MS = 100;

/**
 * Creates a steady clock that also counts time in which the VM was suspended. The steady clock stands
 * still then and the time of day does not; a step of the time of day forwards looks the same.
 *
 * @returns the clock, in milliseconds
 */
export const createSuspendClock = (): (() => number) => {
  let suspendedMs = 0;
  let difference = Date.now() - performance.now();
  return () => {
    const now = Date.now() - performance.now();
    if (now - difference > STEP_MS) suspendedMs += now - difference;
    difference = now;
    return performance.now() + suspendedMs;
  };
};
