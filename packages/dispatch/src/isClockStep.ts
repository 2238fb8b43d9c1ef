import type { AgentConnection } from './AgentConnection';
import { COMPARED_CLOCKS } from './constants';

/**
 * Tells whether the wall clock of this VM was stepped forward. If the VM had been suspended instead, the clocks of all
 * agents would have advanced by that time more than its monotonic clock.
 *
 * @param connections - connections to agents
 * @param stepMs - time by which the wall clock has advanced more than the monotonic one, in milliseconds
 * @returns true when an agent's clock shows that the VM was not suspended
 */
export const isClockStep = async (
  connections: Iterable<Pick<AgentConnection, 'measureSuspension'>>,
  stepMs: number,
): Promise<boolean> => {
  const checks = [...connections].slice(0, COMPARED_CLOCKS).map(async (connection) => {
    const suspensionMs = await connection.measureSuspension();
    if (suspensionMs === undefined || suspensionMs > stepMs / 2) throw new Error('suspended');
  });
  return Promise.any(checks).then(
    () => true,
    // No agent has shown that it was a step.
    () => false,
  );
};
