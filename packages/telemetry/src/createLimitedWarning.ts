import type { Log } from './createLog';

/** Length of the window of the rate limit, in milliseconds. */
const WINDOW_MS = 1_000;

/** Maximum number of lines of one event per window; the others are counted. */
const MAX_LINES_PER_WINDOW = 5;

/**
 * Creates a function that logs warnings of one event, with a bounded number of lines. The first line of
 * the next window tells how many were left out.
 *
 * @param log - log of the process
 * @param event - name of the event
 * @returns logs one warning with these fields
 */
export const createLimitedWarning = (
  log: Log,
  event: string,
): ((fields: Record<string, unknown>) => void) => {
  let windowStart = -Infinity;
  let lines = 0;
  let omitted = 0;
  return (fields) => {
    const now = performance.now();
    if (now - windowStart >= WINDOW_MS) {
      windowStart = now;
      lines = 0;
    }
    lines += 1;
    if (lines > MAX_LINES_PER_WINDOW) {
      omitted += 1;
      return;
    }
    log.warn(omitted > 0 ? { ...fields, omitted } : fields, event);
    omitted = 0;
  };
};
