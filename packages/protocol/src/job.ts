import { createHash } from 'node:crypto';
import * as z from 'zod';
import { DEFAULT_DEADLINE_MS, MAX_DEADLINE_MS, MAX_TASKS_PER_JOB } from './constants';
import { failureSchema } from './verdict';

const name = z.string().min(1).max(120);

/** One unit of work, started at most once. */
export const taskSchema = z.strictObject({
  payload: z.json().default(null),
  /** Run time that the client expects, in milliseconds; a hint only. */
  sizeMs: z.number().positive().max(600_000).optional(),
});

/** A job: a set of tasks with one answer. */
export const submissionSchema = z.strictObject({
  /** Chosen by the client; unique within the team until `notAfter` has passed. */
  key: z.string().min(1).max(200),
  team: name,
  kind: name,
  tasks: z.array(taskSchema).min(1).max(MAX_TASKS_PER_JOB),
  urgent: z.boolean().default(false),
  /** Deadline of the whole job, in milliseconds after its arrival. */
  deadlineMs: z.number().int().positive().max(MAX_DEADLINE_MS).default(DEFAULT_DEADLINE_MS),
  /**
   * Wall-clock time after which no task may start any more, in milliseconds since the Unix epoch.
   */
  notAfter: z.number().int().positive(),
  /** True when the system may send a single request again after its answer was lost. */
  idempotent: z.boolean().default(false),
});

/** A single request: a job of one task whose key the system generates. */
export const requestSchema = z.strictObject({
  team: name,
  service: name,
  method: name,
  payload: z.json().default(null),
  idempotent: z.boolean().default(false),
  urgent: z.boolean().default(true),
  deadlineMs: z.number().int().positive().max(MAX_DEADLINE_MS).default(DEFAULT_DEADLINE_MS),
});

/** Answer to a job: the results of all tasks in order, or a failure. */
export const answerSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('complete'), results: z.array(z.json()) }),
  z.object({ type: z.literal('failed'), failure: failureSchema }),
]);

/** Inferred from {@link taskSchema}. */
export type Task = z.infer<typeof taskSchema>;
/** Inferred from {@link submissionSchema}. */
export type Submission = z.infer<typeof submissionSchema>;
/** Inferred from {@link requestSchema}. */
export type SingleRequest = z.infer<typeof requestSchema>;
/** Inferred from {@link answerSchema}. */
export type Answer = z.infer<typeof answerSchema>;

/**
 * Builds the identifier of a job, which is unique in the whole system.
 *
 * @param team - team of the client
 * @param key - key of the job, chosen by the client
 * @returns the identifier, which starts with the team
 */
export const jobId = (team: string, key: string): string => `${team}/${key}`;

/**
 * Computes a digest that tells a resubmission of a job from a different job under the same key.
 *
 * @param submission - validated submission
 * @returns a short hexadecimal digest
 */
export const submissionDigest = (submission: Submission): string =>
  createHash('sha256').update(JSON.stringify(submission)).digest('hex').slice(0, 16);
