import type { WorkerCrash } from '@marjorammast/protocol';
import { taskKey } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { findSuspects } from './findSuspects';
import type { LostRun } from './run';
import type { WorkerIdentity } from './WorkerClient';

/**
 * Creates the report of a crash and logs it, with one line for each lost run.
 *
 * @param agent - name of the agent
 * @param worker - the incarnation that crashed
 * @param lostRuns - the runs that the worker had
 * @param log - the agent's log
 * @returns the report for the entries
 */
export const createWorkerCrash = (
  agent: string,
  { id, born }: WorkerIdentity,
  lostRuns: readonly LostRun[],
  log: Log,
): WorkerCrash => {
  const suspects = new Set(findSuspects(lostRuns));
  log.warn({ worker: id, born, runs: lostRuns.length, suspects: suspects.size }, 'worker_crashed');
  const runs = lostRuns.map((lostRun) => {
    const { run, ageMs } = lostRun;
    const { task, route, wasStarted } = run;
    const isSuspect = suspects.has(lostRun);
    log.warn(
      {
        task: taskKey(task),
        run: run.run,
        ageMs: Math.round(ageMs),
        suspect: isSuspect,
        started: wasStarted,
      },
      'run_lost',
    );
    return { job: task.job, index: task.index, route, isSuspect, wasStarted };
  });
  return { incarnation: `${id}@${born}`, agent, runs };
};
