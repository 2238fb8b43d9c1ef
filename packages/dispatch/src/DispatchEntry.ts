import { createCallServer, sleep } from '@marjorammast/protocol';
import type {
  CallServer,
  GateRules,
  Link,
  ListedProcess,
  OperatorState,
  Route,
} from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { ActiveJob } from './ActiveJob';
import { AgentConnection } from './AgentConnection';
import { ANSWER_MARGIN_MS, MIN_RETRY_AFTER_MS, RENEW_PERIOD_MS } from './constants';
import { chooseAgents } from './chooseAgents';
import { Dispatcher } from './Dispatcher';
import { findRoute } from './findRoute';
import { unsupportedFeature } from './job';
import type { JobOutcome, JobRequest } from './job';
import { PeerState } from './PeerState';

/** Counts and timings that an entry gives. */
export type EntryMeter = { answered: (route: string, outcome: string, ms: number) => void };

/** What an entry is made of. */
export type DispatchEntryParts = {
  name: string;
  dataCenter: string;
  dial: (address: string, server: CallServer) => Promise<Link>;
  /** Uniform random numbers below 1. */
  random: () => number;
  log: Log;
  meter: EntryMeter;
};

/** A client's request for a job. */
export type Submission = {
  route: Route;
  job: JobRequest;
  /** Time that the client waits, in milliseconds. */
  leftMs: number;
  /** Fires when the client has left. */
  signal: AbortSignal;
};

const STOP_POLL_MS = 25;

/** Time in which the store is expected to tell of a state that others know, in milliseconds. */
const CATCH_UP_MS = 300;

const MAX_TASKS_PER_STEP = 1_000;

/** One entry: takes jobs from clients and answers them when their tasks have ended. */
export class DispatchEntry {
  readonly dispatcher: Dispatcher;

  /** Answers the calls of agents and of other entries. */
  readonly server: CallServer;

  private readonly connections = new Map<string, AgentConnection>();

  private readonly jobs = new Map<string, { job: ActiveJob; waiters: number }>();

  private listed: readonly ListedProcess[] = [];

  private state: OperatorState | undefined;

  private rules: GateRules = { revision: 0, outDataCenters: [] };

  private readonly peers: PeerState;

  /** Newest revision of the store that any other process knows. */
  private wantedRevision = 0;

  private isCatchingUp = false;

  private isDraining = false;

  private readonly renewal: NodeJS.Timeout;

  private constructor(private readonly parts: DispatchEntryParts) {
    this.server = this.createServer();
    this.dispatcher = Dispatcher.create({
      dataCenter: parts.dataCenter,
      connections: () => this.connections.values(),
      findConnection: (agent) => this.connections.get(agent),
      outDataCenters: () => this.rules.outDataCenters,
      log: parts.log,
    });
    this.peers = PeerState.create({
      self: parts.name,
      dial: (address) => parts.dial(address, this.server),
      random: parts.random,
      log: parts.log,
    });
    this.renewal = setInterval(
      () => this.connections.forEach((connection) => connection.renew()),
      RENEW_PERIOD_MS / 4,
    );
  }

  /**
   * @param parts - what the entry is made of
   * @returns an entry without configuration
   */
  static create(parts: DispatchEntryParts): DispatchEntry {
    return new DispatchEntry(parts);
  }

  /** True when clients may be sent here. */
  get isReady(): boolean {
    return !this.isDraining && this.state !== undefined && this.state.version > 0;
  }

  /** True once the entry has begun to stop. */
  get isStopping(): boolean {
    return this.isDraining;
  }

  /** Number of jobs that are not answered. */
  get openJobs(): number {
    return this.jobs.size;
  }

  /** Number of agents that are attached. */
  get attachedAgents(): number {
    return [...this.connections.values()].filter(({ view }) => view).length;
  }

  /** Number of attached agents whose workers take work. */
  get openWorkers(): number {
    return [...this.connections.values()].filter(({ view }) => view?.state === 'open').length;
  }

  /** True once the operators' configuration is known. */
  get isConfigured(): boolean {
    return this.state !== undefined;
  }

  /**
   * Takes what operators have written; an older state is ignored. The same state has the same
   * revision at every entry, so that only a change is passed on.
   *
   * @param state - the state
   * @param storeRevision - revision of the store at which it was read; absent from a peer
   */
  configure(state: OperatorState, storeRevision: number = state.revision): void {
    const known = this.state;
    // The configuration may be unreadable for a moment; the last good one holds.
    const isNewer = state.version > (known?.version ?? 0);
    const { version, routes } = isNewer || !known ? state : known;
    const { outDataCenters } = state;
    // The removal of a key leaves no item with a newer revision.
    const revision = state.revision > (known?.revision ?? 0) ? state.revision : storeRevision;
    if (known && revision <= known.revision) return;
    this.state = { revision, version, routes, outDataCenters };
    const isSame = known?.outDataCenters.join() === outDataCenters.join() && !isNewer;
    if (isSame) return;
    this.parts.log.info(
      { revision, version, routes: routes.length, out: outDataCenters.join(',') },
      'configured',
    );
    this.takeRules({ revision, outDataCenters: [...outDataCenters] });
  }

  /**
   * Takes the list of entries.
   *
   * @param listed - all entries that have announced themselves
   */
  listPeers(listed: readonly ListedProcess[]): void {
    this.peers.list(listed);
  }

  /**
   * Takes the list of agents.
   *
   * @param listed - all agents that have announced themselves
   */
  listAgents(listed: readonly ListedProcess[]): void {
    this.listed = listed;
    this.chooseAgents();
  }

  /**
   * Finds the queue of a request.
   *
   * @param host - host of the request
   * @param path - path of the request
   */
  findRoute(host: string, path: string): Route | undefined {
    return findRoute(this.state?.routes ?? [], host, path);
  }

  /**
   * Runs a job.
   *
   * @param submission - the job and its client
   * @returns the outcome, or `undefined` when the client has left
   */
  async submit(submission: Submission): Promise<JobOutcome> {
    const { job: request, route } = submission;
    const startedAt = performance.now();
    const outcome = this.refuse(request) ?? (await this.run(submission));
    const ms = performance.now() - startedAt;
    this.parts.meter.answered(route.name, outcome.type, ms);
    const reason = 'reason' in outcome ? outcome.reason : undefined;
    this.parts.log.info(
      { job: request.id, route: route.name, outcome: outcome.type, reason, ms: Math.round(ms) },
      'job_answered',
    );
    return outcome;
  }

  /**
   * Cancels a job of this entry.
   *
   * @param id - the job
   * @returns true when it was active here
   */
  cancel(id: string): boolean {
    const active = this.jobs.get(id);
    if (!active) return false;
    active.job.settle({ type: 'unfinished', reason: 'cancelled' });
    return true;
  }

  /**
   * @param id - identifier of a job
   * @returns true while the job is active here
   */
  isActive(id: string): boolean {
    return this.jobs.has(id);
  }

  /**
   * @param route - a queue
   * @returns number of its jobs of which no task has started
   */
  countPending(route: Route): number {
    const jobs = [...this.jobs.values()].map(({ job }) => job);
    return jobs.filter((job) => job.route.name === route.name && !job.mayHaveRun).length;
  }

  /**
   * Stops gracefully: answers the jobs in progress.
   *
   * @param noticeMs - time in which the balancer notices that the entry is not ready
   * @param timeoutMs - longest time to wait, in milliseconds
   */
  async stop(noticeMs: number, timeoutMs: number): Promise<void> {
    this.isDraining = true;
    this.parts.log.info({ jobs: this.jobs.size }, 'stopping');
    const startedAt = performance.now();
    const elapsed = () => performance.now() - startedAt;
    while ((this.jobs.size > 0 || elapsed() < noticeMs) && elapsed() < timeoutMs) {
      await sleep(STOP_POLL_MS);
    }
    this.halt();
  }

  /** Ends at once, as a crash would. */
  halt(): void {
    this.isDraining = true;
    clearInterval(this.renewal);
    this.dispatcher.halt();
    this.connections.forEach((connection) => connection.close());
  }

  private createServer(): CallServer {
    const from = (link: Link) =>
      [...this.connections.values()].find((connection) => connection.owns(link));
    return createCallServer({
      view: (view, link) => {
        from(link)?.takeView(view);
        return {};
      },
      ended: ({ runs, free }, link) => {
        const connection = from(link);
        if (!connection) return {};
        connection.takeFree(free);
        this.dispatcher.takeEnds(connection.name, runs);
        return {};
      },
      operatorState: () => ({ state: this.state }),
      rules: (rules) => {
        this.takeRules(rules);
        void this.catchUp(rules.revision);
        return {};
      },
    });
  }

  private takeRules(rules: GateRules): void {
    if (rules.revision <= this.rules.revision) return;
    this.rules = rules;
    this.connections.forEach((connection) => connection.sendRules(rules));
    this.chooseAgents();
    this.dispatcher.schedule();
  }

  /** Asks other entries when others know a newer state and the store does not tell it. */
  private async catchUp(revision: number): Promise<void> {
    this.wantedRevision = Math.max(this.wantedRevision, revision);
    if (this.isCatchingUp) return;
    this.isCatchingUp = true;
    const isBehind = () => !this.isDraining && (this.state?.revision ?? 0) < this.wantedRevision;
    while (isBehind()) {
      await sleep(CATCH_UP_MS);
      const state = isBehind() ? await this.peers.fetch() : undefined;
      if (state) this.configure(state);
    }
    this.isCatchingUp = false;
  }

  private refuse(job: JobRequest): JobOutcome | undefined {
    const feature = unsupportedFeature(job);
    if (feature) {
      this.parts.log.warn({ job: job.id, feature }, 'not_supported');
      return { type: 'refused', reason: 'notSupported', retryAfterMs: MIN_RETRY_AFTER_MS };
    }
    if ((job.steps[0]?.count ?? 0) > MAX_TASKS_PER_STEP) {
      return { type: 'refused', reason: 'tooLarge', retryAfterMs: MIN_RETRY_AFTER_MS };
    }
    return undefined;
  }

  private async run({ job: request, route, leftMs, signal }: Submission): Promise<JobOutcome> {
    const active = this.jobs.get(request.id) ?? this.accept(request, route, leftMs);
    if (!active) return { type: 'completed' };
    active.waiters += 1;
    const { job } = active;
    const leave = () => {
      active.waiters -= 1;
      if (active.waiters === 0) job.settle({ type: 'unfinished', reason: 'client left' });
    };
    signal.addEventListener('abort', leave, { once: true });
    const outcome = await job.wait();
    signal.removeEventListener('abort', leave);
    return outcome;
  }

  private accept(
    request: JobRequest,
    route: Route,
    leftMs: number,
  ): { job: ActiveJob; waiters: number } | undefined {
    const [step] = request.steps;
    if (!step || step.count === 0) return undefined;
    const job = ActiveJob.create(request, route, step, leftMs);
    const active = { job, waiters: 0 };
    this.jobs.set(request.id, active);
    this.parts.log.info(
      {
        job: request.id,
        route: route.name,
        version: this.state?.version,
        tasks: step.count,
        estimateMs: step.estimateMs,
        cpu: step.needs.cpu,
        leftMs: Math.round(leftMs),
        queued: this.dispatcher.queued,
      },
      'job_accepted',
    );
    const timer = setTimeout(() => this.expire(job), Math.max(0, leftMs - ANSWER_MARGIN_MS));
    void job.wait().then(() => {
      clearTimeout(timer);
      this.jobs.delete(request.id);
      this.dispatcher.drop(job);
    });
    this.dispatcher.add(job);
    return active;
  }

  private expire(job: ActiveJob): void {
    if (job.isTouched) job.settle({ type: 'unfinished', reason: 'deadline' });
    else job.settle({ type: 'refused', reason: 'noRoom', retryAfterMs: MIN_RETRY_AFTER_MS });
  }

  private chooseAgents(): void {
    const { name, dataCenter } = this.parts;
    this.connect(chooseAgents(this.listed, name, dataCenter, this.rules.outDataCenters));
  }

  private connect(chosen: readonly ListedProcess[]): void {
    const names = new Set(chosen.map(({ name }) => name));
    this.connections.forEach((connection, name) => {
      // A working connection outlives its entry in the store.
      if (names.has(name) || connection.view) return;
      connection.close();
      this.connections.delete(name);
    });
    chosen.forEach((listed) => this.connectTo(listed));
  }

  private connectTo(listed: ListedProcess): void {
    const known = this.connections.get(listed.name);
    if (known?.listed.address === listed.address) return;
    known?.close();
    const { name, dial, random, log } = this.parts;
    const connection = AgentConnection.create(listed, {
      entry: name,
      dial: (address) => dial(address, this.server),
      rules: () => this.rules,
      hasRuns: (agent) => this.dispatcher.hasRuns(agent),
      changed: () => this.dispatcher.schedule(),
      lost: (agent) => this.dispatcher.lose(agent),
      newerRules: (rules) => {
        this.takeRules(rules);
        void this.catchUp(rules.revision);
      },
      random,
      log,
    });
    this.connections.set(listed.name, connection);
  }
}
