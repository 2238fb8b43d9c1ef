import { Hono } from 'hono';
import type { Entry } from '../Entry';
import { createClientRoutes } from './createClientRoutes';
import {
  catchErrors,
  closeWhileDraining,
  limitBody,
  limitCalls,
  recordRequestMetrics,
} from './filters';
import { createOperatorRoutes } from './createOperatorRoutes';

/**
 * Creates the HTTP interface of an entry: the middleware in order, then the routes.
 *
 * @param entry - the entry
 * @returns the application
 */
export const createEntryHttp = (entry: Entry): Hono => {
  const { log, metrics } = entry.options;
  const app = new Hono();
  app.onError(catchErrors(log));
  app.use(recordRequestMetrics(metrics));
  app.use(closeWhileDraining(() => entry.isStopping));
  app.use(limitBody());
  app.use(limitCalls(() => entry.openCalls));
  app.route('/v1', createClientRoutes(entry));
  app.route('/v1', createOperatorRoutes(entry));
  app.get('/health/live', (context) => context.json({ live: true }));
  app.get('/health/ready', (context) =>
    context.json({ ready: entry.isReady }, entry.isReady ? 200 : 503),
  );
  return app;
};
