import {
  EQUAL_SLOWNESS_FACTOR,
  MAX_SLOWNESS_FACTOR,
  SLOW_RUN_MARGIN,
  START_MARGIN_MS,
} from './constants';
import type { Candidate, PlacementGoal } from './placeTasks';

/** Decides which workers tasks may be placed on, and in which order. */
export type PlacementRule = {
  isAcceptable: (candidate: Candidate, goal: PlacementGoal) => boolean;
  /** Rank of a candidate by the speed of its worker; lower ranks get tasks first. */
  speedTier: (candidate: Candidate, goal: PlacementGoal) => number;
};

const FAST_TIER = 0;

/** Rank of the slower workers that get tasks before the fast ones. */
const PREFERRED_TIER = -1;

const isFast = ({ slowness }: Candidate, { bestSlowness }: PlacementGoal): boolean =>
  slowness <= bestSlowness * EQUAL_SLOWNESS_FACTOR;

/**
 * Ranks all fast workers before the others, and these by their slowness. A worker slower than the fast ones is
 * accepted if a task meets the latency objective on it. If the task cannot meet the objective even on a fast worker, a
 * slower worker is accepted too, unless its slowness is {@link MAX_SLOWNESS_FACTOR} times that of the fast ones, or
 * more.
 */
export const fastFirst: PlacementRule = {
  isAcceptable: (candidate, goal) => {
    if (isFast(candidate, goal)) return true;
    const { slowness } = candidate;
    const isObjectiveMet = goal.estimateMs * slowness <= goal.slackMs;
    const isObjectiveOutOfReach = goal.estimateMs * goal.bestSlowness > goal.slackMs;
    return (
      isObjectiveMet ||
      (isObjectiveOutOfReach && slowness < goal.bestSlowness * MAX_SLOWNESS_FACTOR)
    );
  },
  speedTier: (candidate, goal) => (isFast(candidate, goal) ? FAST_TIER : candidate.slowness),
};

/** True when a task meets its objective on a worker although its run takes longer than expected. */
const hasMargin = (
  { slowness }: Candidate,
  { estimateMs, expectedMs = estimateMs, slackMs }: PlacementGoal,
): boolean => expectedMs * slowness * SLOW_RUN_MARGIN + START_MARGIN_MS <= slackMs;

/**
 * The rule while free capacity on fast workers is scarce. Load pattern: tasks that need a fast worker compete for it
 * with short ones that would meet their objective on idle slower workers. The latter go to slower workers first. These
 * rank equally, so that entries with the same view do not all choose the fastest of them.
 */
export const spareFast: PlacementRule = {
  isAcceptable: fastFirst.isAcceptable,
  speedTier: (candidate, goal) => {
    const isPreferred = !isFast(candidate, goal) && hasMargin(candidate, goal);
    return isPreferred ? PREFERRED_TIER : fastFirst.speedTier(candidate, goal);
  },
};

/**
 * Ranks like {@link spareFast}, but accepts a slower worker only for tasks that meet their objective on it with a margin,
 * or that would miss it on a fast worker too; the others wait for a fast one. Load pattern: the fast workers are full at
 * most times, so that urgent tasks are placed on slower workers at once and end late, while tasks of lower priority that
 * are not accepted there get the next free fast capacity.
 */
export const waitForFast: PlacementRule = {
  ...spareFast,
  isAcceptable: (candidate, goal) => {
    if (!fastFirst.isAcceptable(candidate, goal)) return false;
    const isLate = goal.estimateMs * goal.bestSlowness > goal.slackMs;
    return isLate || isFast(candidate, goal) || hasMargin(candidate, goal);
  },
};
