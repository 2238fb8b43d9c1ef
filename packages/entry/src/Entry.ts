import { match } from 'ts-pattern';
import {
  CALL_TIMEOUT_MS,
  MAX_CONFIGURATION_AGE_MS,
  MAX_NOT_AFTER_MS,
  failure,
  jobId,
  shardOf,
  sleep,
  createCallServer,
  encodeHeartbeat,
} from '@marjorammast/protocol';
import type {
  Answer,
  CallServer,
  JobState,
  Link,
  Member,
  Result,
  ShardClaim,
  SingleRequest,
  Submission,
} from '@marjorammast/protocol';
import type { Store } from '@marjorammast/store';
import { createLimitedWarning } from '@marjorammast/telemetry';
import type { Log, Metrics, Timeline } from '@marjorammast/telemetry';
import { AgentController } from './AgentController';
import type { ConnectedAgent } from './AgentController';
import { ClusterController } from './ClusterController';
import { AGENT_CHECK_PERIOD_MS } from './constants';
import { CreditExchange } from './CreditExchange';
import { Dispatcher } from './Dispatcher';
import { EnvironmentController } from './EnvironmentController';
import { Gateway } from './Gateway';
import { Handover } from './Handover';
import type { Job } from './Job';
import { JobController } from './JobController';
import { mergeTimelines } from './mergeTimelines';
import type { MergedTimeline } from './mergeTimelines';
import { Ownership } from './Ownership';
import type { Placement } from './placement';

/** Settings and dependencies of an entry. */
export type EntryOptions = {
  name: string;
  dataCenter: string;
  /** Host and port at which other processes reach this entry. */
  address: string;
  /** Prefix of all keys of the deployment in the store. */
  prefix: string;
  store: Store;
  /** Opens a connection to another process. */
  dial: (address: string, server: CallServer) => Promise<Link>;
  place: Placement;
  /** Creates an identifier that is unique among all processes. */
  createId: () => string;
  log: Log;
  metrics: Metrics;
  timeline: Timeline;
};

/** Time a graceful stop waits for a peer to acknowledge the departure, in milliseconds. */
const DEPARTURE_NOTICE_TIMEOUT_MS = 300;

const STOP_POLL_MS = 20;

const EXPIRY_PERIOD_MS = 1_000;

/**
 * Time in milliseconds within which the load balancer notices that a stopping entry is not ready.
 */
const DRAIN_NOTICE_MS = 2_000;

/** State of a job as reported to a client. */
export type JobView = Result<'find'> | { type: 'unreachable'; owner: string };

/** One entry process: accepts jobs from clients and starts their tasks at agents. */
export class Entry {
  readonly member: Member;

  readonly cluster: ClusterController;

  readonly environment: EnvironmentController;

  readonly agents: AgentController;

  readonly ownership: Ownership;

  readonly jobs: JobController;

  readonly dispatcher: Dispatcher;

  readonly gateway: Gateway;

  private readonly handover: Handover;

  private readonly credits: CreditExchange;

  /** Handles the calls of all other processes. */
  readonly server: CallServer;

  /** Number of clients' requests in progress. */
  openCalls = 0;

  private isDraining = false;

  private timers: NodeJS.Timeout[] = [];

  private constructor(readonly options: EntryOptions) {
    const { name, dataCenter, address, log, metrics, timeline, prefix, store, dial } = options;
    const incarnation = options.createId();
    this.member = { name, incarnation, address, dataCenter };
    this.environment = EnvironmentController.create({
      cluster: () => this.cluster,
      changed: () => this.pushConfiguration(),
      log,
      timeline,
    });
    this.cluster = ClusterController.create({
      member: this.member,
      prefix,
      store,
      dial,
      version: () => this.environment.version,
      environmentRead: (value) => this.environment.acceptStored(value),
      catchUp: (peer) => this.catchUp(peer),
      ownershipChanged: (gained, lost) => this.changeOwnership(gained, lost),
      refreshed: () => this.dispatcher.schedule(),
      log,
      timeline,
    });
    this.agents = AgentController.create({
      name,
      policy: () => this.environment.policy,
      agentConfiguration: () => this.environment.agentConfiguration,
      entries: () => this.cluster.map.members.map((member) => member.address),
      epochs: () => this.cluster.epochs(),
      register: (agent, agentIncarnation) =>
        this.cluster.registry.register(agent, agentIncarnation),
      connected: (agent) => this.resumeTasks(agent),
      creditsAvailable: () => this.dispatcher.schedule(),
      log,
      timeline,
    });
    this.ownership = Ownership.create({
      registeredAgents: () => this.cluster.registry.list(),
      findAgent: (agent, agentIncarnation) => this.agents.find(agent, agentIncarnation),
      findRetired: (agent, agentIncarnation) => this.agents.retired.find(agent, agentIncarnation),
      addRecords: (records, { name: agent, incarnation: agentIncarnation }) =>
        records.forEach((record) => {
          const job = this.jobs.addRecord(record, agent, agentIncarnation);
          const connected = this.agents.find(agent, agentIncarnation);
          if (job && connected) void this.dispatcher.queryOutcome(job, record.index, connected);
        }),
      log,
      timeline,
    });
    this.dispatcher = this.createDispatcher();
    this.jobs = JobController.create({
      environment: () => this.environment.release?.environment,
      shardState: (shard) => this.ownership.stateOf(shard),
      enqueue: (job, indexes) => this.dispatcher.enqueue(job, indexes),
      answered: (job) => this.dispatcher.cancelTasks(job),
      queuedTasks: () => this.dispatcher.queue.length,
      isFresh: () => this.cluster.configurationAge() <= MAX_CONFIGURATION_AGE_MS,
      log,
      metrics,
      timeline,
    });
    this.gateway = this.createGateway();
    this.handover = this.createHandover();
    this.credits = CreditExchange.create({
      name,
      agents: this.agents,
      peers: () => this.cluster.others().map((member) => member.name),
      askPeer: (peer, params) => this.cluster.call(peer, 'credits', params),
      queuedTasks: () => this.dispatcher.queue.length,
    });
    this.server = this.createServer();
  }

  /**
   * @param options - settings and dependencies
   * @returns an entry that has not started
   */
  static create(options: EntryOptions): Entry {
    return new Entry(options);
  }

  /** True once the entry has started to stop. */
  get isStopping(): boolean {
    return this.isDraining;
  }

  /** True when the load balancer may route clients to this entry. */
  get isReady(): boolean {
    return !this.isDraining && this.cluster.isMember && this.environment.version >= 0;
  }

  /** Joins the cluster and starts the periodic work. */
  start(): void {
    this.cluster.start();
    this.timers = [
      setInterval(() => this.agents.probeSilentAgents(), AGENT_CHECK_PERIOD_MS),
      setInterval(() => this.expire(), EXPIRY_PERIOD_MS),
      setInterval(() => this.pushConfiguration(), 1_000),
      setInterval(() => this.reportMetrics(), 5_000),
    ];
  }

  /** Stops at once, as a crash would. */
  halt(): void {
    this.isDraining = true;
    this.timers.forEach((timer) => clearInterval(timer));
    this.cluster.halt();
    this.ownership.halt();
    this.dispatcher.halt();
    this.jobs.release(this.ownership.owned);
    this.agents.list().forEach(({ link }) => link.close());
  }

  /**
   * Stops gracefully: leaves the cluster map, hands over the jobs, waits until the clients have
   * their answers, then stops.
   *
   * @param timeoutMs - maximum time to wait, in milliseconds
   */
  async stop(timeoutMs: number): Promise<void> {
    const until = performance.now() + timeoutMs;
    this.isDraining = true;
    const drainNoticedAt = performance.now() + DRAIN_NOTICE_MS;
    const peers = this.cluster.others().map(({ name }) => name);
    const hasLeft = peers.length > 0 && (await this.cluster.leave());
    if (hasLeft) await this.handover.ended;
    if (hasLeft) this.agents.list().forEach(({ link }) => link.close());
    const isBusy = () =>
      this.openCalls > 0 ||
      performance.now() < drainNoticedAt ||
      (!hasLeft && this.jobs.openCount > 0);
    while (isBusy() && performance.now() < until) {
      await sleep(STOP_POLL_MS);
    }
    // An entry that is still in the cluster map tells its peers that it writes nothing more.
    // Otherwise the peers, without its heartbeats, could not agree that their configuration is
    // current.
    if (!hasLeft && !this.cluster.heartbeat().unsettled) {
      const from = this.member.name;
      await Promise.allSettled(
        peers.map((peer) =>
          this.cluster.call(peer, 'farewell', { from }, DEPARTURE_NOTICE_TIMEOUT_MS),
        ),
      );
    }
    this.halt();
  }

  /**
   * Runs a job, or waits for the existing job with the same key.
   *
   * @param submission - validated submission
   * @param isFirst - true when the client guarantees that the key was never submitted before
   * @returns the answer
   */
  async submit(submission: Submission, isFirst: boolean): Promise<Answer> {
    this.openCalls += 1;
    try {
      if (this.isDraining && !this.cluster.isMember && this.cluster.others().length === 0) {
        const verdict = isFirst ? 'notRun' : 'mayHaveRun';
        const refusal = failure('draining', verdict, 'this entry is stopping');
        return { type: 'failed', failure: refusal };
      }
      return await this.gateway.submit(submission, isFirst);
    } finally {
      this.openCalls -= 1;
    }
  }

  /**
   * Runs a single request as a job of one task. This entry creates the key, so it was certainly
   * never submitted before.
   *
   * @param request - validated request
   * @returns the answer
   */
  request(request: SingleRequest): Promise<Answer> {
    const { team, service, method, payload, idempotent, urgent, deadlineMs } = request;
    return this.submit(
      {
        key: this.issueKey(team),
        team,
        kind: `${service}.${method}`,
        tasks: [{ payload }],
        urgent,
        deadlineMs,
        notAfter: Date.now() + Math.min(deadlineMs, MAX_NOT_AFTER_MS),
        idempotent,
      },
      true,
    );
  }

  /**
   * Asks the owner of a job for the state of the job.
   *
   * @param id - identifier of the job
   * @returns state of the job
   */
  async find(id: string): Promise<JobView> {
    const owner = this.ownerOf(shardOf(id));
    if (owner === this.member.name) return this.findHere(id);
    try {
      return await this.cluster.call(owner, 'find', { id });
    } catch {
      return { type: 'unreachable', owner };
    }
  }

  /**
   * Cancels a job at its owner.
   *
   * @param id - identifier of the job
   * @returns true when the owner has the job
   */
  async cancel(id: string): Promise<boolean> {
    const owner = this.ownerOf(shardOf(id));
    if (owner === this.member.name) return this.jobs.cancel(id);
    const { found } = await this.cluster.call(owner, 'cancelJob', { id });
    return found;
  }

  /** Status summary for operators. */
  status(): Result<'status'> {
    const now = performance.now();
    return {
      entry: this.member.name,
      dataCenter: this.member.dataCenter,
      version: this.environment.version,
      mapRevision: this.cluster.mapRevision,
      newsAgeMs: Math.round(Math.min(1e9, this.cluster.configurationAge())),
      shards: this.ownership.owned.length,
      jobs: this.jobs.size,
      openJobs: this.jobs.openCount,
      queuedTasks: this.dispatcher.queue.length,
      runningTasks: this.dispatcher.running,
      idleCredits: this.agents.creditPool.size,
      agents: this.agents.list().length,
      suspectedAgents: this.agents.list().filter((agent) => agent.isSuspected).length,
      ejectedAgents: this.agents.list().filter((agent) => agent.ejectedUntil > now).length,
      unreachablePeers: this.cluster.unreachable(),
      openCalls: this.openCalls,
    };
  }

  /**
   * Collects the timeline events of all processes.
   *
   * @param sinceMs - maximum age of the events, in milliseconds
   * @param job - identifier of a job, to select only its events
   * @returns the events sorted by time, and the processes that did not answer
   */
  timeline(sinceMs: number, job?: string): Promise<MergedTimeline> {
    const query = { sinceMs, job };
    const peers = this.cluster.others().map(({ name }) => ({
      name,
      ask: async () => (await this.cluster.call(name, 'events', query)).events,
    }));
    const agents = this.agents.list().map(({ name, link }) => ({
      name,
      ask: async () => (await link.call('events', query, CALL_TIMEOUT_MS)).events,
    }));
    return mergeTimelines(this.options.timeline.select(sinceMs, job), [...peers, ...agents]);
  }

  private createServer(): CallServer {
    return createCallServer(
      {
        ...this.agents.handlers,
        news: () => encodeHeartbeat(this.cluster.heartbeat()),
        identify: () => ({ incarnation: this.member.incarnation }),
        catchUp: () => ({
          release: this.environment.release,
          map: this.cluster.map,
          mapRevision: this.cluster.mapRevision,
        }),
        submit: ({ submission, deadlineLeftMs, isFirst }) =>
          this.submitHere(submission, deadlineLeftMs, isFirst),
        find: ({ id }) => this.findHere(id),
        cancelJob: ({ id }) => ({
          found: this.jobs.cancel(id),
          owner: this.ownerOf(shardOf(id)) === this.member.name,
        }),
        adopt: (params) => this.handover.receive(params),
        credits: (params) => this.credits.give(params),
        confirm: () => this.confirm(),
        farewell: ({ from }) => {
          this.cluster.markDeparted(from);
          return {};
        },
        events: ({ sinceMs, job }) => ({ events: this.options.timeline.select(sinceMs, job) }),
        status: () => this.status(),
      },
      createLimitedWarning(this.options.log, 'message_failed'),
    );
  }

  private createDispatcher(): Dispatcher {
    return Dispatcher.create({
      agents: this.agents,
      shares: () => ({
        teams: this.environment.release?.environment.teams ?? {},
        normalShare: this.environment.policy.normalShare,
        entries: this.cluster.map.members.length,
      }),
      place: this.options.place,
      configurationAgeMs: () => this.cluster.configurationAge(),
      version: () => this.environment.version,
      epochOf: (shard) => this.ownership.epochOf(shard),
      conclude: (job) => this.jobs.conclude(job),
      fail: (job, reason) => this.jobs.fail(job, reason),
      requestCredits: (want, pressure) => this.credits.request(want, pressure),
      epochRefused: (shard) => {
        this.releaseShards([shard]);
        void this.cluster.poll();
      },
      log: this.options.log,
      metrics: this.options.metrics,
    });
  }

  private createGateway(): Gateway {
    return Gateway.create({
      name: this.member.name,
      ownerOf: (shard) => this.ownerOf(shard),
      submitHere: (submission, leftMs, isFirst) => this.jobs.submit(submission, leftMs, isFirst),
      submitTo: (owner, submission, deadlineLeftMs, isFirst) =>
        this.cluster.call(
          owner,
          'submit',
          { submission, deadlineLeftMs, isFirst },
          deadlineLeftMs + CALL_TIMEOUT_MS,
        ),
      refresh: () => this.cluster.poll(),
    });
  }

  private createHandover(): Handover {
    return Handover.create({
      name: this.member.name,
      ownerOf: (shard) => this.ownerOf(shard),
      epochOf: (shard) => this.cluster.map.shards[shard]?.epoch ?? 0,
      sendAdopt: (owner, params) => this.cluster.call(owner, 'adopt', params),
      isOwned: (shard) => this.ownership.stateOf(shard).type !== 'notOwned',
      refresh: () => this.cluster.poll(),
      adoptJob: (state) => this.adoptJob(state),
      markComplete: (claims) => this.ownership.markComplete(claims),
      log: this.options.log,
      timeline: this.options.timeline,
    });
  }

  private ownerOf(shard: number): string {
    return this.cluster.map.shards[shard]?.owner ?? '';
  }

  /** Creates a key whose shard this entry owns, or any key if this entry owns no shard. */
  private issueKey(team: string): string {
    const owned = new Set(this.ownership.owned);
    let key = '';
    do {
      key = `request-${this.options.createId()}`;
    } while (owned.size > 0 && !owned.has(shardOf(jobId(team, key))));
    return key;
  }

  private async submitHere(
    submission: Submission,
    deadlineLeftMs: number,
    isFirst: boolean,
  ): Promise<Result<'submit'>> {
    const reply = await this.jobs.submit(submission, deadlineLeftMs, isFirst);
    return match(reply)
      .returnType<Result<'submit'>>()
      .with({ type: 'answer' }, (answer) => answer)
      .with({ type: 'notOwner' }, () => ({
        type: 'notOwner',
        mapRevision: this.cluster.mapRevision,
      }))
      .exhaustive();
  }

  private findHere(id: string): Result<'find'> {
    const { mapRevision } = this.cluster;
    if (this.ownership.stateOf(shardOf(id)).type === 'notOwned') {
      return { type: 'notOwner', mapRevision };
    }
    const job = this.jobs.find(id);
    if (!job) return { type: 'unknown' };
    if (job.answer) return { type: 'answer', answer: job.answer };
    return { type: 'running', done: job.finished, count: job.tasks.length };
  }

  private async catchUp(peer: string): Promise<void> {
    const { release, map, mapRevision } = await this.cluster.call(peer, 'catchUp', {
      from: this.member.name,
    });
    if (release) this.environment.accept(release);
    this.cluster.acceptMap(map, mapRevision);
  }

  private async confirm(): Promise<Result<'confirm'>> {
    await this.cluster.poll();
    return { version: this.environment.version };
  }

  /**
   * Sends the configuration to every agent that has an older version and for which this entry is
   * responsible.
   */
  private pushConfiguration(): void {
    const { version } = this.environment;
    const stale = this.agents.list().filter((agent) => agent.version < version);
    stale
      .filter((agent) => this.isResponsibleFor(agent))
      .forEach((agent) => void this.agents.configure(agent));
  }

  /**
   * True when this entry sends the configuration to the agent. One member is responsible for each
   * agent; while that member is unreachable, every other member is.
   */
  private isResponsibleFor(agent: ConnectedAgent): boolean {
    const { members } = this.cluster.map;
    const responsible = members[shardOf(agent.name) % Math.max(1, members.length)];
    return (
      !responsible ||
      responsible.name === this.member.name ||
      this.cluster.unreachable().includes(responsible.name)
    );
  }

  private changeOwnership(gained: ShardClaim[], lost: number[]): void {
    const completeShards = lost.filter((shard) => this.knowsEveryStart(shard));
    const released = this.releaseShards(lost);
    this.ownership.acquire(gained);
    if (lost.length > 0) this.handover.send(lost, released, completeShards);
    this.dispatcher.schedule();
  }

  /**
   * True when this entry knows every start of a shard and is the direct predecessor of the new
   * owner.
   */
  private knowsEveryStart(shard: number): boolean {
    const state = this.ownership.stateOf(shard);
    if (state.type !== 'ready' || Date.now() < state.ambiguousUntil) return false;
    return this.cluster.map.shards[shard]?.epoch === state.epoch + 1;
  }

  private releaseShards(shards: readonly number[]): Job[] {
    this.ownership.release(shards);
    const released = this.jobs.release(shards);
    released.forEach((job) => this.dispatcher.queue.remove(job));
    return released;
  }

  private adoptJob(state: JobState): void {
    const job = this.jobs.adopt(state);
    if (!job) return;
    const shard = this.ownership.stateOf(job.shard);
    if (shard.type === 'recovering') void shard.ready.then(() => this.jobs.startWaitingTasks(job));
    else this.jobs.startWaitingTasks(job);
    job.sent.forEach(({ index, agent, incarnation }) => {
      const connected = this.agents.find(agent, incarnation);
      if (connected) void this.dispatcher.queryOutcome(job, index, connected);
    });
  }

  /**
   * Asks an agent that has connected for the outcomes of the starts it has not answered. Starts
   * that an earlier process of the agent has not answered end with an unknown outcome.
   */
  private resumeTasks(agent: ConnectedAgent): void {
    this.jobs.listOpen().forEach((job) => {
      job.sent
        .filter((task) => task.agent === agent.name)
        .forEach(({ index, incarnation }) => {
          if (incarnation === agent.incarnation) {
            void this.dispatcher.queryOutcome(job, index, agent);
          } else {
            this.dispatcher.markLost(job, index, `agent ${agent.name} was restarted`);
          }
        });
    });
  }

  private expire(): void {
    this.jobs.expire();
    this.agents.expire();
  }

  private reportMetrics(): void {
    const { metrics } = this.options;
    metrics.gauge('jobs.open', this.jobs.openCount);
    metrics.gauge('tasks.queued', this.dispatcher.queue.length);
    metrics.gauge('tasks.running', this.dispatcher.running);
    metrics.gauge('credits.idle', this.agents.creditPool.size);
    metrics.gauge('agents.connected', this.agents.list().length);
    metrics.gauge('news.ageMs', Math.min(1e9, this.cluster.configurationAge()));
  }
}
