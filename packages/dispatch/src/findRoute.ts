import type { Route } from '@marjorammast/protocol';

/**
 * Finds the queue of a request.
 *
 * @param routes - all queues
 * @param host - host of the request
 * @param path - path of the request
 * @returns the queue with the longest fitting prefix
 */
export const findRoute = (
  routes: readonly Route[],
  host: string,
  path: string,
): Route | undefined =>
  routes
    .filter((route) => route.host === host && path.startsWith(route.prefix))
    .reduce<Route | undefined>(
      (best, route) => (best && best.prefix.length >= route.prefix.length ? best : route),
      undefined,
    );
