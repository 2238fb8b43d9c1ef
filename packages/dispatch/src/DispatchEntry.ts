import { createCallServer, sleep } from '@marjorammast/protocol';
import type {
  CallServer,
  AdmissionRules,
  Link,
  RegisteredProcess,
  OperatorState,
  Route,
} from '@marjorammast/protocol';
import { createLimitedWarning } from '@marjorammast/telemetry';
import type { Log } from '@marjorammast/telemetry';
import { ActiveJob } from './ActiveJob';
import { AgentConnections } from './AgentConnections';
import { BoundTaskNotices } from './BoundTaskNotices';
import { BOUND_NOTICE_WAIT_MS, DEADLINE_MARGIN_MS, MIN_RETRY_AFTER_MS } from './constants';
import { CrashController } from './CrashController';
import { Dispatcher } from './Dispatcher';
import { findRoute } from './findRoute';
import { Forwarding } from './Forwarding';
import type { ForwardingOptions } from './Forwarding';
import { isClockStep } from './isClockStep';
import { isSameSet } from './isSameSet';
import { unsupportedFeature } from './job';
import type { JobOutcome, JobRequest } from './job';
import type { ClaimVerdict } from './JobClaims';
import { JobConfirmation } from './JobConfirmation';
import { PeerClient } from './PeerClient';
import type { PlacementOptions } from './ScarcePlacement';
import type { Queueing } from './placeWaitingTasks';

/** Receives the measurements of an entry. `ms` is the time to answer a job, in milliseconds. */
export type EntryMeter = {
  answered: (route: string, outcome: string, ms: number) => void;
  /** Called with the length of each pause of the process, in milliseconds. */
  paused?: (ms: number) => void;
  /** Called for each job that may be an old copy, with what the other entries know of it. */
  claimed?: (verdict: ClaimVerdict) => void;
};

/** Identity and dependencies of an entry. */
export type DispatchEntryOptions = {
  name: string;
  dataCenter: string;
  dial: (address: string, server: CallServer) => Promise<Link>;
  /** Uniform random numbers in [0, 1). */
  random: () => number;
  log: Log;
  meter: EntryMeter;
  /** Reads the processor time that this process has used, in milliseconds; taken for unused if absent. */
  readProcessorMs?: () => number;
  /** How jobs are forwarded between entries; absent when they are not. */
  forwarding?: ForwardingOptions;
  /** How tasks are placed on workers of different speed; fast workers come first if absent. */
  placement?: PlacementOptions;
  /** How tasks without room wait at agents; they do not if absent. */
  queueing?: Queueing;
};

/** A job that a client submits to a route. */
export type Submission = {
  route: Route;
  job: JobRequest;
  /** Time until the client's deadline, in milliseconds. */
  remainingMs: number;
  /** Aborts when the client disconnects before it gets an answer. */
  signal: AbortSignal;
  /**
   * Monotonic time at which the client's connection was accepted, in milliseconds; absent when the submission does not
   * come from a socket.
   */
  connectedAt?: number;
  /** Set for a job that another entry has forwarded: true while that entry certainly wants it. */
  mayStart?: () => boolean;
};

/** A job that has not been answered, with the number of clients and other entries that wait for it. */
type AcceptedJob = {
  job: ActiveJob;
  waiters: number;
  /** True once a client of this entry has submitted it. */
  isOwn: boolean;
  answer: Promise<JobOutcome>;
};

/** Time between two checks whether a stopping entry has answered its jobs, in milliseconds. */
const STOP_POLL_PERIOD_MS = 25;

/**
 * Time that the store gets to deliver an operator state that other processes already have, before
 * another entry is asked for it, in milliseconds.
 */
const CATCH_UP_DELAY_MS = 300;

const MAX_TASKS_PER_STEP = 1_000;

/** Reason of the outcome of a job that has no waiting client any more. */
const CLIENT_LEFT = 'client left';

/** An entry: accepts jobs from clients and answers each when its tasks have ended. */
export class DispatchEntry {
  readonly dispatcher: Dispatcher;

  /** Answers the calls of agents and of other entries. */
  readonly server: CallServer;

  private readonly connections: AgentConnections;

  /** Jobs that have not ended. */
  private readonly jobs = new Map<string, AcceptedJob>();

  private operatorState: OperatorState | undefined;

  private rules: AdmissionRules = { revision: 0, outDataCenters: [] };

  private readonly peerClient: PeerClient;

  private readonly boundTaskNotices: BoundTaskNotices;

  private readonly forwarding: Forwarding | undefined;

  private readonly confirmation: JobConfirmation;

  private registeredPeers: readonly RegisteredProcess[] = [];

  private readonly crashes: CrashController;

  /** Revision up to which the store has delivered all changes to this entry. */
  private deliveredRevision = 0;

  /** Highest store revision of the operator state that another process has reported. */
  private newestKnownRevision = 0;

  private isCatchingUp = false;

  private isDraining = false;

  /** True once a stopping entry takes no new jobs: the load balancer has had the time to notice. */
  private isClosed = false;

  private constructor(private readonly options: DispatchEntryOptions) {
    this.confirmation = this.createConfirmation();
    this.forwarding = options.forwarding && this.createForwarding(options.forwarding);
    this.server = this.createServer();
    this.crashes = CrashController.create({
      findJob: (id) => this.jobs.get(id)?.job,
      findRoute: (name) => this.operatorState?.routes.find((route) => route.name === name),
      log: options.log,
    });
    this.connections = this.createConnections();
    this.dispatcher = Dispatcher.create({
      dataCenter: options.dataCenter,
      connections: () => this.connections.values(),
      findConnection: (agent) => this.connections.find(agent),
      evacuatedDataCenters: () => this.rules.outDataCenters,
      crashRecords: this.crashes.records,
      confinement: this.crashes.confinement,
      queueing: options.queueing,
      beforePass: () => this.confirmation.checkPause(),
      random: options.random,
      log: options.log,
      placement: options.placement,
    });
    this.peerClient = PeerClient.create({
      entry: options.name,
      dial: (address) => options.dial(address, this.server),
      random: options.random,
      log: options.log,
    });
    this.boundTaskNotices = BoundTaskNotices.create(this.peerClient);
  }

  /**
   * @param options - identity and dependencies of the entry
   * @returns an entry that has no operator state yet
   */
  static create(options: DispatchEntryOptions): DispatchEntry {
    return new DispatchEntry(options);
  }

  /** True when the load balancer may send clients to this entry. */
  get isReady(): boolean {
    return !this.isDraining && this.operatorState !== undefined && this.operatorState.version > 0;
  }

  /** True once the entry is stopping. */
  get isStopping(): boolean {
    return this.isDraining;
  }

  /** Number of jobs that have not been answered. */
  get openJobs(): number {
    return this.jobs.size;
  }

  /** Number of agents that are attached. */
  get attachedAgents(): number {
    return this.connections.attachedCount;
  }

  /** Number of attached agents whose workers are in the state `open`. */
  get openWorkers(): number {
    return this.connections.openWorkers;
  }

  /** True once the operator state is known. */
  get isConfigured(): boolean {
    return this.operatorState !== undefined;
  }

  /**
   * Applies an operator state, unless it is older than the present one. The same state has the same
   * revision at every entry, so agents get rules only when the state has changed.
   *
   * @param state - the operator state
   * @param storeRevision - revision of the store at which the state was read; omitted for a state
   * that comes from another entry
   */
  configure(state: OperatorState, storeRevision?: number): void {
    this.deliveredRevision = Math.max(this.deliveredRevision, storeRevision ?? 0);
    const previous = this.operatorState;
    // While the stored configuration is unreadable, the last readable one stays in use.
    const isNewer = state.version > (previous?.version ?? 0);
    const { version, routes } = isNewer || !previous ? state : previous;
    const { outDataCenters } = state;
    // The removal of a key leaves no item with a newer revision. The store's revision is used then.
    const hasNewerItem = state.revision > (previous?.revision ?? 0);
    const revision = hasNewerItem ? state.revision : (storeRevision ?? state.revision);
    if (previous && revision <= previous.revision) return;
    this.operatorState = { revision, version, routes, outDataCenters };
    const isUnchanged = isSameSet(this.rules.outDataCenters, outDataCenters) && !isNewer;
    if (isUnchanged) return;
    this.options.log.info(
      { revision, version, routes: routes.length, out: outDataCenters.join(',') },
      'configured',
    );
    this.applyRules({ revision, outDataCenters: [...outDataCenters] });
  }

  /**
   * Replaces the list of registered entries.
   *
   * @param peers - all entries registered in the store
   */
  updatePeers(peers: readonly RegisteredProcess[]): void {
    this.registeredPeers = peers;
    this.peerClient.updatePeers(peers);
    this.confirmation.updateEntries();
    this.forwarding?.sender.updatePeers(peers, this.rules.outDataCenters);
  }

  /**
   * Replaces the list of registered agents and updates the connections to them.
   *
   * @param agents - all agents registered in the store
   */
  updateAgents(agents: readonly RegisteredProcess[]): void {
    this.connections.updateAgents(agents);
  }

  /**
   * Finds the route of a request.
   *
   * @param host - host of the request
   * @param path - path of the request
   * @returns the route, or `undefined` when none matches
   */
  findRoute(host: string, path: string): Route | undefined {
    return findRoute(this.operatorState?.routes ?? [], host, path);
  }

  /**
   * Runs a job and waits for its outcome.
   *
   * @param submission - the job, its route and its client
   * @returns the outcome
   */
  async submit(submission: Submission): Promise<JobOutcome> {
    const { job: request, route, mayStart } = submission;
    const startedAt = performance.now();
    this.confirmation.recordSubmission(request.id);
    const outcome =
      this.refuseIfClosed(request) ??
      this.refuseUnsupported(request) ??
      this.crashes.findFailure(request.id) ??
      (await this.confirmAndRun(submission));
    this.confirmation.forget(request.id);
    const ms = performance.now() - startedAt;
    // The entry that has forwarded a job counts it.
    if (!mayStart) this.options.meter.answered(route.name, outcome.type, ms);
    const reason = 'reason' in outcome ? outcome.reason : undefined;
    this.options.log.info(
      { job: request.id, route: route.name, outcome: outcome.type, reason, ms: Math.round(ms) },
      'job_answered',
    );
    return outcome;
  }

  /**
   * Cancels a job of this entry.
   *
   * @param id - identifier of the job
   * @returns true when the job was active at this entry
   */
  cancel(id: string): boolean {
    const active = this.jobs.get(id);
    if (!active) return this.confirmation.cancel(id);
    active.job.settle({ type: 'unfinished', reason: 'cancelled' });
    return true;
  }

  /**
   * @param id - identifier of a job
   * @returns true while the job is active at this entry
   */
  isActive(id: string): boolean {
    return this.jobs.has(id) || this.confirmation.isConfirming(id);
  }

  /**
   * @param route - the route
   * @returns number of the route's active jobs of which no run has been admitted, nor may have started
   * after a failed assignment
   */
  countPending(route: Route): number {
    // The entry that has forwarded a job counts it.
    const jobs = [...this.jobs.values()].filter(({ isOwn }) => isOwn).map(({ job }) => job);
    return jobs.filter((job) => job.route.name === route.name && !job.mayHaveRun).length;
  }

  /**
   * Stops gracefully: waits until the active jobs are answered. After the timeout the others are answered as
   * unfinished, or as refused if nothing of them has run, so that no connection ends without an answer.
   *
   * @param balancerDelayMs - time that the load balancer needs to notice that the entry is not
   * ready, in milliseconds; the entry accepts jobs during this time
   * @param timeoutMs - longest time to wait, in milliseconds
   */
  async stop(balancerDelayMs: number, timeoutMs: number): Promise<void> {
    this.isDraining = true;
    this.options.log.info({ jobs: this.jobs.size }, 'stopping');
    const startedAt = performance.now();
    const elapsed = () => performance.now() - startedAt;
    const isBusy = () =>
      this.jobs.size > 0 || this.confirmation.isBusy || this.boundTaskNotices.isSending;
    while ((isBusy() || elapsed() < balancerDelayMs) && elapsed() < timeoutMs) {
      await sleep(STOP_POLL_PERIOD_MS);
      this.isClosed = elapsed() >= balancerDelayMs;
    }
    await this.answerRemainingJobs();
    this.halt();
  }

  /** Stops at once, as a crash would, without waiting for active jobs. */
  halt(): void {
    this.isDraining = true;
    this.confirmation.halt();
    this.dispatcher.halt();
    this.boundTaskNotices.halt();
    this.forwarding?.halt();
    this.connections.closeAll();
  }

  private async answerRemainingJobs(): Promise<void> {
    this.isClosed = true;
    if (this.jobs.size === 0) return;
    this.options.log.warn({ jobs: this.jobs.size }, 'stop_timeout');
    this.jobs.forEach(({ job }) => this.settleUnanswered(job, 'stopping'));
    // Some notices of bound tasks go out before the answers.
    await sleep(BOUND_NOTICE_WAIT_MS + STOP_POLL_PERIOD_MS);
  }

  /** A client that sends a job again still gets the answer to the job that is active. */
  private refuseIfClosed({ id }: JobRequest): JobOutcome | undefined {
    if (!this.isClosed || this.jobs.has(id)) return undefined;
    return { type: 'refused', reason: 'stopping', retryAfterMs: MIN_RETRY_AFTER_MS };
  }

  /** Utilization of the entry, from 0 to 1; `undefined` when jobs are not forwarded. */
  get utilization(): number | undefined {
    return this.forwarding?.load.utilization;
  }

  private createForwarding(options: ForwardingOptions): Forwarding {
    const { name, dataCenter, dial, random, log } = this.options;
    return Forwarding.create(options, {
      entry: name,
      dataCenter,
      dial: (address) => dial(address, this.server),
      findRoute: (route) => this.operatorState?.routes.find((other) => other.name === route),
      version: () => this.operatorState?.version ?? 0,
      findObstacle: (route) => this.findObstacle(route),
      isStopping: () => this.isDraining,
      isForwarded: (id) => this.jobs.get(id)?.job.forwardedTo !== undefined,
      isPending: (id) => this.jobs.get(id)?.job.mayHaveRun === false,
      run: (submission) => this.submit(submission),
      random,
      log,
    });
  }

  /** Tells why this entry can't run jobs of other entries. */
  private findObstacle({ service }: Route): 'stopping' | 'workers' | undefined {
    if (this.isDraining) return 'stopping';
    return this.connections.hasWorkersOf(service) ? undefined : 'workers';
  }

  private createServer(): CallServer {
    const findByLink = (link: Link) => this.connections.findByLink(link);
    return createCallServer(
      {
        view: (view, link) => {
          findByLink(link)?.updateView(view);
          return {};
        },
        ended: ({ runs, free, ...queueReport }, link) => {
          const connection = findByLink(link);
          if (!connection) return {};
          connection.updateFree(free, queueReport);
          this.dispatcher.handleRunEnds(connection.name, runs);
          return {};
        },
        crash: (crash) => {
          this.crashes.handleCrash(crash);
          return {};
        },
        unsettled: ({ unsettled }, link) => {
          const connection = findByLink(link);
          if (connection) this.dispatcher.bindTasks(connection.name, unsettled);
          return {};
        },
        bound: ({ bound }) => {
          this.dispatcher.bindToldTasks(bound);
          return {};
        },
        operatorState: () => ({ state: this.operatorState }),
        ...this.forwarding?.handlers,
        ...this.confirmation.handlers,
        rules: (rules) => {
          this.handleRules(rules);
          return {};
        },
      },
      createLimitedWarning(this.options.log, 'message_failed'),
    );
  }

  /**
   * Handles rules that another process has. Newer ones are taken over, unless the store has delivered all that they
   * can say: the removal of an item leaves none, so that an entry which starts later has an older revision.
   */
  private handleRules(rules: AdmissionRules): void {
    const isDelivered = this.operatorState && rules.revision < this.deliveredRevision;
    if (isDelivered) this.confirmRules(rules);
    else {
      this.applyRules(rules);
      void this.catchUp(rules.revision);
    }
  }

  /** Keeps what the store has delivered, at a revision that those with the given rules accept. */
  private confirmRules({ revision, outDataCenters }: AdmissionRules): void {
    if (revision <= this.rules.revision) return;
    const own = this.operatorState?.outDataCenters ?? [];
    if (isSameSet(own, outDataCenters)) this.rules = { ...this.rules, revision };
    else this.applyRules({ revision: this.deliveredRevision, outDataCenters: [...own] });
  }

  private applyRules(rules: AdmissionRules): void {
    if (rules.revision <= this.rules.revision) return;
    this.rules = rules;
    this.connections.applyRules(rules);
    this.forwarding?.sender.updatePeers(this.registeredPeers, rules.outDataCenters);
    this.dispatcher.schedulePass();
  }

  /**
   * Fetches the operator state from other entries while another process has reported a newer
   * revision and the store has not delivered it.
   */
  private async catchUp(revision: number): Promise<void> {
    this.newestKnownRevision = Math.max(this.newestKnownRevision, revision);
    if (this.isCatchingUp) return;
    this.isCatchingUp = true;
    const isBehind = () =>
      !this.isDraining && (this.operatorState?.revision ?? 0) < this.newestKnownRevision;
    while (isBehind()) {
      await sleep(CATCH_UP_DELAY_MS);
      const state = isBehind() ? await this.peerClient.fetch() : undefined;
      if (state) this.configure(state);
    }
    this.isCatchingUp = false;
  }

  private refuseUnsupported(job: JobRequest): JobOutcome | undefined {
    const feature = unsupportedFeature(job);
    if (feature) {
      this.options.log.warn({ job: job.id, feature }, 'not_supported');
      return { type: 'refused', reason: 'notSupported', retryAfterMs: MIN_RETRY_AFTER_MS };
    }
    if ((job.steps[0]?.count ?? 0) > MAX_TASKS_PER_STEP) {
      return { type: 'refused', reason: 'tooLarge', retryAfterMs: MIN_RETRY_AFTER_MS };
    }
    return undefined;
  }

  private createConfirmation(): JobConfirmation {
    const { name, dial, meter, log, readProcessorMs = () => 0 } = this.options;
    const ownJobs = () => [...this.jobs.values()].filter(({ isOwn }) => isOwn);
    return JobConfirmation.create({
      entry: name,
      entries: () => this.registeredPeers,
      storeRevision: () => this.deliveredRevision,
      dial: (address) => dial(address, this.server),
      readProcessorMs,
      findJob: (id) => this.jobs.get(id)?.job,
      ownJobs: () => ownJobs().map(({ job }) => job),
      hasRunsOf: (id) => this.dispatcher.hasRunsOf(id),
      schedulePass: () => this.dispatcher.schedulePass(),
      isClockStep: (ms) => isClockStep(this.connections.values(), ms),
      onPause: (ms) => meter.paused?.(ms),
      onClaimed: (verdict) => meter.claimed?.(verdict),
      log,
    });
  }

  /** Runs a job; one that may be an old copy only if no other entry has it. */
  private async confirmAndRun(submission: Submission): Promise<JobOutcome> {
    const { connectedAt, remainingMs } = submission;
    const { id } = submission.job;
    if (!this.confirmation.isNeeded({ id, connectedAt, remainingMs })) {
      return this.runJob(submission);
    }
    const startedAt = performance.now();
    const confirmation = await this.confirmation.confirm({ id, connectedAt, remainingMs });
    if (confirmation.type === 'answered') return confirmation.outcome;
    const leftMs = remainingMs - (performance.now() - startedAt);
    return this.runJob({ ...submission, remainingMs: leftMs });
  }

  private async runJob(submission: Submission): Promise<JobOutcome> {
    const { job: request, signal, mayStart } = submission;
    if (signal.aborted) return { type: 'unfinished', reason: CLIENT_LEFT };
    const active = this.jobs.get(request.id) ?? this.accept(submission);
    // A job without tasks is complete at once.
    if (!active) return { type: 'completed' };
    active.waiters += 1;
    active.isOwn ||= mayStart === undefined;
    const { job } = active;
    const guard = mayStart ?? (() => true);
    job.startGuards.add(guard);
    const onDisconnect = () => {
      active.waiters -= 1;
      job.startGuards.delete(guard);
      if (active.waiters === 0) job.settle({ type: 'unfinished', reason: CLIENT_LEFT });
    };
    signal.addEventListener('abort', onDisconnect, { once: true });
    const outcome = await active.answer;
    signal.removeEventListener('abort', onDisconnect);
    return outcome;
  }

  /** Accepts a new job. Returns `undefined` for a job without tasks. */
  private accept({ job: request, ...submission }: Submission): AcceptedJob | undefined {
    const { route, remainingMs, mayStart } = submission;
    const [step] = request.steps;
    if (!step || step.count === 0) return undefined;
    const job = ActiveJob.create(request, route, step, remainingMs);
    const active = { job, waiters: 0, isOwn: false, answer: this.endJob(job, remainingMs) };
    this.jobs.set(request.id, active);
    job.notBefore = Math.max(
      this.forwarding?.sender.earlierRunsUntil(job.id) ?? 0,
      this.confirmation.claimedUntil(job.id),
    );
    // While runs of an earlier copy may be active at another entry, a refusal as not run would be false.
    job.mayHaveRun = job.notBefore > performance.now();
    if (mayStart || !this.tryForward(job)) this.run(job);
    return active;
  }

  private tryForward(job: ActiveJob): boolean {
    const { dispatcher, forwarding, operatorState } = this;
    if (!forwarding || !operatorState || this.isDraining) return false;
    if (dispatcher.hasEarlierRuns(job) || dispatcher.bindings.has(job.id)) return false;
    if (this.confirmation.hasClaimed(job.id) || job.notBefore > performance.now()) return false;
    return forwarding.sender.tryForward(job, operatorState.version, () => this.runDeclined(job));
  }

  private runDeclined(job: ActiveJob): void {
    this.crashes.handleDeclined(job);
    if (job.isOpen) this.run(job);
  }

  private run(job: ActiveJob): void {
    const { request, route, step, deadlineAt } = job;
    this.options.log.info(
      {
        job: request.id,
        route: route.name,
        version: this.operatorState?.version,
        tasks: step.count,
        estimateMs: step.estimateMs,
        cpu: step.needs.cpu,
        leftMs: Math.round(deadlineAt - performance.now()),
        queued: this.dispatcher.queuedJobs,
        hasEarlierRuns: this.dispatcher.hasEarlierRuns(job) || undefined,
      },
      'job_accepted',
    );
    this.dispatcher.add(job);
  }

  /** Waits until a job has ended, by its deadline at the latest, and removes it. Returns the answer. */
  private async endJob(job: ActiveJob, remainingMs: number): Promise<JobOutcome> {
    const timer = setTimeout(
      () => this.settleUnanswered(job, 'deadline'),
      Math.max(0, remainingMs - DEADLINE_MARGIN_MS),
    );
    const outcome = await job.waitForOutcome();
    clearTimeout(timer);
    this.jobs.delete(job.id);
    this.dispatcher.remove(job);
    if (outcome.type === 'unfinished') {
      // Its client may send the job to another entry once it has the answer.
      const bound = this.dispatcher.bindings.rowsOf(job.id);
      await this.boundTaskNotices.tell(bound, job.deadlineAt);
    }
    return outcome;
  }

  private settleUnanswered(job: ActiveJob, reason: 'deadline' | 'stopping'): void {
    if (job.isCommitted) job.settle({ type: 'unfinished', reason });
    else job.settle({ type: 'refused', reason: 'noRoom', retryAfterMs: MIN_RETRY_AFTER_MS });
  }

  private createConnections(): AgentConnections {
    const { name, dataCenter, dial, random, log } = this.options;
    return AgentConnections.create({
      entry: name,
      dataCenter,
      dial: (address) => dial(address, this.server),
      rules: () => this.rules,
      hasRuns: (agent) => this.dispatcher.hasRuns(agent),
      onChange: (agent, view) => {
        if (view.state !== 'closed') this.crashes.handleReturn(agent, view.incarnation);
        this.dispatcher.bindings.release(agent, view.incarnation);
        this.dispatcher.schedulePass();
      },
      onLost: (agent, knowledge) => this.dispatcher.handleAgentLoss(agent, knowledge),
      onForgotten: (agent) => this.crashes.forgetAgent(agent),
      onCrash: (crash) => this.crashes.handleCrash(crash),
      onUnsettled: (agent, tasks) => this.dispatcher.bindTasks(agent, tasks),
      onRules: (rules) => this.handleRules(rules),
      random,
      log,
    });
  }
}
