import { createHash } from 'node:crypto';
import type { RegisteredProcess } from '@marjorammast/protocol';
import { MAX_ATTACHED_AGENTS } from './constants';

/**
 * Ranks agents for an entry, or for a route, by a hash of both names (rendezvous hashing). The ranks are
 * kept, since all agents are ranked again whenever one of them registers.
 *
 * @param owner - name of the entry or the route
 * @returns the rank of an agent by its name; lower ranks come first
 */
export const createAgentRanking = (owner: string): ((agent: string) => string) => {
  const ranks = new Map<string, string>();
  return (agent) => {
    const rank = ranks.get(agent) ?? createHash('md5').update(`${owner}>${agent}`).digest('hex');
    ranks.set(agent, rank);
    return rank;
  };
};

/**
 * Compares texts by their code units.
 *
 * @param a - a text
 * @param b - another text
 * @returns a negative number when `a` comes first, a positive one when `b` does, 0 when they are equal
 */
export const compareText = (a: string, b: string): number => Number(a > b) - Number(a < b);

/**
 * Chooses the agents that an entry connects to. Agents of the entry's data centre come before others,
 * and agents of evacuated data centres come last. Within each group agents are ordered by their rank, so
 * that the entries, each with a limited number of connections, spread over all agents.
 *
 * @param agents - all agents
 * @param rankOf - rank of an agent for the entry
 * @param dataCenter - data centre of the entry
 * @param evacuatedDataCenters - data centres that get no tasks
 * @returns at most {@link MAX_ATTACHED_AGENTS} agents
 */
export const chooseAgents = (
  agents: readonly RegisteredProcess[],
  rankOf: (agent: string) => string,
  dataCenter: string,
  evacuatedDataCenters: readonly string[],
): RegisteredProcess[] =>
  agents
    .map((agent) => ({
      agent,
      isEvacuated: evacuatedDataCenters.includes(agent.dataCenter),
      isRemote: agent.dataCenter !== dataCenter,
      rank: rankOf(agent.name),
    }))
    .sort(
      (a, b) =>
        Number(a.isEvacuated) - Number(b.isEvacuated) ||
        Number(a.isRemote) - Number(b.isRemote) ||
        compareText(a.rank, b.rank),
    )
    .slice(0, MAX_ATTACHED_AGENTS)
    .map(({ agent }) => agent);
