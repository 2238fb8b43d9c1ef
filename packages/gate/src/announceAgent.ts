import { agentKey, encodeListing, sleep } from '@marjorammast/protocol';
import type { ListedAgent } from '@marjorammast/protocol';
import type { KeyValueStore } from '@marjorammast/store';
import type { Log } from '@marjorammast/telemetry';

/** First pause after a failed try, in milliseconds. */
const RETRY_MS = 200;

/** Longest pause between two tries, in milliseconds. */
const MAX_RETRY_MS = 3_000;

/**
 * Writes the agent's address into the store, where entries find it, and tries until it is written.
 *
 * @param store - the store
 * @param agent - the agent
 * @param log - tells of failed tries
 */
export const announceAgent = async (
  store: KeyValueStore,
  agent: ListedAgent,
  log: Log,
): Promise<void> => {
  let pauseMs = RETRY_MS;
  for (;;) {
    try {
      await store.write(agentKey(agent.name), encodeListing(agent), []);
      log.info({ address: agent.address }, 'announced');
      return;
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      log.warn({ detail, pauseMs }, 'announce_failed');
      await sleep(pauseMs);
      pauseMs = Math.min(MAX_RETRY_MS, pauseMs * 2);
    }
  }
};
