import type {
  HoldResult,
  CommandResult,
  RunList,
  WorkerClient,
  WorkerReport,
} from '@marjorammast/gate';
import { taskKey } from '@marjorammast/protocol';
import type { Resources, TaskId } from '@marjorammast/protocol';

/** One run on a worker; the times are monotonic, in milliseconds. */
export type ObservedRun = {
  task: string;
  worker: string;
  run: number;
  startedAt: number;
  /** `Infinity` while the run is active. */
  endedAt: number;
  /** How the run ended; `running` while it is active. */
  how: string;
  /** True when the run started later than allowed after the worker had reported that it leaves. */
  isStartedWhileLeaving: boolean;
};

type ActiveRun = ObservedRun & {
  name: TaskId;
  runMs: number;
  cpu: number;
  timer: NodeJS.Timeout;
};

/** How a worker mishandles the orders of its agent. */
export type OrderFault =
  | 'none'
  /** Orders are neither carried out nor answered. */
  | 'silent'
  /** Orders are carried out, but their answers are lost. */
  | 'answerLost'
  /** Every order is carried out long after the agent has given it up. */
  | 'late'
  /** Starts and stops are carried out a little after the agent has given them up. */
  | 'delayed';

/** What each task of a job does; passed as JSON in the `spec` of the job. */
export type TaskSpec = { runMs: number; cpu: number; fails?: boolean };

/** Longest lease that the worker grants, in milliseconds of its clock. */
const MAX_LEASE_MS = 1_000;

/** Time after the report of a leaving worker in which runs may still start, in milliseconds. */
const LEAVE_GRACE_MS = 2_000;

/** Time that a run takes to end after a stop order, in milliseconds. */
const STOP_DURATION_MS = 20;

/** Delay of all orders under the fault `late`, in milliseconds. */
const LATE_DELAY_MS = 2_500;

/** Delay of starts and stops under the fault `delayed`, in milliseconds; lists are not delayed. */
const SHORT_DELAY_MS = 300;

/** Time until an order is carried out and answered without a fault, in milliseconds. */
const ANSWER_DELAY_MS = 1;

/** Time after which an agent gives up an order without an answer, in milliseconds. */
const ORDER_TIMEOUT_MS = 150;

/** A worker in memory that follows the platform's rules for leases, runs and fencing tokens. */
export class MemoryWorker {
  orderFault: OrderFault = 'none';

  /** Rate of the worker's clock; 0.98 is the slowest rate that the platform allows. */
  clockRate = 1;

  /** True when the worker reports that it leaves. */
  isLeaving = false;

  /** Monotonic time of the first report that the worker leaves, in milliseconds. */
  private leaveReportedAt = Infinity;

  /** Start of the current incarnation of the worker, in milliseconds since the Unix epoch. */
  private incarnation = Date.now();

  private incarnationStartedAt = performance.now();

  private readonly activeRuns = new Map<string, ActiveRun>();

  /** Highest number of a run that was stopped or has ended, by task. */
  private readonly highestRuns = new Map<string, number>();

  /** Ended runs that the agent has not acknowledged. */
  private endedRuns: { number: number; name: TaskId; run: number; how: string }[] = [];

  private endedRunCount = 0;

  /** Highest fencing token that an order carried. */
  private token = 0;

  /** End of the lease on the worker's clock, in milliseconds. */
  private leaseUntil = 0;

  private leaseTimer: NodeJS.Timeout | undefined;

  private sequence = 0;

  private readonly endListeners = new Set<() => void>();

  private constructor(
    readonly id: string,
    private readonly dataCenter: string,
    readonly capacity: Resources,
    private readonly observedRuns: ObservedRun[],
    private readonly overloads: string[],
  ) {}

  /**
   * @param id - name of the worker
   * @param dataCenter - data centre of the worker
   * @param capacity - capacity of the worker
   * @param observedRuns - list to which the worker adds every run
   * @param overloads - list to which it adds a line for each start that exceeds its capacity
   * @returns a worker without runs
   */
  static create(
    id: string,
    dataCenter: string,
    capacity: Resources,
    observedRuns: ObservedRun[],
    overloads: string[],
  ): MemoryWorker {
    return new MemoryWorker(id, dataCenter, capacity, observedRuns, overloads);
  }

  /** Creates the worker's next report to its agent. */
  report(): WorkerReport {
    this.sequence += 1;
    if (this.isLeaving) this.leaveReportedAt = Math.min(this.leaveReportedAt, performance.now());
    return {
      id: this.id,
      born: this.incarnation,
      service: 'desk',
      dataCenter: this.dataCenter,
      capacity: this.capacity,
      labels: [],
      isLeaving: this.isLeaving,
      clock: this.clock(),
      sequence: this.sequence,
    };
  }

  /** Crashes the worker and starts it again under the same name, without runs. */
  restart(): void {
    [...this.activeRuns.values()].forEach((run) => this.endRun(run, 'crashed'));
    clearTimeout(this.leaseTimer);
    this.endedRuns = [];
    this.endedRunCount = 0;
    this.token = 0;
    this.leaseUntil = 0;
    this.highestRuns.clear();
    this.sequence = 0;
    this.isLeaving = false;
    this.leaveReportedAt = Infinity;
    this.incarnation += Math.max(1, Date.now() - this.incarnation);
    this.incarnationStartedAt = performance.now();
  }

  /**
   * Creates the port through which one agent sends its orders.
   *
   * @param isAlive - whether the agent is alive; the orders of a killed agent get no answer
   * @returns the port
   */
  createPort(isAlive: () => boolean): WorkerClient {
    const carryOutOrder = async <T extends HoldResult | CommandResult>(
      order: () => T,
      isList = false,
    ): Promise<T | { type: 'noAnswer'; detail: string }> => {
      // A killed agent sends no orders.
      if (!isAlive()) return { type: 'noAnswer', detail: 'agent dead' };
      const { orderFault } = this;
      const isLate = orderFault === 'late' || (orderFault === 'delayed' && !isList);
      const delayMs = orderFault === 'late' ? LATE_DELAY_MS : SHORT_DELAY_MS;
      // An order names the worker only by its id, so a restarted worker carries out a late one too.
      if (isLate) setTimeout(order, delayMs);
      await new Promise((resolve) => {
        setTimeout(resolve, ANSWER_DELAY_MS);
      });
      const answer: T | undefined = isLate || orderFault === 'silent' ? undefined : order();
      if (answer && orderFault !== 'answerLost' && isAlive()) return answer;
      await new Promise((resolve) => {
        setTimeout(resolve, ORDER_TIMEOUT_MS);
      });
      return { type: 'noAnswer', detail: orderFault };
    };
    const check = (worker: { id: string }, token: number): CommandResult | undefined => {
      if (worker.id !== this.id) return { type: 'refused', reason: 'otherLife' };
      if (token < this.token) return { type: 'refused', reason: 'superseded', clock: this.clock() };
      this.token = token;
      return undefined;
    };
    return {
      start: ({ worker, token, task, run, spec, leaseUntil }) =>
        carryOutOrder((): CommandResult => {
          const refusal = check(worker, token);
          return refusal ?? this.startRun(task, run, spec, leaseUntil);
        }),
      stop: ({ worker, token, task, run }) =>
        carryOutOrder((): CommandResult => check(worker, token) ?? this.stopRun(task, run)),
      hold: async ({ worker, token, lastEnd, leaseUntil, waitMs }) => {
        if (
          waitMs > 0 &&
          this.orderFault === 'none' &&
          this.endedRuns.every((end) => end.number <= lastEnd)
        ) {
          await this.waitForEnd(waitMs);
        }
        return carryOutOrder((): HoldResult => {
          const refusal = check(worker, token);
          if (refusal && refusal.type !== 'accepted') return refusal;
          if (leaseUntil !== undefined) this.extendLease(leaseUntil);
          return { type: 'list', list: this.listRuns(lastEnd) };
        }, true);
      },
    };
  }

  private clock(): number {
    return Math.floor((performance.now() - this.incarnationStartedAt) * this.clockRate) + 1;
  }

  private extendLease(until: number): void {
    const limitedUntil = Math.min(until, this.clock() + MAX_LEASE_MS);
    if (limitedUntil <= this.leaseUntil) return;
    this.leaseUntil = limitedUntil;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(
      () => [...this.activeRuns.values()].forEach((run) => this.endRun(run, 'lapsed')),
      (limitedUntil - this.clock()) / this.clockRate,
    );
  }

  private startRun(name: TaskId, run: number, spec: string, until: number): CommandResult {
    const task = taskKey(name);
    const clock = this.clock();
    if (until <= clock) return { type: 'refused', reason: 'late', clock };
    this.extendLease(until);
    const existing = this.activeRuns.get(task);
    if (existing?.run === run) return { type: 'accepted', clock };
    if (existing || run <= (this.highestRuns.get(task) ?? 0)) {
      return { type: 'refused', reason: 'lowRun', clock };
    }
    const { runMs, cpu, fails } = JSON.parse(spec) as TaskSpec;
    const activeRun: ActiveRun = {
      name,
      task,
      worker: this.id,
      run,
      runMs,
      cpu,
      startedAt: performance.now(),
      endedAt: Infinity,
      how: 'running',
      isStartedWhileLeaving: performance.now() > this.leaveReportedAt + LEAVE_GRACE_MS,
      timer: setTimeout(() => this.endRun(activeRun, fails ? 'failed' : 'done'), runMs),
    };
    this.activeRuns.set(task, activeRun);
    this.observedRuns.push(activeRun);
    const usedCpu = [...this.activeRuns.values()].reduce((sum, other) => sum + other.cpu, 0);
    if (usedCpu > this.capacity.cpu)
      this.overloads.push(`${this.id}: ${usedCpu} of ${this.capacity.cpu}`);
    return { type: 'accepted', clock };
  }

  private stopRun(name: TaskId, run: number): CommandResult {
    const task = taskKey(name);
    this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
    const existing = this.activeRuns.get(task);
    if (existing?.run === run) setTimeout(() => this.endRun(existing, 'stopped'), STOP_DURATION_MS);
    return { type: 'accepted', clock: this.clock() };
  }

  private listRuns(lastEnd: number): RunList {
    this.endedRuns = this.endedRuns.filter(({ number }) => number > lastEnd);
    return {
      born: this.incarnation,
      clock: this.clock(),
      running: [...this.activeRuns.values()].map(({ name, run, startedAt, runMs }) => ({
        task: name,
        run,
        percent: Math.min(99, Math.floor((100 * (performance.now() - startedAt)) / runMs)),
      })),
      ended: this.endedRuns.map(({ number, name, run, how }) => ({
        number,
        task: name,
        run,
        how: how as 'done',
      })),
    };
  }

  private waitForEnd(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = () => {
        this.endListeners.delete(finish);
        resolve();
      };
      setTimeout(finish, waitMs);
      this.endListeners.add(finish);
    });
  }

  private endRun(run: ActiveRun, how: string): void {
    if (this.activeRuns.get(run.task) !== run) return;
    clearTimeout(run.timer);
    this.activeRuns.delete(run.task);
    this.highestRuns.set(run.task, Math.max(run.run, this.highestRuns.get(run.task) ?? 0));
    Object.assign(run, { endedAt: performance.now(), how });
    this.endedRunCount += 1;
    this.endedRuns.push({ number: this.endedRunCount, name: run.name, run: run.run, how });
    [...this.endListeners].forEach((listener) => listener());
  }
}
