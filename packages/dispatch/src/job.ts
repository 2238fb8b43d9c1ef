import type { Resources } from '@marjorammast/protocol';

/** One step of a job: identical tasks that may run once the steps it depends on are done. */
export type Step = {
  /** Number of tasks. */
  count: number;
  /** Resources that each task takes on its worker. */
  needs: Resources;
  /** The client's rough estimate of a task's run time, in milliseconds. */
  estimateMs: number;
  /** Numbers of the steps that this step depends on. */
  after: readonly number[];
  /** Label that the worker must have. */
  label?: string;
  /** Rack that holds the step's data; workers in this rack are preferred. */
  nearRack?: string;
  /** Largest number of tasks of the step that one worker runs at a time; 0 for no limit. */
  maxPerWorker: number;
  /** Optional traits, which only some deployments use. */
  traits: readonly StepTrait[];
};

/** Traits of a step that change how its tasks are run. */
export type StepTrait =
  | 'checkpoints'
  /** The tasks can only run all at the same time (gang scheduling). */
  | 'gang'
  /** All tasks run in one rack. */
  | 'sameRack'
  /** Several copies of a task may run at the same time (speculative execution). */
  | 'speculative'
  /** The tasks run until the job is cancelled. */
  | 'lasting'
  /** The tasks use only resources that other tasks leave free. */
  | 'filler';

/** A job as a client submits it. */
export type JobRequest = {
  id: string;
  /** Describes to the worker what the tasks run; not interpreted by entries and agents. */
  spec: string;
  steps: readonly Step[];
  /** True when the client waits for the answer, and the job need not be stored for later queries. */
  isBestEffort: boolean;
  /** Number of scheduled repetitions of the steps; 0 for a job that runs once, immediately. */
  repeatCount: number;
};

/** Outcome of a job for the client that waits for it. */
export type JobOutcome =
  | { type: 'completed' }
  /** A task failed as many times as its route allows, or crashed the workers that started it. */
  | { type: 'failed'; reason: string }
  /** No task has run, and none will run. */
  | { type: 'refused'; reason: RefusalReason; retryAfterMs: number }
  /** Some tasks may have run; remaining runs are stopped and none is started. */
  | { type: 'unfinished'; reason: string }
  /** No route matches the request. */
  | { type: 'unknownRoute' };

/** Why a job was refused. */
export type RefusalReason =
  | 'notSupported'
  | 'tooLarge'
  | 'noRoom'
  | 'noWorkers'
  | 'stopping'
  /** The job may be an old copy of one that another entry runs, and not all entries have answered. */
  | 'unconfirmed';

/**
 * Finds a feature that a job uses and that is not supported yet.
 *
 * @param job - the job
 * @returns name of the feature, or `undefined` when the job is supported
 */
export const unsupportedFeature = (job: JobRequest): string | undefined => {
  if (!job.isBestEffort) return 'storedJob';
  if (job.steps.length !== 1) return 'severalSteps';
  if (job.repeatCount > 0) return 'occurrences';
  const [step] = job.steps;
  return step?.traits.find((trait) => trait !== 'checkpoints' && trait !== 'speculative');
};
