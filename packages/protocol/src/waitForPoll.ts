/**
 * Waits until the sockets of this process have been polled once more. The end of a connection may be read one
 * poll after the last data that came on it, also when both had arrived long before.
 */
export const waitForPoll = (): Promise<void> =>
  new Promise((resolve) => {
    // The first immediate may run after the poll in which the caller was called.
    setImmediate(() => setImmediate(resolve));
  });
