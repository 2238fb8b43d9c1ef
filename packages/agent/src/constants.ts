/** Time after its last announcement after which a target counts as gone, in milliseconds. */
export const TARGET_LEASE_MS = 6_000;

/** Shortest pause between two attempts to connect to an entry, in milliseconds. */
export const CONNECT_RETRY_MS = 1_000;

/** Largest random addition to {@link CONNECT_RETRY_MS}, in milliseconds. */
export const CONNECT_RETRY_JITTER_MS = 500;

/**
 * Idle time of a credit after which the entry that should hold it is asked whether it does, in
 * milliseconds.
 */
export const CREDIT_AUDIT_AFTER_MS = 60_000;

/** Period of the agent's housekeeping, in milliseconds. */
export const HOUSEKEEPING_PERIOD_MS = 1_000;

/** Polling period for the tasks in progress during a graceful stop, in milliseconds. */
export const STOP_POLL_MS = 20;
