import { match } from 'ts-pattern';
import {
  NO_RESOURCES,
  fits,
  sleep,
  subtractResources,
  taskKey,
  withoutDeficits,
} from '@marjorammast/protocol';
import type { Resources, RunEnd, TaskId } from '@marjorammast/protocol';
import {
  LONG_POLL_MS,
  MIN_START_LEASE_MS,
  RENEW_PERIOD_MS,
  RETRY_PAUSE_MS,
  UNCONFIRMED_RUN_MS,
} from './constants';
import { EndedRuns } from './EndedRuns';
import { findStalledRuns } from './findStalledRuns';
import { isAbsent } from './isAbsent';
import { LostRuns } from './LostRuns';
import { sumNeeds } from './sumNeeds';
import type { EndSign, Run } from './run';
import { WorkerCommands } from './WorkerCommands';
import type { RunListRequest } from './WorkerCommands';
import { WorkerContact } from './WorkerContact';
import { WorkerLease } from './WorkerLease';
import type { SessionHandover, WorkerSessionHost } from './workerSessionHost';
import type {
  ListedEnd,
  ListedRun,
  CommandResult,
  RunList,
  WorkerIdentity,
  WorkerReport,
} from './WorkerClient';

/**
 * Session of the agent with one incarnation of a worker, that is, from one start of the worker to
 * the next. It tracks the runs on the worker, their lease and the resources that they occupy.
 */
export class WorkerSession {
  readonly identity: WorkerIdentity;

  private readonly commands: WorkerCommands;

  private readonly runs = new Map<string, Run>();

  private readonly endedRuns = EndedRuns.create();

  /** Runs that the previous incarnation was told to start and has not confirmed. */
  private readonly inheritedRuns = new Set<Run>();

  private lastEndNumber = 0;

  private readonly lease: WorkerLease;

  private readonly contact = WorkerContact.create();

  private readonly lostRuns = LostRuns.create();

  /** The worker has refused a start for lack of room since its last report and the last end of a run. */
  private isFull = false;

  /**
   * True while the latest list shows only runs known to this session. Unknown runs occupy an unknown
   * amount of resources, so nothing is started until they have ended.
   */
  private isReconciled = false;

  /** True while the worker refuses all commands, since it has received a higher token than this process has sent. */
  private isSuperseded = false;

  private hasEnded = false;

  /** The worker has deregistered. It may be active for a while longer. */
  private hasLeft = false;

  /** Set while there are runs, whose lease has to be renewed. */
  private renewalTimer: NodeJS.Timeout | undefined;

  /** True while a renewal that asks for an answer at once has none. */
  private isRenewing = false;

  /** Monotonic time of the last list of runs, in milliseconds. */
  private listedAt = 0;

  private constructor(
    private report: WorkerReport,
    private readonly host: WorkerSessionHost,
    handover: SessionHandover,
  ) {
    this.identity = { id: report.id, born: report.born };
    this.commands = WorkerCommands.create(report, handover.token, {
      ...host,
      onSuperseded: (isOvertaken) => this.handleSuperseded(isOvertaken),
    });
    this.lease = WorkerLease.create(report.clock);
  }

  /**
   * Opens a session and starts to list the runs on the worker.
   *
   * @param report - first report of this incarnation that the agent has received
   * @param host - connection to the worker and callbacks into the agent
   * @param handover - state passed on from the previous session
   * @returns the session, which is unavailable until a list shows only runs that it knows
   */
  static create(
    report: WorkerReport,
    host: WorkerSessionHost,
    handover: SessionHandover,
  ): WorkerSession {
    const session = new WorkerSession(report, host, handover);
    handover.unconfirmed.forEach((run) => session.adoptUnconfirmed(run));
    void session.watchEnds();
    return session;
  }

  /** Newest report of the worker, by sequence number. */
  get latestReport(): WorkerReport {
    return this.report;
  }

  /** Number of runs that occupy resources. */
  get runCount(): number {
    return this.runs.size;
  }

  /** Reason why the worker can start nothing at present, or an empty string. */
  get unavailableReason(): string {
    if (this.hasEnded || this.hasLeft) return 'worker gone';
    if (this.report.isLeaving) return 'worker leaving';
    if (this.contact.isSilent) return 'worker silent';
    if (this.isSuperseded) return 'superseded';
    if (!this.isReconciled) return 'runs unknown';
    if (this.isLeaseWithheld && this.lease.remainingMs < MIN_START_LEASE_MS)
      return 'run not stopped';
    return '';
  }

  /**
   * True while a run may be active whose end nobody waits for: another entry may soon start its task. The
   * runs of a worker share their lease, so that each extension for another run would keep this one alive.
   */
  private get isLeaseWithheld(): boolean {
    const isAbandoned = (run: Run) => !run.isWanted || !this.host.isOwnerHeard(run);
    return this.hasLeft || !this.isReconciled || this.sentRuns.some(isAbandoned);
  }

  /**
   * Resources that no run occupies; none when the capacity has shrunk below what the runs occupy, which
   * a worker that refuses starts may know before it reports it.
   */
  get free(): Resources {
    if (this.isFull) return NO_RESOURCES;
    return withoutDeficits(subtractResources(this.report.capacity, sumNeeds(this.allRuns)));
  }

  private get allRuns(): Run[] {
    return [...this.runs.values()];
  }

  /**
   * Stores a newer report; older ones are ignored.
   *
   * @param report - report of the same incarnation
   */
  update(report: WorkerReport): void {
    if (report.sequence <= this.report.sequence) return;
    this.report = report;
    this.isFull = false;
    this.host.onChanged();
  }

  /**
   * Finds the runs that match a condition.
   *
   * @param isWanted - the condition
   * @returns the matching runs
   */
  select(isWanted: (run: Run) => boolean): Run[] {
    return this.allRuns.filter(isWanted);
  }

  /**
   * Reserves resources for a run and sends the command to start it, at once or at the time that the run
   * names. The caller has checked that the run fits.
   *
   * @param run - the run
   */
  startRun(run: Run): void {
    // Another entry may have used this number for the task: a list can't tell which of the two starts it shows.
    if (this.host.unsettledStarts.has(run.task, run.run)) {
      run.starts += 1;
      run.pendingStarts += 1;
    }
    this.track(run);
    if (run.state !== 'waiting') void this.sendStart(run);
    else setTimeout(() => this.startWaiting(run), run.startsAt - performance.now());
  }

  /**
   * Finds the run of a task.
   *
   * @param task - the task
   * @returns the run of the task that occupies resources, if there is one
   */
  find(task: TaskId): Run | undefined {
    return this.runs.get(taskKey(task));
  }

  /**
   * Stops a run for whose end nobody waits. Until the run has ended, the lease is not extended, so that
   * it ends with the lease if the stop is not carried out.
   *
   * @param run - the run
   */
  abandon(run: Run): void {
    run.isWanted = false;
    this.stop(run);
  }

  /**
   * Stops a run. It occupies its resources until the worker lists its end.
   *
   * @param run - the run
   * @param endIfStopped - end to report when the worker lists the run as stopped
   */
  stop(run: Run, endIfStopped: Run['endIfStopped'] = 'stopped'): void {
    if (run.state === 'stopping') return;
    if (run.state === 'waiting') {
      this.removeRun(run, 'notRun', 'notSent');
      return;
    }
    run.stopWantedAt ??= performance.now();
    const wasStarting = run.state === 'starting';
    run.endIfStopped = endIfStopped;
    run.state = 'stopping';
    // While the start is in flight, the stop is sent after the answer to the start.
    if (!wasStarting) void this.stopUntilConfirmed(run);
  }

  /** Asks the worker at once which incarnation it is, and for its runs. */
  verify(): void {
    void this.listRuns(0);
  }

  /** Continues with the tokens of a higher generation of the agent's process. */
  continueWithGeneration(): void {
    this.commands.raiseToken();
    this.verify();
  }

  /**
   * Handles the deregistration of the worker. Its word is no end of its runs: they end once it lists their
   * ends or their lease, which is not extended, has expired.
   */
  leave(): void {
    if (this.hasLeft) return;
    this.hasLeft = true;
    this.select(({ state }) => state === 'waiting').forEach((run) => this.stop(run));
    this.host.onChanged();
    this.reportLeftIfIdle();
  }

  /**
   * Ends the session, because another incarnation of the worker has answered, the worker has left and has
   * no runs, or the agent stops. Runs that the worker has listed are reported as lapsed: they ended with
   * this incarnation. The start commands of the other runs may still reach the next incarnation.
   *
   * @param hasCrashed - true when the worker has another incarnation without having left before
   * @returns the state that the next session takes over
   */
  end(hasCrashed = false): SessionHandover {
    if (hasCrashed) this.reportCrash();
    this.hasEnded = true;
    clearTimeout(this.renewalTimer);
    this.select(({ state }) => state === 'waiting').forEach((run) => this.stop(run));
    const unconfirmed = this.select(({ wasListed }) => !wasListed);
    this.select(({ wasListed }) => wasListed).forEach((run) =>
      this.removeRun(run, 'lapsed', 'sessionEnded'),
    );
    this.host.onChanged();
    return { token: this.commands.highestToken, unconfirmed };
  }

  private adoptUnconfirmed(run: Run): void {
    this.track(run);
    run.unansweredAt ??= performance.now();
    this.inheritedRuns.add(run);
    // Its entry may be gone, and an answer of the previous incarnation says nothing of this one.
    run.isWanted = false;
    run.wasStarted = false;
    this.host.log.info({ task: taskKey(run.task), run: run.run }, 'run_inherited');
    void this.stopUntilConfirmed(run);
  }

  /** Runs that the worker has been told to start. */
  private get sentRuns(): Run[] {
    return this.select(({ state }) => state !== 'waiting');
  }

  private recordContact(clock: number | undefined): void {
    this.contact.recordAnswer();
    this.lostRuns.clear();
    if (clock !== undefined) this.lease.syncClock(clock);
  }

  private startWaiting(run: Run): void {
    if (!this.isTracked(run)) return;
    if (!this.host.mayStart(run)) {
      this.stop(run);
      return;
    }
    run.state = 'starting';
    // The timer may be late, and the age of the run counts from its start.
    run.startsAt = performance.now();
    run.lastProgressAt = run.startsAt;
    void this.sendStart(run);
  }

  private async sendStart(run: Run): Promise<void> {
    const { task, spec } = run;
    run.startToken = this.commands.token;
    run.starts += 1;
    run.pendingStarts += 1;
    const answer = await this.commands.start({
      task,
      run: run.run,
      spec,
      leaseUntil: this.isLeaseWithheld ? this.lease.end : this.lease.extend(),
    });
    const wasSettled = answer.type !== 'noAnswer' || !answer.wasSent;
    if (wasSettled) run.pendingStarts = Math.max(0, run.pendingStarts - 1);
    if (!this.isTracked(run)) return;
    match(answer)
      .with({ type: 'accepted' }, ({ clock }) => {
        this.recordContact(clock);
        run.wasStarted = true;
        if (run.state === 'stopping') void this.stopUntilConfirmed(run);
        else run.state = 'running';
      })
      .with({ type: 'refused' }, ({ reason, clock }) => {
        if (reason === 'otherLife') this.host.onReplaced();
        else {
          this.recordContact(clock);
          if (reason === 'unhealthy') this.host.onUnhealthy(run);
          this.isFull ||= reason === 'room';
          this.removeRun(run, 'notRun', 'startRefused');
        }
      })
      .with({ type: 'noAnswer' }, ({ detail, wasRefused, wasSent }) => {
        this.host.log.warn({ task: taskKey(task), run: run.run, detail }, 'start_unanswered');
        if (!wasSent) this.removeRun(run, 'notRun', 'notSent');
        this.recordUnanswered('start', detail, wasRefused);
        if (wasSent) void this.settleUnansweredStart(run);
      })
      .exhaustive();
  }

  /**
   * Finds out whether a run was started whose start got no answer. A list that is requested with a higher
   * token tells: the worker refuses the start afterwards.
   */
  private async settleUnansweredStart(run: Run): Promise<void> {
    const unansweredAt = performance.now();
    run.unansweredAt = unansweredAt;
    const isUnsettled = () =>
      this.isTracked(run) && run.state === 'starting' && run.unansweredAt === unansweredAt;
    this.commands.raiseToken();
    if (this.isTracked(run) && !isUnsettled()) this.recordIfUnsettled(run);
    while (isUnsettled()) {
      await this.fetchRunList();
      if (this.isTracked(run)) this.recordIfUnsettled(run);
      if (isUnsettled()) await sleep(RETRY_PAUSE_MS);
    }
    if (this.isTracked(run) && run.state === 'stopping') await this.stopUntilConfirmed(run);
  }

  /** Remembers a run whose start may still be carried out, by this incarnation of the worker or by the next. */
  private recordIfUnsettled({ task, run, pendingStarts }: Run): void {
    if (pendingStarts > 0) this.host.unsettledStarts.add(task, run, this.identity);
  }

  /** Handles the runs that a list does not show and whose starts the worker refuses since it was requested. */
  private settleFencedRuns(list: RunList, token: number): void {
    // The capacity may have shrunk below what the runs occupy, also those that have not started.
    const hasRoom = !this.isFull && fits(sumNeeds(this.allRuns), this.report.capacity);
    this.sentRuns
      .filter((run) => !run.wasStarted && run.unansweredAt !== undefined)
      .filter((run) => run.startToken < token && isAbsent(run, list))
      .forEach((run) => {
        const isStarting = run.state === 'starting' && run.isWanted;
        const isRepeatable = isStarting && hasRoom && this.host.mayRepeatStart(run);
        if (isRepeatable) this.repeatStart(run);
        else this.removeRun(run, 'notRun', 'fenced');
      });
  }

  /**
   * Sends the start of a run again, with a higher token. It keeps its number: a worker that carries out the
   * earlier start too, in whatever incarnation, has the run already.
   */
  private repeatStart(run: Run): void {
    run.unansweredAt = undefined;
    run.startsAt = performance.now();
    run.lastProgressAt = run.startsAt;
    this.host.log.info({ task: taskKey(run.task), run: run.run }, 'start_repeated');
    void this.sendStart(run);
  }

  /**
   * Repeats the stop command for a run that is no longer wanted or whose state is unknown, until the
   * worker has listed the end of the run, or neither runs it nor can start it any more.
   */
  private async stopUntilConfirmed(run: Run): Promise<void> {
    run.state = 'stopping';
    while (this.isTracked(run)) {
      const stopped = await this.commands.stop(run.task, run.run);
      this.handleCommandAnswer('stop', stopped);
      const listed = this.isTracked(run) ? await this.fetchRunList() : undefined;
      if (!this.isTracked(run)) return;
      // Once the worker has carried out the stop, it refuses any later start of this run. It also
      // does so when it has stopped or ended a run of the task with this number or a higher one.
      const cannotStart =
        stopped.type === 'accepted' || (stopped.type === 'refused' && stopped.reason === 'lowRun');
      if (cannotStart && listed && isAbsent(run, listed)) {
        this.removeRun(run, 'notRun', 'stopConfirmed');
        return;
      }
      await sleep(RETRY_PAUSE_MS);
    }
  }

  private isTracked(run: Run): boolean {
    return !this.hasEnded && this.runs.get(taskKey(run.task)) === run;
  }

  private async fetchRunList(): Promise<RunList | undefined> {
    return this.hold({ lastEnd: this.lastEndNumber, waitMs: 0 });
  }

  private track(run: Run): void {
    this.runs.set(taskKey(run.task), run);
    this.scheduleRenewal(RENEW_PERIOD_MS);
  }

  private scheduleRenewal(delayMs: number): void {
    if (this.renewalTimer || this.hasEnded) return;
    this.renewalTimer = setTimeout(() => {
      this.renewalTimer = undefined;
      this.renewLease();
    }, delayMs);
  }

  /**
   * Renews the lease of the runs and lists them, unless other calls have done both of late. Starts and
   * the watch for ends renew the lease too, and the watch lists the runs.
   */
  private renewLease(): void {
    this.expireRunsIfUnresponsive();
    this.endedRuns.expire();
    if (this.runs.size === 0) return;
    const renewedAt = Math.min(this.lease.extendedAt, this.listedAt);
    const remainingMs = Math.ceil(renewedAt + RENEW_PERIOD_MS - performance.now());
    if (remainingMs <= 0) void this.listRuns(0);
    if (this.isLeaseWithheld) this.host.onChanged();
    const isExpiring = this.contact.isSilent && !this.lease.hasExpired;
    const expiryMs = isExpiring ? this.lease.expiryMs : Infinity;
    this.scheduleRenewal(Math.min(expiryMs, remainingMs > 0 ? remainingMs : RENEW_PERIOD_MS));
  }

  /**
   * Lists the runs, and renews their lease if there are any. An unanswered renewal may have extended the
   * lease, so there is no other one until it is answered: the lease of an unresponsive worker expires.
   */
  private async listRuns(waitMs: number): Promise<RunList | undefined> {
    const isRenewal =
      this.runs.size > 0 && this.contact.isAnswering && !this.isRenewing && !this.isLeaseWithheld;
    const leaseUntil = isRenewal ? this.lease.extend() : undefined;
    if (waitMs === 0 && isRenewal) this.isRenewing = true;
    const list = await this.hold({ lastEnd: this.lastEndNumber, leaseUntil, waitMs });
    if (waitMs === 0 && isRenewal) this.isRenewing = false;
    if (list) this.stopStalledRuns();
    return list;
  }

  private reportCrash(): void {
    if (this.report.isLeaving || this.hasLeft) return;
    const crashedAt = this.contact.lostAt ?? performance.now();
    const lostRuns = this.lostRuns.report(this.sentRuns, crashedAt);
    if (lostRuns) this.host.onCrashed(lostRuns);
  }

  /** Waits for ends of runs on the worker, with repeated long polls, until the session ends. */
  private async watchEnds(): Promise<void> {
    while (!this.hasEnded) {
      // While the worker has unknown runs, it answers at once instead of waiting for an end.
      const list = await this.listRuns(this.isReconciled ? LONG_POLL_MS : 0);
      if ((!list || !this.isReconciled) && !this.hasEnded) await sleep(RETRY_PAUSE_MS);
    }
  }

  private async hold(command: RunListRequest): Promise<RunList | undefined> {
    const requestedAt = performance.now();
    const { token } = this.commands;
    const answer = await this.commands.hold(command);
    if (this.hasEnded) return undefined;
    return match(answer)
      .with({ type: 'list' }, ({ list }) => {
        if (list.born !== this.identity.born) {
          this.commands.fenceNextIncarnation(list);
          this.host.onReplaced();
          return undefined;
        }
        const wasUnresponsive = this.contact.isSilent;
        this.recordContact(list.clock);
        this.isSuperseded = false;
        this.listedAt = performance.now();
        this.settleListedStarts(list);
        list.ended.forEach((end) => this.recordEnd(end.number, end.task, end.run, end.how));
        this.findContradictedEnds(list.running, requestedAt);
        this.reconcileRunning(list.running, requestedAt);
        this.settleFencedRuns(list, token);
        if (wasUnresponsive) this.host.onChanged();
        return list;
      })
      .otherwise((failed) => {
        this.handleCommandAnswer('hold', failed);
        return undefined;
      });
  }

  private handleSuperseded(isOvertaken: boolean): void {
    if (this.hasEnded) return;
    if (isOvertaken && !this.isSuperseded) {
      this.isSuperseded = true;
      // Whoever has sent the higher token may have started runs.
      this.isReconciled = false;
      this.host.onChanged();
    }
    this.host.onSuperseded(isOvertaken);
  }

  private handleCommandAnswer(command: string, answer: CommandResult): void {
    if (this.hasEnded) return;
    match(answer)
      .with({ type: 'accepted' }, ({ clock }) => this.recordContact(clock))
      .with({ type: 'refused' }, ({ reason, clock }) => {
        if (reason === 'otherLife') this.host.onReplaced();
        else this.recordContact(clock);
      })
      .with({ type: 'noAnswer' }, ({ detail, wasRefused }) =>
        this.recordUnanswered(command, detail, wasRefused),
      )
      .exhaustive();
  }

  private recordUnanswered(command: string, detail: string, wasRefused: boolean): void {
    const wasSilent = this.contact.isSilent;
    this.contact.recordUnanswered(wasRefused);
    if (!wasSilent && this.contact.isSilent) {
      this.host.log.warn({ call: command, detail, runs: this.runs.size }, 'worker_silent');
      this.host.onChanged();
    }
    if (this.contact.isGone) this.handleCrash();
  }

  /**
   * Reports the crash of the worker. Its runs end with their lease: a worker that refuses connections may
   * still be active, and its next incarnation may carry out a start that was not confirmed.
   */
  private handleCrash(): void {
    this.reportCrash();
    this.isReconciled = false;
  }

  private recordEnd(number: number, task: TaskId, run: number, how: ListedEnd['how']): void {
    if (number <= this.lastEndNumber) return;
    this.lastEndNumber = number;
    this.isFull = false;
    const known = this.find(task);
    if (!known || known.run !== run) return;
    this.removeRun(known, how === 'stopped' ? known.endIfStopped : how, 'listed');
  }

  /** A run that is listed was started: its start, if only one was sent, is no longer on its way. */
  private settleListedStarts({ running, ended, born }: RunList): void {
    [...running, ...ended].forEach(({ task, run }) => {
      const start = this.host.unsettledStarts.recordListed(task, run);
      if (start) this.host.onStartedLate(start, born);
      const known = this.find(task);
      if (known?.run !== run || known.starts > 1) return;
      known.pendingStarts = 0;
      this.host.unsettledStarts.remove(task, run);
    });
  }

  /** Logs runs that are running although their end was reported before the list was requested. */
  private findContradictedEnds(running: readonly ListedRun[], requestedAt: number): void {
    running.forEach(({ task, run }) => {
      const endedAt = this.endedRuns.endedAt(task, run);
      if (endedAt === undefined || endedAt > requestedAt) return;
      const sinceMs = Math.round(performance.now() - endedAt);
      this.host.log.warn({ task: taskKey(task), run, sinceMs }, 'ended_run_listed');
      this.host.onEndContradicted();
    });
  }

  private reconcileRunning(running: readonly ListedRun[], requestedAt: number): void {
    const orphans = running.filter(
      // An older list may still show a run that has ended since.
      (row) =>
        !this.recordProgress(row) && !this.endedRuns.hasEndedSince(row.task, row.run, requestedAt),
    );
    orphans.forEach(({ task, run }) => {
      this.host.log.warn({ task: taskKey(task), run }, 'orphan_stopped');
      void this.commands.stop(task, run).then((answer) => this.handleCommandAnswer('stop', answer));
    });
    const isReconciled = orphans.length === 0;
    if (isReconciled === this.isReconciled) return;
    this.isReconciled = isReconciled;
    this.host.onChanged();
  }

  /** Updates the progress of a run. Returns false when the session does not know the run. */
  private recordProgress({ task, run, percent }: ListedRun): boolean {
    const known = this.find(task);
    if (!known || known.run !== run) return false;
    known.wasStarted = true;
    known.wasListed = true;
    if (known.state === 'starting') known.state = 'running';
    if (percent > known.percent) {
      known.percent = percent;
      known.lastProgressAt = performance.now();
    }
    return true;
  }

  /**
   * Stops runs that make no progress, and slow runs that would end sooner on another worker. Both are
   * reported as stalled.
   */
  private stopStalledRuns(): void {
    const now = performance.now();
    const boundTasks = this.host.unsettledStarts.taskKeys;
    // A task with a start that is on its way would start here again.
    const running = this.select(
      (run) => run.state === 'running' && !boundTasks.has(taskKey(run.task)),
    );
    const stalled = findStalledRuns(running, now);
    stalled.forEach((run) => this.host.onStalled(run));
    new Set([...stalled, ...this.host.findRunsToMove(running)]).forEach((run) => {
      const { percent, estimateMs, startsAt } = run;
      const ms = Math.round(now - startsAt);
      this.host.log.warn(
        { task: taskKey(run.task), run: run.run, percent, estimateMs, ms },
        'run_stalled',
      );
      this.stop(run, 'stalled');
    });
  }

  /**
   * Reports the runs as lapsed when their lease has expired while the worker did not answer. The starts of
   * inherited runs may be carried out by this incarnation, under a lease that counts from then.
   */
  private expireRunsIfUnresponsive(): void {
    this.expireInheritedRuns();
    if (!this.contact.isSilent || !this.lease.hasExpired) return;
    const lostRuns = this.lostRuns.addExpired(this.sentRuns);
    if (lostRuns.length === 0) return;
    // No run may start until a list has shown which runs are still active on the worker.
    this.isReconciled = false;
    this.host.onLost(lostRuns);
    lostRuns
      .filter((run) => !this.inheritedRuns.has(run))
      .forEach((run) => this.removeRun(run, 'lapsed', 'leaseExpired'));
  }

  private expireInheritedRuns(): void {
    const oldestKept = performance.now() - UNCONFIRMED_RUN_MS;
    [...this.inheritedRuns]
      .filter((run) => this.isTracked(run) && (run.unansweredAt ?? 0) < oldestKept)
      .forEach((run) => this.removeRun(run, 'lapsed', 'notTakenOver'));
  }

  private removeRun(run: Run, how: RunEnd, sign: EndSign): void {
    this.runs.delete(taskKey(run.task));
    this.recordIfUnsettled(run);
    this.endedRuns.add(run.task, run.run);
    this.host.onRunEnded(run, how, sign);
    this.reportLeftIfIdle();
  }

  private reportLeftIfIdle(): void {
    if (this.hasLeft && !this.hasEnded && this.runs.size === 0) this.host.onLeft();
  }
}
