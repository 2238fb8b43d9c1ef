import * as z from 'zod';
import { resourcesSchema } from './dispatchMessages';

const count = z.number().int().nonnegative();

/** A job as an entry forwards it; `JobRequest` of the dispatch package. */
export const forwardedJobSchema = z.object({
  id: z.string(),
  spec: z.string(),
  steps: z
    .array(
      z.object({
        count,
        needs: resourcesSchema,
        estimateMs: z.number().nonnegative(),
        after: z.array(count).readonly(),
        label: z.string().optional(),
        nearRack: z.string().optional(),
        maxPerWorker: count,
        traits: z
          .array(z.enum(['checkpoints', 'gang', 'sameRack', 'speculative', 'lasting', 'filler']))
          .readonly(),
      }),
    )
    .readonly(),
  isBestEffort: z.boolean(),
  repeatCount: count,
});

/** Outcome of a forwarded job; `JobOutcome` of the dispatch package. */
export const forwardedOutcomeSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('completed') }),
  z.object({ type: z.literal('failed'), reason: z.string() }),
  z.object({
    type: z.literal('refused'),
    reason: z.enum(['notSupported', 'tooLarge', 'noRoom', 'noWorkers', 'stopping', 'unconfirmed']),
    retryAfterMs: z.number(),
  }),
  z.object({ type: z.literal('unfinished'), reason: z.string() }),
  z.object({ type: z.literal('unknownRoute') }),
]);

/**
 * Why an entry declined a forwarded job, of which nothing has run there. `load`: it has too little processor time
 * itself. `configuration`: it has an older version of the operators' configuration. `route`: it does not have the
 * route. `workers`: it is attached to no worker of the service. `forwarded`: it has forwarded the job itself.
 * `stale`: the message was too old on arrival.
 */
export const forwardDeclineReasonSchema = z.enum([
  'load',
  'stopping',
  'configuration',
  'route',
  'workers',
  'forwarded',
  'stale',
]);

/** Load of an entry, as it is reported to other entries. */
export const entryLoadSchema = z.object({
  /** Part of its processor time that is in use, from 0 to 1. */
  utilization: z.number().nonnegative(),
  /** Processor time that it may use, in cores. */
  processorCores: z.number().positive(),
  /** False while it declines all forwarded jobs. */
  accepts: z.boolean(),
});

/** Fields that show the age of a message without comparing two clocks. */
const age = {
  /** Latest reading of the receiver's clock that the sender has; absent before the first. */
  echo: z.number().optional(),
  /** Time since the sender received `echo`, in milliseconds. */
  heldMs: z.number().nonnegative().default(0),
};

/** Calls by which an entry with too little processor time (the sender) forwards jobs to another (the receiver). */
export const forwardCallSchemas = {
  /**
   * Sender to receiver: runs a job. The answer follows when the job has ended, or at once when the receiver declines
   * it. Once this was sent, the sender does not run the job unless the receiver has declined it.
   */
  forward: {
    params: z.object({
      job: forwardedJobSchema,
      /** Name of the job's route. */
      route: z.string(),
      /** Version of the operators' configuration at the sender. */
      version: count,
      /** Time in which the sender needs the answer, in milliseconds. */
      remainingMs: z.number(),
      ...age,
    }),
    result: z.discriminatedUnion('type', [
      z.object({
        type: z.literal('ended'),
        outcome: forwardedOutcomeSchema,
        load: entryLoadSchema,
      }),
      z.object({
        type: z.literal('declined'),
        reason: forwardDeclineReasonSchema,
        load: entryLoadSchema,
      }),
    ]),
  },
  /** Sender to receiver: the clients of these jobs have left or cancelled them. */
  withdraw: { params: z.object({ jobs: z.array(z.string()) }), result: z.object({}) },
  /**
   * Sender to receiver: shows that the sender is alive, and asks for the receiver's load. First call on a
   * connection. A receiver with jobs of a silent sender closes the connection and stops them.
   */
  heartbeat: {
    params: z.object(age),
    result: z.object({
      /** Reading of the receiver's clock, which the sender sends back as `echo`. */
      clock: z.number(),
      load: entryLoadSchema,
      /** The sender's jobs of which no run has been admitted. */
      pending: z.array(z.string()),
    }),
  },
} as const;

/** Inferred from {@link entryLoadSchema}. */
export type EntryLoadReport = z.infer<typeof entryLoadSchema>;
/** Inferred from {@link forwardDeclineReasonSchema}. */
export type ForwardDeclineReason = z.infer<typeof forwardDeclineReasonSchema>;
