import { encodeRegistration, registrationKey, sleep } from '@marjorammast/protocol';
import type { RegisteredProcess, ProcessRole } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import type { KeyValueStore } from './KeyValueStore';

/** Initial retry delay, in milliseconds; it doubles with each failed attempt. */
const RETRY_MS = 200;

/** Maximum retry delay, in milliseconds. */
const MAX_RETRY_MS = 3_000;

/**
 * Registers a process in the store, where other processes look up its address. Retries until the
 * write succeeds.
 *
 * @param store - the store
 * @param role - role of the process
 * @param registered - the process to register
 * @param log - logs each failed attempt and the successful write
 */
export const registerProcess = async (
  store: KeyValueStore,
  role: ProcessRole,
  registered: RegisteredProcess,
  log: Log,
): Promise<void> => {
  let pauseMs = RETRY_MS;
  for (;;) {
    try {
      await store.write(registrationKey(role, registered.name), encodeRegistration(registered), []);
      log.info({ address: registered.address }, 'registered');
      return;
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      log.warn({ detail, pauseMs }, 'registration_failed');
      await sleep(pauseMs);
      pauseMs = Math.min(MAX_RETRY_MS, pauseMs * 2);
    }
  }
};
