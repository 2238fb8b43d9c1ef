import { createHash } from 'node:crypto';
import { match } from 'ts-pattern';
import { createCallServer, sleep } from '@marjorammast/protocol';
import type {
  Credit,
  CallServer,
  Link,
  Params,
  Result,
  AgentConfiguration,
  StartParams,
} from '@marjorammast/protocol';
import { createLimitedWarning } from '@marjorammast/telemetry';
import type { Log, Metrics, Timeline } from '@marjorammast/telemetry';
import {
  CREDIT_AUDIT_AFTER_MS,
  CONNECT_RETRY_JITTER_MS,
  CONNECT_RETRY_MS,
  HOUSEKEEPING_PERIOD_MS,
  STOP_POLL_MS,
  TARGET_LEASE_MS,
} from './constants';
import { checkStart } from './checkStart';
import type { RunResult, Target, TaskRunner } from './runTask';
import { Slots } from './Slots';
import { StartRecords } from './StartRecords';

/** Configuration and dependencies of an agent. */
export type AgentOptions = {
  name: string;
  dataCenter: string;
  /** RPC addresses of the entries to contact first. */
  entries: readonly string[];
  dial: (address: string, server: CallServer) => Promise<Link>;
  runTask: TaskRunner;
  /** Creates an identifier that is unique across processes. */
  createId: () => string;
  /** Returns uniformly distributed random numbers from 0 up to but excluding 1. */
  random: () => number;
  log: Log;
  metrics: Metrics;
  timeline: Timeline;
};

/**
 * An open link to an entry. `name` is the entry's address until its answer to `hello` gives its
 * name. `isRegistered` is true once the entry has registered the agent.
 */
type EntryLink = { name: string; link: Link; isRegistered: boolean };

/**
 * Agent of one target, the server that runs the tasks. It checks every start that an entry sends
 * and sends the task to the target.
 */
export class Agent {
  readonly incarnation: string;

  private readonly records = StartRecords.create();

  private readonly slots: Slots;

  private readonly server: CallServer;

  private configuration: AgentConfiguration = { version: -1, outDataCenters: [], draining: [] };

  private target: Target | undefined;

  private targetExpiry = 0;

  private entryAddresses: string[];

  /** True once any entry has registered the agent. */
  private isRegistered = false;

  private isStopping = false;

  /** Open links by the address of the entry. */
  private readonly entryLinks = new Map<string, EntryLink>();

  /** Addresses of the entries to which a link is being opened. */
  private readonly dialing = new Set<string>();

  /** Controllers that cancel the tasks in progress, by job and index. */
  private readonly abortControllers = new Map<string, AbortController>();

  private housekeepingTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: AgentOptions) {
    this.incarnation = options.createId();
    this.server = this.createServer();
    this.entryAddresses = [...options.entries];
    // Each agent ranks the entries in an order of its own.
    this.slots = Slots.create((entry) =>
      createHash('md5').update(`${options.name}>${entry}`).digest().readUInt32LE(0),
    );
  }

  /**
   * @param options - configuration and dependencies of the agent
   * @returns an agent that has not started
   */
  static create(options: AgentOptions): Agent {
    return new Agent(options);
  }

  /** Starts to connect to the entries. */
  start(): void {
    this.connect();
    this.housekeepingTimer = setInterval(() => this.runHousekeeping(), HOUSEKEEPING_PERIOD_MS);
  }

  /**
   * Stops gracefully: grants no more credits and waits for the tasks in progress.
   *
   * @param timeoutMs - longest time to wait, in milliseconds
   */
  async stop(timeoutMs: number): Promise<void> {
    this.isStopping = true;
    this.withdrawTarget('stopping');
    const until = performance.now() + timeoutMs;
    while (this.slots.running > 0 && performance.now() < until) {
      await sleep(STOP_POLL_MS);
    }
    if (this.slots.running === 0) await this.sendRecordsToEntries();
    this.halt();
  }

  /** Stops at once, without waiting for the tasks in progress, like a crash. */
  halt(): void {
    this.isStopping = true;
    clearInterval(this.housekeepingTimer);
    this.entryLinks.forEach(({ link }) => link.close());
  }

  /**
   * Handles an announcement of the target, which also renews the target's lease.
   *
   * @param target - address, number of slots and number of connections of the target
   */
  announce(target: Target): void {
    if (this.isStopping) return;
    const isNew = this.target?.address !== target.address || this.target.slots !== target.slots;
    this.target = target;
    this.targetExpiry = performance.now() + TARGET_LEASE_MS;
    if (!isNew) return;
    this.options.timeline.record('targetAnnounced', {
      target: target.address,
      slots: target.slots,
    });
    this.options.log.info({ target: target.address, slots: target.slots }, 'target_announced');
    this.slots.resize(target.slots);
    this.distributeCredits();
  }

  /**
   * Withdraws the target, so that no more tasks start on it. Tasks in progress continue.
   *
   * @param reason - reason for the log and the timeline
   */
  withdrawTarget(reason: string): void {
    if (!this.target) return;
    this.options.timeline.record('targetLeft', { reason });
    this.options.log.info({ target: this.target.address, reason }, 'target_left');
    this.target = undefined;
    this.slots.revokeIdle();
    const slots = Array.from({ length: this.slots.size }, (_, index) => index);
    this.entryLinks.forEach(({ link }) => link.notify('revoke', { slots }));
  }

  /** @returns a summary of the agent's state for operators */
  status(): Record<string, string | number | boolean> {
    return {
      agent: this.options.name,
      version: this.configuration.version,
      target: this.target?.address ?? '',
      slots: this.slots.size,
      running: this.slots.running,
      records: this.records.size,
      entries: this.entryLinks.size,
      isRegistered: this.isRegistered,
    };
  }

  private createServer(): CallServer {
    return createCallServer(
      {
        start: (start, link) => this.handleStart(start, this.entryLinkOf(link)),
        fence: ({ claims }) => ({
          incarnation: this.incarnation,
          records: this.records.fence(claims),
        }),
        outcome: (params) => this.awaitOutcome(params),
        cancel: ({ job, index }) => {
          this.abortControllers.get(`${job}#${index}`)?.abort();
          return {};
        },
        configure: ({ slice, entries }) => {
          this.applyConfiguration(slice);
          this.setEntryAddresses(entries);
          return { version: this.configuration.version };
        },
        events: ({ sinceMs, job }) => ({ events: this.options.timeline.select(sinceMs, job) }),
        status: () => this.status(),
      },
      createLimitedWarning(this.options.log, 'message_failed'),
    );
  }

  private entryLinkOf(link: Link): EntryLink {
    const known = [...this.entryLinks.values()].find((entry) => entry.link === link);
    return known ?? { name: link.name, link, isRegistered: false };
  }

  /** Sends the start records to every entry, since each may own the shards of these jobs later. */
  private async sendRecordsToEntries(): Promise<void> {
    const records = this.records.list();
    const registered = [...this.entryLinks.values()].filter((entry) => entry.isRegistered);
    await Promise.allSettled(registered.map(({ link }) => link.call('retire', { records })));
  }

  /** True when every known entry has registered the agent. */
  private get isFullyConnected(): boolean {
    return this.entryAddresses.every((address) => this.entryLinks.get(address)?.isRegistered);
  }

  private connect(): void {
    if (this.isStopping) return;
    const missing = this.entryAddresses.filter(
      (address) => !this.entryLinks.has(address) && !this.dialing.has(address),
    );
    // The first entry records the agent in the store. Until then the agent connects to no other
    // entry, so that the others only need to look up the record.
    const toConnect = this.isRegistered
      ? missing
      : missing.slice(0, this.entryLinks.size > 0 ? 0 : 1);
    toConnect.forEach((address) => void this.connectTo(address));
    const unregistered = this.isRegistered ? [] : [...this.entryLinks.values()];
    unregistered.forEach((entry) => void this.register(entry));
  }

  private async connectTo(address: string): Promise<void> {
    this.dialing.add(address);
    try {
      const link = await this.options.dial(address, this.server);
      const entry: EntryLink = { name: address, link, isRegistered: false };
      link.onClose(() => this.handleClose(address, entry));
      this.entryLinks.set(address, entry);
      await this.register(entry);
    } catch {
      // Moves the unreachable entry to the end of the list, so that the other entries are tried
      // first.
      this.entryAddresses = [...this.entryAddresses.filter((other) => other !== address), address];
    } finally {
      this.dialing.delete(address);
    }
  }

  private async register(entry: EntryLink): Promise<void> {
    try {
      const helloResult = await entry.link.call('hello', {
        agent: this.options.name,
        incarnation: this.incarnation,
        dataCenter: this.options.dataCenter,
        slots: this.slots.size,
        clock: performance.now(),
      });
      this.applyConfiguration(helloResult.slice);
      helloResult.epochs.forEach((epoch, shard) => this.records.raiseEpoch(shard, epoch));
      this.setEntryAddresses(helloResult.entries);
      if (!helloResult.registered) return;
      Object.assign(entry, { isRegistered: true, name: helloResult.entry });
      this.options.log.info({ entry: helloResult.entry }, 'entry_connected');
      const isFirst = !this.isRegistered;
      this.isRegistered = true;
      if (isFirst) this.connect();
      if (this.isFullyConnected) this.distributeCredits();
    } catch {
      entry.link.close();
    }
  }

  private handleClose(address: string, entry: EntryLink): void {
    if (this.entryLinks.get(address) === entry) this.entryLinks.delete(address);
    this.slots.releaseIdleOf(entry.name);
    this.options.log.info({ entry: entry.name }, 'entry_disconnected');
    this.distributeCredits();
  }

  private setEntryAddresses(entries: readonly string[]): void {
    this.entryAddresses = [...new Set([...entries, ...this.options.entries])];
  }

  private applyConfiguration(configuration: AgentConfiguration): void {
    if (configuration.version <= this.configuration.version) return;
    this.configuration = configuration;
    this.options.timeline.record('configured', { version: configuration.version });
    this.options.log.info({ version: configuration.version }, 'configured');
  }

  private distributeCredits(): void {
    if (!this.target) return;
    const clock = performance.now();
    const registered = [...this.entryLinks.values()].filter((entry) => entry.isRegistered);
    const grants = this.slots.distribute(
      registered.map((entry) => entry.name),
      clock,
    );
    grants.forEach(({ entry, credits }) => {
      const link = registered.find(({ name }) => name === entry)?.link;
      link?.notify('grant', { credits, clock });
    });
  }

  private async handleStart(start: StartParams, entry: EntryLink): Promise<Result<'start'>> {
    const clock = performance.now();
    const { target } = this;
    const refusal = checkStart(start, {
      dataCenter: this.options.dataCenter,
      agent: this.options.name,
      configuration: this.configuration,
      hasTarget: target !== undefined,
      epoch: this.records.epochOf(start.shard),
      isCreditValid: this.slots.isValid(start.credit),
      isKnownTask: this.records.isKnown(start.job, start.index),
      isBarredTask: this.records.isBarred(start.job, start.index),
      clock,
      wallTime: Date.now(),
    });
    if (refusal || !target) return this.refuse(start, refusal ?? 'noTarget', entry);
    this.records.raiseEpoch(start.shard, start.epoch);
    this.records.add({
      job: start.job,
      index: start.index,
      count: start.count,
      digest: start.digest,
      notAfter: start.notAfter,
    });
    this.slots.use(start.credit, entry.name);
    this.options.timeline.record('taskStarted', { job: start.job, index: start.index });
    const run = await this.runTask(target, start);
    const credit = this.finishSlot(start.credit, entry);
    return this.finishRun(start, run, credit, clock);
  }

  private refuse(
    start: StartParams,
    refusal: Exclude<Result<'start'>, { type: 'finished' }>['refusal'],
    entry: EntryLink,
  ): Result<'start'> {
    this.options.metrics.count('agent.refused', 1, { refusal });
    this.options.timeline.record('startRefused', { job: start.job, index: start.index, refusal });
    const clock = performance.now();
    if (!this.target || !this.slots.isValid(start.credit))
      return { type: 'refused', refusal, clock };
    this.slots.use(start.credit, entry.name);
    return { type: 'refused', refusal, clock, credit: this.finishSlot(start.credit, entry) };
  }

  private async runTask(target: Target, start: StartParams): Promise<RunResult> {
    const abortController = new AbortController();
    const key = `${start.job}#${start.index}`;
    this.abortControllers.set(key, abortController);
    try {
      return await this.options.runTask(target, start, abortController.signal);
    } finally {
      this.abortControllers.delete(key);
    }
  }

  /**
   * Marks the slot of a credit as idle and returns the next credit when the entry keeps the slot.
   */
  private finishSlot(credit: Credit, entry: EntryLink): Credit | undefined {
    const keep = entry.link.isOpen && this.target !== undefined;
    const next = this.slots.finish(credit.slot, keep, performance.now());
    if (!keep) this.distributeCredits();
    return next;
  }

  /** Records the end of a run and creates the answer to its start. */
  private finishRun(
    start: StartParams,
    run: RunResult,
    credit: Credit | undefined,
    startedAt: number,
  ): Result<'start'> {
    const clock = performance.now();
    return match(run)
      .with({ type: 'notSent' }, ({ detail }): Result<'start'> => {
        this.records.remove(start.job, start.index);
        this.options.log.warn({ job: start.job, index: start.index, detail }, 'target_unreachable');
        return { type: 'refused', refusal: 'noTarget', clock, credit };
      })
      .with({ type: 'ended' }, ({ outcome }): Result<'start'> => {
        this.records.finish(start.job, start.index, outcome);
        const runMs = clock - startedAt;
        this.options.metrics.timing('agent.task', runMs, {
          kind: start.kind,
          outcome: outcome.type,
        });
        this.options.timeline.record('taskEnded', {
          job: start.job,
          index: start.index,
          outcome: outcome.type,
        });
        return { type: 'finished', outcome, runMs, clock, credit };
      })
      .exhaustive();
  }

  /**
   * Waits for the outcome of a task. A task that has not started is barred, so that the caller can
   * rely on it never starting here.
   */
  private async awaitOutcome({
    job,
    index,
    notAfter,
  }: Params<'outcome'>): Promise<Result<'outcome'>> {
    if (!this.records.isKnown(job, index)) this.records.bar(job, index, notAfter);
    const outcome = await this.records.outcomeOf(job, index);
    if (outcome) return { type: 'finished', outcome };
    this.records.bar(job, index, notAfter);
    return { type: 'barred' };
  }

  private runHousekeeping(): void {
    this.records.expire();
    if (this.target && performance.now() > this.targetExpiry) this.withdrawTarget('lease expired');
    this.scheduleConnect();
    this.distributeCredits();
    this.auditIdleCredits();
  }

  /**
   * Connects to the missing entries after a random delay. Housekeeping calls it once in each
   * period, so the delay is only the rest of the retry pause.
   */
  private scheduleConnect(): void {
    const delayMs =
      Math.max(0, CONNECT_RETRY_MS - HOUSEKEEPING_PERIOD_MS) +
      this.options.random() * CONNECT_RETRY_JITTER_MS;
    setTimeout(() => this.connect(), delayMs);
  }

  /**
   * Asks each entry whether it still holds the credits that have been idle for long, so that a slot
   * whose credit was lost is granted again.
   */
  private auditIdleCredits(): void {
    const before = performance.now() - CREDIT_AUDIT_AFTER_MS;
    this.slots.idleBefore(before).forEach(({ entry, credits }) => {
      const link = [...this.entryLinks.values()].find(({ name }) => name === entry)?.link;
      link
        ?.call('audit', { credits })
        .then(({ held }) => this.slots.applyAudit(credits, held, performance.now()))
        .then(() => this.distributeCredits())
        // The credits stay idle, so the next audit asks for them again.
        .catch((error: unknown) => {
          this.options.log.warn({ entry, detail: String(error) }, 'audit_failed');
        });
    });
  }
}
