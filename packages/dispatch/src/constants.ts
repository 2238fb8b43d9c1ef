/** Time allowed for an agent's answer while runs depend on it, in milliseconds. */
export const ANSWER_TIMEOUT_MS = 350;

/** Time allowed for opening a connection to an agent and attaching to it, in milliseconds. */
export const ATTACH_TIMEOUT_MS = 1_000;

/** Time between two renewals of runs at one agent, in milliseconds. */
export const RENEW_PERIOD_MS = 160;

/** Time between two renewals at an agent without runs of this entry, in milliseconds. */
export const IDLE_RENEW_PERIOD_MS = 10_000;

/**
 * Time after the loss of an agent's connection in which its runs may still be at work: the oldest
 * assignment that it takes, the lease of the run it then starts, and the end of the run, in
 * milliseconds.
 */
export const RUN_LAPSE_MS = 1_000;

/** First pause before a lost agent is dialled again, in milliseconds. */
export const REDIAL_MS = 200;

/** Longest pause before a lost agent is dialled again, in milliseconds. */
export const MAX_REDIAL_MS = 2_000;

/** Agents that one entry is attached to at the most. */
export const REACH = 64;

/** Time between two looks at waiting jobs while any wait, in milliseconds. */
export const QUEUE_CHECK_MS = 20;

/** Slowness within this factor of the best counts as equal. */
export const EQUAL_SLOWNESS = 1.35;

/** Slowness to the fast workers from which a worker gets only what meets its objective there. */
export const MAX_SLOWNESS = 3;

/** Pause before an agent that has declined is asked again, unless it reports room, in milliseconds. */
export const DECLINE_PAUSE_MS = 50;

/** Shortest time that a refused client is asked to stay away, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 200;

/** How long before the client's deadline an unfinished job is answered, in milliseconds. */
export const ANSWER_MARGIN_MS = 15;

/** A job is of no use to its client after this many times its latency objective. */
export const LATE_FACTOR = 3;

/** When a client may come back that was refused for want of any worker, in milliseconds. */
export const NO_WORKERS_RETRY_MS = 1_000;
