import { MIN_ROOM_WEIGHT } from './constants';
import { fastFirst } from './placementRule';
import type { PlacementRule } from './placementRule';

/** An agent whose worker could run tasks of a step. */
export type Candidate = {
  /** Name of the agent. */
  agent: string;
  /** True when the agent is in the data centre of this entry. */
  isLocal: boolean;
  /** Number of tasks of the step that fit on the worker. */
  fittingTasks: number;
  /** Ratio of actual to estimated run time, averaged over the worker's recent runs. */
  slowness: number;
  /** True when the worker is in the rack that holds the step's data, or the step names no rack. */
  isNearData: boolean;
};

/** Tasks of a step that are to be placed, and the time that they have. */
export type PlacementGoal = {
  /** Number of tasks to place. */
  count: number;
  /** The client's estimate of a task's run time, in milliseconds. */
  estimateMs: number;
  /** Expected run time on a worker of slowness 1, in milliseconds; the estimate if absent. */
  expectedMs?: number;
  /** Time until the latency objective, in milliseconds; negative once it has passed. */
  slackMs: number;
  /** Slowness of the service's fast workers, whether or not they have free resources. */
  bestSlowness: number;
};

/** Number of tasks that one agent gets. */
export type Placement = { agent: string; count: number };

/**
 * Distributes tasks over agents. The rule ranks the agents by the speed of their workers; usually all
 * workers about as fast as the fast ones come first and count as equal. Among equals, workers near the
 * data come first, then agents in the entry's data centre, then those on whose workers the most tasks
 * fit, so that a job needs few messages.
 *
 * Load pattern: several entries see the same free resources at the same time. The number of fitting tasks
 * is therefore weighted by a random factor, so that they do not all choose the same worker.
 *
 * @param candidates - agents that could run the tasks
 * @param goal - number of tasks to place, and the time that they have
 * @param random - uniform random numbers in [0, 1)
 * @param rule - accepts the workers and ranks them by speed
 * @returns number of tasks for each chosen agent; in total fewer than `goal.count` if not all
 * tasks fit on acceptable workers
 */
export const placeTasks = (
  candidates: readonly Candidate[],
  goal: PlacementGoal,
  random: () => number,
  rule: PlacementRule = fastFirst,
): Placement[] => {
  const ranked = candidates
    .filter((candidate) => candidate.fittingTasks > 0 && rule.isAcceptable(candidate, goal))
    .map((candidate) => ({
      ...candidate,
      tier: rule.speedTier(candidate, goal),
      weight: candidate.fittingTasks * (MIN_ROOM_WEIGHT + random()),
    }))
    .sort(
      (a, b) =>
        a.tier - b.tier ||
        Number(b.isNearData) - Number(a.isNearData) ||
        Number(b.isLocal) - Number(a.isLocal) ||
        b.weight - a.weight,
    );
  const placements: Placement[] = [];
  let remaining = goal.count;
  ranked.forEach(({ agent, fittingTasks }) => {
    const count = Math.min(remaining, fittingTasks);
    if (count > 0) placements.push({ agent, count });
    remaining -= count;
  });
  return placements;
};
