import { encodeRegistration, registrationKey } from '@marjorammast/protocol';
import type { RegisteredProcess, ProcessRole } from '@marjorammast/protocol';
import type { KeyValueStore } from './KeyValueStore';
import { repeatRegistration } from './repeatRegistration';
import type { RetryOptions } from './repeatRegistration';

/**
 * Registers a process in the store, where other processes look up its address. Retries until the
 * write succeeds.
 *
 * @param store - the store
 * @param role - role of the process
 * @param registered - the process to register
 * @param options - dependencies; the log has each failed attempt and the successful write
 */
export const registerProcess = async (
  store: KeyValueStore,
  role: ProcessRole,
  registered: RegisteredProcess,
  options: RetryOptions,
): Promise<void> => {
  const key = registrationKey(role, registered.name);
  await repeatRegistration(() => store.write(key, encodeRegistration(registered), []), options);
  options.log.info({ address: registered.address }, 'registered');
};
