import type {
  HoldResult,
  CommandResult,
  RunList,
  WorkerClient,
  WorkerIdentity,
  WorkerReport,
} from '@marjorammast/gate';
import { sleep, taskKey } from '@marjorammast/protocol';
import type { Resources, TaskId } from '@marjorammast/protocol';
import { runOutside } from './processTimers';

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
  taskId: TaskId;
  runMs: number;
  cpu: number;
  timer: NodeJS.Timeout;
};

/** Simulated fault in the way a worker handles the commands of its agent. */
export type CommandFault =
  | 'none'
  /** Commands are neither executed nor answered. */
  | 'silent'
  /** Commands are executed, but their answers are lost. */
  | 'answerLost'
  /** Every command is executed long after the agent has given up waiting for its answer. */
  | 'late'
  /** Start and stop commands are executed shortly after the agent has given up waiting. */
  | 'delayed'
  /** New connections to the worker are refused, while its runs continue until their lease ends. */
  | 'refusing';

/** The commands of an agent. */
export type CommandKind = 'start' | 'stop' | 'hold';

/**
 * Share of the commands of each kind that get no answer and are executed seconds later. The other
 * commands are served as usual.
 */
export type LateShares = Partial<Record<CommandKind, number>>;

/** The process that sends commands to a worker. */
export type CommandSender = {
  /** False once the process was killed; its commands then get no answer. */
  isAlive: () => boolean;
  /** True while the process is frozen: it neither sends a command nor receives an answer. */
  isFrozen: () => boolean;
};

/** Behaviour of each task of a job; passed as JSON in the `spec` of the job. */
export type TaskSpec = {
  runMs: number;
  cpu: number;
  fails?: boolean;
  /** Index of the task that crashes each worker that starts it. */
  crashingTask?: number;
  /** Time from its start to the crash, in milliseconds; 0 if absent, so that the start is not answered. */
  crashAfterMs?: number;
  /** True when the worker's VM goes down too, so that its address does not refuse connections. */
  isCrashSilent?: boolean;
};

type NoAnswer = Extract<CommandResult, { type: 'noAnswer' }>;

/**
 * Maximum length of a lease, in milliseconds of the worker's clock. The worker shortens longer ones.
 */
const MAX_LEASE_MS = 1_000;

/**
 * Time after the first report that a worker leaves in which runs may still start, in milliseconds.
 */
const LEAVE_GRACE_MS = 2_000;

/** Time that a run takes to end after a stop command, in milliseconds. */
const STOP_DURATION_MS = 20;

/** Delay of all commands under the fault `late`, in milliseconds. */
const LATE_DELAY_MS = 2_500;

/** Shortest and longest delay of a command that {@link LateShares} makes late, in milliseconds. */
const LATE_SHARE_DELAYS_MS = [2_000, 12_000] as const;

/** Time between two looks whether a frozen agent has resumed, in milliseconds. */
const FROZEN_POLL_MS = 5;

/**
 * Delay of start and stop commands under the fault `delayed`, in milliseconds. Hold commands are not
 * delayed.
 */
const SHORT_DELAY_MS = 300;

/** Time after which a crashed worker is back, in milliseconds; twice as long after a silent crash. */
const CRASH_DURATION_MS = 3_000;

/** Time until a command is executed and answered without a fault, in milliseconds. */
const EXECUTION_DELAY_MS = 1;

/** Time after which an agent gives up waiting for the answer to a command, in milliseconds. */
const COMMAND_TIMEOUT_MS = 150;

/** A worker in memory that follows the platform's rules for leases, runs and fencing tokens. */
export class MemoryWorker {
  commandFault: CommandFault = 'none';

  lateShares: LateShares = {};

  /** Delay of the commands that are late by {@link lateShares}, shortest and longest, in milliseconds. */
  lateDelaysMs: readonly [number, number] = LATE_SHARE_DELAYS_MS;

  /**
   * True when the lease of a command that is executed late counts from then: it lasts for as long as it would
   * have if the command had been executed when it was sent. The platform's page has no such commands.
   */
  countsLateLeasesFromArrival = false;

  /** Reading of the worker's clock at the start of its next incarnation, in milliseconds. */
  nextClockStart = 1;

  /** Rate of the worker's clock; 0.98 is the slowest rate that the platform allows. */
  clockRate = 1;

  /** True when the worker refuses starts that exceed its capacity. */
  rejectsOverload = false;

  /** Number of starts that it has refused because they exceed its capacity. */
  rejectedStarts = 0;

  /** True when the worker reports that it leaves. */
  isLeaving = false;

  /** True from a crash until the worker is back; its address then refuses connections. */
  private isDown = false;

  /** True when commands get no answer, not even a refused connection, while the worker is down. */
  private isCrashSilent = false;

  /** Monotonic time of the first report that the worker leaves, in milliseconds. */
  private leaveReportedAt = Infinity;

  /** Time at which the current incarnation started, in milliseconds since the Unix epoch. */
  private incarnation = Date.now();

  private incarnationStartedAt = performance.now();

  /** Reading of the clock at the start of the incarnation, in milliseconds. */
  private clockStart = 1;

  private readonly activeRuns = new Map<string, ActiveRun>();

  /** Highest run number that was stopped or has ended, by task; only higher numbers may start. */
  private readonly highestRuns = new Map<string, number>();

  /** Ended runs that the agent has not acknowledged. */
  private endedRuns: { number: number; taskId: TaskId; run: number; how: string }[] = [];

  /** Number of runs that have ended in this incarnation; it numbers the entries of `endedRuns`. */
  private endedRunCount = 0;

  /** Highest fencing token that a command carried; commands with a lower one are refused. */
  private token = 0;

  /** End of the lease on the worker's clock, in milliseconds. */
  private leaseUntil = 0;

  private leaseTimer: NodeJS.Timeout | undefined;

  /** Sequence number of the last report. */
  private sequence = 0;

  private readonly endListeners = new Set<() => void>();

  private constructor(
    readonly id: string,
    private readonly dataCenter: string,
    /** Capacity, which may change while the worker runs; its reports say so. */
    private capacity: Resources,
    private readonly observedRuns: ObservedRun[],
    private readonly overloads: string[],
    private readonly random: () => number,
  ) {}

  /**
   * @param id - name of the worker
   * @param dataCenter - data centre of the worker
   * @param capacity - capacity of the worker
   * @param observedRuns - list to which the worker adds every run
   * @param overloads - list to which it adds a line for each start that exceeds its capacity
   * @param random - uniform random numbers in [0, 1), which decide the commands that are late
   * @returns a worker without runs
   */
  static create(
    id: string,
    dataCenter: string,
    capacity: Resources,
    observedRuns: ObservedRun[],
    overloads: string[],
    random: () => number,
  ): MemoryWorker {
    return new MemoryWorker(id, dataCenter, capacity, observedRuns, overloads, random);
  }

  /** The current incarnation. */
  get identity(): WorkerIdentity {
    return { id: this.id, born: this.incarnation };
  }

  /**
   * Creates the worker's next report to its agent.
   *
   * @returns the report, or `undefined` while the worker is down
   */
  report(): WorkerReport | undefined {
    if (this.isDown) return undefined;
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

  /**
   * Changes the capacity while the worker runs.
   *
   * @param factor - factor by which its processors change
   */
  scaleCapacity(factor: number): void {
    this.capacity = { ...this.capacity, cpu: this.capacity.cpu * factor };
  }

  /** Crashes the worker and starts it again under the same name, without runs. */
  restart(): void {
    this.startAnew('crashed');
  }

  /**
   * Ends a worker that leaves and starts it again under the same name. Its end is a crash to everybody else if it
   * has not reported before that it leaves.
   */
  leave(): void {
    this.startAnew(this.leaveReportedAt < Infinity ? 'left' : 'crashed');
  }

  private startAnew(how: 'crashed' | 'left'): void {
    this.endAllRuns(how);
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
    this.clockStart = this.nextClockStart;
  }

  /**
   * Creates the client through which one agent sends its commands.
   *
   * @param sender - the process of the agent
   * @returns the client
   */
  createClient(sender: CommandSender): WorkerClient {
    const waitUntilResumed = async (): Promise<void> => {
      while (sender.isFrozen()) await sleep(FROZEN_POLL_MS);
    };
    const executeCommand = async <T extends HoldResult | CommandResult>(
      kind: CommandKind,
      command: (lateMs: number) => T,
    ): Promise<T | NoAnswer> => {
      // A killed agent sends no commands.
      if (!sender.isAlive())
        return { type: 'noAnswer', detail: 'agent dead', wasRefused: false, wasSent: true };
      const { commandFault } = this;
      const isDelayed = commandFault === 'delayed' && kind !== 'hold';
      const isLate = commandFault === 'late' || isDelayed;
      // A command names the worker only by its id, so a restarted worker executes a late one too.
      if (isLate)
        this.executeLater(command, commandFault === 'late' ? LATE_DELAY_MS : SHORT_DELAY_MS);
      await sleep(EXECUTION_DELAY_MS);
      if (commandFault === 'refusing' || (this.isDown && !this.isCrashSilent)) {
        return { type: 'noAnswer', detail: 'refused', wasRefused: true, wasSent: false };
      }
      const isSilent = this.isDown || isLate || commandFault === 'silent';
      const answer: T | undefined = isSilent ? undefined : command(0);
      if (this.isDown && !this.isCrashSilent)
        return { type: 'noAnswer', detail: 'closed', wasRefused: false, wasSent: true };
      if (answer && !this.isDown && commandFault !== 'answerLost' && sender.isAlive())
        return answer;
      await sleep(COMMAND_TIMEOUT_MS);
      return { type: 'noAnswer', detail: commandFault, wasRefused: false, wasSent: true };
    };
    const sendCommand = async <T extends HoldResult | CommandResult>(
      kind: CommandKind,
      command: (lateMs: number) => T,
      waitMs = 0,
    ): Promise<T | NoAnswer> => {
      await waitUntilResumed();
      const isLate = this.commandFault === 'none' && this.drawsLate(kind);
      if (isLate && sender.isAlive()) {
        const [minMs, maxMs] = this.lateDelaysMs;
        this.executeLater(command, Math.round(minMs + this.random() * (maxMs - minMs)));
        await sleep(waitMs + COMMAND_TIMEOUT_MS);
        await waitUntilResumed();
        return { type: 'noAnswer', detail: 'late', wasRefused: false, wasSent: true };
      }
      if (waitMs > 0) {
        await this.waitForEnd(waitMs);
        // A call that is in progress when the worker begins to refuse connections is broken off.
        if (this.commandFault === 'refusing')
          return { type: 'noAnswer', detail: 'closed', wasRefused: false, wasSent: true };
      }
      const answer = await executeCommand(kind, command);
      await waitUntilResumed();
      return answer;
    };
    const checkCommand = (worker: { id: string }, token: number): CommandResult | undefined => {
      if (worker.id !== this.id) return { type: 'refused', reason: 'otherLife' };
      if (token < this.token) return { type: 'refused', reason: 'superseded', clock: this.clock() };
      this.token = token;
      return undefined;
    };
    return {
      start: ({ worker, token, task, run, spec, leaseUntil }) =>
        runOutside(() =>
          sendCommand('start', (lateMs): CommandResult => {
            const refusal = checkCommand(worker, token);
            return refusal ?? this.startRun(task, run, spec, leaseUntil + lateMs);
          }),
        ),
      stop: ({ worker, token, task, run }) =>
        runOutside(() =>
          sendCommand(
            'stop',
            (): CommandResult => checkCommand(worker, token) ?? this.stopRun(task, run),
          ),
        ),
      hold: ({ worker, token, lastEnd, leaseUntil, waitMs }) => {
        const mayWait =
          this.commandFault === 'none' && this.endedRuns.every((end) => end.number <= lastEnd);
        const hold = (lateMs: number): HoldResult => {
          const refusal = checkCommand(worker, token);
          if (refusal && refusal.type !== 'accepted') return refusal;
          if (leaseUntil !== undefined) this.extendLease(leaseUntil + lateMs);
          return { type: 'list', list: this.listRuns(lastEnd) };
        };
        return runOutside(() => sendCommand('hold', hold, mayWait ? waitMs : 0));
      },
    };
  }

  /** Executes a command after a delay, by whatever incarnation is there then. */
  private executeLater(command: (lateMs: number) => unknown, delayMs: number): void {
    const sentClock = this.clock();
    setTimeout(() => {
      // The clock may be that of another incarnation by then.
      const lateMs = this.countsLateLeasesFromArrival ? this.clock() - sentClock : 0;
      if (!this.isDown) command(lateMs);
    }, delayMs);
  }

  private drawsLate(kind: CommandKind): boolean {
    const share = this.lateShares[kind] ?? 0;
    return share > 0 && this.random() < share;
  }

  private clock(): number {
    const elapsedMs = performance.now() - this.incarnationStartedAt;
    return Math.floor(elapsedMs * this.clockRate) + this.clockStart;
  }

  private extendLease(until: number): void {
    const limitedUntil = Math.min(until, this.clock() + MAX_LEASE_MS);
    if (limitedUntil <= this.leaseUntil) return;
    this.leaseUntil = limitedUntil;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(
      () => this.endAllRuns('lapsed'),
      (limitedUntil - this.clock()) / this.clockRate,
    );
  }

  private startRun(taskId: TaskId, run: number, spec: string, until: number): CommandResult {
    const task = taskKey(taskId);
    const clock = this.clock();
    if (until <= clock) return { type: 'refused', reason: 'late', clock };
    this.extendLease(until);
    const existing = this.activeRuns.get(task);
    if (existing?.run === run) return { type: 'accepted', clock };
    if (existing || run <= (this.highestRuns.get(task) ?? 0)) {
      return { type: 'refused', reason: 'lowRun', clock };
    }
    const taskSpec = JSON.parse(spec) as TaskSpec;
    const { runMs, cpu, fails, crashingTask, crashAfterMs = 0, isCrashSilent = false } = taskSpec;
    const usedBefore = [...this.activeRuns.values()].reduce((sum, other) => sum + other.cpu, 0);
    if (this.rejectsOverload && usedBefore + cpu > this.capacity.cpu) {
      this.rejectedStarts += 1;
      return { type: 'refused', reason: 'room', clock };
    }
    const activeRun: ActiveRun = {
      taskId,
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
    if (usedBefore + cpu > this.capacity.cpu)
      this.overloads.push(`${this.id}: ${usedBefore + cpu} of ${this.capacity.cpu}`);
    if (taskId.index === crashingTask) {
      if (crashAfterMs > 0) setTimeout(() => this.crash(isCrashSilent), crashAfterMs);
      else this.crash(isCrashSilent);
    }
    return { type: 'accepted', clock };
  }

  private crash(isSilent: boolean): void {
    if (this.isDown) return;
    this.isDown = true;
    this.isCrashSilent = isSilent;
    this.endAllRuns('crashed');
    const durationMs = isSilent ? 2 * CRASH_DURATION_MS : CRASH_DURATION_MS;
    setTimeout(() => {
      this.isDown = false;
      this.restart();
    }, durationMs);
  }

  private endAllRuns(how: string): void {
    [...this.activeRuns.values()].forEach((run) => this.endRun(run, how));
  }

  private stopRun(taskId: TaskId, run: number): CommandResult {
    const task = taskKey(taskId);
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
      running: [...this.activeRuns.values()].map(({ taskId, run, startedAt, runMs }) => ({
        task: taskId,
        run,
        percent: Math.min(99, Math.floor((100 * (performance.now() - startedAt)) / runMs)),
      })),
      ended: this.endedRuns.map(({ number, taskId, run, how }) => ({
        number,
        task: taskId,
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
    this.endedRuns.push({ number: this.endedRunCount, taskId: run.taskId, run: run.run, how });
    [...this.endListeners].forEach((listener) => listener());
  }
}
