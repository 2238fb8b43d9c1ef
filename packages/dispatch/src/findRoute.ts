import type { Route } from '@marjorammast/protocol';

/**
 * Finds the route of a request.
 *
 * @param routes - all routes
 * @param host - host of the request
 * @param path - path of the request
 * @returns the route with the longest matching prefix, or `undefined` when none matches
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
