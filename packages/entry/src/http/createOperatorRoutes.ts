import { Hono } from 'hono';
import type { Context } from 'hono';
import { match } from 'ts-pattern';
import * as z from 'zod';
import { CALL_TIMEOUT_MS, environmentSchema, failure } from '@marjorammast/protocol';
import type { Environment } from '@marjorammast/protocol';
import type { Entry } from '../Entry';
import type { ChangeResult } from '../EnvironmentController';
import { readBody } from './filters';
import { problem } from './problem';

const DEFAULT_TIMELINE_MS = 30_000;

const changeBodySchema = z.strictObject({
  environment: environmentSchema,
  /** Version on which the change is based; -1 for the first. */
  expected: z.number().int().min(-1),
  author: z.string().min(1).max(60),
  /** Allows an environment in which every data centre is out. */
  allowAllOut: z.boolean().default(false),
});

const respondChange = (context: Context, change: ChangeResult): Response =>
  match(change)
    .with({ type: 'accepted' }, (accepted) => context.json(accepted))
    .with({ type: 'unconfirmed' }, (unconfirmed) => context.json(unconfirmed, 202))
    .with({ type: 'conflict' }, ({ current }) =>
      context.json({ type: 'conflict', current: current ?? null }, 409),
    )
    .with({ type: 'unsettled' }, () =>
      problem(
        context,
        failure(
          'unavailable',
          'mayHaveRun',
          'the store did not answer; the change may take effect',
        ),
      ),
    )
    .with({ type: 'refused' }, ({ detail }) =>
      problem(context, failure('unavailable', 'notRun', detail, { retryAfterMs: 1_000 })),
    )
    .exhaustive();

const isAllOut = (environment: Environment): boolean => {
  const centers = Object.values(environment.dataCenters);
  return centers.length > 0 && centers.every(({ state }) => state === 'out');
};

/** Changes the state of one data centre, based on the version in force. */
const setDataCenter = async (
  context: Context,
  entry: Entry,
  name: string,
  state: 'in' | 'out',
): Promise<Response> => {
  const { release } = entry.environment;
  const center = release?.environment.dataCenters[name];
  if (!release || !center) {
    const detail = `data centre ${name} is not in the environment`;
    return problem(context, failure('invalid', 'notRun', detail), 404);
  }
  const dataCenters = { ...release.environment.dataCenters, [name]: { ...center, state } };
  const environment = { ...release.environment, dataCenters };
  if (isAllOut(environment) && context.req.query('allowAllOut') !== 'true') {
    const detail = 'this would take the last data centre out; add allowAllOut=true to do so';
    return problem(context, failure('invalid', 'notRun', detail));
  }
  const author = context.req.header('x-author') ?? 'operator';
  return respondChange(
    context,
    await entry.environment.apply(environment, release.version, author),
  );
};

const statusOfEntries = async (entry: Entry): Promise<Record<string, unknown>[]> => {
  const others = entry.cluster.others().map(async ({ name }) => {
    try {
      return await entry.cluster.call(name, 'status', {});
    } catch (error) {
      return { entry: name, unreachable: true, detail: String(error) };
    }
  });
  return [entry.status(), ...(await Promise.all(others))];
};

/**
 * Creates the routes for operators.
 *
 * @param entry - the entry
 * @returns the routes
 */
export const createOperatorRoutes = (entry: Entry): Hono =>
  new Hono()
    .get('/environment', (context) => context.json(entry.environment.release ?? null))
    .put('/environment', async (context) => {
      const body = await readBody(context, changeBodySchema);
      if (body.type === 'refused') return body.response;
      const { environment, expected, author, allowAllOut } = body.value;
      if (isAllOut(environment) && !allowAllOut) {
        const detail = 'every data centre is out; set allowAllOut to apply this';
        return problem(context, failure('invalid', 'notRun', detail));
      }
      return respondChange(context, await entry.environment.apply(environment, expected, author));
    })
    .post('/data-centers/:name/:state{in|out}', (context) => {
      const { name, state } = context.req.param();
      return setDataCenter(context, entry, name, state === 'out' ? 'out' : 'in');
    })
    .get('/entries', async (context) => context.json({ entries: await statusOfEntries(entry) }))
    .get('/status', async (context) => {
      const agents = await Promise.all(
        entry.agents.list().map(async ({ name, link, isSuspected }) => {
          const answer = await link.call('status', {}, CALL_TIMEOUT_MS).catch(() => undefined);
          return answer ? { ...answer, isSuspected } : { agent: name, unreachable: true };
        }),
      );
      return context.json({ entries: await statusOfEntries(entry), agents });
    })
    .get('/timeline', async (context) => {
      const sinceMs = Number(context.req.query('sinceMs') ?? DEFAULT_TIMELINE_MS);
      return context.json(await entry.timeline(sinceMs, context.req.query('job')));
    });
