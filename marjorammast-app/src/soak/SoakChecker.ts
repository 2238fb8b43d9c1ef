import type { WorkerEvent } from '@marjorammast/standins';

/**
 * One HTTP call by which a client submits a job. `status` is the HTTP status, `broken` if the
 * connection broke without an answer, or `left` if the client closed the connection. `state` is the
 * state of the job in the answer. Times are on the monotonic clock, in milliseconds.
 */
export type Attempt = {
  entry: string;
  sentAt: number;
  endedAt: number;
  status: number | 'broken' | 'left';
  state: string;
};

/**
 * A job, its number of tasks, the index of the task that crashes its workers, if there is one, and all
 * calls that clients made for it.
 */
export type SoakJob = {
  id: string;
  tasks: number;
  crashingTask?: number;
  attempts: readonly Attempt[];
};

/**
 * Time span in which the soak disturbed a component: a process, one of its links, or the store.
 * `from` and `to` are on the monotonic clock, in milliseconds. A disturbance is planned when it is an
 * operation, such as a stop by SIGTERM, and not a fault.
 */
export type Disturbance = { component: string; from: number; to: number; isPlanned: boolean };

/** Time span in which no task may start at the workers that the ban applies to. */
type StartBan = { appliesTo: (worker: string) => boolean; rule: string; from: number; to: number };

/** What the checker knows about the deployment. */
export type SoakLayout = {
  /** Names of the entries. */
  entries: readonly string[];
  /** Name of the agent of a worker. */
  agentOf: (worker: string) => string;
  /** Number of failed runs of a task after which its job fails. */
  maxFailedRuns: number;
};

/**
 * Time that a component must have been undisturbed before the checker expects it to react in time, in
 * milliseconds.
 */
const UNDISTURBED_MS = 3_000;

/** Time after which an entry has certainly read a request, in milliseconds. */
const REQUEST_READ_MS = 150;

/** Number of crashes under a task after which its job may fail. */
const MIN_CRASHES = 2;

/** Number of crashes under a task after which its further starts are counted. */
const COUNTED_FROM_CRASHES = 3;

/** Number of further starts that violates the guarantee. */
const MAX_FURTHER_STARTS = 3;

/** Checks the guarantees of the system from what clients and workers observe. */
export class SoakChecker {
  /** Descriptions of the violated guarantees. */
  readonly violations: string[] = [];

  private readonly eventsByJob = new Map<string, WorkerEvent[]>();

  private startCount = 0;

  private mostCrashes = 0;

  /** Start event of each run that has not ended, by task. */
  private readonly openRuns = new Map<string, WorkerEvent>();

  private readonly disturbances: Disturbance[] = [];

  private readonly startBans: StartBan[] = [];

  private constructor(private readonly layout: SoakLayout) {}

  /**
   * @param layout - the deployment
   * @returns a checker without events
   */
  static create(layout: SoakLayout): SoakChecker {
    return new SoakChecker(layout);
  }

  /** Number of runs that workers have started. */
  get starts(): number {
    return this.startCount;
  }

  /** Largest number of crashes under one task that crashes its workers. */
  get mostCrashesOfTask(): number {
    return this.mostCrashes;
  }

  /**
   * Records a violated guarantee.
   *
   * @param text - description of the violation
   */
  report(text: string): void {
    this.violations.push(text);
  }

  /**
   * Adds the events of all workers since the last call.
   *
   * @param events - starts and ends of runs, in any order
   */
  addWorkerEvents(events: readonly WorkerEvent[]): void {
    [...events]
      .sort((a, b) => a.at - b.at)
      .forEach((event) => {
        this.eventsOf(event.task).push(event);
        if (event.type === 'start') this.checkStart(event);
        else this.recordEnd(event);
      });
  }

  /**
   * Adds a disturbance.
   *
   * @param disturbance - the disturbance; the caller sets its `to` when it ends
   */
  addDisturbance(disturbance: Disturbance): void {
    this.disturbances.push(disturbance);
  }

  /**
   * Reports every later start at some workers as a violation.
   *
   * @param rule - name of the guarantee, for the report
   * @param appliesTo - tells by id whether a worker is banned from starting tasks
   * @param from - time from which the ban holds, on the monotonic clock in milliseconds
   * @returns a function that lifts the ban
   */
  forbidStarts(rule: string, appliesTo: (worker: string) => boolean, from: number): () => void {
    const ban: StartBan = { appliesTo, rule, from, to: Infinity };
    this.startBans.push(ban);
    return () => {
      ban.to = performance.now();
    };
  }

  /**
   * Checks a job after its client has made its last call.
   *
   * @param job - the job with all its calls
   */
  checkJob(job: SoakJob): void {
    const events = this.eventsOf(job.id);
    this.checkRefusedJob(job, events);
    this.checkCrashBudget(job, events);
    job.attempts.forEach((attempt) => {
      if (attempt.status === 200) this.checkAnswer(job, attempt, events);
      if (attempt.status === 'broken') this.checkBrokenCall(job, attempt);
    });
  }

  /**
   * Returns the events of a job.
   *
   * @param id - id of the job or of one of its tasks, which is `JOB.OCCURRENCE.STEP.INDEX`
   */
  private eventsOf(id: string): WorkerEvent[] {
    const [job = ''] = id.split('.');
    const events = this.eventsByJob.get(job) ?? [];
    this.eventsByJob.set(job, events);
    return events;
  }

  private checkStart(event: WorkerEvent): void {
    this.startCount += 1;
    const other = this.openRuns.get(event.task);
    if (other) this.report(`two runs: ${event.task} at ${other.worker} and ${event.worker}`);
    this.openRuns.set(event.task, event);
    this.startBans
      .filter(
        ({ appliesTo, from, to }) => appliesTo(event.worker) && event.at > from && event.at < to,
      )
      .filter(({ from }) => this.wasUndisturbed(event.worker, from, event.at))
      .forEach(({ rule }) => this.report(`${rule}: ${event.task} started at ${event.worker}`));
  }

  private recordEnd(event: WorkerEvent): void {
    const start = this.openRuns.get(event.task);
    if (start?.worker === event.worker && start.run === event.run) this.openRuns.delete(event.task);
  }

  /**
   * True when the worker's agent, the store and at least one entry were undisturbed from
   * `UNDISTURBED_MS` before `from` until `UNDISTURBED_MS` after `until`.
   */
  private wasUndisturbed(worker: string, from: number, until: number): boolean {
    const isUndisturbed = (component: string) =>
      this.disturbances.every(
        (span) =>
          span.component !== component ||
          span.to + UNDISTURBED_MS < from ||
          span.from - UNDISTURBED_MS > until,
      );
    const { entries, agentOf } = this.layout;
    return isUndisturbed(agentOf(worker)) && isUndisturbed('store') && entries.some(isUndisturbed);
  }

  /** Reports a refused job that has run: to clients, a refusal proves that no task has run. */
  private checkRefusedJob({ id, attempts }: SoakJob, events: readonly WorkerEvent[]): void {
    const isRefused = attempts.every(({ status }) => status === 429 || status === 503);
    if (isRefused && events.some(({ type }) => type === 'start')) {
      this.report(`false refusal: job ${id} was refused although a task of it had started`);
    }
  }

  /** Reports a task that undisturbed agents have started again and again though it crashes workers. */
  private checkCrashBudget({ id, crashingTask }: SoakJob, events: readonly WorkerEvent[]): void {
    if (crashingTask === undefined) return;
    const ofTask = events.filter(({ task }) => task === `${id}.0.0.${crashingTask}`);
    const crashes = ofTask.filter(({ type }) => type === 'crashed');
    this.mostCrashes = Math.max(this.mostCrashes, crashes.length);
    const countedFrom = crashes[COUNTED_FROM_CRASHES - 1]?.at ?? Infinity;
    const furtherStarts = ofTask.filter(
      ({ type, at, worker }) =>
        type === 'start' && at > countedFrom && this.wasUndisturbed(worker, at, at),
    ).length;
    if (furtherStarts >= MAX_FURTHER_STARTS) {
      this.report(`crash budget: task ${crashingTask} of job ${id} had ${crashes.length} crashes`);
    }
  }

  /** Reports an answer that contradicts the runs of the job's tasks. */
  private checkAnswer(
    { id, tasks }: SoakJob,
    { state, endedAt }: Attempt,
    events: readonly WorkerEvent[],
  ): void {
    const count = (index: number, eventType: string) =>
      events.filter(
        ({ task, type, at }) =>
          task === `${id}.0.0.${index}` && type === eventType && at <= endedAt,
      ).length;
    const indexes = [...Array(tasks).keys()];
    if (state === 'completed' && !indexes.every((index) => count(index, 'done') > 0)) {
      this.report(
        `partial answer: job ${id} was answered as completed before all its tasks were done`,
      );
    }
    const { maxFailedRuns } = this.layout;
    const mayFail = (index: number) =>
      count(index, 'failed') >= maxFailedRuns || count(index, 'crashed') >= MIN_CRASHES;
    if (state === 'failed' && !indexes.some(mayFail)) {
      this.report(
        `false failure: job ${id} was answered as failed after too few failed runs of a task`,
      );
    }
  }

  /** Reports a call that a planned stop cut off although the entry had read the request. */
  private checkBrokenCall({ id }: SoakJob, { entry, sentAt, endedAt }: Attempt): void {
    const isNearby = ({ from, to }: Disturbance) =>
      to + UNDISTURBED_MS > sentAt && from < endedAt + REQUEST_READ_MS;
    const nearbyDisturbances = this.disturbances.filter(isNearby);
    const plannedStops = nearbyDisturbances.filter(
      ({ component, isPlanned }) => isPlanned && component === entry,
    );
    const wasRead = plannedStops.some(({ from }) => sentAt + REQUEST_READ_MS < from);
    if (wasRead && nearbyDisturbances.every(({ isPlanned }) => isPlanned)) {
      this.report(`lost answer: the call for job ${id} at ${entry} was cut off by a planned stop`);
    }
  }
}
