import { Hono } from 'hono';
import type { Context } from 'hono';
import * as z from 'zod';
import { sleep } from '@marjorammast/protocol';
import type { Resources } from '@marjorammast/protocol';
import { Waiters, neverResolve } from './Waiters';

/** Properties and behaviour of a simulated worker. */
export type WorkerOptions = {
  id: string;
  service: string;
  dataCenter: string;
  labels: string[];
  capacity: Resources;
  /** Returns the run time of a task in milliseconds. */
  runMs: (spec: string) => number;
  /** Returns the resources that a task needs, to check the capacity. */
  needs: (spec: string) => Resources;
  /** Returns true when the runs of a task fail. */
  fails: (spec: string) => boolean;
  /** Returns true when a task crashes the worker, by its index in the job. */
  crashes: (spec: string, index: number) => boolean;
  /** Called when the worker has crashed; the callee closes its address and calls `recover` later. */
  onCrash: () => void;
};

/** Simulated fault of a worker. */
export type WorkerFault =
  /** No fault. */
  | 'none'
  /** Requests are ignored. */
  | 'silent'
  /** Requests are executed but not answered. */
  | 'answerLost'
  /** Requests are not answered and take effect only after a long delay. */
  | 'late'
  /** Runs report no progress, and runs that start do not end. */
  | 'stuck';

type RunState = {
  task: string;
  run: number;
  spec: string;
  startedAt: number;
  timer: NodeJS.Timeout;
};

/** Start or end of one run at a worker. */
export type WorkerEvent = {
  /** Monotonic time, in milliseconds. */
  at: number;
  worker: string;
  task: string;
  run: number;
  /** `start`, or how the run ended; `crashed` when the worker crashed. */
  type: string;
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

/**
 * Maximum length of a lease, in milliseconds of the worker's clock. The worker shortens longer ones.
 */
const MAX_LEASE_MS = 1_000;

/** Time from the request to stop a run to its end, in milliseconds. */
const STOP_MS = 20;

/** Maximum number of ended runs in one answer. */
const LIST_LIMIT = 500;

/** Delay of each request under the fault `late`, in milliseconds. */
const LATE_MS = 2_500;

/** Time from the start of a task that crashes the worker to the crash, in milliseconds. */
const CRASH_DELAY_MS = 10;

/**
 * Time for which starts may still exceed a capacity that has shrunk, in milliseconds: the time in which
 * the system reacts to a report, as in the operators' documentation, and the period of the reports.
 */
const SHRINK_REACTION_MS = 3_500;

/** Simulation of a worker, with the platform's HTTP protocol. */
export class WorkerStandIn {
  /** Fault that the worker simulates at present. */
  fault: WorkerFault = 'none';

  state: 'ready' | 'draining' = 'ready';

  /** Starts and ends of runs, for checks. */
  readonly events: WorkerEvent[] = [];

  /** One text for each start that exceeded the CPU capacity. */
  readonly overloads: string[] = [];

  /** True from a crash until the worker has recovered. */
  isDown = false;

  private capacity: Resources;

  /** CPU capacity before it shrank, and the monotonic time until which starts may use it. */
  private earlierCapacity = { cpu: 0, until: 0 };

  /** Reading of the worker's clock at the start of its next incarnation, in milliseconds. */
  nextClockStart = 1;

  /** Reading of the clock at the start of the incarnation, in milliseconds. */
  private clockStart = 1;

  /** Rate of the worker's clock relative to real time. */
  private clockRate = 1;

  /** Start of the process, in milliseconds since the Unix epoch; differs for each restart. */
  private processStartedAt = Date.now();

  private clockStartedAt = performance.now();

  private readonly runs = new Map<string, RunState>();

  /** Highest run number that was stopped or has ended, by task; starts up to it are refused. */
  private readonly highestRuns = new Map<string, number>();

  /** Ends not yet acknowledged: number of the end, task, run, how the run ended, checkpoint. */
  private endedRuns: [number, string, number, string, string][] = [];

  private lastEndNumber = 0;

  /** Highest fencing token received; commands with a lower one are refused. */
  private highestToken = 0;

  /** End of the lease on the worker's clock, in milliseconds. */
  private leaseUntil = 0;

  private reportNumber = 0;

  private readonly endWaiters = Waiters.create();

  private leaseTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: WorkerOptions) {
    this.capacity = options.capacity;
  }

  /**
   * @param options - properties and behaviour of the worker
   * @returns a worker that runs nothing
   */
  static create(options: WorkerOptions): WorkerStandIn {
    return new WorkerStandIn(options);
  }

  /** Number of active runs. */
  get running(): number {
    return this.runs.size;
  }

  /** Creates the worker's next report to its agent: path and body of the request. */
  report(): { path: string; body: Record<string, unknown> } {
    const { id, service, dataCenter, labels } = this.options;
    const { capacity } = this;
    this.reportNumber += 1;
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
        born: this.processStartedAt,
        clock_ms: this.readClock(),
        seq_num: this.reportNumber,
      },
    };
  }

  /** Creates the HTTP interface. */
  routes(): Hono {
    const app = new Hono();
    app.use(async (_, next) => {
      const { fault } = this;
      if (fault === 'silent') await neverResolve();
      if (fault === 'late') await sleep(LATE_MS);
      if (this.isDown) await neverResolve();
      await next();
      if (fault === 'answerLost' || fault === 'late') await neverResolve();
    });
    app.post('/api/run-start', async (context) => this.start(context, await context.req.json()));
    app.post('/api/run-stop', async (context) => this.stop(context, await context.req.json()));
    app.post('/api/hold', async (context) => this.hold(context, await context.req.json()));
    return app;
  }

  /** Ends all runs, as a crash does. */
  halt(): void {
    clearTimeout(this.leaseTimer);
    this.runs.forEach(({ task, run, timer }) => {
      clearTimeout(timer);
      this.recordEvent(task, run, 'crashed');
    });
    this.runs.clear();
  }

  /**
   * Crashes and restarts under the same id, with the loss of all state.
   *
   * @param clockRate - rate of the new clock relative to real time; 0.98 is the lowest rate that
   * the platform allows
   */
  restart(clockRate = this.clockRate): void {
    this.halt();
    this.clockRate = clockRate;
    this.processStartedAt = Math.max(Date.now(), this.processStartedAt + 1);
    this.clockStartedAt = performance.now();
    this.clockStart = this.nextClockStart;
    this.highestRuns.clear();
    this.endedRuns = [];
    this.lastEndNumber = 0;
    this.highestToken = 0;
    this.leaseUntil = 0;
    this.reportNumber = 0;
    this.state = 'ready';
  }

  /** Restarts the worker after a crash. */
  recover(): void {
    this.isDown = false;
    this.restart();
  }

  /**
   * Changes the CPU capacity while the worker runs.
   *
   * @param factor - factor by which it changes
   */
  scaleCapacity(factor: number): void {
    const { cpu } = this.capacity;
    if (factor < 1) {
      const stillAllowed = this.allowedCpu;
      this.earlierCapacity = { cpu: stillAllowed, until: performance.now() + SHRINK_REACTION_MS };
    }
    this.capacity = { ...this.capacity, cpu: cpu * factor };
  }

  private get allowedCpu(): number {
    const { cpu, until } = this.earlierCapacity;
    return performance.now() < until ? Math.max(cpu, this.capacity.cpu) : this.capacity.cpu;
  }

  private crash(): void {
    if (this.isDown) return;
    this.isDown = true;
    this.halt();
    this.options.onCrash();
  }

  private readClock(): number {
    const elapsedMs = performance.now() - this.clockStartedAt;
    return Math.round(elapsedMs * this.clockRate) + this.clockStart;
  }

  private refuse(context: Context, reason: string): Response {
    return context.json({ clock_ms: this.readClock(), reason }, 409);
  }

  /** Returns true for a token below the highest one received; remembers any other token. */
  private rejectsToken(token: number): boolean {
    if (token < this.highestToken) return true;
    this.highestToken = token;
    return false;
  }

  private extendLease(until: number): void {
    const limited = Math.min(until, this.readClock() + MAX_LEASE_MS);
    if (limited <= this.leaseUntil) return;
    this.leaseUntil = limited;
    clearTimeout(this.leaseTimer);
    const leftMs = (limited - this.readClock()) / this.clockRate;
    this.leaseTimer = setTimeout(() => this.expireLease(), Math.ceil(leftMs));
  }

  private expireLease(): void {
    [...this.runs.values()].forEach((run) => this.end(run, 'lapsed'));
  }

  private start(context: Context, body: unknown): Response {
    const { task, run, spec, until_ms: until, fence_token: token } = startSchema.parse(body);
    if (this.rejectsToken(token)) return this.refuse(context, 'fence');
    if (until <= this.readClock()) return this.refuse(context, 'late');
    this.extendLease(until);
    const current = this.runs.get(task);
    if (current?.run === run) return context.json({ clock_ms: this.readClock() });
    if (current || run <= (this.highestRuns.get(task) ?? 0)) return this.refuse(context, 'old');
    const runMs = this.fault === 'stuck' ? 3_600_000 : this.options.runMs(spec);
    const state: RunState = {
      task,
      run,
      spec,
      startedAt: performance.now(),
      timer: setTimeout(() => this.end(state, this.options.fails(spec) ? 'failed' : 'done'), runMs),
    };
    this.runs.set(task, state);
    this.recordEvent(task, run, 'start');
    this.checkCapacity(task);
    if (this.options.crashes(spec, Number(task.split('.')[3]))) {
      setTimeout(() => this.crash(), CRASH_DELAY_MS);
    }
    return context.json({ clock_ms: this.readClock() });
  }

  private stop(context: Context, body: unknown): Response {
    const { task, run, fence_token: token } = stopSchema.parse(body);
    if (this.rejectsToken(token)) return this.refuse(context, 'fence');
    this.raiseHighestRun(task, run);
    const current = this.runs.get(task);
    if (current?.run === run) {
      clearTimeout(current.timer);
      current.timer = setTimeout(() => this.end(current, 'stopped'), STOP_MS);
    }
    return context.json({ clock_ms: this.readClock() });
  }

  /** Renews the lease, waits for the end of a run and lists the active and the ended runs. */
  private async hold(context: Context, body: unknown): Promise<Response> {
    const {
      until_ms: until,
      fence_token: token,
      last_seen: lastSeen,
      wait_ms: waitMs,
    } = holdSchema.parse(body);
    if (this.rejectsToken(token)) return this.refuse(context, 'fence');
    if (until !== undefined) this.extendLease(until);
    this.endedRuns = this.endedRuns.filter(([number]) => number > lastSeen);
    if (this.endedRuns.length === 0 && waitMs > 0) await this.endWaiters.wait(waitMs);
    // Rows of task, run number, checkpoint, progress in percent and a usage figure.
    const running = [...this.runs.values()].map((state) => [
      state.task,
      state.run,
      '',
      this.progressOf(state),
      0,
    ]);
    const ended = this.endedRuns.slice(0, LIST_LIMIT);
    return context.json({
      born: this.processStartedAt,
      clock_ms: this.readClock(),
      running,
      ended,
    });
  }

  private progressOf({ spec, startedAt }: RunState): number {
    if (this.fault === 'stuck') return 0;
    const share = (performance.now() - startedAt) / this.options.runMs(spec);
    return Math.min(99, Math.floor(share * 100));
  }

  private end(state: RunState, outcome: string): void {
    if (this.runs.get(state.task) !== state) return;
    clearTimeout(state.timer);
    this.runs.delete(state.task);
    this.raiseHighestRun(state.task, state.run);
    this.lastEndNumber += 1;
    this.endedRuns.push([this.lastEndNumber, state.task, state.run, outcome, '']);
    this.recordEvent(state.task, state.run, outcome);
    this.endWaiters.wakeAll();
  }

  private raiseHighestRun(task: string, run: number): void {
    this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
  }

  private recordEvent(task: string, run: number, type: string): void {
    this.events.push({ at: performance.now(), worker: this.options.id, task, run, type });
  }

  private checkCapacity(task: string): void {
    const cpu = [...this.runs.values()].reduce(
      (sum, { spec }) => sum + this.options.needs(spec).cpu,
      0,
    );
    const { allowedCpu } = this;
    if (cpu <= allowedCpu) return;
    this.overloads.push(`${task} at ${this.options.id}: ${cpu} of ${allowedCpu}`);
  }
}
