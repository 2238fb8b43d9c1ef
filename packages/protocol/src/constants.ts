/** Number of ownership shards a job key may hash to. */
export const SHARD_COUNT = 64;

/** Largest number of tasks in one job. */
export const MAX_TASKS_PER_JOB = 170;

/** Largest accepted request body, in bytes. */
export const MAX_BODY_BYTES = 1024 * 1024;

/** Largest encoded message between two processes, in bytes. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Default time a job may take, in milliseconds. */
export const DEFAULT_DEADLINE_MS = 10_000;

/** Longest time a job may take, in milliseconds. */
export const MAX_DEADLINE_MS = 60_000;

/** How far ahead of the clock the last start time of a keyed job may lie, in milliseconds. */
export const MAX_NOT_AFTER_MS = 120_000;

/** Tolerated difference between the wall clocks of two machines, in milliseconds. */
export const CLOCK_SKEW_MS = 5_000;

/** Oldest news of the configuration under which a start is allowed, in milliseconds. */
export const FRESHNESS_MS = 2_000;

/** How long an answered job and a started-record are kept, in milliseconds. */
export const RECORD_RETENTION_MS = MAX_NOT_AFTER_MS + MAX_DEADLINE_MS + 2 * CLOCK_SKEW_MS;

/** Time between two reads of the platform's store by one entry, in milliseconds. */
export const STORE_POLL_MS = 1_000;

/** Time between two exchanges of news with one peer, in milliseconds. */
export const NEWS_PERIOD_MS = 1_000;

/** Time without an answer after which a peer counts as unreachable, in milliseconds. */
export const PEER_TIMEOUT_MS = 3_000;

/** Time without any answer to a start after which an agent is suspected, in milliseconds. */
export const START_SILENCE_MS = 3_000;

/** Time allowed for one control call between processes, in milliseconds. */
export const CALL_TIMEOUT_MS = 1_500;
