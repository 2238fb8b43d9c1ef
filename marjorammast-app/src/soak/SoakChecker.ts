import type { WorkerEvent } from '@marjorammast/standins';

/** How one call of a client ended: an HTTP status with the job's state, or no answer. */
export type Attempt = {
  entry: string;
  sentAt: number;
  endedAt: number;
  status: number | 'broken' | 'left';
  state: string;
};

/** One job with all calls for it. */
export type SoakJob = { id: string; tasks: number; attempts: readonly Attempt[] };

/** A span in which a process or a link was disturbed on purpose, on the monotonic clock. */
export type Disturbance = { place: string; from: number; to: number; isPlanned: boolean };

/** A span in which nothing new may start at a place. */
type Closure = { isAt: (worker: string) => boolean; rule: string; from: number; to: number };

/** What the checker knows of the deployment. */
export type SoakLayout = {
  entries: readonly string[];
  /** Agent of a worker. */
  agentOf: (worker: string) => string;
  /** Failed runs after which a job has failed. */
  attempts: number;
};

/** Time that a place must have been undisturbed before a bound holds for it, in milliseconds. */
const CONTACT_MS = 3_000;

/** Age from which a request has certainly been read, in milliseconds. */
const READ_MS = 150;

/** Judges from outside: by what callers and workers have seen. */
export class SoakChecker {
  /** Broken promises, in words. */
  readonly violations: string[] = [];

  private readonly eventsByJob = new Map<string, WorkerEvent[]>();

  private startCount = 0;

  private readonly open = new Map<string, WorkerEvent>();

  private readonly disturbances: Disturbance[] = [];

  private readonly closures: Closure[] = [];

  private constructor(private readonly layout: SoakLayout) {}

  /**
   * @param layout - the deployment
   * @returns a checker that has seen nothing
   */
  static create(layout: SoakLayout): SoakChecker {
    return new SoakChecker(layout);
  }

  /** Number of runs that were started. */
  get starts(): number {
    return this.startCount;
  }

  /**
   * Notes a broken promise.
   *
   * @param text - what was seen
   */
  report(text: string): void {
    this.violations.push(text);
  }

  /**
   * Takes what workers have seen since the last call.
   *
   * @param events - starts and ends
   */
  takeEvents(events: readonly WorkerEvent[]): void {
    [...events]
      .sort((a, b) => a.at - b.at)
      .forEach((event) => {
        this.eventsOf(event.task).push(event);
        if (event.what === 'start') this.takeStart(event);
        else this.takeEnd(event);
      });
  }

  /**
   * Notes a disturbance; its end may be set later.
   *
   * @param disturbance - the disturbance
   */
  disturb(disturbance: Disturbance): void {
    this.disturbances.push(disturbance);
  }

  /**
   * Demands that nothing starts at some workers any more.
   *
   * @param rule - name of the promise
   * @param isAt - chooses the workers
   * @param from - moment from which it holds
   * @returns a function that ends the demand
   */
  close(rule: string, isAt: (worker: string) => boolean, from: number): () => void {
    const closure: Closure = { isAt, rule, from, to: Infinity };
    this.closures.push(closure);
    return () => {
      closure.to = performance.now();
    };
  }

  /**
   * Judges a job once nobody asks for it any more.
   *
   * @param job - the job
   */
  takeJob(job: SoakJob): void {
    const events = this.eventsOf(job.id);
    this.checkRefusal(job, events);
    job.attempts.forEach((attempt) => {
      if (attempt.status === 200) this.checkAnswer(job, attempt, events);
      if (attempt.status === 'broken') this.checkCut(job, attempt);
    });
  }

  private eventsOf(task: string): WorkerEvent[] {
    const [job = ''] = task.split('.');
    const events = this.eventsByJob.get(job) ?? [];
    this.eventsByJob.set(job, events);
    return events;
  }

  private takeStart(event: WorkerEvent): void {
    this.startCount += 1;
    const other = this.open.get(event.task);
    if (other) this.report(`two runs: ${event.task} at ${other.worker} and ${event.worker}`);
    this.open.set(event.task, event);
    this.closures
      .filter(({ isAt, from, to }) => isAt(event.worker) && event.at > from && event.at < to)
      .filter(({ from }) => this.isInTouch(event.worker, from, event.at))
      .forEach(({ rule }) => this.report(`${rule}: ${event.task} started at ${event.worker}`));
  }

  private takeEnd(event: WorkerEvent): void {
    const open = this.open.get(event.task);
    if (open?.worker === event.worker && open.run === event.run) this.open.delete(event.task);
  }

  /** True when the worker's agent, the store and an entry were undisturbed until the moment. */
  private isInTouch(worker: string, from: number, until: number): boolean {
    const isCalm = (place: string) =>
      this.disturbances.every(
        (span) =>
          span.place !== place || span.to + CONTACT_MS < from || span.from - CONTACT_MS > until,
      );
    const { entries, agentOf } = this.layout;
    return isCalm(agentOf(worker)) && isCalm('store') && entries.some(isCalm);
  }

  /** A refusal says that nothing has run. */
  private checkRefusal({ id, attempts }: SoakJob, events: readonly WorkerEvent[]): void {
    const isRefused = attempts.every(({ status }) => status === 429 || status === 503);
    if (isRefused && events.some(({ what }) => what === 'start')) {
      this.report(`false refusal: ${id} was refused, and has run`);
    }
  }

  private checkAnswer(
    { id, tasks }: SoakJob,
    { state, endedAt }: Attempt,
    events: readonly WorkerEvent[],
  ): void {
    const count = (index: number, how: string) =>
      events.filter(
        ({ task, what, at }) => task === `${id}.0.0.${index}` && what === how && at <= endedAt,
      ).length;
    const indexes = [...Array(tasks).keys()];
    if (state === 'completed' && !indexes.every((index) => count(index, 'done') > 0)) {
      this.report(`partial answer: ${id} was answered as completed`);
    }
    const { attempts } = this.layout;
    if (state === 'failed' && !indexes.some((index) => count(index, 'failed') >= attempts)) {
      this.report(`false failure: ${id} was answered as failed`);
    }
  }

  /** A planned stop of an entry cuts nothing that it has read. */
  private checkCut({ id }: SoakJob, { entry, sentAt, endedAt }: Attempt): void {
    const isNear = ({ from, to }: Disturbance) =>
      to + CONTACT_MS > sentAt && from < endedAt + READ_MS;
    const near = this.disturbances.filter(isNear);
    const stops = near.filter(({ place, isPlanned }) => isPlanned && place === entry);
    const isRead = stops.some(({ from }) => sentAt + READ_MS < from);
    if (isRead && near.every(({ isPlanned }) => isPlanned)) {
      this.report(`cut: ${id} at ${entry} by a planned stop`);
    }
  }
}
