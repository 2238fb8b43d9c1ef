import { createHash } from 'node:crypto';
import type { ListedProcess } from '@marjorammast/protocol';
import { REACH } from './constants';

/**
 * Chooses the agents that an entry is attached to: those of its own data centre first, then others,
 * in an order of its own, so that entries with a bounded reach spread over all agents.
 *
 * @param listed - all agents
 * @param entry - name of the entry
 * @param dataCenter - data centre of the entry
 * @param outDataCenters - data centres that get nothing, whose agents come last
 * @returns at most {@link REACH} agents
 */
export const chooseAgents = (
  listed: readonly ListedProcess[],
  entry: string,
  dataCenter: string,
  outDataCenters: readonly string[],
): ListedProcess[] =>
  listed
    .map((agent) => ({
      agent,
      isOut: outDataCenters.includes(agent.dataCenter),
      isRemote: agent.dataCenter !== dataCenter,
      rank: createHash('md5').update(`${entry}>${agent.name}`).digest('hex'),
    }))
    .sort(
      (a, b) =>
        Number(a.isOut) - Number(b.isOut) ||
        Number(a.isRemote) - Number(b.isRemote) ||
        a.rank.localeCompare(b.rank),
    )
    .slice(0, REACH)
    .map(({ agent }) => agent);
