import { sleep } from '@marjorammast/protocol';
import type { DispatchDeployment, TaskSpec } from '../local/DispatchDeployment';
import type { Attempt, SoakJob } from './SoakChecker';

/** Pause before a client calls again that got no answer, in milliseconds. */
const RESEND_MS = 1_300;

/** Longest time that a client waits for one call, in milliseconds. */
const PATIENCE_MS = 6_000;

const MAX_ATTEMPTS = 4;

const MEAN_GAP_MS = 60;

const MAX_TASKS = 5;

/** Shares of jobs: with a failing task, with long tasks, whose client leaves early. */
const SHARES = { failing: 0.03, long: 0.05, leaving: 0.08 };

/** What the clients work with. */
export type SoakClientsParts = {
  deployment: DispatchDeployment;
  entries: number;
  random: () => number;
  /** Gets each job once nobody asks for it any more. */
  finished: (job: SoakJob) => void;
};

type Plan = { id: string; tasks: number; spec: TaskSpec; patienceMs: number };

/** Clients that hand jobs in, call again after no answer, and sometimes leave. */
export class SoakClients {
  /** Calls by how they ended. */
  readonly outcomes = new Map<string, number>();

  private readonly open = new Set<Promise<unknown>>();

  private count = 0;

  private constructor(private readonly parts: SoakClientsParts) {}

  /**
   * @param parts - what the clients work with
   * @returns clients that have sent nothing
   */
  static create(parts: SoakClientsParts): SoakClients {
    return new SoakClients(parts);
  }

  /** Number of jobs handed in. */
  get jobs(): number {
    return this.count;
  }

  /**
   * Hands jobs in until a moment, and waits for the last one.
   *
   * @param end - moment on the monotonic clock, in milliseconds
   */
  async run(end: number): Promise<void> {
    while (performance.now() < end) {
      const sent = this.send(this.plan());
      this.open.add(sent);
      void sent.finally(() => this.open.delete(sent));
      await sleep(2 * MEAN_GAP_MS * this.parts.random());
    }
    await Promise.all(this.open);
  }

  /**
   * Sends one job that any sound deployment completes.
   *
   * @returns true when it was completed
   */
  async probe(): Promise<boolean> {
    const spec = { runMs: 30, cpu: 300 };
    const job = await this.send({ id: this.nextId(), tasks: 2, spec, patienceMs: PATIENCE_MS });
    return job.attempts.some(({ state }) => state === 'completed');
  }

  private nextId(): string {
    this.count += 1;
    return this.count.toString(16).padStart(16, '0');
  }

  private plan(): Plan {
    const { random } = this.parts;
    const isLong = random() < SHARES.long;
    const spec = {
      runMs: Math.round((isLong ? 2_000 : 20) + 300 * random()),
      cpu: 200 + Math.round(800 * random()),
      fails: random() < SHARES.failing,
    };
    const patienceMs = random() < SHARES.leaving ? Math.round(30 + 400 * random()) : PATIENCE_MS;
    return { id: this.nextId(), tasks: 1 + Math.floor(MAX_TASKS * random()), spec, patienceMs };
  }

  private async send(plan: Plan): Promise<SoakJob> {
    const attempts: Attempt[] = [];
    const job = { id: plan.id, tasks: plan.tasks, attempts };
    for (;;) {
      const attempt = await this.call(plan);
      attempts.push(attempt);
      this.outcomes.set(
        String(attempt.status),
        (this.outcomes.get(String(attempt.status)) ?? 0) + 1,
      );
      const isUnanswered = [502, 504, 'broken'].includes(attempt.status);
      if (!isUnanswered || attempts.length === MAX_ATTEMPTS) break;
      await sleep(RESEND_MS);
    }
    this.parts.finished(job);
    return job;
  }

  private async call({ id, tasks, spec, patienceMs }: Plan): Promise<Attempt> {
    const { deployment, entries, random } = this.parts;
    const entry = Math.floor(entries * random());
    const sentAt = performance.now();
    const end = (status: Attempt['status'], state = ''): Attempt => ({
      entry: `entry-${entry}`,
      sentAt,
      endedAt: performance.now(),
      status,
      state,
    });
    const signal = AbortSignal.timeout(patienceMs);
    try {
      const { status, body } = await deployment.submit(entry, id, tasks, spec, {}, signal);
      return end(status, (body as { state?: string }).state);
    } catch {
      // The client sees no reason beyond a broken connection; it has left if it broke it itself.
      return end(signal.aborted && patienceMs < PATIENCE_MS ? 'left' : 'broken');
    }
  }
}
