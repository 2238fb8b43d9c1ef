import { MAX_LOST_WORKERS_PER_TASK } from './constants';

/**
 * Decides whether a task waits for word of the workers that were lost with its runs. Load pattern: a task
 * crashes each worker that starts it, and the workers only fall silent, so that each crash becomes known
 * when the worker is back. Until then the task must not take out further workers; it is not given up
 * either, since a silent worker may not have crashed.
 *
 * @param silentWorkers - number of workers that were lost with a run of the task and may have crashed
 * @param crashedWorkers - number of workers that are known to have crashed under the task
 * @returns true when the task must not be started now
 */
export const mustWaitForWorkers = (silentWorkers: number, crashedWorkers: number): boolean =>
  silentWorkers > 0 && silentWorkers + crashedWorkers >= MAX_LOST_WORKERS_PER_TASK;
