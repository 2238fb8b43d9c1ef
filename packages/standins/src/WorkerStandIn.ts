import { Hono } from 'hono';
import type { Context } from 'hono';
import { z } from 'zod';
import { sleep } from '@marjorammast/protocol';
import type { Resources } from '@marjorammast/protocol';
import { Waiters, forever } from './Waiters';

/** Describes a worker. */
export type WorkerTraits = {
  id: string;
  service: string;
  dataCenter: string;
  labels: string[];
  capacity: Resources;
  /** Run time of a task in milliseconds, from what it runs. */
  runMs: (spec: string) => number;
  /** What each task takes, to check the capacity. */
  needs: (spec: string) => Resources;
  /** True when a run ends as failed. */
  fails: (spec: string) => boolean;
};

/** What may go wrong with a worker. */
export type WorkerMood =
  | 'well'
  /** Orders get no answer. */
  | 'silent'
  /** Orders are carried out, and no answer is given. */
  | 'answerLost'
  /** Orders time out and take effect after a long delay. */
  | 'late'
  /** Runs make no progress. */
  | 'stuck';

type RunState = {
  task: string;
  run: number;
  spec: string;
  startedAt: number;
  timer: NodeJS.Timeout;
};

/** One start or end, as the worker saw it. */
export type WorkerEvent = {
  /** Monotonic time, in milliseconds. */
  at: number;
  worker: string;
  task: string;
  run: number;
  /** `start`, or how the run ended; `crashed` when its worker did. */
  what: string;
};

const startSchema = z.object({
  task: z.string(),
  run: z.number().int(),
  spec: z.string(),
  until_ms: z.number(),
  fence_token: z.number().default(0),
});

const stopSchema = startSchema.pick({ task: true, run: true, fence_token: true });

const holdSchema = z.object({
  until_ms: z.number().optional(),
  fence_token: z.number().default(0),
  last_seen: z.number(),
  wait_ms: z.number().default(0),
});

const MAX_LEASE_MS = 1_000;

const STOP_MS = 20;

const LIST_LIMIT = 500;

/** Delay of orders in the mood `late`, in milliseconds. */
const LATE_MS = 2_500;

/** Stand-in of a worker of the platform, over its HTTP protocol. */
export class WorkerStandIn {
  mood: WorkerMood = 'well';

  state: 'ready' | 'draining' = 'ready';

  /** What happened, for checks. */
  readonly events: WorkerEvent[] = [];

  /** Moments at which more ran than fits. */
  readonly overloads: string[] = [];

  private clockRate = 1;

  private born = Date.now();

  private startedAt = performance.now();

  private readonly runs = new Map<string, RunState>();

  private readonly highestRuns = new Map<string, number>();

  private ends: [number, string, number, string, string][] = [];

  private endCount = 0;

  private token = 0;

  private leaseUntil = 0;

  private sequence = 0;

  private readonly waiting = Waiters.create();

  private leaseTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly traits: WorkerTraits) {}

  /**
   * @param traits - what the worker is like
   * @returns a worker that runs nothing
   */
  static create(traits: WorkerTraits): WorkerStandIn {
    return new WorkerStandIn(traits);
  }

  /** Number of runs at work. */
  get running(): number {
    return this.runs.size;
  }

  /** Path and body of the worker's next report about itself. */
  report(): { path: string; body: Record<string, unknown> } {
    const { id, service, dataCenter, labels, capacity } = this.traits;
    this.sequence += 1;
    return {
      path: `/api/instances/${id}/heartbeat`,
      body: {
        backend: service,
        zone: dataCenter,
        version: 'v1',
        slots: 8,
        state: this.state,
        cold_remaining_ms: 0,
        capacity: { cpu: capacity.cpu, mem_mb: capacity.memoryMb, gpu: capacity.accelerators },
        labels,
        born: this.born,
        clock_ms: this.clock(),
        seq_num: this.sequence,
      },
    };
  }

  /** The HTTP interface. */
  routes(): Hono {
    const app = new Hono();
    app.use(async (_, next) => {
      const { mood } = this;
      if (mood === 'silent') await forever();
      if (mood === 'late') await sleep(LATE_MS);
      await next();
      if (mood === 'answerLost' || mood === 'late') await forever();
    });
    app.post('/api/run-start', async (context) => this.start(context, await context.req.json()));
    app.post('/api/run-stop', async (context) => this.stop(context, await context.req.json()));
    app.post('/api/hold', async (context) => this.hold(context, await context.req.json()));
    return app;
  }

  /** Ends everything, as a crash does. */
  halt(): void {
    clearTimeout(this.leaseTimer);
    this.runs.forEach(({ task, run, timer }) => {
      clearTimeout(timer);
      this.record(task, run, 'crashed');
    });
    this.runs.clear();
  }

  /**
   * Crashes and restarts under the same id; all its state is lost.
   *
   * @param clockRate - rate of its clock; 0.98 is as slow as is allowed
   */
  beginLife(clockRate = this.clockRate): void {
    this.halt();
    this.clockRate = clockRate;
    this.born = Math.max(Date.now(), this.born + 1);
    this.startedAt = performance.now();
    this.highestRuns.clear();
    this.ends = [];
    this.endCount = 0;
    this.token = 0;
    this.leaseUntil = 0;
    this.sequence = 0;
    this.state = 'ready';
  }

  private clock(): number {
    return Math.round((performance.now() - this.startedAt) * this.clockRate) + 1;
  }

  private refuse(context: Context, reason: string): Response {
    return context.json({ clock_ms: this.clock(), reason }, 409);
  }

  private isFenced(token: number): boolean {
    if (token < this.token) return true;
    this.token = token;
    return false;
  }

  private extend(until: number): void {
    const limited = Math.min(until, this.clock() + MAX_LEASE_MS);
    if (limited <= this.leaseUntil) return;
    this.leaseUntil = limited;
    clearTimeout(this.leaseTimer);
    const leftMs = (limited - this.clock()) / this.clockRate;
    this.leaseTimer = setTimeout(() => this.lapse(), Math.ceil(leftMs));
  }

  private lapse(): void {
    [...this.runs.values()].forEach((run) => this.end(run, 'lapsed'));
  }

  private start(context: Context, body: unknown): Response {
    const { task, run, spec, until_ms: until, fence_token: token } = startSchema.parse(body);
    if (this.isFenced(token)) return this.refuse(context, 'fence');
    if (until <= this.clock()) return this.refuse(context, 'late');
    this.extend(until);
    const present = this.runs.get(task);
    if (present?.run === run) return context.json({ clock_ms: this.clock() });
    if (present || run <= (this.highestRuns.get(task) ?? 0)) return this.refuse(context, 'old');
    const runMs = this.mood === 'stuck' ? 3_600_000 : this.traits.runMs(spec);
    const state: RunState = {
      task,
      run,
      spec,
      startedAt: performance.now(),
      timer: setTimeout(() => this.end(state, this.traits.fails(spec) ? 'failed' : 'done'), runMs),
    };
    this.runs.set(task, state);
    this.record(task, run, 'start');
    this.checkRoom();
    return context.json({ clock_ms: this.clock() });
  }

  private stop(context: Context, body: unknown): Response {
    const { task, run, fence_token: token } = stopSchema.parse(body);
    if (this.isFenced(token)) return this.refuse(context, 'fence');
    this.raise(task, run);
    const present = this.runs.get(task);
    if (present?.run === run) {
      clearTimeout(present.timer);
      present.timer = setTimeout(() => this.end(present, 'stopped'), STOP_MS);
    }
    return context.json({ clock_ms: this.clock() });
  }

  private async hold(context: Context, body: unknown): Promise<Response> {
    const {
      until_ms: until,
      fence_token: token,
      last_seen: seen,
      wait_ms: waitMs,
    } = holdSchema.parse(body);
    if (this.isFenced(token)) return this.refuse(context, 'fence');
    if (until !== undefined) this.extend(until);
    this.ends = this.ends.filter(([number]) => number > seen);
    if (this.ends.length === 0 && waitMs > 0) await this.waiting.wait(waitMs);
    const running = [...this.runs.values()].map((state) => [
      state.task,
      state.run,
      '',
      this.percentOf(state),
      0,
    ]);
    const ended = this.ends.slice(0, LIST_LIMIT);
    return context.json({ born: this.born, clock_ms: this.clock(), running, ended });
  }

  private percentOf({ spec, startedAt }: RunState): number {
    if (this.mood === 'stuck') return 0;
    const share = (performance.now() - startedAt) / this.traits.runMs(spec);
    return Math.min(99, Math.floor(share * 100));
  }

  private end(state: RunState, how: string): void {
    if (this.runs.get(state.task) !== state) return;
    clearTimeout(state.timer);
    this.runs.delete(state.task);
    this.raise(state.task, state.run);
    this.endCount += 1;
    this.ends.push([this.endCount, state.task, state.run, how, '']);
    this.record(state.task, state.run, how);
    this.waiting.wakeAll();
  }

  private raise(task: string, run: number): void {
    this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
  }

  private record(task: string, run: number, what: string): void {
    this.events.push({ at: performance.now(), worker: this.traits.id, task, run, what });
  }

  private checkRoom(): void {
    const cpu = [...this.runs.values()].reduce(
      (sum, { spec }) => sum + this.traits.needs(spec).cpu,
      0,
    );
    if (cpu > this.traits.capacity.cpu)
      this.overloads.push(`${cpu} of ${this.traits.capacity.cpu}`);
  }
}
