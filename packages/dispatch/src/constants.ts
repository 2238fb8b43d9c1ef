/** Time allowed for an agent's answer to an assignment or a renewal, in milliseconds. */
export const AGENT_CALL_TIMEOUT_MS = 350;

/** Time allowed for an answer to `attach`, or to a request to another entry, in milliseconds. */
export const ATTACH_TIMEOUT_MS = 1_000;

/** Time allowed for the connection to another entry for claims, and for its answer to them, in milliseconds. */
export const CLAIM_TIMEOUT_MS = 250;

/** Time for which an entry that has not answered a claim is not asked again, in milliseconds. */
export const CLAIM_RETRY_MS = 500;

/**
 * Time between two messages to each entry that has claims of this one, in milliseconds. They show that the process there
 * is no other one.
 */
export const CLAIM_HEARTBEAT_MS = 200;

/** Number of agents whose clocks tell a step of the wall clock from a suspension. */
export const COMPARED_CLOCKS = 8;

/** Time without a claim after which the connections for claims are closed, in milliseconds. */
export const CLAIM_IDLE_MS = 10_000;

/** Time allowed for another entry to end a job that it has claimed, with its runs, in milliseconds. */
export const MAX_RELEASE_MS = 1_200;

/** Time between two renewals sent to an agent that has runs of this entry, in milliseconds. */
export const RENEW_PERIOD_MS = 160;

/** Time between two renewals sent to an agent without runs of this entry, in milliseconds. */
export const IDLE_RENEW_PERIOD_MS = 10_000;

/**
 * Time after the loss of the connection to an agent during which its runs may still be active, in
 * milliseconds. It covers the time after which the agent misses its entry, the lease that it may have
 * extended until then, and the time to end the runs.
 */
export const RUN_EXPIRY_MS = 1_200;

/**
 * Delay before the first attempt to reconnect, before jitter, in milliseconds. It doubles with each
 * failed attempt.
 */
export const RECONNECT_BACKOFF_MS = 200;

/** Longest delay before an attempt to reconnect, before jitter, in milliseconds. */
export const MAX_RECONNECT_BACKOFF_MS = 2_000;

/** Smallest random factor by which placement weights the room of a worker; the largest is 1 more. */
export const MIN_ROOM_WEIGHT = 0.5;

/** Number of new connections that an entry opens at once; the others follow one by one. */
export const DIALS_AT_ONCE = 16;

/** Time between two of the connections that follow, in milliseconds. */
export const DIAL_INTERVAL_MS = 15;

/** Largest drift between the clocks of two VMs that is reckoned with, as a part of the elapsed time. */
export const MAX_CLOCK_DRIFT = 0.001;

/** Largest number of agents that an entry chooses to connect to. */
export const MAX_ATTACHED_AGENTS = 64;

/** Longest time between two dispatch passes while jobs with waiting tasks are queued, in milliseconds. */
export const MAX_DISPATCH_PASS_INTERVAL_MS = 20;

/**
 * Longest time from the poll of the sockets to an assignment, in milliseconds. After a longer one the sockets
 * are polled first, since clients may have left meanwhile.
 */
export const MAX_POLL_AGE_MS = 250;

/** Window over which the rate at which queued work is placed is averaged, in milliseconds. */
export const QUEUE_ESTIMATE_WINDOW_MS = 500;

/**
 * Number of fitting tasks that placement leaves to other entries, which place tasks on the same workers
 * unseen, as long as there is room elsewhere.
 */
export const RESERVED_TASKS = 1;

/** A worker whose slowness is within this factor of the fast workers' counts as equally fast. */
export const EQUAL_SLOWNESS_FACTOR = 1.35;

/**
 * A worker whose slowness is the fast workers' times this factor, or more, gets only tasks that
 * meet their latency objective on it.
 */
export const MAX_SLOWNESS_FACTOR = 3;

/**
 * Ratio of actual to expected run time with which a task has to meet its objective on a slower worker to count as
 * certain to meet it. The tasks of a job differ by up to 15 %; a margin of 1.2 would exclude almost all tasks.
 */
export const SLOW_RUN_MARGIN = 1.1;

/** Time that such a task is allowed for its assignment, its start and the report of its end, in milliseconds. */
export const START_MARGIN_MS = 15;

/**
 * Pause before an agent that declined an assignment gets the next one, in milliseconds. A report of
 * its free resources ends the pause early.
 */
export const DECLINE_PAUSE_MS = 50;

/**
 * Number of workers that crash just after they have started a task, from which the task is not started
 * again. One crash may be a coincidence.
 */
export const MAX_SUSPICIONS_PER_TASK = 2;

/** Number of workers that crash at any time of a task's runs, from which it is not started again. */
export const MAX_CRASHES_PER_TASK = 3;

/**
 * The same number, counting also crashes before the worker has confirmed the start of the task, so that
 * it is uncertain whether the task was running.
 */
export const MAX_LOST_RUNS_PER_TASK = 4;

/**
 * Number of workers that have crashed under a task or were lost with a run of it, from which the task waits
 * until those that were lost are back: only then is it known whether they had crashed.
 */
export const MAX_LOST_WORKERS_PER_TASK = 3;

/** Time for which crashes under the tasks of a job are remembered, in milliseconds. */
export const CRASH_RETENTION_MS = 60_000;

/**
 * Time for which a task stays bound to a worker that has not answered its start, in milliseconds: a worker carries
 * such a command out seconds later, if at all.
 */
export const BOUND_TASK_RETENTION_MS = 60_000;

/**
 * Longest time for which the answer to an unfinished job waits until other entries know of its bound tasks, in
 * milliseconds.
 */
export const BOUND_NOTICE_WAIT_MS = 100;

/** Time after the last crash by a task of a route for which the route is confined, in milliseconds. */
export const CONFINEMENT_MS = 5_000;

/** Part of the workers of its service on which a confined route runs. */
export const CONFINED_SHARE = 1 / 4;

/** Shortest time after which a refused client is told to retry, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 200;

/** Longest time after which a refused client is told to retry, before jitter, in milliseconds. */
export const MAX_RETRY_AFTER_MS = 5_000;

/** Time before the client's deadline at which an unfinished job is answered, in milliseconds. */
export const DEADLINE_MARGIN_MS = 15;

/** A job is of no use to its client once it takes this many times its latency objective. */
export const MAX_LATENESS_FACTOR = 3;

/** Part of the time to its objective for which a job waits for a service without workers. */
export const NO_WORKERS_WAIT_SHARE = 1 / 4;

/** Run number up to which it is doubled after a run that did not start. */
export const MAX_DOUBLED_RUN = 2 ** 30;

/** Time after which a client is told to retry when the service has no workers, in milliseconds. */
export const NO_WORKERS_RETRY_AFTER_MS = 1_000;

/** Window over which an entry measures its load, in milliseconds. */
export const LOAD_WINDOW_MS = 200;

/** Time between two heartbeats to an entry to which jobs may be forwarded, in milliseconds. */
export const FORWARD_HEARTBEAT_MS = 160;

/** Time allowed for the answer to a heartbeat, in milliseconds. */
export const HEARTBEAT_TIMEOUT_MS = 350;

/** Time without a heartbeat after which the jobs of a sender are aborted, in milliseconds. */
export const SENDER_TIMEOUT_MS = 500;

/** Age up to which a forwarded job is accepted, in milliseconds. */
export const MAX_FORWARD_AGE_MS = 250;

/**
 * Time by which the receiver of a forwarded job ends it before the sender would, in milliseconds, so that its answer
 * arrives in time.
 */
export const FORWARD_MARGIN_MS = 25;

/** Shortest time to the client's deadline, beside the estimated run time, of a job that is forwarded, in milliseconds. */
export const MIN_FORWARD_REMAINING_MS = 100;

/** Time for which an entry that has declined a job gets no other, in milliseconds. */
export const FORWARD_PAUSE_MS = 250;

/** Time without need of a connection to another entry after which it is closed, in milliseconds. */
export const FORWARD_IDLE_MS = 10_000;

/**
 * Processor time that a job costs the entry that runs it, in milliseconds. It is charged to a receiver until its next
 * report, so that one report does not attract more jobs than fit.
 */
export const JOB_COST_MS = 4;

/** Time for which an agent's queue counts as full after the agent has reported it, in milliseconds. */
export const FULL_QUEUE_RETENTION_MS = 120;
