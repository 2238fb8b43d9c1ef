import { z } from 'zod';

/**
 * Says whether a request may have run.
 *
 * `notRun`: it did not run and never will under this transmission.
 * `mayHaveRun`: nobody who can be asked knows.
 * `ran`: it was started.
 */
export const verdictSchema = z.enum(['notRun', 'mayHaveRun', 'ran']);

/** Inferred from {@link verdictSchema}. */
export type Verdict = z.infer<typeof verdictSchema>;

const SEVERITY: Record<Verdict, number> = { notRun: 0, mayHaveRun: 1, ran: 2 };

/**
 * Joins the verdicts of the parts of one job, or of the hops of one request.
 *
 * @param verdicts - verdicts of the parts
 * @returns the strongest claim that anything has run; `notRun` for no parts
 */
export const joinVerdicts = (verdicts: readonly Verdict[]): Verdict =>
  verdicts.reduce<Verdict>(
    (worst, next) => (SEVERITY[next] > SEVERITY[worst] ? next : worst),
    'notRun',
  );

/** Why a job or a request failed. */
export const failureSchema = z.object({
  code: z.enum([
    'invalid',
    'conflict',
    'expired',
    'overloaded',
    'quotaExceeded',
    'deadlineExceeded',
    'cancelled',
    'taskFailed',
    'agentLost',
    'ownerLost',
    'unplaceable',
    'stale',
    'draining',
    'unavailable',
    'internal',
  ]),
  verdict: verdictSchema,
  detail: z.string(),
  /** Index of the task that decided the failure, if one did. */
  task: z.number().int().optional(),
  /** Milliseconds after which another try may succeed. */
  retryAfterMs: z.number().optional(),
});

/** Inferred from {@link failureSchema}. */
export type Failure = z.infer<typeof failureSchema>;

/**
 * Builds a failure.
 *
 * @param code - what went wrong
 * @param verdict - whether the request may have run
 * @param detail - text for a person
 * @returns the failure
 */
export const failure = (
  code: Failure['code'],
  verdict: Verdict,
  detail: string,
  extra: Pick<Failure, 'task' | 'retryAfterMs'> = {},
): Failure => ({ code, verdict, detail, ...extra });
