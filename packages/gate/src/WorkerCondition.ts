import type { Log } from '@marjorammast/telemetry';
import { SlownessEstimate, findSlowRuns } from './SlownessEstimate';
import type { Run } from './run';
import type { SlownessMeasure } from './slownessMeasure';
import { WorkerHealth } from './WorkerHealth';
import type { HealthState } from './WorkerHealth';

/** What the condition of a worker needs from its agent. */
export type WorkerConditionHost = {
  /** How the slowness is measured; a moving average if absent. */
  slownessMeasure?: SlownessMeasure;
  /** Time until the worker takes tasks again after a suspected one, in milliseconds; 0 or less if it does now. */
  probationRemainingMs: () => number;
  /** Called when the entries have to be told of a change. */
  onChanged: () => void;
  log: Log;
};

/** Health and speed of one incarnation of a worker, as its runs show them. */
export class WorkerCondition {
  private readonly health = WorkerHealth.create(() => performance.now());

  private readonly estimate: SlownessEstimate;

  /** Ends an ejection, a slowdown or a probation, which changes the view without any other event. */
  private recoveryTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly host: WorkerConditionHost) {
    this.estimate = SlownessEstimate.create(host.slownessMeasure);
  }

  /**
   * @param host - what the condition needs from its agent
   * @returns the condition of a worker without runs
   */
  static create(host: WorkerConditionHost): WorkerCondition {
    return new WorkerCondition(host);
  }

  /** Whether the worker gets tasks. */
  get state(): HealthState {
    return this.health.state;
  }

  /** Ratio of actual to estimated run time. */
  get slowness(): number {
    return this.estimate.value;
  }

  /**
   * Records a run that is done.
   *
   * @param run - the run
   * @param ms - its run time, in milliseconds
   */
  recordSuccess(run: Run, ms: number): void {
    this.health.recordSuccess();
    this.estimate.learnFromRun(ms, run.estimateMs);
  }

  /**
   * Records a failure of a run.
   *
   * @param run - the run
   * @param how - what failed
   */
  recordFailure(run: Run, how: string): void {
    if (!this.health.recordFailure(run.task.job)) return;
    this.host.log.warn({ job: run.task.job, how }, 'worker_ejected');
    this.host.onChanged();
    this.scheduleRecovery();
  }

  /**
   * Records a failure, unless the task has failed elsewhere too, which is no fault of this worker.
   *
   * @param run - the run
   * @param how - what failed
   */
  recordFailureOfTask(run: Run, how: string): void {
    if (!run.hasFailedElsewhere) this.recordFailure(run, how);
  }

  /**
   * Judges the worker by the progress of its runs.
   *
   * @param runs - the running runs
   * @returns those that would end sooner on another worker
   */
  findRunsToMove(runs: readonly Run[]): Run[] {
    const now = performance.now();
    if (this.estimate.updateSlowdown(runs, now)) {
      this.host.log.warn({ slowness: this.slowness, runs: runs.length }, 'slowness_changed');
      this.host.onChanged();
      this.scheduleRecovery();
    }
    return findSlowRuns(runs, this.slowness, now);
  }

  /** Has the entries told once an ejection, a slowdown or a probation is over. */
  scheduleRecovery(): void {
    this.halt();
    const delays = [
      this.health.ejectionRemainingMs,
      this.estimate.slowdownRemainingMs(performance.now()),
      this.host.probationRemainingMs(),
    ];
    const delayMs = Math.min(...delays.filter((ms) => ms > 0));
    if (!Number.isFinite(delayMs)) return;
    this.recoveryTimer = setTimeout(
      () => {
        this.estimate.expireSlowdown(performance.now());
        this.host.onChanged();
        this.scheduleRecovery();
      },
      Math.ceil(delayMs) + 1,
    );
  }

  /** Stops the timer. */
  halt(): void {
    clearTimeout(this.recoveryTimer);
  }
}
