/** Length of the lease that every start and renewal asks of the worker, in milliseconds. */
export const LEASE_MS = 600;

/** Time between two renewals while something runs, in milliseconds. */
export const RENEW_PERIOD_MS = 150;

/** How long a worker holds an answer back while nothing ends, in milliseconds. */
export const END_WAIT_MS = 1_000;

/** Slowest clock of a worker relative to the agent's. */
export const CLOCK_TOLERANCE = 1.02;

/** Time that the worker takes to end lapsed runs, with slack, in milliseconds. */
export const LAPSE_SLACK_MS = 100;

/** Pause between two tries to settle an order without an answer, in milliseconds. */
export const SETTLE_PAUSE_MS = 40;

/** Calls without an answer in a row after which the worker counts as unresponsive. */
export const MISSES_ALLOWED = 2;

/** How long an ended run is remembered, to recognise it in an older list, in milliseconds. */
export const ENDED_MEMORY_MS = 3_000;

/** Oldest assignment that is taken, in milliseconds. */
export const ASSIGN_AGE_MS = 250;

/** Silence of an entry after which its runs are stopped, in milliseconds. */
export const OWNER_SILENCE_MS = 500;

/** Time between two looks at silent entries, in milliseconds. */
export const OWNER_CHECK_MS = 50;

/** Shortest time between two views sent to the entries, in milliseconds. */
export const VIEW_PERIOD_MS = 120;

/** Weight of the newest run in the learned slowness. */
export const SLOWNESS_WEIGHT = 0.08;

/** Failures of different jobs in a row after which a worker is ejected. */
export const FAILURES_ALLOWED = 3;

/** First ejection, in milliseconds; it doubles with each ejection in a row. */
export const EJECTION_MS = 1_000;

/** Longest ejection, in milliseconds. */
export const MAX_EJECTION_MS = 8_000;

/** Time without progress after which a run is stopped, in milliseconds. */
export const STALL_MS = 400;

/**
 * Time after the end of a worker's life in which a start that was on its way may still be at work,
 * in milliseconds: the longest lease that workers grant, on the slowest clock, and the end of the run.
 */
export const DOUBT_MS = 1_150;
