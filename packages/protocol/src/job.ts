import { createHash } from 'node:crypto';
import { z } from 'zod';
import { DEFAULT_DEADLINE_MS, MAX_DEADLINE_MS, MAX_TASKS_PER_JOB } from './constants';
import { failureSchema } from './verdict';

const name = z.string().min(1).max(120);

/** One unit of work, started at most once. */
export const taskSchema = z.strictObject({
  payload: z.json().default(null),
  /** Run time expected by the caller, in milliseconds; a prior only. */
  sizeMs: z.number().positive().max(600_000).optional(),
});

/** A set of tasks that is answered as a whole. */
export const submissionSchema = z.strictObject({
  /** Chosen by the client; unique within the team until `notAfter` has passed. */
  key: z.string().min(1).max(200),
  team: name,
  kind: name,
  tasks: z.array(taskSchema).min(1).max(MAX_TASKS_PER_JOB),
  urgent: z.boolean().default(false),
  /** Time for the whole job from its arrival, in milliseconds. */
  deadlineMs: z.number().int().positive().max(MAX_DEADLINE_MS).default(DEFAULT_DEADLINE_MS),
  /** Wall-clock time after which no task may start, in milliseconds since the Unix epoch. */
  notAfter: z.number().int().positive(),
  /** Single idempotent requests may be sent again when the first answer is lost. */
  idempotent: z.boolean().default(false),
});

/** A single request: a job of one task without a key of the client's. */
export const requestSchema = z.strictObject({
  team: name,
  service: name,
  method: name,
  payload: z.json().default(null),
  idempotent: z.boolean().default(false),
  urgent: z.boolean().default(true),
  deadlineMs: z.number().int().positive().max(MAX_DEADLINE_MS).default(DEFAULT_DEADLINE_MS),
});

/** The answer to a job: every result in order, or a failure. */
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
 * Identifies a job across the system.
 *
 * @param team - team of the client
 * @param key - key chosen by the client
 * @returns the identifier, which begins with the team
 */
export const jobId = (team: string, key: string): string => `${team}/${key}`;

/**
 * Digest of a submission, equal for a resubmission and different for another content.
 *
 * @param submission - checked submission
 * @returns a short hexadecimal digest
 */
export const submissionDigest = (submission: Submission): string =>
  createHash('sha256').update(JSON.stringify(submission)).digest('hex').slice(0, 16);
