/** Length of the lease that every start and renewal requests from the worker, in milliseconds. */
export const LEASE_MS = 600;

/** Shortest remaining lease with which a run is started while the lease is not extended, in milliseconds. */
export const MIN_START_LEASE_MS = LEASE_MS / 2;

/** Time between two lease renewals while the worker has runs, in milliseconds. */
export const RENEW_PERIOD_MS = 150;

/** Longest time that a worker may wait for the end of a run before it answers, in milliseconds. */
export const LONG_POLL_MS = 1_000;

/**
 * Tolerance for a slow worker's clock: while the worker's clock advances by one second, the agent's
 * clock may advance by up to this many seconds.
 */
export const CLOCK_RATE_TOLERANCE = 1.02;

/** Time that the worker takes to end the runs of an expired lease, with a margin, in milliseconds. */
export const EXPIRY_MARGIN_MS = 100;

/** Pause before a stop or a listing of the runs is repeated, in milliseconds. */
export const RETRY_PAUSE_MS = 40;

/** Pause after a request for a higher generation before the next one, in milliseconds. */
export const RENEWAL_PAUSE_MS = 500;

/** Number of consecutive commands without an answer after which the worker counts as unresponsive. */
export const UNANSWERED_COMMAND_LIMIT = 2;

/**
 * Time for which an ended run is remembered, so that it is recognised in a list that the worker made
 * before the run ended, in milliseconds.
 */
export const ENDED_RETENTION_MS = 3_000;

/** Age up to which an assignment is admitted, in milliseconds. */
export const MAX_ASSIGNMENT_AGE_MS = 250;

/**
 * Time without an assignment or a renewal from an entry after which the entry's runs are stopped, in
 * milliseconds.
 */
export const ENTRY_TIMEOUT_MS = 500;

/**
 * Time for which changes of a worker are collected before an entry that has assigned tasks to it lately
 * gets a view, in milliseconds.
 */
export const VIEW_DELAY_MS = 120;

/** The same time for entries that have not assigned tasks to the worker lately, in milliseconds. */
export const IDLE_VIEW_DELAY_MS = 1_000;

/** Time after its last assignment for which an entry counts as active at a worker, in milliseconds. */
export const ACTIVE_ENTRY_MS = 1_000;

/** Ratio of a worker's slowness to the known one from which an entry is told. */
export const MIN_SLOWNESS_CHANGE = 1.1;

/** Change of the number of fitting tasks from which an entry is told, if some fit before and after. */
export const MIN_FITTING_TASKS_CHANGE = 2;

/**
 * Time after its admission in which a run that crashes its worker is expected to do so, in milliseconds.
 * For this time a suspected run is the last one that its worker gets.
 */
export const PROBATION_MS = 100;

/** Time for which an agent remembers a crash of its worker, in milliseconds. */
export const CRASH_RETENTION_MS = 60_000;

/** Largest number of crashes that an agent remembers. */
export const MAX_REMEMBERED_CRASHES = 50;

/** Period of the check whether the runs of a stopping agent have ended, in milliseconds. */
export const STOP_POLL_PERIOD_MS = 100;

/** Weight of the newest run in the moving average of a worker's slowness. */
export const SLOWNESS_WEIGHT = 0.08;

/** Number of different jobs with consecutive failures after which a worker is ejected. */
export const EJECTION_FAILURES = 3;

/** Length of the first ejection, in milliseconds. It doubles with each consecutive ejection. */
export const EJECTION_MS = 1_000;

/** Maximum length of an ejection, in milliseconds. */
export const MAX_EJECTION_MS = 8_000;

/** Shortest time without progress after which a run is stopped, in milliseconds. */
export const MIN_STALL_TIMEOUT_MS = 400;

/**
 * Time after which a start without an answer is no longer expected to be carried out, in milliseconds: a
 * worker may carry it out after 12 s, and a run without renewals lasts for a second.
 */
export const UNCONFIRMED_RUN_MS = 14_000;

/**
 * Time for which a start without an answer is remembered, in milliseconds: a worker carries such a command out
 * seconds later, if at all.
 */
export const UNSETTLED_START_RETENTION_MS = 60_000;

/**
 * Longest time for which a task waits at the agent, in milliseconds. It leaves time for the transfer of
 * the assignment within {@link MAX_ASSIGNMENT_AGE_MS}.
 */
export const MAX_QUEUE_MS = 200;
