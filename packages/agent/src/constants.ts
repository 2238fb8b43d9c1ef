/** Time after its last announcement at which a target counts as gone, in milliseconds. */
export const TARGET_LEASE_MS = 6_000;

/** Pause between two tries to reach an entry, in milliseconds. */
export const DIAL_PAUSE_MS = 1_000;

/** Largest random addition to {@link DIAL_PAUSE_MS}, in milliseconds. */
export const DIAL_JITTER_MS = 500;

/** Idle time after which the holder of a slot is asked whether it still holds it, in ms. */
export const AUDIT_AFTER_MS = 60_000;

/** Period of the agent's housekeeping, in milliseconds. */
export const HOUSEKEEPING_MS = 1_000;

/** Pause between two looks at the tasks in progress during a stop, in milliseconds. */
export const STOP_POLL_MS = 20;
