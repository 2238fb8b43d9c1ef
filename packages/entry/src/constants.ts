/** Prefix of the store keys of agents, below the deployment's prefix. */
export const AGENT_KEYS = 'agents/';

/** Store key of the cluster map, below the deployment's prefix. */
export const MAP_KEY = 'map';

/** Store key of the environment, below the deployment's prefix. */
export const ENVIRONMENT_KEY = 'environment';

/**
 * Safety margin in milliseconds: an entry sends starts only while the age of its configuration is
 * at least this much below `MAX_CONFIGURATION_AGE_MS`, the limit that the agents enforce.
 */
export const AGE_MARGIN_MS = 200;

/** Interval between two checks for unresponsive agents, in milliseconds. */
export const AGENT_CHECK_PERIOD_MS = 250;

/**
 * Maximum time in milliseconds that a new owner waits for the start records of all agents. When it
 * has passed, the owner accepts jobs of its shards although the records of some agents are missing.
 */
export const FENCE_WAIT_MS = 3_000;

/** Delay before fencing is retried at agents that did not answer, in milliseconds. */
export const FENCE_RETRY_MS = 250;

/** Delay before the gateway retries a submission at the current owner, in milliseconds. */
export const OWNER_RETRY_MS = 100;

/**
 * Initial delay between two requests for idle credits, in milliseconds. It doubles after each
 * request that yields no credits.
 */
export const CREDIT_REQUEST_MS = 20;

/** Maximum delay between two requests for idle credits, in milliseconds. */
export const CREDIT_REQUEST_MAX_MS = 320;

/**
 * Limit of requeues: a job fails when its tasks have returned to the queue after a start more often
 * than this number times the number of its tasks.
 */
export const MAX_REQUEUES_PER_TASK = 20;

/**
 * Number of unknown outcomes of a task of an idempotent submission after which it is not repeated: it may
 * be the task that crashes the targets that run it.
 */
export const MAX_UNKNOWN_OUTCOMES = 2;

/** Delay after which a refused client is asked to retry (`Retry-After`), in milliseconds. */
export const RETRY_AFTER_MS = 1_000;

/** Interval between two checks whether shards should move to other members, in milliseconds. */
export const REBALANCE_PERIOD_MS = 1_000;

/** Time in milliseconds for which an agent gets no starts after it refused one. */
export const REFUSAL_PAUSE_MS = 100;
