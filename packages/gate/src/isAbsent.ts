import { taskKey } from '@marjorammast/protocol';
import type { Run } from './run';
import type { RunList } from './WorkerClient';

/**
 * Tells whether a list shows that a run is not active. A list with an unreadable row shows nothing.
 *
 * @param run - the run
 * @param list - the list
 * @returns true when the run is certainly not among the running ones
 */
export const isAbsent = (run: Run, { running, hasUnreadableRows }: RunList): boolean => {
  const key = taskKey(run.task);
  const isListed = running.some((row) => taskKey(row.task) === key && row.run === run.run);
  return !isListed && !hasUnreadableRows;
};
