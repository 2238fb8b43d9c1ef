import * as z from 'zod';

/**
 * States whether a request has run.
 *
 * `notRun`: this transmission of the request did not run and never will.
 * `mayHaveRun`: no reachable process knows whether it ran.
 * `ran`: it was started.
 */
export const verdictSchema = z.enum(['notRun', 'mayHaveRun', 'ran']);

/** Inferred from {@link verdictSchema}. */
export type Verdict = z.infer<typeof verdictSchema>;

const SEVERITY: Record<Verdict, number> = { notRun: 0, mayHaveRun: 1, ran: 2 };

/**
 * Combines the verdicts of the tasks of one job, or of the hops of one request.
 *
 * @param verdicts - verdicts of the tasks or hops
 * @returns the most severe one in the order `notRun`, `mayHaveRun`, `ran`; `notRun` for no verdicts
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
  /** Index of the task that caused the failure, if one did. */
  task: z.number().int().optional(),
  /** Time after which a retry may succeed, in milliseconds. */
  retryAfterMs: z.number().optional(),
});

/** Inferred from {@link failureSchema}. */
export type Failure = z.infer<typeof failureSchema>;

/**
 * Creates a failure.
 *
 * @param code - what went wrong
 * @param verdict - whether the request may have run
 * @param detail - human-readable description
 * @param extra - the causing task and the time to wait before a retry, if known
 * @returns the failure
 */
export const failure = (
  code: Failure['code'],
  verdict: Verdict,
  detail: string,
  extra: Pick<Failure, 'task' | 'retryAfterMs'> = {},
): Failure => ({ code, verdict, detail, ...extra });
