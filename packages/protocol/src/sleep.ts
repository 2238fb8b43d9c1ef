/**
 * Waits on the runtime's clock, which tests pause and advance.
 *
 * @param ms - time to wait, in milliseconds
 */
export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
