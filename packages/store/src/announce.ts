import { encodeListing, listingKey, sleep } from '@marjorammast/protocol';
import type { ListedProcess, ListedRole } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import type { KeyValueStore } from './KeyValueStore';

/** First pause after a failed try, in milliseconds. */
const RETRY_MS = 200;

/** Longest pause between two tries, in milliseconds. */
const MAX_RETRY_MS = 3_000;

/**
 * Writes a process's address into the store, where others find it, and tries until it is written.
 *
 * @param store - the store
 * @param role - kind of the process
 * @param listed - the process
 * @param log - tells of failed tries
 */
export const announce = async (
  store: KeyValueStore,
  role: ListedRole,
  listed: ListedProcess,
  log: Log,
): Promise<void> => {
  let pauseMs = RETRY_MS;
  for (;;) {
    try {
      await store.write(listingKey(role, listed.name), encodeListing(listed), []);
      log.info({ address: listed.address }, 'announced');
      return;
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      log.warn({ detail, pauseMs }, 'announce_failed');
      await sleep(pauseMs);
      pauseMs = Math.min(MAX_RETRY_MS, pauseMs * 2);
    }
  }
};
