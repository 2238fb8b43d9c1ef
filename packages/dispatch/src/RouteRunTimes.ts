/** Weight of the newest run in the average of its route. */
const RUN_WEIGHT = 0.02;

/** Number of finished runs from which the average is used. */
const MIN_RUNS = 20;

/** Largest ratio of a run time to the average with which it counts, so that single long runs change it little. */
const MAX_RATIO = 2;

/**
 * Ratio of a task's run time to the client's estimate that is assumed while the run times of its route are unknown. An
 * estimate that is too short would place the task on a worker on which it ends late.
 */
const UNKNOWN_RUN_TIME_FACTOR = 1.7;

type RunTime = { runs: number; logMs: number };

/**
 * Learns how long tasks of each route run on a worker of slowness 1. Load pattern: the clients' estimates are rough.
 * Many tasks with a small estimate run for longer, and the estimate alone would place just these on slower workers.
 */
export class RouteRunTimes {
  private readonly runTimes = new Map<string, RunTime>();

  private constructor() {}

  /** @returns run times without observations */
  static create(): RouteRunTimes {
    return new RouteRunTimes();
  }

  /**
   * Records a finished run.
   *
   * @param route - name of the route
   * @param ms - its run time, in milliseconds
   * @param slowness - slowness of its worker
   */
  record(route: string, ms: number, slowness: number): void {
    const sample = Math.log(Math.max(ms, 1) / slowness);
    const { runs, logMs } = this.runTimes.get(route) ?? { runs: 0, logMs: sample };
    const weight = Math.max(RUN_WEIGHT, 1 / (runs + 1));
    const limited = runs < MIN_RUNS ? sample : Math.min(sample, logMs + Math.log(MAX_RATIO));
    this.runTimes.set(route, { runs: runs + 1, logMs: logMs + weight * (limited - logMs) });
  }

  /**
   * @param route - name of the route of a task
   * @param estimateMs - the client's estimate of its run time, in milliseconds
   * @returns expected run time on a worker of slowness 1, in milliseconds: the longer of the estimate and the
   * average of the route
   */
  expectedMs(route: string, estimateMs: number): number {
    const runTime = this.runTimes.get(route);
    if (!runTime || runTime.runs < MIN_RUNS) return estimateMs * UNKNOWN_RUN_TIME_FACTOR;
    return Math.max(estimateMs, Math.exp(runTime.logMs));
  }
}
