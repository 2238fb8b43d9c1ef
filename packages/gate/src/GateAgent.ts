import { NO_RESOURCES, createCallServer, sleep, taskKey } from '@marjorammast/protocol';
import type {
  CallServer,
  AdmissionRules,
  GenerationRenewal,
  Link,
  Params,
  Resources,
  Result,
  RunEnd,
  UnsettledTasks,
  WorkerView,
} from '@marjorammast/protocol';
import { createLimitedWarning } from '@marjorammast/telemetry';
import type { Log } from '@marjorammast/telemetry';
import { admit } from './admit';
import type { AdmissionState } from './admit';
import { STOP_POLL_PERIOD_MS, UNCONFIRMED_RUN_MS } from './constants';
import { CrashReports } from './CrashReports';
import { createRun } from './createRun';
import { EntryConnections } from './EntryConnections';
import { incarnationOf } from './incarnationOf';
import { isSameIncarnation } from './isSameIncarnation';
import { probationDelay, probationRemainingMs } from './probation';
import { ProcessGeneration } from './ProcessGeneration';
import { QueuedStarts } from './QueuedStarts';
import type { QueuedWorker, UnqueuedReason } from './QueuedStarts';
import type { SlownessMeasure } from './slownessMeasure';
import { UnsettledStarts } from './UnsettledStarts';
import type { UnsettledStart } from './UnsettledStarts';
import { WorkerCondition } from './WorkerCondition';
import { WorkerSession } from './WorkerSession';
import type { EndSign, LostRun, Run } from './run';
import type { SessionHandover } from './workerSessionHost';
import type { WorkerClient, WorkerIdentity, WorkerReport } from './WorkerClient';

/** Metrics that an agent reports. */
export type GateMeter = {
  assigned: (admitted: number, declined: number, reason: string) => void;
  ended: (how: RunEnd, ms: number, sign: EndSign) => void;
  /** A run is still running after its end was reported. */
  endContradicted: () => void;
  /** A start without an answer was carried out, by the incarnation it was sent to or by a later one. */
  startedLate: (incarnation: 'same' | 'later') => void;
  crashed: (lostRuns: number) => void;
  /** The worker refused a command, since it has received a higher fencing token. */
  superseded: () => void;
  /** Tasks of an assignment were queued. */
  queued: (tasks: number) => void;
  /** A queued task was given back. */
  unqueued: (reason: UnqueuedReason) => void;
};

/** Configuration and dependencies of an agent. */
export type GateAgentOptions = {
  name: string;
  dataCenter: string;
  worker: WorkerClient;
  /** Monotonic clock that includes the time in which the VM was suspended, in milliseconds. */
  clock: () => number;
  log: Log;
  meter: GateMeter;
  /** Asks the store for a higher generation of this process. */
  renewGeneration: () => Promise<GenerationRenewal>;
  /** How the slowness of the worker is measured; a moving average if absent. */
  slownessMeasure?: SlownessMeasure;
};

type Assignment = Params<'assign'>;

/**
 * Agent of one worker. It is the only process that starts tasks on the worker: entries send it
 * assignments, and it admits, starts and supervises the runs.
 */
export class GateAgent {
  /** Answers the calls of entries. */
  readonly server: CallServer;

  private session: WorkerSession | undefined;

  /** The incarnation of the worker that deregistered last. */
  private departed: WorkerIdentity | undefined;

  /** Newest report of another incarnation, which takes over once the worker has answered as that one. */
  private successor: WorkerReport | undefined;

  /** State that the last session with the worker has passed on to the next. */
  private handover: SessionHandover = { token: 0, unconfirmed: [] };

  private condition: WorkerCondition;

  private rules: AdmissionRules = { revision: 0, outDataCenters: [] };

  private readonly connections: EntryConnections;

  private readonly crashReports: CrashReports;

  /** Identifier of the worker of the latest session. */
  private lastWorkerId = '';

  private readonly unsettledStarts = UnsettledStarts.create((task) =>
    this.connections.reportUnsettled(task),
  );

  private readonly queuedStarts: QueuedStarts;

  private readonly generation: ProcessGeneration;

  private isStopping = false;

  private constructor(private readonly options: GateAgentOptions) {
    this.server = this.createServer();
    this.condition = this.createCondition();
    this.connections = EntryConnections.create({
      view: () => this.view,
      ownersOfRuns: () =>
        new Set([...this.runs.map((run) => run.ownerId), ...this.queuedStarts.owners]),
      onDetached: (id) => {
        this.queuedStarts.giveBack(({ ownerId }) => ownerId === id, 'entryLost');
        return this.abandonRuns((run) => run.ownerId === id);
      },
      log: options.log,
    });
    this.crashReports = CrashReports.create({
      name: options.name,
      send: (report) => this.connections.sendCrash(report),
      log: options.log,
    });
    this.queuedStarts = this.createQueuedStarts();
    this.generation = ProcessGeneration.create({
      renew: options.renewGeneration,
      onRaised: () => this.session?.continueWithGeneration(),
      onReplaced: () => this.halt(),
      log: options.log,
    });
  }

  /**
   * @param options - configuration and dependencies of the agent
   * @returns an agent without a worker
   */
  static create(options: GateAgentOptions): GateAgent {
    return new GateAgent(options);
  }

  /**
   * Takes over the generation under which this process is registered in the store.
   *
   * @param generation - the generation
   */
  raiseGeneration(generation: number): void {
    this.generation.raise(generation);
  }

  /**
   * Handles a report of the worker. A report of another incarnation does not end the session: it may come
   * from another writer. The session ends once the worker itself has answered as another incarnation.
   *
   * @param workerReport - the report
   */
  handleReport(workerReport: WorkerReport): void {
    const { session, departed } = this;
    if (this.generation.isReplaced) return;
    if (session && isSameIncarnation(session.identity, workerReport)) {
      session.update(workerReport);
      return;
    }
    // Reports may arrive late: of an earlier incarnation, or of one that has left since.
    if (session && workerReport.born < session.identity.born) return;
    if (departed && isSameIncarnation(departed, workerReport)) return;
    if (session) this.keepSuccessor(workerReport);
    else this.beginSession(workerReport);
  }

  /**
   * Handles the deregistration of the worker.
   *
   * @param id - identifier of the worker
   * @param born - start time of the incarnation that deregisters, if it is known
   */
  handleDeregistration(id: string, born?: number): void {
    const { session } = this;
    const currentBorn = session?.identity.id === id ? session.identity.born : undefined;
    const isCurrent = currentBorn !== undefined && (born ?? currentBorn) === currentBorn;
    this.options.log.info({ worker: id, born, isCurrent }, 'worker_deregistered');
    if (!session || !isCurrent) return;
    this.departed = session.identity;
    session.leave();
  }

  /**
   * Stops gracefully: admits nothing new and waits for the runs in progress.
   *
   * @param timeoutMs - longest time to wait, in milliseconds
   */
  async stop(timeoutMs: number): Promise<void> {
    this.isStopping = true;
    this.options.log.info({ runs: this.session?.runCount ?? 0 }, 'stopping');
    this.handleChange();
    const end = performance.now() + timeoutMs;
    const hasTasks = () => (this.session?.runCount ?? 0) + this.queuedStarts.size > 0;
    while (hasTasks() && performance.now() < end) {
      await sleep(STOP_POLL_PERIOD_MS);
    }
    this.halt();
  }

  /** Stops at once, without waiting for the runs in progress. */
  halt(): void {
    this.condition.halt();
    this.queuedStarts.halt();
    this.connections.closeAll();
    this.endSession('agent stopped');
    this.handover = { ...this.handover, unconfirmed: [] };
  }

  /** State of the worker, as it is sent to the entries. */
  get view(): WorkerView {
    const { session } = this;
    const reason = this.unavailableReason;
    const openState = this.condition.state === 'healthy' ? 'open' : 'trial';
    return {
      service: session?.latestReport.service ?? '',
      labels: session?.latestReport.labels ?? [],
      capacity: session?.latestReport.capacity ?? NO_RESOURCES,
      free: this.queuedStarts.free,
      state: reason ? 'closed' : openState,
      reason,
      slowness: this.condition.slowness,
      incarnation: session ? incarnationOf(session.identity) : '',
      ...(reason ? {} : this.queuedStarts.report),
    };
  }

  /** Ratio of actual to estimated run time of the worker. */
  get workerSlowness(): number {
    return this.condition.slowness;
  }

  /** Number of tasks that wait for room. */
  get queuedTasks(): number {
    return this.queuedStarts.size;
  }

  private get unavailableReason(): string {
    if (this.isStopping) return 'agent stopping';
    if (this.generation.isReplaced) return 'superseded';
    if (!this.session) return 'no worker';
    if (this.session.unavailableReason) return this.session.unavailableReason;
    return this.condition.state === 'ejected' ? 'ejected' : '';
  }

  private createQueuedStarts(): QueuedStarts {
    const { log, meter } = this.options;
    return QueuedStarts.create({
      worker: () => this.queuedWorker,
      free: () => (this.session && !this.isOnProbation ? this.session.free : NO_RESOURCES),
      admit: (assignment, free) => admit(assignment, this.admissionStateFor(assignment, free)),
      isHeard: (ownerId) => this.connections.isHeard(ownerId),
      start: ({ assignment, task, run, ownerId }) => {
        this.session?.startRun(createRun(assignment, task.index, run, ownerId, 0));
        this.connections.handleChange();
      },
      onUnqueued: (queued, reason, ms) => {
        meter.unqueued(reason);
        this.connections.reportEnd(queued, 'unqueued', ms);
        this.connections.handleChange();
      },
      log,
    });
  }

  private get queuedWorker(): QueuedWorker {
    const { session } = this;
    return {
      runs: this.runs,
      capacity: session?.latestReport.capacity ?? NO_RESOURCES,
      slowness: this.condition.slowness,
    };
  }

  /** Handles a change of what may start on the worker, or of what the entries know of it. */
  private handleChange(): void {
    this.connections.handleChange();
    this.queuedStarts.schedule();
  }

  private createCondition(): WorkerCondition {
    const { slownessMeasure, log } = this.options;
    return WorkerCondition.create({
      slownessMeasure,
      probationRemainingMs: () => probationRemainingMs(this.runs, performance.now()),
      onChanged: () => this.handleChange(),
      log,
    });
  }

  private beginSession(firstReport: WorkerReport): void {
    this.condition.halt();
    this.condition = this.createCondition();
    const { id, born, service, capacity } = firstReport;
    this.options.log.info({ worker: id, born, service, cpu: capacity.cpu }, 'worker_found');
    const host = {
      worker: this.options.worker,
      mayStart: (run: Run) => this.mayStart(run),
      mayRepeatStart: (run: Run) => this.mayRepeatStart(run),
      isOwnerHeard: ({ ownerId }: Run) => this.connections.isHeard(ownerId),
      onRunEnded: (run: Run, how: RunEnd, sign: EndSign) => this.handleRunEnd(run, how, sign),
      onEndContradicted: () => this.options.meter.endContradicted(),
      unsettledStarts: this.unsettledStarts,
      onStartedLate: (start: UnsettledStart, listedBorn: number) =>
        this.recordLateStart(start, listedBorn),
      onUnhealthy: (run: Run) => this.condition.recordFailure(run, 'unhealthy'),
      generation: () => this.generation.current,
      onSuperseded: (isOvertaken: boolean) => {
        this.options.meter.superseded();
        if (isOvertaken) this.generation.handleSuperseded();
      },
      onStalled: (run: Run) => this.condition.recordFailureOfTask(run, 'stalled'),
      onChanged: () => this.handleChange(),
      findRunsToMove: (runs: readonly Run[]) => this.condition.findRunsToMove(runs),
      onReplaced: () => this.replaceSession(),
      onLeft: () => this.endSession('worker deregistered'),
      onCrashed: (lostRuns: readonly LostRun[]) => this.handleCrash(firstReport, lostRuns),
      onLost: (runs: readonly Run[]) => this.crashReports.reportLoss(firstReport, runs),
      log: this.options.log,
    };
    this.dropHandoverOfOtherWorker(id);
    this.session = WorkerSession.create(firstReport, host, this.handover);
    // A run that was taken over may be on probation.
    this.condition.scheduleRecovery();
    this.lastWorkerId = id;
    this.handover = { ...this.handover, unconfirmed: [] };
    this.handleChange();
  }

  /**
   * Commands name the id of their worker, so that one under another id refuses all that were sent before: they are
   * not carried out any more. A token that follows from the clock of one worker says nothing to another, and might be
   * above all that the next process of the agent computes while the store does not answer.
   */
  private dropHandoverOfOtherWorker(id: string): void {
    if (id === this.lastWorkerId) return;
    const { unconfirmed } = this.handover;
    const isNumbered = this.generation.current > 0;
    this.handover = { token: isNumbered ? this.handover.token : 0, unconfirmed: [] };
    this.unsettledStarts.clear();
    unconfirmed.forEach((run) => this.handleRunEnd(run, 'lapsed', 'sessionEnded'));
  }

  private keepSuccessor(workerReport: WorkerReport): void {
    const { id, born } = workerReport;
    if (!this.successor || !isSameIncarnation(this.successor, workerReport)) {
      this.options.log.info({ worker: id, born }, 'successor_reported');
    }
    this.successor = workerReport;
    this.session?.verify();
  }

  private replaceSession(): void {
    const { successor } = this;
    this.endSession('another incarnation answered', true);
    this.successor = undefined;
    if (successor) this.beginSession(successor);
  }

  private endSession(reason: string, hasCrashed = false): void {
    const { session } = this;
    if (!session) return;
    this.session = undefined;
    this.queuedStarts.giveBack(() => true, 'workerLost');
    const { id, born } = session.identity;
    this.options.log.info({ worker: id, born, reason, runs: session.runCount }, 'worker_ended');
    this.handover = session.end(hasCrashed);
    const { unconfirmed: runs } = this.handover;
    runs
      .filter(({ pendingStarts }) => pendingStarts > 0)
      .forEach(({ task, run }) => this.unsettledStarts.add(task, run, session.identity));
    if (runs.length > 0) setTimeout(() => this.expireUnconfirmed(runs), UNCONFIRMED_RUN_MS);
    this.handleChange();
  }

  private recordLateStart(start: UnsettledStart, listedBorn: number): void {
    const { task, run, worker, unansweredAt } = start;
    const incarnation = worker.born === listedBorn ? 'same' : 'later';
    const sinceMs = Math.round(performance.now() - unansweredAt);
    this.options.meter.startedLate(incarnation);
    this.options.log.warn({ task: taskKey(task), run, incarnation, sinceMs }, 'started_late');
  }

  private handleCrash(worker: WorkerIdentity, lostRuns: readonly LostRun[]): void {
    this.options.meter.crashed(lostRuns.length);
    this.crashReports.reportCrash(worker, lostRuns);
  }

  /**
   * Reports unconfirmed runs as lapsed, unless a session has taken them over: their leases have
   * expired by now.
   */
  private expireUnconfirmed(unconfirmed: readonly Run[]): void {
    if (this.handover.unconfirmed !== unconfirmed) return;
    this.handover = { ...this.handover, unconfirmed: [] };
    unconfirmed.forEach((run) => this.handleRunEnd(run, 'lapsed', 'notTakenOver'));
  }

  private createServer(): CallServer {
    return createCallServer(
      {
        attach: ({ entry, rules }, link) => this.attach(entry, rules, link),
        assign: (assignment, link) => this.assign(assignment, link),
        abandon: ({ jobs }, link) => {
          const owner = this.connections.idOf(link);
          // Another entry may have the same job, after its client has sent it again.
          const isAbandoned = (run: Pick<Run, 'task' | 'ownerId'>) =>
            run.ownerId === owner && jobs.includes(run.task.job);
          this.queuedStarts.giveBack(isAbandoned, 'abandoned');
          this.abandonRuns(isAbandoned);
          return {};
        },
        renew: (_, link) => {
          this.connections.recordContact(link);
          return { clock: this.options.clock(), unsettled: this.unsettledTasksOf(link) };
        },
        rules: (rules) => {
          this.applyRules(rules);
          return {};
        },
      },
      createLimitedWarning(this.options.log, 'message_failed'),
    );
  }

  private attach(entry: string, rules: AdmissionRules, link: Link): Result<'attach'> {
    this.connections.add(entry, link);
    this.applyRules(rules);
    this.options.log.info({ entry, revision: rules.revision }, 'entry_attached');
    const { name, dataCenter, clock } = this.options;
    return {
      agent: name,
      dataCenter,
      rules: this.rules,
      view: this.view,
      crashes: this.crashReports.recent,
      unsettled: this.unsettledStarts.tasks,
      clock: clock(),
    };
  }

  private applyRules(rules: AdmissionRules): void {
    if (rules.revision <= this.rules.revision) return;
    this.rules = rules;
    const { revision, outDataCenters } = rules;
    this.options.log.info({ revision, out: outDataCenters.join(',') }, 'rules_applied');
    this.connections.sendRules(rules);
    this.queuedStarts.schedule();
  }

  private assign(assignment: Assignment, link: Link): Result<'assign'> {
    this.connections.recordContact(link);
    const free = this.queuedStarts.freeFor(assignment, this.session?.free ?? NO_RESOURCES);
    const state = this.admissionStateFor(assignment, free);
    const isAttached = this.connections.has(link);
    const { reason, count } = admit(assignment, { ...state, isOpen: state.isOpen && isAttached });
    const admitted = assignment.runs.slice(0, count);
    const ownerId = this.connections.idOf(link);
    const startDelayMs = this.startDelayFor(assignment);
    admitted.forEach(([index, run]) =>
      this.session?.startRun(createRun(assignment, index, run, ownerId, startDelayMs)),
    );
    const isQueueable = reason === 'room' && !state.isOnTrial;
    const rest = isQueueable ? assignment.runs.slice(count) : [];
    const queued = this.queuedStarts.join(assignment, rest, ownerId, state.ageMs);
    const declined = assignment.runs.length - admitted.length - queued.length;
    if (assignment.isSuspect && admitted.length > 0) this.condition.scheduleRecovery();
    this.connections.recordAssignment(link, assignment.needs, declined > 0);
    this.options.meter.assigned(admitted.length, declined, reason ?? '');
    if (queued.length > 0) this.options.meter.queued(queued.length);
    const entry = this.connections.nameOf(link);
    this.options.log.info(
      {
        job: assignment.job,
        taken: admitted.length,
        queued: queued.length || undefined,
        declined,
        reason,
        entry,
      },
      'assigned',
    );
    this.handleChange();
    const { free: freeNow, queueMs, queueFullFor } = this.view;
    return {
      taken: admitted.map(([index]) => index),
      queued: queued.length > 0 ? queued : undefined,
      reason: declined > 0 ? (reason ?? 'room') : undefined,
      free: freeNow,
      queueMs,
      queueFullFor,
      clock: this.options.clock(),
      unsettled: this.unsettledTasksOf(link),
    };
  }

  /** Tasks of an entry's runs whose start commands have not been sent, or have no answer. */
  private unsettledTasksOf(link: Link): UnsettledTasks {
    const owner = this.connections.idOf(link);
    const unsettledRuns = this.runs.filter(({ ownerId, state, pendingStarts }) => {
      const isUnsettled = state === 'waiting' || pendingStarts > 0;
      return ownerId === owner && isUnsettled;
    });
    // A queued task may start, and its start may get no answer, after the entry has heard from this agent last.
    return [...unsettledRuns, ...this.queuedStarts.tasksOf(owner)].map(({ task }) => [
      task.job,
      task.index,
      this.lastWorkerId,
    ]);
  }

  private admissionStateFor(assignment: Assignment, free: Resources): AdmissionState {
    const { session, options } = this;
    const { job, occurrence, step, echo, heldMs, runs } = assignment;
    const isOfStep = ({ task }: Run) =>
      task.job === job && task.occurrence === occurrence && task.step === step;
    return {
      isOpen: session !== undefined && !this.unavailableReason,
      ageMs: options.clock() - echo - heldMs,
      isDataCenterOut: this.rules.outDataCenters.includes(options.dataCenter),
      service: session?.latestReport.service ?? '',
      labels: session?.latestReport.labels ?? [],
      free,
      runs: session?.runCount ?? 0,
      runsOfStep: session?.select(isOfStep).length ?? 0,
      isTaskRunning: runs.some(([index]) => this.isTaskRunning(assignment, index)),
      isOnTrial: this.condition.state === 'trial',
      isOnProbation: this.isOnProbation,
    };
  }

  /** All runs that occupy resources of the worker. */
  private get runs(): Run[] {
    return this.session?.select(() => true) ?? [];
  }

  /** True while nothing is admitted since a suspected run has just started, or is about to. */
  private get isOnProbation(): boolean {
    return probationRemainingMs(this.runs, performance.now()) > 0;
  }

  private startDelayFor({ isSuspect, job }: Assignment): number {
    return isSuspect ? probationDelay(this.runs, job, performance.now()) : 0;
  }

  /** Tells whether a run that has waited may still start: what it was admitted on may have changed. */
  private mayStart({ startBy }: Run): boolean {
    return this.isOpenForStarts && this.options.clock() <= startBy;
  }

  /** The start of a run is repeated for an entry that has just been heard, whatever the age of the run. */
  private mayRepeatStart({ isSuspect, ownerId }: Run): boolean {
    const isSafe = !isSuspect && !this.isOnProbation;
    return isSafe && this.isOpenForStarts && this.connections.isHeard(ownerId);
  }

  private get isOpenForStarts(): boolean {
    const isDataCenterOut = this.rules.outDataCenters.includes(this.options.dataCenter);
    return !this.unavailableReason && !isDataCenterOut;
  }

  private isTaskRunning({ job, occurrence, step }: Assignment, index: number): boolean {
    return this.session?.find({ job, occurrence, step, index }) !== undefined;
  }

  private abandonRuns(isUnwanted: (run: Run) => boolean): number {
    const runs = this.session?.select(isUnwanted) ?? [];
    runs.forEach((run) => this.session?.abandon(run));
    return runs.length;
  }

  private handleRunEnd(run: Run, how: RunEnd, sign: EndSign): void {
    const ms = performance.now() - run.startsAt;
    this.options.meter.ended(how, ms, sign);
    const { stopWantedAt } = run;
    const stopMs =
      stopWantedAt === undefined ? undefined : Math.round(performance.now() - stopWantedAt);
    this.options.log.info(
      { task: taskKey(run.task), run: run.run, how, sign, ms: Math.round(ms), stopMs },
      'run_ended',
    );
    if (how === 'done') this.condition.recordSuccess(run, ms);
    if (how === 'failed') this.condition.recordFailureOfTask(run, how);
    this.connections.reportEnd(run, how, ms);
    this.handleChange();
  }
}
