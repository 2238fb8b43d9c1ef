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
  /** Specification of the task, passed to the worker. */
  spec: string;
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
  /** Fencing token of the command to start the run; 0 before it is sent. */
  startToken: number;
  /** Monotonic time at which the start was found to have no answer, in milliseconds. */
  unansweredAt?: number;
  /** True once the worker has accepted the start of the run or listed the run. */
  wasStarted: boolean;
  /** Number of start commands that were sent for the run. */
  starts: number;
  /**
   * Number of start commands that have neither been answered nor shown in effect by a list. The worker, or its
   * next incarnation, may still carry them out.
   */
  pendingStarts: number;
  /** True once the worker has listed the run as running. */
  wasListed: boolean;
  /** A worker crashed just after it had started the task. */
  isSuspect: boolean;
  /** Another run of the task has failed or stalled on another worker. */
  hasFailedElsewhere: boolean;
  /** False once its entry has abandoned the run or is lost: nobody waits for the end of the run. */
  isWanted: boolean;
  /** Monotonic time from which the run is to be stopped, in milliseconds. */
  stopWantedAt?: number;
};

/** What showed an agent that a run has ended or never starts; logged with the end of the run. */
export type EndSign =
  /** The worker has listed the end. */
  | 'listed'
  /** The start was not sent to the worker. */
  | 'notSent'
  /** The worker has refused the start. */
  | 'startRefused'
  /** The worker has accepted a stop, and a later list does not show the run. */
  | 'stopConfirmed'
  /** A list that was requested with a higher token than the start does not show the run. */
  | 'fenced'
  /** All leases that were requested from the worker have expired. */
  | 'leaseExpired'
  /** The session with the incarnation of the worker has ended. */
  | 'sessionEnded'
  /** No word of the run has come for longer than a command without an answer takes. */
  | 'notTakenOver';

/** A run that was on a worker when it crashed. */
export type LostRun = {
  run: Run;
  /** Time from the command to start the run to the crash, in milliseconds. */
  ageMs: number;
};
