import { Hono } from 'hono';
import { match } from 'ts-pattern';
import { failure, jobId, requestSchema, submissionSchema } from '@marjorammast/protocol';
import type { Entry } from '../Entry';
import { readBody } from './filters';
import { problem, respond } from './problem';

/**
 * Body of a job submission. Tasks of jobs are never repeated, so `idempotent` is for single
 * requests only.
 */
const jobBodySchema = submissionSchema.omit({ idempotent: true });

/**
 * Creates the routes for clients.
 *
 * @param entry - the entry
 * @returns the routes
 */
export const createClientRoutes = (entry: Entry): Hono =>
  new Hono()
    .post('/jobs', async (context) => {
      const body = await readBody(context, jobBodySchema);
      if (body.type === 'refused') return body.response;
      const submission = { ...body.value, idempotent: false };
      const answer = entry.submit(submission, context.req.query('first') === 'true');
      if (context.req.query('wait') !== 'false') return respond(context, await answer);
      const location = `/v1/jobs/${submission.team}/${encodeURIComponent(submission.key)}`;
      return context.json({ status: 'running', location }, 202, { location });
    })
    .post('/requests', async (context) => {
      const body = await readBody(context, requestSchema);
      if (body.type === 'refused') return body.response;
      const answer = await entry.request(body.value);
      if (answer.type === 'failed') return respond(context, answer);
      return context.json({ status: 'complete', result: answer.results[0] });
    })
    .get('/jobs/:team/:key', async (context) => {
      const id = jobId(context.req.param('team'), context.req.param('key'));
      const view = await entry.find(id);
      return match(view)
        .with({ type: 'answer' }, ({ answer }) => respond(context, answer))
        .with({ type: 'running' }, ({ done, count }) =>
          context.json({ status: 'running', done, count }, 202),
        )
        .with({ type: 'unknown' }, () =>
          problem(context, failure('expired', 'mayHaveRun', `job ${id} is not known`), 404),
        )
        .with({ type: 'notOwner' }, { type: 'unreachable' }, () => {
          const detail = `the owner of ${id} cannot be asked now`;
          const reason = failure('unavailable', 'mayHaveRun', detail, { retryAfterMs: 1_000 });
          return problem(context, reason);
        })
        .exhaustive();
    })
    .delete('/jobs/:team/:key', async (context) => {
      const id = jobId(context.req.param('team'), context.req.param('key'));
      const found = await entry.cancel(id);
      if (found) return context.json({ status: 'cancelled' });
      return problem(context, failure('expired', 'mayHaveRun', `job ${id} is not known`), 404);
    });
