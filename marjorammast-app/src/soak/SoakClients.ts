import { sleep } from '@marjorammast/protocol';
import type { DispatchDeployment, TaskSpec } from '../local/DispatchDeployment';
import type { Attempt, SoakJob } from './SoakChecker';

/** Delay before a client retries a call that got no answer from the system, in milliseconds. */
const RETRY_DELAY_MS = 1_300;

/** Timeout of one call, in milliseconds. */
const CALL_TIMEOUT_MS = 6_000;

const MAX_ATTEMPTS = 4;

/** Mean time between two jobs, in milliseconds. */
const MEAN_ARRIVAL_GAP_MS = 60;

const MAX_TASKS = 5;

/**
 * Shares of jobs whose tasks fail, whose tasks are long, whose client disconnects early, and one of whose
 * tasks crashes its workers.
 */
const SHARES = { failing: 0.03, long: 0.05, leaving: 0.08, crashing: 0.01 };

/** Deployment to which the clients submit jobs, random numbers and callback. */
export type SoakClientsOptions = {
  deployment: DispatchDeployment;
  /** Number of entries of the deployment. */
  entries: number;
  /** True when some jobs have a task that crashes its workers. */
  hasCrashingTasks: boolean;
  /** Uniform random numbers from 0 to below 1. */
  random: () => number;
  /** Called with each job after the client has made its last call. */
  onFinished: (job: SoakJob) => void;
};

type JobPlan = { id: string; tasks: number; spec: TaskSpec; timeoutMs: number };

/** Clients that submit jobs, retry calls without an answer, and sometimes disconnect early. */
export class SoakClients {
  /** Number of calls by HTTP status, `broken` or `left`. */
  readonly outcomes = new Map<string, number>();

  private readonly pendingJobs = new Set<Promise<unknown>>();

  private count = 0;

  private constructor(private readonly options: SoakClientsOptions) {}

  /**
   * @param options - deployment, random numbers and callback
   * @returns clients that have submitted no job
   */
  static create(options: SoakClientsOptions): SoakClients {
    return new SoakClients(options);
  }

  /** Number of submitted jobs. */
  get jobs(): number {
    return this.count;
  }

  /**
   * Submits jobs until a time, and waits until all of them have ended.
   *
   * @param end - time on the monotonic clock, in milliseconds
   */
  async run(end: number): Promise<void> {
    while (performance.now() < end) {
      const sent = this.send(this.plan());
      this.pendingJobs.add(sent);
      void sent.finally(() => this.pendingJobs.delete(sent));
      await sleep(2 * MEAN_ARRIVAL_GAP_MS * this.options.random());
    }
    await Promise.all(this.pendingJobs);
  }

  /**
   * Submits one small job that a working deployment completes.
   *
   * @returns true when it was completed
   */
  async probe(): Promise<boolean> {
    const spec = { runMs: 30, cpu: 300 };
    const job = await this.send({ id: this.nextId(), tasks: 2, spec, timeoutMs: CALL_TIMEOUT_MS });
    return job.attempts.some(({ state }) => state === 'completed');
  }

  private nextId(): string {
    this.count += 1;
    return this.count.toString(16).padStart(16, '0');
  }

  private plan(): JobPlan {
    const { hasCrashingTasks, random } = this.options;
    const hasLongTasks = random() < SHARES.long;
    const spec = {
      runMs: Math.round((hasLongTasks ? 2_000 : 20) + 300 * random()),
      cpu: 200 + Math.round(800 * random()),
      fails: random() < SHARES.failing,
    };
    const timeoutMs = random() < SHARES.leaving ? Math.round(30 + 400 * random()) : CALL_TIMEOUT_MS;
    const job = { id: this.nextId(), tasks: 1 + Math.floor(MAX_TASKS * random()), timeoutMs };
    const isCrashing = hasCrashingTasks && random() < SHARES.crashing;
    return { ...job, spec: isCrashing ? { ...spec, fails: false, crashingTask: 0 } : spec };
  }

  private async send(plan: JobPlan): Promise<SoakJob> {
    const attempts: Attempt[] = [];
    const { id, tasks, spec } = plan;
    const job = { id, tasks, crashingTask: spec.crashingTask, attempts };
    for (;;) {
      const attempt = await this.call(plan);
      attempts.push(attempt);
      this.outcomes.set(
        String(attempt.status),
        (this.outcomes.get(String(attempt.status)) ?? 0) + 1,
      );
      const isUnanswered = [502, 504, 'broken'].includes(attempt.status);
      if (!isUnanswered || attempts.length === MAX_ATTEMPTS) break;
      await sleep(RETRY_DELAY_MS);
    }
    this.options.onFinished(job);
    return job;
  }

  private async call({ id, tasks, spec, timeoutMs }: JobPlan): Promise<Attempt> {
    const { deployment, entries, random } = this.options;
    const entry = Math.floor(entries * random());
    const sentAt = performance.now();
    const end = (status: Attempt['status'], state = ''): Attempt => ({
      entry: `entry-${entry}`,
      sentAt,
      endedAt: performance.now(),
      status,
      state,
    });
    const signal = AbortSignal.timeout(timeoutMs);
    try {
      const { status, body } = await deployment.submit(entry, id, tasks, spec, {}, signal);
      return end(status, (body as { state?: string }).state);
    } catch {
      // The error does not tell who closed the connection; an early timeout means the client did.
      return end(signal.aborted && timeoutMs < CALL_TIMEOUT_MS ? 'left' : 'broken');
    }
  }
}
