import type { Resources, TaskId } from '@marjorammast/protocol';

/** One run of a task on the worker, from the moment its resources are reserved. */
export type Run = {
  task: TaskId;
  /** Number of the run; a later run of the same task has a higher number. */
  run: number;
  /** Identifies the entry connection that assigned the run. */
  ownerId: string;
  /** Name of the job's route. */
  route: string;
  needs: Resources;
  /** The client's estimate of the run time, in milliseconds. */
  estimateMs: number;
  /** Slowness of fast workers when the run was admitted; see {@link SlownessEstimate}. */
  bestSlowness: number;
  /** Monotonic time at which the worker gets the command to start the run, in milliseconds. */
  startsAt: number;
  /** Time on the agent's clock until which the command may be sent, in milliseconds. */
  startBy: number;
  /** `waiting`: the command to start the run has not been sent. */
  state: 'waiting' | 'starting' | 'running' | 'stopping';
  /** End to report when the worker lists the run as stopped. */
  endIfStopped: 'stopped' | 'stalled';
  percent: number;
  /** Monotonic time at which `percent` last rose, in milliseconds. */
  lastProgressAt: number;
  /** True once the worker has accepted the start of the run or listed the run. */
  wasStarted: boolean;
  /** True once the worker has listed the run as running. */
  wasListed: boolean;
  /** A worker crashed just after it had started the task. */
  isSuspect: boolean;
  /** Another run of the task has failed or stalled on another worker. */
  hasFailedElsewhere: boolean;
};

/** A run that was on a worker when it crashed. */
export type LostRun = {
  run: Run;
  /** Time from the command to start the run to the crash, in milliseconds. */
  ageMs: number;
};
