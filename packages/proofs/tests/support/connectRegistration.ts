import { AgentRegistration } from '@marjorammast/store';
import { createLog } from '@marjorammast/telemetry';
import type { MemoryStore } from './MemoryStore';

/** Jitter of the retries; constant, so that it takes no random number of a simulation. */
const JITTER = 0.5;

/**
 * Connects one process of an agent to the store.
 *
 * @param memoryStore - the store
 * @param name - name of the agent
 * @param processId - identifier of the process
 * @returns the registration of the process, which has not been written
 */
export const connectRegistration = (
  memoryStore: MemoryStore,
  name: string,
  processId: string,
): AgentRegistration => {
  const store = memoryStore.connect(() => true);
  return AgentRegistration.create({
    store: {
      read: (prefix) => store.read(prefix),
      write: async (key, value, [precondition]) => {
        const revision = await store.compareAndSwap(key, precondition?.revision ?? 0, value);
        return revision === undefined ? { type: 'conflict' } : { type: 'written', revision };
      },
    },
    agent: { name, address: name, dataCenter: 'one' },
    processId,
    random: () => JITTER,
    log: createLog(name, 'silent'),
  });
};
