import { match } from 'ts-pattern';
import {
  NO_RESOURCES,
  addResources,
  sleep,
  subtractResources,
  taskKey,
} from '@marjorammast/protocol';
import type { Resources, RunEnd, TaskName } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import {
  END_WAIT_MS,
  MISSES_ALLOWED,
  RENEW_PERIOD_MS,
  SETTLE_PAUSE_MS,
  STALL_MS,
} from './constants';
import { EndedRuns } from './EndedRuns';
import { WorkerLease } from './WorkerLease';
import type {
  HoldAnswer,
  ListedRun,
  OrderAnswer,
  RunList,
  WorkerIdentity,
  WorkerPort,
  WorkerReport,
} from './WorkerPort';

/** One run of a task on the worker, from the moment its room is reserved. */
export type Run = {
  task: TaskName;
  run: number;
  /** Entry that asked for it. */
  owner: string;
  needs: Resources;
  estimateMs: number;
  /** Slowness of fast workers when the run was taken. */
  bestSlowness: number;
  takenAt: number;
  state: 'starting' | 'running' | 'stopping';
  /** How a stop that the agent orders is reported. */
  stopAs: 'stopped' | 'stalled';
  percent: number;
  progressAt: number;
  /** True once a list of this life of the worker has shown the run. */
  isListed: boolean;
};

/** What a life of a worker takes over from the one before. */
export type Inheritance = {
  /** Highest token that the worker may have seen. */
  token: number;
  /** Runs whose start may have been carried out by either life. */
  doubtful: readonly Run[];
};

/** What a life of a worker tells its agent. */
export type WorkerLifeHost = {
  port: WorkerPort;
  ended: (run: Run, how: RunEnd) => void;
  /** The worker has turned a run away, or makes no progress with it. */
  unhealthy: (run: Run) => void;
  /** Room or readiness has changed. */
  changed: () => void;
  /** Progress was listed; gives the runs that are too slow here. */
  findSlow: (runs: readonly Run[]) => Run[];
  /** Another life of the worker has answered. */
  replaced: () => void;
  log: Log;
};

/** Token that is higher than those of earlier lives, of the worker and of the agent. */
const tokenAt = (born: number, clock: number): number => Math.floor(born + clock);

/** One life of a worker: its runs, their lease, and the room that they take. */
export class WorkerLife {
  readonly identity: WorkerIdentity;

  private readonly token: number;

  /** Highest token that the worker may have seen, also in its next life. */
  private shownToken: number;

  private readonly runs = new Map<string, Run>();

  private readonly endedRuns = EndedRuns.create();

  private lastEnd = 0;

  private readonly lease: WorkerLease;

  private misses = 0;

  /** False until a list shows only known runs: what else runs takes unknown room. */
  private isClean = false;

  private isOver = false;

  private renewal: NodeJS.Timeout | undefined;

  private constructor(
    private report: WorkerReport,
    private readonly host: WorkerLifeHost,
    inheritance: Inheritance,
  ) {
    this.identity = { id: report.id, born: report.born };
    this.token = Math.max(tokenAt(report.born, report.clock), inheritance.token + 1);
    this.shownToken = this.token;
    this.lease = WorkerLease.create(report.clock);
  }

  /**
   * @param report - first report of this life that the agent has received
   * @param host - what the life tells its agent
   * @param inheritance - what is left of the life before
   * @returns a life whose runs are being listed
   */
  static create(report: WorkerReport, host: WorkerLifeHost, inheritance: Inheritance): WorkerLife {
    const life = new WorkerLife(report, host, inheritance);
    inheritance.doubtful.forEach((run) => life.inherit(run));
    void life.watchEnds();
    life.renewal = setInterval(() => void life.renew(), RENEW_PERIOD_MS);
    return life;
  }

  /** Newest report of the worker. */
  get latest(): WorkerReport {
    return this.report;
  }

  /** Number of runs that take room. */
  get size(): number {
    return this.runs.size;
  }

  /** Why nothing may be started; empty when something may. */
  get obstacle(): string {
    if (this.isOver) return 'worker gone';
    if (this.report.isLeaving) return 'worker leaving';
    if (this.misses >= MISSES_ALLOWED) return 'worker silent';
    if (!this.isClean) return 'runs unknown';
    return '';
  }

  /** Room that no run takes. */
  get free(): Resources {
    const used = [...this.runs.values()].reduce(
      (sum, { needs }) => addResources(sum, needs),
      NO_RESOURCES,
    );
    return subtractResources(this.report.capacity, used);
  }

  /**
   * Takes a newer report; older ones are ignored.
   *
   * @param report - report of the same life
   */
  update(report: WorkerReport): void {
    if (report.sequence <= this.report.sequence) return;
    this.report = report;
    this.host.changed();
  }

  /**
   * Finds the runs of one entry.
   *
   * @param isWanted - chooses runs
   * @returns the chosen runs
   */
  select(isWanted: (run: Run) => boolean): Run[] {
    return [...this.runs.values()].filter(isWanted);
  }

  /**
   * Reserves room for a run and orders its start. The caller has checked that it fits.
   *
   * @param run - the run
   * @param spec - what it does
   */
  take(run: Run, spec: string): void {
    this.runs.set(taskKey(run.task), run);
    void this.start(run, spec);
  }

  /**
   * @param task - the task
   * @returns its run that takes room, if there is one
   */
  find(task: TaskName): Run | undefined {
    return this.runs.get(taskKey(task));
  }

  /**
   * Stops a run; it takes room until the worker lists its end.
   *
   * @param run - the run
   * @param as - how the end is reported
   */
  stop(run: Run, as: Run['stopAs'] = 'stopped'): void {
    if (run.state === 'stopping') return;
    const wasStarting = run.state === 'starting';
    run.stopAs = as;
    run.state = 'stopping';
    // While the start is on its way, the stop follows its answer.
    if (!wasStarting) void this.settle(run);
  }

  /**
   * Ends the supervision: the worker is gone or a new life has begun. Listed runs have ended with
   * it; the start of any other may be carried out by the next life.
   *
   * @returns what the next life takes over
   */
  end(): Inheritance {
    this.isOver = true;
    clearInterval(this.renewal);
    const doubtful = this.select(({ isListed }) => !isListed);
    this.select(({ isListed }) => isListed).forEach((run) => this.finish(run, 'lapsed'));
    this.host.changed();
    return { token: this.shownToken, doubtful };
  }

  private inherit(run: Run): void {
    this.runs.set(taskKey(run.task), run);
    this.host.log.info({ task: taskKey(run.task), run: run.run }, 'run_inherited');
    void this.settle(run);
  }

  private get order(): { worker: WorkerIdentity; token: number } {
    return { worker: this.identity, token: this.token };
  }

  private takeClock(clock: number | undefined): void {
    this.misses = 0;
    if (clock !== undefined) this.lease.read(clock);
  }

  private async start(run: Run, spec: string): Promise<void> {
    const { task } = run;
    const answer = await this.host.port.start({
      ...this.order,
      task,
      run: run.run,
      spec,
      leaseUntil: this.lease.extend(),
    });
    if (!this.isCurrent(run)) return;
    match(answer)
      .with({ type: 'accepted' }, ({ clock }) => {
        this.takeClock(clock);
        if (run.state === 'stopping') void this.settle(run);
        else run.state = 'running';
      })
      .with({ type: 'refused' }, ({ reason, clock }) => {
        this.takeClock(clock);
        this.host.log.warn({ task: taskKey(task), run: run.run, reason }, 'start_refused');
        if (reason === 'otherLife') this.host.replaced();
        else {
          if (reason === 'unhealthy') this.host.unhealthy(run);
          this.finish(run, 'notRun');
        }
      })
      .with({ type: 'noAnswer' }, ({ detail }) => {
        this.miss('start', detail);
        this.host.log.warn({ task: taskKey(task), run: run.run, detail }, 'start_unanswered');
        void this.settle(run);
      })
      .exhaustive();
  }

  /**
   * Brings a run whose state is in doubt, or that is no longer wanted, to an end that the worker
   * has listed or can no longer avoid.
   */
  private async settle(run: Run): Promise<void> {
    run.state = 'stopping';
    while (this.isCurrent(run)) {
      const stopped = await this.host.port.stop({ ...this.order, task: run.task, run: run.run });
      this.noteAnswer('stop', stopped);
      const listed = this.isCurrent(run) ? await this.list() : undefined;
      if (!this.isCurrent(run)) return;
      // A stop that was carried out bars the start for good, and so does a higher or ended run.
      const isBarred =
        stopped.type === 'accepted' || (stopped.type === 'refused' && stopped.reason === 'lowRun');
      if (isBarred && listed && !this.isListed(run, listed)) {
        this.finish(run, 'notRun');
        return;
      }
      await sleep(SETTLE_PAUSE_MS);
    }
  }

  private isListed(run: Run, list: RunList): boolean {
    return list.running.some(
      (row) => taskKey(row.task) === taskKey(run.task) && row.run === run.run,
    );
  }

  private isCurrent(run: Run): boolean {
    return !this.isOver && this.runs.get(taskKey(run.task)) === run;
  }

  private async list(): Promise<RunList | undefined> {
    const answer = await this.host.port.hold({ ...this.order, lastEnd: this.lastEnd, waitMs: 0 });
    return this.absorb(answer);
  }

  private async renew(): Promise<void> {
    this.lapseIfSilent();
    this.endedRuns.expire();
    if (this.runs.size === 0) return;
    // A silent worker's lease is left to end: each unanswered renewal may have extended it.
    const leaseUntil = this.misses < MISSES_ALLOWED ? this.lease.extend() : undefined;
    const order = { ...this.order, lastEnd: this.lastEnd, leaseUntil, waitMs: 0 };
    const list = this.absorb(await this.host.port.hold(order));
    if (list) this.reviewProgress();
  }

  private async watchEnds(): Promise<void> {
    while (!this.isOver) {
      // Until all runs are known the list is wanted at once.
      const waitMs = this.isClean ? END_WAIT_MS : 0;
      const order = { ...this.order, lastEnd: this.lastEnd, waitMs };
      const list = this.absorb(await this.host.port.hold(order));
      if ((!list || !this.isClean) && !this.isOver) await sleep(SETTLE_PAUSE_MS);
    }
  }

  private absorb(answer: HoldAnswer): RunList | undefined {
    if (this.isOver) return undefined;
    return match(answer)
      .with({ type: 'list' }, ({ list }) => {
        if (list.born !== this.identity.born) {
          this.fenceOff(list);
          this.host.replaced();
          return undefined;
        }
        const wasSilent = this.misses >= MISSES_ALLOWED;
        this.takeClock(list.clock);
        list.ended.forEach((end) => this.takeEnd(end.number, end.task, end.run, end.how));
        this.takeRunning(list.running);
        if (wasSilent) this.host.changed();
        return list;
      })
      .otherwise((failed) => {
        this.noteAnswer('hold', failed);
        return undefined;
      });
  }

  /** Shows the next life a higher token before late orders to this one can reach it. */
  private fenceOff({ born, clock }: RunList): void {
    const worker = { ...this.identity, born };
    this.shownToken = Math.max(this.shownToken, tokenAt(born, clock));
    const order = { worker, token: this.shownToken, lastEnd: 0, waitMs: 0 };
    void this.host.port.hold(order).then((answer) => {
      this.host.log.info({ born, answer: answer.type }, 'next_life_fenced');
    });
  }

  private noteAnswer(call: string, answer: OrderAnswer): void {
    match(answer)
      .with({ type: 'accepted' }, ({ clock }) => this.takeClock(clock))
      .with({ type: 'refused' }, ({ reason, clock }) => {
        this.takeClock(clock);
        this.host.log.warn({ call, reason }, 'order_refused');
        if (reason === 'otherLife') this.host.replaced();
      })
      .with({ type: 'noAnswer' }, ({ detail }) => this.miss(call, detail))
      .exhaustive();
  }

  private miss(call: string, detail: string): void {
    this.misses += 1;
    if (this.misses !== MISSES_ALLOWED) return;
    this.host.log.warn({ call, detail, runs: this.runs.size }, 'worker_silent');
    this.host.changed();
  }

  private takeEnd(number: number, task: TaskName, run: number, how: ListedRunEnd): void {
    if (number <= this.lastEnd) return;
    this.lastEnd = number;
    const known = this.find(task);
    if (!known || known.run !== run) return;
    this.finish(known, how === 'stopped' ? known.stopAs : how);
  }

  private takeRunning(running: readonly ListedRun[]): void {
    const orphans = running.filter(
      // A list that was made before may still show what has ended meanwhile.
      (row) => !this.noteProgress(row) && !this.endedRuns.has(row.task, row.run),
    );
    orphans.forEach(({ task, run }) => {
      this.host.log.warn({ task: taskKey(task), run }, 'orphan_stopped');
      void this.host.port
        .stop({ ...this.order, task, run })
        .then((answer) => this.noteAnswer('stop', answer));
    });
    const isClean = orphans.length === 0;
    if (isClean === this.isClean) return;
    this.isClean = isClean;
    this.host.changed();
  }

  private noteProgress({ task, run, percent }: ListedRun): boolean {
    const known = this.find(task);
    if (!known || known.run !== run) return false;
    known.isListed = true;
    if (known.state === 'starting') known.state = 'running';
    if (percent > known.percent) {
      known.percent = percent;
      known.progressAt = performance.now();
    }
    return true;
  }

  private reviewProgress(): void {
    const now = performance.now();
    const running = this.select((run) => run.state === 'running');
    const stuck = running.filter((run) => now - run.progressAt > this.patienceOf(run));
    stuck.forEach((run) => this.host.unhealthy(run));
    new Set([...stuck, ...this.host.findSlow(running)]).forEach((run) => {
      const { percent, estimateMs, takenAt } = run;
      const ms = Math.round(now - takenAt);
      this.host.log.warn(
        { task: taskKey(run.task), run: run.run, percent, estimateMs, ms },
        'run_stalled',
      );
      this.stop(run, 'stalled');
    });
  }

  /** A run that works as estimated gains a percent several times in this span. */
  private patienceOf({ estimateMs }: Run): number {
    return Math.max(STALL_MS, estimateMs / 5);
  }

  /** Gives up runs whose lease has ended while the worker did not answer. */
  private lapseIfSilent(): void {
    if (this.misses < MISSES_ALLOWED || this.runs.size === 0) return;
    if (!this.lease.hasEnded) return;
    // Only a clean list shows what the worker still runs.
    this.isClean = false;
    [...this.runs.values()].forEach((run) => this.finish(run, 'lapsed'));
  }

  private finish(run: Run, how: RunEnd): void {
    this.runs.delete(taskKey(run.task));
    this.endedRuns.note(run.task, run.run);
    this.host.ended(run, how);
  }
}

type ListedRunEnd = Extract<RunEnd, 'done' | 'failed' | 'stopped' | 'lapsed'>;
