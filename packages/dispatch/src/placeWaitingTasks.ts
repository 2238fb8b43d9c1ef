import type { ActiveJob } from './ActiveJob';
import type { Assignment } from './AgentConnection';
import { MAX_SLOWNESS_FACTOR } from './constants';
import type { Placement, PlacementGoal } from './placeTasks';

/** How tasks without room wait at agents. */
export type Queueing = {
  /** Longest time for which a task waits at an agent, in milliseconds. */
  maxQueueMs: number;
};

/** An agent at which tasks may wait. */
export type QueueCandidate = {
  /** Name of the agent. */
  agent: string;
  /** Ratio of actual to estimated run time, averaged over the worker's recent runs. */
  slowness: number;
  /** Estimated wait of a task there, in milliseconds. */
  queueMs: number;
  /** Number of tasks of the step that may wait there together. */
  queueTasks: number;
};

/**
 * @param job - a job
 * @param queueing - how its tasks wait at agents, if they do
 * @param now - monotonic time, in milliseconds
 * @returns the fields of an assignment that ask the agent to queue what does not fit
 */
export const queueFieldsOf = (
  { route, objectiveAt }: Pick<ActiveJob, 'route' | 'objectiveAt'>,
  queueing: Queueing | undefined,
  now: number,
): Pick<Assignment, 'priority' | 'objectiveInMs' | 'maxQueueMs'> =>
  queueing
    ? {
        priority: route.priority,
        objectiveInMs: objectiveAt - now,
        maxQueueMs: queueing.maxQueueMs,
      }
    : {};

const expectedMs = ({ queueMs, slowness }: QueueCandidate, { estimateMs }: PlacementGoal): number =>
  queueMs + estimateMs * slowness;

/** The agents at which the tasks meet their objective, or else those that are not much slower than others. */
const findAcceptable = (
  candidates: readonly QueueCandidate[],
  goal: PlacementGoal,
  maxQueueMs: number,
): QueueCandidate[] => {
  const inTime = candidates.filter(({ queueMs }) => queueMs <= maxQueueMs);
  const meeting = inTime.filter((candidate) => expectedMs(candidate, goal) <= goal.slackMs);
  if (meeting.length > 0) return meeting;
  return inTime.filter(({ slowness }) => slowness < goal.bestSlowness * MAX_SLOWNESS_FACTOR);
};

const pickIndex = (length: number, random: () => number): number =>
  Math.min(length - 1, Math.floor(random() * length));

/**
 * Chooses the agents at which tasks wait that have room nowhere. Load pattern: more tasks than free resources,
 * from many entries with old estimates of the waits. Of two random agents the one with the shorter wait gets a
 * task, so that the entries do not all choose the same one.
 *
 * @param candidates - agents at which the tasks may wait
 * @param goal - number of tasks to place, and the time that they have
 * @param queueing - how tasks wait at agents
 * @param random - uniform random numbers in [0, 1)
 * @returns number of tasks for each chosen agent
 */
export const placeWaitingTasks = (
  candidates: readonly QueueCandidate[],
  goal: PlacementGoal,
  { maxQueueMs }: Queueing,
  random: () => number,
): Placement[] => {
  let open = findAcceptable(candidates, goal, maxQueueMs);
  const counts = new Map<string, number>();
  for (let placed = 0; placed < goal.count && open.length > 0; placed += 1) {
    const first = open[pickIndex(open.length, random)];
    const second = open[pickIndex(open.length, random)];
    if (!first || !second) break;
    const chosen = second.queueMs < first.queueMs ? second : first;
    const count = (counts.get(chosen.agent) ?? 0) + 1;
    counts.set(chosen.agent, count);
    if (count >= chosen.queueTasks) open = open.filter((candidate) => candidate !== chosen);
  }
  return [...counts].map(([agent, count]) => ({ agent, count }));
};
