import type { WorkerCrash } from '@marjorammast/protocol';
import { taskKey } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { findSuspects } from './findSuspects';
import { incarnationOf } from './incarnationOf';
import type { LostRun, Run } from './run';
import type { WorkerIdentity } from './WorkerClient';

/**
 * Creates the report that runs were lost with a worker that may have crashed, or may only be silent.
 *
 * @param agent - name of the agent
 * @param worker - the silent incarnation
 * @param runs - the runs whose leases have expired
 * @returns the report for the entries
 */
export const createWorkerLoss = (
  agent: string,
  worker: WorkerIdentity,
  runs: readonly Run[],
): WorkerCrash => ({
  isCertain: false,
  incarnation: incarnationOf(worker),
  agent,
  runs: runs.map(({ task: { job, index }, route, wasStarted }) => ({
    job,
    index,
    route,
    isSuspect: false,
    wasStarted,
  })),
});

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
  worker: WorkerIdentity,
  lostRuns: readonly LostRun[],
  log: Log,
): WorkerCrash => {
  const suspects = new Set(findSuspects(lostRuns));
  const { id, born } = worker;
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
  return { isCertain: true, incarnation: incarnationOf(worker), agent, runs };
};
