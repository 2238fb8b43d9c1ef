/**
 * Longest time that one watch waits for a change, in milliseconds. An open connection may fall silent for good:
 * that shows only after this time and {@link WATCH_MARGIN_MS}, and new connections work meanwhile.
 */
export const WATCH_WAIT_MS = 1_200;

/** Time allowed for the response to a watch beyond its wait, in milliseconds. */
export const WATCH_MARGIN_MS = 1_000;
