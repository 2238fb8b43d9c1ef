import { EQUAL_SLOWNESS, MAX_SLOWNESS } from './constants';

/** An agent that could take tasks of a step. */
export type Candidate = {
  agent: string;
  /** True in the data centre of this entry. */
  isLocal: boolean;
  /** Tasks of the step that fit. */
  fitting: number;
  /** Run time over estimated run time, averaged. */
  slowness: number;
  /** True for the rack that holds the step's data, or when none does. */
  isNear: boolean;
};

/** What a placement is for. */
export type PlacementGoal = {
  /** Tasks to place. */
  count: number;
  estimateMs: number;
  /** Time left until the latency objective, in milliseconds. */
  slackMs: number;
  /** Slowness of the fast workers of the service, whether they have room or not. */
  bestSlowness: number;
};

/** Tasks for one agent. */
export type Placement = { agent: string; count: number };

/** A slower worker is taken if the objective is met there, or lost anyway and not by far. */
const isAcceptable = ({ slowness }: Candidate, goal: PlacementGoal): boolean => {
  if (slowness <= goal.bestSlowness * EQUAL_SLOWNESS) return true;
  const isMet = goal.estimateMs * slowness <= goal.slackMs;
  const isLost = goal.estimateMs * goal.bestSlowness > goal.slackMs;
  return isMet || (isLost && slowness < goal.bestSlowness * MAX_SLOWNESS);
};

/**
 * Spreads tasks over agents: equally fast ones first, then near ones, then those of the same data
 * centre, then those with the most room, so that a job needs few messages.
 *
 * @param candidates - agents with room
 * @param goal - what is to be placed
 * @returns how many tasks each agent gets; fewer than wanted when room is short
 */
export const placeTasks = (candidates: readonly Candidate[], goal: PlacementGoal): Placement[] => {
  const tier = ({ slowness }: Candidate) =>
    slowness <= goal.bestSlowness * EQUAL_SLOWNESS ? 0 : slowness;
  const order = candidates
    .filter((candidate) => candidate.fitting > 0 && isAcceptable(candidate, goal))
    .sort(
      (a, b) =>
        tier(a) - tier(b) ||
        Number(b.isNear) - Number(a.isNear) ||
        Number(b.isLocal) - Number(a.isLocal) ||
        b.fitting - a.fitting,
    );
  const placements: Placement[] = [];
  let left = goal.count;
  order.forEach(({ agent, fitting }) => {
    const count = Math.min(left, fitting);
    if (count > 0) placements.push({ agent, count });
    left -= count;
  });
  return placements;
};
