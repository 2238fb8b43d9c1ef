import { MAX_LOST_WORKERS_PER_TASK } from './constants';

/**
 * Decides whether a task waits for word of the workers that were lost with its runs. Load pattern: a task
 * crashes each worker that starts it, and the workers only fall silent, so that each crash becomes known
 * when the worker is back. Until then the task must not take out further workers; it is not given up
 * either, since a silent worker may not have crashed.
 *
 * @param lostAgents - agents whose workers were lost with a run of the task; those that are back are removed
 * @param crashedAgents - agents whose workers are known to have crashed under the task
 * @param isBack - tells whether an agent's worker is back, or nothing more will be heard from the agent
 * @returns true when the task must not be started now
 */
export const mustWaitForWorkers = (
  lostAgents: Set<string>,
  crashedAgents: readonly string[],
  isBack: (agent: string) => boolean,
): boolean => {
  lostAgents.forEach((agent) => {
    if (isBack(agent)) lostAgents.delete(agent);
  });
  const crashed = new Set(crashedAgents);
  const unexplained = [...lostAgents].filter((agent) => !crashed.has(agent)).length;
  return unexplained > 0 && unexplained + crashed.size >= MAX_LOST_WORKERS_PER_TASK;
};
