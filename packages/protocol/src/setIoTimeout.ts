/**
 * Sets a timeout for something that arrives on a socket. A process that was paused, or had no processor
 * time, runs its timers before it reads its sockets: the callback therefore runs only after they have been
 * read once more, so that what had arrived in time counts.
 *
 * @param callback - called when the time has passed
 * @param ms - the time, in milliseconds
 * @returns clears the timeout
 */
export const setIoTimeout = (callback: () => void, ms: number): (() => void) => {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(callback);
  }, ms);
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
};
