/** A queue: which requests it takes and how its jobs run. */
export type Route = {
  name: string;
  host: string;
  /** Beginning of the path; the longest that fits is chosen. */
  prefix: string;
  /** Service whose workers run the jobs. */
  service: string;
  /** Time allowed for one request, in milliseconds. */
  timeoutMs: number;
  /** Part of the latency objective that does not depend on the work, in milliseconds. */
  targetLatencyMs: number;
  /** Part of the latency objective in units of the longest task. */
  stretch: number;
  /** 0 comes first. */
  priority: number;
  /** Failed runs of one task after which its job has failed. */
  attempts: number;
  /** True when an outside service names the workers that may run a step. */
  needsAdvice: boolean;
};

/** What operators have written, as of one revision of the store. */
export type OperatorState = {
  revision: number;
  /** Version of the operators' configuration. */
  version: number;
  routes: readonly Route[];
  outDataCenters: readonly string[];
};

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
