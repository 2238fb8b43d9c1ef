// Importing all of undici takes 9 MB more memory than importing only its pool and its request
// function.
import request from 'undici/lib/api/api-request.js';
import Pool from 'undici/lib/dispatcher/pool.js';
import * as z from 'zod';
import type { Outcome, StartParams } from '@marjorammast/protocol';

/** Address of a target, its number of slots and the maximum number of connections to open to it. */
export type Target = { address: string; slots: number; connections: number };

/** Result of one attempt to run a task; `notSent` when the target certainly did not receive it. */
export type RunResult = { type: 'notSent'; detail: string } | { type: 'ended'; outcome: Outcome };

/** Runs one task on the target. */
export type TaskRunner = (
  target: Target,
  start: StartParams,
  signal: AbortSignal,
) => Promise<RunResult>;

/** Error codes of a failed connection attempt, after which the target has received nothing. */
const NOT_SENT_ERROR_CODES = [
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'EHOSTUNREACH',
  'ENETUNREACH',
];

const CONNECT_TIMEOUT_MS = 500;

const answerSchema = z.object({ result: z.json() });

const outcomeFromResponse = (status: number, text: string): Outcome => {
  if (status !== 200)
    return { type: 'error', detail: `target answered ${status}: ${text.slice(0, 500)}` };
  try {
    return { type: 'done', result: answerSchema.parse(JSON.parse(text)).result };
  } catch {
    return { type: 'error', detail: 'target answered with an invalid body' };
  }
};

const resultFromError = (error: unknown): RunResult => {
  const { code, message } = error as { code?: string; message?: string };
  const detail = `${code ?? ''} ${message ?? String(error)}`.trim();
  if (code && NOT_SENT_ERROR_CODES.includes(code)) return { type: 'notSent', detail };
  return { type: 'ended', outcome: { type: 'unknown', detail } };
};

/**
 * Creates a runner that calls targets over HTTP.
 *
 * @returns the runner
 */
export const createHttpRunner = (): TaskRunner => {
  let pool: Pool | undefined;
  let origin = '';

  const poolOf = (target: Target): Pool => {
    const next = `http://${target.address}`;
    if (!pool || origin !== next) {
      void pool?.close();
      origin = next;
      pool = new Pool(origin, {
        connections: target.connections,
        pipelining: 1,
        connect: { timeout: CONNECT_TIMEOUT_MS },
      });
    }
    return pool;
  };

  return async (target, start, signal) => {
    try {
      const response = await request.call(poolOf(target), {
        path: '/tasks',
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({
          job: start.job,
          index: start.index,
          kind: start.kind,
          payload: start.payload,
          deadlineMs: start.deadlineMs,
        }),
        headersTimeout: start.deadlineMs,
        bodyTimeout: start.deadlineMs,
        signal,
      });
      const text = await response.body.text();
      return { type: 'ended', outcome: outcomeFromResponse(response.statusCode, text) };
    } catch (error) {
      return resultFromError(error);
    }
  };
};
