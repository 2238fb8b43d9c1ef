import type {
  HoldAnswer,
  OrderAnswer,
  RunList,
  WorkerPort,
  WorkerReport,
} from '@marjorammast/gate';
import { taskKey } from '@marjorammast/protocol';
import type { Resources, TaskName } from '@marjorammast/protocol';

/** One run, as the worker saw it. */
export type SeenRun = {
  task: string;
  worker: string;
  run: number;
  from: number;
  to: number;
  how: string;
  /** Started although the worker had said long before that it leaves. */
  isForbidden: boolean;
};

type Active = SeenRun & { name: TaskName; runMs: number; cpu: number; timer: NodeJS.Timeout };

/** What a worker does with orders. */
export type OrderMood = 'well' | 'silent' | 'answerLost' | 'late' | 'delayed';

/** What a task does, written into its job's spec. */
export type SpecText = { runMs: number; cpu: number; fails?: boolean };

const MAX_LEASE_MS = 1_000;

/** Time after the report of a leaving worker from which nothing new may start, in milliseconds. */
const LEAVE_MS = 2_000;

const STOP_MS = 20;

const LATE_MS = 2_500;

/** Delay of starts and stops in the mood `delayed`, in milliseconds; lists are prompt there. */
const DELAY_MS = 300;

const ANSWER_MS = 1;

/** Time after which a caller gives up on an order, in milliseconds. */
const ORDER_TIMEOUT_MS = 150;

/** A worker in memory, which follows the platform's rules for leases, runs and tokens. */
export class MemoryWorker {
  mood: OrderMood = 'well';

  /** Its clock's rate; 0.98 is as slow as is allowed. */
  rate = 1;

  /** It says that it leaves. */
  isLeaving = false;

  /** Monotonic time at which an agent has first heard that. */
  private leaveHeardAt = Infinity;

  private born = Date.now();

  private startedAt = performance.now();

  private readonly active = new Map<string, Active>();

  private readonly highest = new Map<string, number>();

  private ends: { number: number; name: TaskName; run: number; how: string }[] = [];

  private endCount = 0;

  private token = 0;

  private leaseUntil = 0;

  private leaseTimer: NodeJS.Timeout | undefined;

  private sequence = 0;

  private readonly waiting = new Set<() => void>();

  private constructor(
    readonly id: string,
    private readonly dataCenter: string,
    readonly capacity: Resources,
    private readonly seen: SeenRun[],
    private readonly overloads: string[],
  ) {}

  /**
   * @param id - name of the worker
   * @param dataCenter - where it runs
   * @param capacity - its room
   * @param seen - takes every run
   * @param overloads - takes a line for each start beyond the room
   */
  static create(
    id: string,
    dataCenter: string,
    capacity: Resources,
    seen: SeenRun[],
    overloads: string[],
  ): MemoryWorker {
    return new MemoryWorker(id, dataCenter, capacity, seen, overloads);
  }

  /** Its next report. */
  report(): WorkerReport {
    this.sequence += 1;
    if (this.isLeaving) this.leaveHeardAt = Math.min(this.leaveHeardAt, performance.now());
    return {
      id: this.id,
      born: this.born,
      service: 'desk',
      dataCenter: this.dataCenter,
      capacity: this.capacity,
      labels: [],
      isLeaving: this.isLeaving,
      clock: this.clock(),
      sequence: this.sequence,
    };
  }

  /** Crashes and starts again under the same name, with nothing running. */
  reborn(): void {
    [...this.active.values()].forEach((run) => this.end(run, 'crashed'));
    clearTimeout(this.leaseTimer);
    this.ends = [];
    this.endCount = 0;
    this.token = 0;
    this.leaseUntil = 0;
    this.highest.clear();
    this.sequence = 0;
    this.isLeaving = false;
    this.leaveHeardAt = Infinity;
    this.born += Math.max(1, Date.now() - this.born);
    this.startedAt = performance.now();
  }

  /** Calls as one agent makes them; those of a dead agent get no answer. */
  port(isAlive: () => boolean): WorkerPort {
    const carryOut = async <T extends HoldAnswer | OrderAnswer>(
      act: () => T,
      isList = false,
    ): Promise<T | { type: 'noAnswer'; detail: string }> => {
      // A dead agent sends nothing.
      if (!isAlive()) return { type: 'noAnswer', detail: 'agent dead' };
      const { mood } = this;
      const isLate = mood === 'late' || (mood === 'delayed' && !isList);
      const delayMs = mood === 'late' ? LATE_MS : DELAY_MS;
      // An order names the worker by its id: also a later life of that id carries it out.
      if (isLate) setTimeout(act, delayMs);
      await new Promise((resolve) => {
        setTimeout(resolve, ANSWER_MS);
      });
      const answer: T | undefined = isLate || mood === 'silent' ? undefined : act();
      if (answer && mood !== 'answerLost' && isAlive()) return answer;
      await new Promise((resolve) => {
        setTimeout(resolve, ORDER_TIMEOUT_MS);
      });
      return { type: 'noAnswer', detail: mood };
    };
    const check = (worker: { id: string }, token: number): OrderAnswer | undefined => {
      if (worker.id !== this.id) return { type: 'refused', reason: 'otherLife' };
      if (token < this.token) return { type: 'refused', reason: 'superseded', clock: this.clock() };
      this.token = token;
      return undefined;
    };
    return {
      start: ({ worker, token, task, run, spec, leaseUntil }) =>
        carryOut((): OrderAnswer => {
          const refusal = check(worker, token);
          return refusal ?? this.start(task, run, spec, leaseUntil);
        }),
      stop: ({ worker, token, task, run }) =>
        carryOut((): OrderAnswer => check(worker, token) ?? this.stop(task, run)),
      hold: async ({ worker, token, lastEnd, leaseUntil, waitMs }) => {
        if (waitMs > 0 && this.mood === 'well' && this.ends.every((e) => e.number <= lastEnd)) {
          await this.wait(waitMs);
        }
        return carryOut((): HoldAnswer => {
          const refusal = check(worker, token);
          if (refusal && refusal.type !== 'accepted') return refusal;
          if (leaseUntil !== undefined) this.extend(leaseUntil);
          return { type: 'list', list: this.list(lastEnd) };
        }, true);
      },
    };
  }

  private clock(): number {
    return Math.floor((performance.now() - this.startedAt) * this.rate) + 1;
  }

  private extend(until: number): void {
    const limited = Math.min(until, this.clock() + MAX_LEASE_MS);
    if (limited <= this.leaseUntil) return;
    this.leaseUntil = limited;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(
      () => [...this.active.values()].forEach((run) => this.end(run, 'lapsed')),
      (limited - this.clock()) / this.rate,
    );
  }

  private start(name: TaskName, run: number, spec: string, until: number): OrderAnswer {
    const task = taskKey(name);
    const clock = this.clock();
    if (until <= clock) return { type: 'refused', reason: 'late', clock };
    this.extend(until);
    const present = this.active.get(task);
    if (present?.run === run) return { type: 'accepted', clock };
    if (present || run <= (this.highest.get(task) ?? 0)) {
      return { type: 'refused', reason: 'lowRun', clock };
    }
    const { runMs, cpu, fails } = JSON.parse(spec) as SpecText;
    const active: Active = {
      name,
      task,
      worker: this.id,
      run,
      runMs,
      cpu,
      from: performance.now(),
      to: Infinity,
      how: 'running',
      isForbidden: performance.now() > this.leaveHeardAt + LEAVE_MS,
      timer: setTimeout(() => this.end(active, fails ? 'failed' : 'done'), runMs),
    };
    this.active.set(task, active);
    this.seen.push(active);
    const used = [...this.active.values()].reduce((sum, other) => sum + other.cpu, 0);
    if (used > this.capacity.cpu)
      this.overloads.push(`${this.id}: ${used} of ${this.capacity.cpu}`);
    return { type: 'accepted', clock };
  }

  private stop(name: TaskName, run: number): OrderAnswer {
    const task = taskKey(name);
    this.highest.set(task, Math.max(run, this.highest.get(task) ?? 0));
    const present = this.active.get(task);
    if (present?.run === run) setTimeout(() => this.end(present, 'stopped'), STOP_MS);
    return { type: 'accepted', clock: this.clock() };
  }

  private list(lastEnd: number): RunList {
    this.ends = this.ends.filter(({ number }) => number > lastEnd);
    return {
      born: this.born,
      clock: this.clock(),
      running: [...this.active.values()].map(({ name, run, from, runMs }) => ({
        task: name,
        run,
        percent: Math.min(99, Math.floor((100 * (performance.now() - from)) / runMs)),
      })),
      ended: this.ends.map(({ number, name, run, how }) => ({
        number,
        task: name,
        run,
        how: how as 'done',
      })),
    };
  }

  private wait(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const end = () => {
        this.waiting.delete(end);
        resolve();
      };
      setTimeout(end, waitMs);
      this.waiting.add(end);
    });
  }

  private end(run: Active, how: string): void {
    if (this.active.get(run.task) !== run) return;
    clearTimeout(run.timer);
    this.active.delete(run.task);
    this.highest.set(run.task, Math.max(run.run, this.highest.get(run.task) ?? 0));
    Object.assign(run, { to: performance.now(), how });
    this.endCount += 1;
    this.ends.push({ number: this.endCount, name: run.name, run: run.run, how });
    [...this.waiting].forEach((wake) => wake());
  }
}
