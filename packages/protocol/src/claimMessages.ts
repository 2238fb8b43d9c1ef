import * as z from 'zod';

const count = z.number().int().nonnegative();

/** An entry as it is registered in the store. */
const registeredEntrySchema = z.object({
  name: z.string(),
  address: z.string(),
  dataCenter: z.string(),
});

/**
 * Calls by which an entry that was paused makes sure that it alone runs a job. What it reads may be so old that the
 * client has left and has submitted the job elsewhere since, or will do so before the end of its connection arrives.
 */
export const claimCallSchemas = {
  /**
   * Entry to entry: the sender wants to run these jobs. Those that the receiver does not know are claimed: if one is
   * submitted there before the sender has ended it, the sender has to release it first.
   */
  claimJobs: {
    params: z.object({
      /** Name of the sender. */
      entry: z.string(),
      /** Tuples of job and time until the sender ends it, in milliseconds. */
      jobs: z.array(z.tuple([z.string(), z.number().nonnegative()])),
      /** Revision up to which the store has delivered all changes to the sender. */
      storeRevision: count,
    }),
    result: z.object({
      /** Jobs that were submitted to the receiver, whether it has answered them or not. */
      known: z.array(z.string()),
      /** Time for which the receiver remembers all jobs, in milliseconds. */
      memoryMs: z.number().nonnegative(),
      /** All registered entries, if the store has delivered a newer revision to the receiver. */
      entries: z.array(registeredEntrySchema).optional(),
    }),
  },
  /**
   * Receiver of a claim to its sender: the job was submitted here. The answer follows when the sender has ended it,
   * and its runs too.
   */
  releaseJob: { params: z.object({ job: z.string() }), result: z.object({}) },
} as const;
