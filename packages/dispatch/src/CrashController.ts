import type { Route, WorkerCrash } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import type { ActiveJob } from './ActiveJob';
import { CrashRecords } from './CrashRecords';
import type { CrashingTask } from './CrashRecords';
import type { JobOutcome } from './job';
import { RouteConfinement } from './RouteConfinement';

/** What the controller needs from its entry. */
export type CrashControllerHost = {
  /** Finds a job that is active at the entry. */
  findJob: (id: string) => ActiveJob | undefined;
  /** Finds a route by its name. */
  findRoute: (name: string) => Route | undefined;
  log: Log;
};

const createFailure = (index: number): JobOutcome => ({
  type: 'failed',
  reason: `workers crashed under task ${index}`,
});

/** Acts on crashes of workers: fails jobs whose tasks crash them, and confines the routes of such jobs. */
export class CrashController {
  readonly records = CrashRecords.create();

  readonly confinement = RouteConfinement.create();

  private constructor(private readonly host: CrashControllerHost) {}

  /**
   * @param host - what the controller needs from its entry
   * @returns a controller that knows of no crash
   */
  static create(host: CrashControllerHost): CrashController {
    return new CrashController(host);
  }

  /**
   * Handles a crash that an agent reports, or the silence of a worker that may have crashed.
   *
   * @param crash - the crash
   */
  handleCrash(crash: WorkerCrash): void {
    if (!crash.isCertain) {
      this.records.recordLoss(crash.agent, crash.incarnation, crash.runs);
      return;
    }
    this.records.record(crash).forEach((task) => this.giveUp(task));
    crash.runs
      .filter(({ route, isSuspect }) => isSuspect && this.confinement.isConfined(route))
      .forEach(({ route }) => this.confine(route));
  }

  /**
   * Handles word of an agent that its worker takes tasks. Another incarnation than the one that was lost
   * shows that the lost one has crashed, also when its agent could not report that.
   *
   * @param agent - name of the agent
   * @param incarnation - the present incarnation of its worker
   */
  handleReturn(agent: string, incarnation: string): void {
    this.records.recordReturn(agent, incarnation).forEach((task) => this.giveUp(task));
  }

  /**
   * Stops waiting for word of an agent from which nothing more will be heard.
   *
   * @param agent - name of the agent
   */
  forgetAgent(agent: string): void {
    this.records.recordReturn(agent);
  }

  /**
   * Finds out whether a job that is not active at the entry has to fail at once, since one of its tasks has
   * crashed too many workers, also at another entry.
   *
   * @param job - identifier of the job
   * @returns the failure, if there is one
   */
  findFailure(job: string): JobOutcome | undefined {
    if (this.host.findJob(job)) return undefined;
    const index = this.records.findSpentTask(job);
    return index === undefined ? undefined : createFailure(index);
  }

  /**
   * Fails a job that another entry has declined if the crash budget of a task was spent while it was forwarded.
   *
   * @param job - the job, which this entry runs from now on
   */
  handleDeclined(job: ActiveJob): void {
    const index = this.records.findSpentTask(job.id);
    if (index !== undefined) job.settle(createFailure(index));
  }

  private giveUp({ job, index, route }: CrashingTask): void {
    this.confine(route);
    const active = this.host.findJob(job);
    // The entry to which the job was forwarded decides on it.
    if (active?.forwardedTo !== undefined) return;
    // The crash may become known only after another run of the task has succeeded.
    if (active?.tasks[index]?.state.type === 'done') return;
    this.host.log.warn({ job, index, route, own: active !== undefined }, 'task_given_up');
    active?.settle(createFailure(index));
  }

  private confine(name: string): void {
    const route = this.host.findRoute(name);
    if (route && this.confinement.confine(route)) {
      this.host.log.warn({ route: name, service: route.service }, 'route_confined');
    }
  }
}
