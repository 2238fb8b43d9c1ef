import type { Context, MiddlewareHandler } from 'hono';
import { bodyLimit } from 'hono/body-limit';
import type * as z from 'zod';
import { MAX_BODY_BYTES, failure } from '@marjorammast/protocol';
import type { Log, Metrics } from '@marjorammast/telemetry';
import { problem } from './problem';

/** Maximum number of clients' requests that one entry serves at the same time. */
const MAX_OPEN_CALLS = 10_000;

const RETRY_AFTER_MS = 1_000;

/** Records the duration of each request, by method and status. */
export const recordRequestMetrics =
  (metrics: Metrics): MiddlewareHandler =>
  async (context, next) => {
    const startedAt = performance.now();
    await next();
    const tags = { method: context.req.method, status: String(context.res.status) };
    metrics.timing('http.request', performance.now() - startedAt, tags);
  };

/** Refuses request bodies over the size limit before they are read completely. */
export const limitBody = (maxSize: number = MAX_BODY_BYTES): MiddlewareHandler =>
  bodyLimit({
    maxSize,
    onError: (context) =>
      problem(context, failure('invalid', 'notRun', `the body is over ${maxSize} bytes`), 413),
  });

/**
 * Closes the clients' connections while the entry stops, so that they reconnect to another entry.
 */
export const closeWhileDraining =
  (isDraining: () => boolean): MiddlewareHandler =>
  async (context, next) => {
    await next();
    if (isDraining()) context.res.headers.set('connection', 'close');
  };

/** Refuses requests while too many are in progress. */
export const limitCalls =
  (openCalls: () => number): MiddlewareHandler =>
  async (context, next) => {
    if (openCalls() < MAX_OPEN_CALLS) return next();
    const detail = 'too many requests are in progress';
    return problem(
      context,
      failure('overloaded', 'notRun', detail, { retryAfterMs: RETRY_AFTER_MS }),
    );
  };

/** Turns an unexpected error into an answer with the verdict `mayHaveRun`. */
export const catchErrors =
  (log: Log) =>
  (error: Error, context: Context): Response => {
    log.error({ path: context.req.path, error: error.message }, 'request_error');
    return problem(context, failure('internal', 'mayHaveRun', error.message));
  };

/** A valid body, or the response that refuses an invalid one. */
export type CheckedBody<T> = { type: 'valid'; value: T } | { type: 'refused'; response: Response };

/**
 * Reads and validates a JSON body.
 *
 * @param context - the request
 * @param schema - schema of the body
 * @returns the value, or a refusal that names every invalid field
 */
export const readBody = async <T>(
  context: Context,
  schema: z.ZodType<T>,
): Promise<CheckedBody<T>> => {
  const refuse = (detail: string): CheckedBody<T> => ({
    type: 'refused',
    response: problem(context, failure('invalid', 'notRun', detail)),
  });
  const text = await context.req.text();
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return refuse(`the body is not JSON: ${error instanceof Error ? error.message : error}`);
  }
  const checked = schema.safeParse(value);
  if (checked.success) return { type: 'valid', value: checked.data };
  const mistakes = checked.error.issues.map(
    (issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`,
  );
  return refuse(mistakes.join('; '));
};
