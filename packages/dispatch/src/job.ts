import type { Resources } from '@marjorammast/protocol';

/** One step of a job: equal tasks that may run once the earlier steps are done. */
export type Step = {
  count: number;
  /** What each task takes of its worker. */
  needs: Resources;
  /** The client's rough estimate of a task's run time, in milliseconds. */
  estimateMs: number;
  /** Numbers of the steps that must be done first. */
  after: readonly number[];
  /** Label that the worker must have. */
  label?: string;
  /** Rack that holds the data. */
  nearRack?: string;
  /** Most tasks of the step that one worker runs at a time; 0 for no limit. */
  maxPerWorker: number;
  /** Traits that only some deployments use. */
  traits: readonly StepTrait[];
};

/** Traits of a step that change how its tasks are run. */
export type StepTrait =
  | 'checkpoints'
  /** All tasks work only together. */
  | 'gang'
  | 'sameRack'
  /** Copies of a task may run beside each other. */
  | 'speculative'
  /** Tasks run until the job is cancelled. */
  | 'lasting'
  /** Tasks use only what others leave. */
  | 'filler';

/** A job as a client hands it in. */
export type JobRequest = {
  id: string;
  /** What the tasks run; opaque here. */
  spec: string;
  steps: readonly Step[];
  /** The client waits for the end, and nobody asks for the job later. */
  isBestEffort: boolean;
  /** Times that the steps run at set times; 0 for a job that runs once, at once. */
  repeatCount: number;
};

/** How a job ended for the client that waits for it. */
export type JobOutcome =
  | { type: 'completed' }
  /** A task used up its attempts. */
  | { type: 'failed'; reason: string }
  /** Nothing has run and nothing will. */
  | { type: 'refused'; reason: RefusalReason; retryAfterMs: number }
  /** Parts may have run; nothing runs any more. */
  | { type: 'unfinished'; reason: string }
  /** No queue has this address. */
  | { type: 'unknownRoute' };

/** Why a job was refused. */
export type RefusalReason = 'notSupported' | 'tooLarge' | 'noRoom' | 'noWorkers';

/**
 * Names what a job asks for that is not served yet.
 *
 * @param job - the job
 * @returns the feature, or `undefined` when the job can be run
 */
export const unsupportedFeature = (job: JobRequest): string | undefined => {
  if (!job.isBestEffort) return 'storedJob';
  if (job.steps.length !== 1) return 'severalSteps';
  if (job.repeatCount > 0) return 'occurrences';
  const [step] = job.steps;
  return step?.traits.find((trait) => trait !== 'checkpoints' && trait !== 'speculative');
};
