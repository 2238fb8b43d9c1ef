import type { Context } from 'hono';
import { match } from 'ts-pattern';
import type { Answer, Failure } from '@marjorammast/protocol';

/** HTTP status of a failure. */
export const httpStatusOf = (
  code: Failure['code'],
): 400 | 409 | 410 | 429 | 499 | 500 | 502 | 503 | 504 =>
  match(code)
    .returnType<400 | 409 | 410 | 429 | 499 | 500 | 502 | 503 | 504>()
    .with('invalid', () => 400)
    .with('conflict', () => 409)
    .with('expired', () => 410)
    .with('quotaExceeded', () => 429)
    .with('cancelled', () => 499)
    .with('taskFailed', 'agentLost', 'ownerLost', () => 502)
    .with('overloaded', 'unavailable', 'unplaceable', 'stale', 'draining', () => 503)
    .with('deadlineExceeded', () => 504)
    .with('internal', () => 500)
    .exhaustive();

const MS_PER_S = 1_000;

/**
 * Creates a response with problem details (RFC 9457) that include the verdict.
 *
 * @param context - the request
 * @param cause - the failure
 * @param status - HTTP status; by default the one for the code of the failure
 * @returns the response
 */
export const problem = (
  context: Context,
  cause: Failure,
  status: number = httpStatusOf(cause.code),
): Response => {
  const headers: Record<string, string> = { 'content-type': 'application/problem+json' };
  if (cause.retryAfterMs) headers['retry-after'] = String(Math.ceil(cause.retryAfterMs / MS_PER_S));
  const body = { type: `urn:marjorammast:${cause.code}`, title: cause.code, status, ...cause };
  return context.body(JSON.stringify(body), status as 400, headers);
};

/**
 * Creates the response for the answer to a job.
 *
 * @param context - the request
 * @param answer - the answer
 * @returns the response
 */
export const respond = (context: Context, answer: Answer): Response =>
  match(answer)
    .with({ type: 'complete' }, ({ results }) => context.json({ status: 'complete', results }, 200))
    .with({ type: 'failed' }, ({ failure: reason }) => problem(context, reason))
    .exhaustive();
