import type { LostRun, Run } from './run';

/** Runs of one worker incarnation that are lost if the worker has crashed, until it answers again. */
export class LostRuns {
  /** Runs whose leases have expired since the worker's last answer. */
  private expiredRuns: Run[] = [];

  private isCrashReported = false;

  private constructor() {}

  /** @returns no lost runs */
  static create(): LostRuns {
    return new LostRuns();
  }

  /**
   * Adds runs whose leases have expired while the worker was silent.
   *
   * @param runs - the runs
   * @returns those that were not added before
   */
  addExpired(runs: readonly Run[]): Run[] {
    const added = runs.filter((run) => !this.expiredRuns.includes(run));
    this.expiredRuns.push(...added);
    return added;
  }

  /** Forgets all runs, since the worker has answered and is the same. */
  clear(): void {
    this.expiredRuns = [];
    this.isCrashReported = false;
  }

  /**
   * Finds the runs that were lost with a crash of the worker.
   *
   * @param activeRuns - runs that still occupy resources
   * @param crashedAt - monotonic time of the crash, in milliseconds
   * @returns the lost runs; `undefined` when the crash has been reported before
   */
  report(activeRuns: Iterable<Run>, crashedAt: number): LostRun[] | undefined {
    if (this.isCrashReported) return undefined;
    this.isCrashReported = true;
    return (
      [...new Set([...activeRuns, ...this.expiredRuns])]
        .map((run) => ({ run, ageMs: crashedAt - run.startsAt }))
        // A run that was admitted after the crash did not reach the worker.
        .filter(({ ageMs }) => ageMs >= 0)
    );
  }
}
