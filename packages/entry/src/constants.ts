/** Prefix of the store keys of agents, below the deployment's prefix. */
export const AGENT_KEYS = 'agents/';

/** Store key of the cluster map, below the deployment's prefix. */
export const MAP_KEY = 'map';

/** Store key of the environment, below the deployment's prefix. */
export const ENVIRONMENT_KEY = 'environment';

/** Time kept between the oldest allowed news and the news a start is sent under, in ms. */
export const FRESHNESS_MARGIN_MS = 200;

/** Period in which silent agents and stale news are looked for, in milliseconds. */
export const AGENT_CHECK_PERIOD_MS = 250;

/** Time an owner waits for all agents after a takeover before it serves, in milliseconds. */
export const FENCE_WAIT_MS = 3_000;

/** Pause between two tries to fence an agent that did not answer, in milliseconds. */
export const FENCE_RETRY_MS = 250;

/** Pause before a gateway asks again for the owner of a job, in milliseconds. */
export const OWNER_RETRY_MS = 100;

/** First pause between two requests for idle credits, in milliseconds. */
export const CREDIT_REQUEST_MS = 20;

/** Longest pause between two requests for idle credits, in milliseconds. */
export const CREDIT_REQUEST_MAX_MS = 320;

/** Refused transmissions after which a job is given up. */
export const MAX_REFUSALS_PER_TASK = 20;

/** Time a caller is asked to wait before another try, in milliseconds. */
export const RETRY_AFTER_MS = 1_000;

/** Pause before an entry hands over shards to a new member, in milliseconds. */
export const REBALANCE_PERIOD_MS = 1_000;

/** Time without starts for an agent that refused one, in milliseconds. */
export const REFUSAL_PAUSE_MS = 100;
