import { createHash } from 'node:crypto';
import type { RegisteredProcess } from '@marjorammast/protocol';
import { MAX_ATTACHED_AGENTS } from './constants';

/**
 * Chooses the agents that an entry connects to. Agents of the entry's data centre come before others,
 * and agents of evacuated data centres come last. Within each group agents are ordered by a hash of
 * the entry's and the agent's name (rendezvous hashing), so that the entries, each with a limited
 * number of connections, spread over all agents.
 *
 * @param agents - all agents
 * @param entry - name of the entry
 * @param dataCenter - data centre of the entry
 * @param evacuatedDataCenters - data centres that get no tasks
 * @returns at most {@link MAX_ATTACHED_AGENTS} agents
 */
export const chooseAgents = (
  agents: readonly RegisteredProcess[],
  entry: string,
  dataCenter: string,
  evacuatedDataCenters: readonly string[],
): RegisteredProcess[] =>
  agents
    .map((agent) => ({
      agent,
      isEvacuated: evacuatedDataCenters.includes(agent.dataCenter),
      isRemote: agent.dataCenter !== dataCenter,
      rank: createHash('md5').update(`${entry}>${agent.name}`).digest('hex'),
    }))
    .sort(
      (a, b) =>
        Number(a.isEvacuated) - Number(b.isEvacuated) ||
        Number(a.isRemote) - Number(b.isRemote) ||
        a.rank.localeCompare(b.rank),
    )
    .slice(0, MAX_ATTACHED_AGENTS)
    .map(({ agent }) => agent);
