/** Number of shards into which the job keys are divided for ownership. */
export const SHARD_COUNT = 64;

/** Maximum number of tasks in one job. */
export const MAX_TASKS_PER_JOB = 170;

/** Maximum size of a request body, in bytes. */
export const MAX_BODY_BYTES = 1024 * 1024;

/** Maximum size of an encoded message between two processes, in bytes. */
export const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Default deadline of a job, in milliseconds after its arrival. */
export const DEFAULT_DEADLINE_MS = 10_000;

/** Maximum deadline of a job, in milliseconds after its arrival. */
export const MAX_DEADLINE_MS = 60_000;

/**
 * Maximum time from the submission of a job to its `notAfter`, after which none of its tasks may
 * start, in milliseconds.
 */
export const MAX_NOT_AFTER_MS = 120_000;

/** Tolerated skew between the wall clocks of two machines, in milliseconds. */
export const CLOCK_SKEW_MS = 5_000;

/**
 * Maximum age of an entry's view of the configuration at which a task may still start, in
 * milliseconds.
 */
export const MAX_CONFIGURATION_AGE_MS = 2_000;

/** Time for which answered jobs and start records are kept, in milliseconds. */
export const RECORD_RETENTION_MS = MAX_NOT_AFTER_MS + MAX_DEADLINE_MS + 2 * CLOCK_SKEW_MS;

/**
 * Interval at which an entry polls the store, and delay before it retries to settle a write of
 * unknown outcome, in milliseconds.
 */
export const STORE_POLL_MS = 1_000;

/** Interval at which an entry requests the heartbeat of each peer, in milliseconds. */
export const HEARTBEAT_PERIOD_MS = 1_000;

/** Time without an answer after which a peer is considered unreachable, in milliseconds. */
export const PEER_TIMEOUT_MS = 3_000;

/**
 * Time without contact after which an entry probes an agent that has not answered a start, in
 * milliseconds. An agent that does not answer the probe is suspected to have failed.
 */
export const AGENT_SUSPICION_MS = 3_000;

/** Timeout of one control call between processes, in milliseconds. */
export const CALL_TIMEOUT_MS = 1_500;

/**
 * Time without traffic after which the kernel probes the connection of a client, in milliseconds. It is the
 * shortest that Node.js can set, and shorter than the pause before a client sends its job again.
 */
export const CLIENT_PROBE_MS = 1_000;

/** Part of a worker's capacity that the tasks waiting at its agent may need together. */
export const QUEUE_CAPACITY_SHARE = 1 / 4;
