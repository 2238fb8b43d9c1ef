/**
 * Waits with the timers of the runtime, which tests replace by fake timers.
 *
 * @param ms - time to wait, in milliseconds
 */
export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
