import { createHash } from 'node:crypto';
import { match } from 'ts-pattern';
import { createCallServer, sleep } from '@marjorammast/protocol';
import type {
  Credit,
  CallServer,
  Link,
  Params,
  Result,
  Slice,
  Start,
} from '@marjorammast/protocol';
import type { Log, Metrics, Timeline } from '@marjorammast/telemetry';
import {
  AUDIT_AFTER_MS,
  DIAL_JITTER_MS,
  DIAL_PAUSE_MS,
  HOUSEKEEPING_MS,
  STOP_POLL_MS,
  TARGET_LEASE_MS,
} from './constants';
import { gate } from './gate';
import type { Run, Target, TaskRunner } from './runTask';
import { Slots } from './Slots';
import { StartRecords } from './StartRecords';

/** What an agent is made of. */
export type AgentParts = {
  name: string;
  dataCenter: string;
  /** RPC addresses of entries to contact first. */
  entries: readonly string[];
  dial: (address: string, server: CallServer) => Promise<Link>;
  runTask: TaskRunner;
  /** Creates an identifier that no other process creates. */
  createId: () => string;
  /** Uniform random numbers below 1. */
  random: () => number;
  log: Log;
  metrics: Metrics;
  timeline: Timeline;
};

type EntryLink = { name: string; link: Link; isRegistered: boolean };

/** The gate between the entries and one target. */
export class Agent {
  readonly incarnation: string;

  private readonly records = StartRecords.create();

  private readonly slots: Slots;

  private readonly server: CallServer;

  private slice: Slice = { version: -1, outDataCenters: [], draining: [] };

  private target: Target | undefined;

  private targetUntil = 0;

  private addresses: string[];

  private isRegistered = false;

  private isStopping = false;

  /** Open links by the address of the entry. */
  private readonly links = new Map<string, EntryLink>();

  private readonly dialing = new Set<string>();

  private readonly aborts = new Map<string, AbortController>();

  private housekeeping: NodeJS.Timeout | undefined;

  private constructor(private readonly parts: AgentParts) {
    this.incarnation = parts.createId();
    this.server = this.createServer();
    this.addresses = [...parts.entries];
    this.slots = Slots.create((entry) =>
      createHash('md5').update(`${parts.name}>${entry}`).digest().readUInt32LE(0),
    );
  }

  /**
   * @param parts - what the agent is made of
   * @returns an agent that has not started
   */
  static create(parts: AgentParts): Agent {
    return new Agent(parts);
  }

  /** Starts to contact the entries. */
  start(): void {
    this.connect();
    this.housekeeping = setInterval(() => this.keepHouse(), HOUSEKEEPING_MS);
  }

  /**
   * Stops gracefully: gives no more credits and waits for the tasks in progress.
   *
   * @param timeoutMs - longest time to wait, in milliseconds
   */
  async stop(timeoutMs: number): Promise<void> {
    this.isStopping = true;
    this.dropTarget('stopping');
    const until = performance.now() + timeoutMs;
    while (this.slots.running > 0 && performance.now() < until) {
      await sleep(STOP_POLL_MS);
    }
    if (this.slots.running === 0) await this.retire();
    this.halt();
  }

  /** Ends at once, as a crash would. */
  halt(): void {
    this.isStopping = true;
    clearInterval(this.housekeeping);
    this.links.forEach(({ link }) => link.close());
  }

  /**
   * Takes the target's announcement, or renews it.
   *
   * @param target - address, slots and connections of the target
   */
  announce(target: Target): void {
    if (this.isStopping) return;
    const isNew = this.target?.address !== target.address || this.target.slots !== target.slots;
    this.target = target;
    this.targetUntil = performance.now() + TARGET_LEASE_MS;
    if (!isNew) return;
    this.parts.timeline.record('targetAnnounced', { target: target.address, slots: target.slots });
    this.parts.log.info({ target: target.address, slots: target.slots }, 'target_announced');
    this.slots.resize(target.slots);
    this.distribute();
  }

  /**
   * Withdraws the target; tasks in progress go on.
   *
   * @param reason - why, for the log
   */
  dropTarget(reason: string): void {
    if (!this.target) return;
    this.parts.timeline.record('targetLeft', { reason });
    this.parts.log.info({ target: this.target.address, reason }, 'target_left');
    this.target = undefined;
    this.slots.revokeIdle();
    const slots = Array.from({ length: this.slots.size }, (_, index) => index);
    this.links.forEach(({ link }) => link.notify('revoke', { slots }));
  }

  /** A summary for operators. */
  status(): Record<string, string | number | boolean> {
    return {
      agent: this.parts.name,
      version: this.slice.version,
      target: this.target?.address ?? '',
      slots: this.slots.size,
      running: this.slots.running,
      records: this.records.size,
      entries: this.links.size,
      isRegistered: this.isRegistered,
    };
  }

  private createServer(): CallServer {
    return createCallServer({
      start: (start, link) => this.handleStart(start, this.entryOf(link)),
      fence: ({ claims }) => ({
        incarnation: this.incarnation,
        records: this.records.fence(claims),
      }),
      outcome: (params) => this.awaitOutcome(params),
      cancel: ({ job, index }) => {
        this.aborts.get(`${job}#${index}`)?.abort();
        return {};
      },
      configure: ({ slice, entries }) => {
        this.applySlice(slice);
        this.setAddresses(entries);
        return { version: this.slice.version };
      },
      events: ({ sinceMs, job }) => ({ events: this.parts.timeline.select(sinceMs, job) }),
      status: () => this.status(),
    });
  }

  private entryOf(link: Link): EntryLink {
    const known = [...this.links.values()].find((entry) => entry.link === link);
    return known ?? { name: link.name, link, isRegistered: false };
  }

  /** Leaves the records with every entry, for owners to come. */
  private async retire(): Promise<void> {
    const records = this.records.list();
    const ready = [...this.links.values()].filter((entry) => entry.isRegistered);
    await Promise.allSettled(ready.map(({ link }) => link.call('retire', { records })));
  }

  /** True when every known entry has accepted the agent. */
  private get isFullyConnected(): boolean {
    return this.addresses.every((address) => this.links.get(address)?.isRegistered);
  }

  private connect(): void {
    if (this.isStopping) return;
    const missing = this.addresses.filter(
      (address) => !this.links.has(address) && !this.dialing.has(address),
    );
    // One entry records the agent in the store; the others then only look it up.
    const wanted = this.isRegistered ? missing : missing.slice(0, this.links.size > 0 ? 0 : 1);
    wanted.forEach((address) => void this.connectTo(address));
    const unregistered = this.isRegistered ? [] : [...this.links.values()];
    unregistered.forEach((entry) => void this.greet(entry));
  }

  private async connectTo(address: string): Promise<void> {
    this.dialing.add(address);
    try {
      const link = await this.parts.dial(address, this.server);
      const entry: EntryLink = { name: address, link, isRegistered: false };
      link.onClose(() => this.handleClose(address, entry));
      this.links.set(address, entry);
      await this.greet(entry);
    } catch {
      // The unreachable entry goes behind the others, so that one that works is found.
      this.addresses = [...this.addresses.filter((other) => other !== address), address];
    } finally {
      this.dialing.delete(address);
    }
  }

  private async greet(entry: EntryLink): Promise<void> {
    try {
      const welcome = await entry.link.call('hello', {
        agent: this.parts.name,
        incarnation: this.incarnation,
        dataCenter: this.parts.dataCenter,
        slots: this.slots.size,
        clock: performance.now(),
      });
      this.applySlice(welcome.slice);
      welcome.epochs.forEach((epoch, shard) => this.records.raiseEpoch(shard, epoch));
      this.setAddresses(welcome.entries);
      if (!welcome.registered) return;
      Object.assign(entry, { isRegistered: true, name: welcome.entry });
      this.parts.log.info({ entry: welcome.entry }, 'entry_connected');
      const isFirst = !this.isRegistered;
      this.isRegistered = true;
      if (isFirst) this.connect();
      if (this.isFullyConnected) this.distribute();
    } catch {
      entry.link.close();
    }
  }

  private handleClose(address: string, entry: EntryLink): void {
    if (this.links.get(address) === entry) this.links.delete(address);
    this.slots.release(entry.name);
    this.parts.log.info({ entry: entry.name }, 'entry_disconnected');
    this.distribute();
  }

  private setAddresses(entries: readonly string[]): void {
    this.addresses = [...new Set([...entries, ...this.parts.entries])];
  }

  private applySlice(slice: Slice): void {
    if (slice.version <= this.slice.version) return;
    this.slice = slice;
    this.parts.timeline.record('configured', { version: slice.version });
    this.parts.log.info({ version: slice.version }, 'configured');
  }

  private distribute(): void {
    if (!this.target) return;
    const clock = performance.now();
    const ready = [...this.links.values()].filter((entry) => entry.isRegistered);
    const grants = this.slots.distribute(
      ready.map((entry) => entry.name),
      clock,
    );
    grants.forEach(({ entry, credits }) => {
      const link = ready.find(({ name }) => name === entry)?.link;
      link?.notify('grant', { credits, clock });
    });
  }

  private async handleStart(start: Start, entry: EntryLink): Promise<Result<'start'>> {
    const clock = performance.now();
    const { target } = this;
    const refusal = gate(start, {
      dataCenter: this.parts.dataCenter,
      agent: this.parts.name,
      slice: this.slice,
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
    this.slots.take(start.credit, entry.name);
    this.parts.timeline.record('taskStarted', { job: start.job, index: start.index });
    const run = await this.runTask(target, start);
    const credit = this.endSlot(start.credit, entry);
    return this.answerRun(start, run, credit, clock);
  }

  private refuse(
    start: Start,
    refusal: Exclude<Result<'start'>, { type: 'finished' }>['refusal'],
    entry: EntryLink,
  ): Result<'start'> {
    this.parts.metrics.count('agent.refused', 1, { refusal });
    this.parts.timeline.record('startRefused', { job: start.job, index: start.index, refusal });
    const clock = performance.now();
    if (!this.target || !this.slots.isValid(start.credit))
      return { type: 'refused', refusal, clock };
    this.slots.take(start.credit, entry.name);
    return { type: 'refused', refusal, clock, credit: this.endSlot(start.credit, entry) };
  }

  private async runTask(target: Target, start: Start): Promise<Run> {
    const abort = new AbortController();
    const key = `${start.job}#${start.index}`;
    this.aborts.set(key, abort);
    try {
      return await this.parts.runTask(target, start, abort.signal);
    } finally {
      this.aborts.delete(key);
    }
  }

  private endSlot(credit: Credit, entry: EntryLink): Credit | undefined {
    const keep = entry.link.isOpen && this.target !== undefined;
    const next = this.slots.finish(credit.slot, keep, performance.now());
    if (!keep) this.distribute();
    return next;
  }

  private answerRun(
    start: Start,
    run: Run,
    credit: Credit | undefined,
    startedAt: number,
  ): Result<'start'> {
    const clock = performance.now();
    return match(run)
      .with({ type: 'notSent' }, ({ detail }): Result<'start'> => {
        this.records.remove(start.job, start.index);
        this.parts.log.warn({ job: start.job, index: start.index, detail }, 'target_unreachable');
        return { type: 'refused', refusal: 'noTarget', clock, credit };
      })
      .with({ type: 'ended' }, ({ outcome }): Result<'start'> => {
        this.records.finish(start.job, start.index, outcome);
        const runMs = clock - startedAt;
        this.parts.metrics.timing('agent.task', runMs, { kind: start.kind, outcome: outcome.type });
        this.parts.timeline.record('taskEnded', {
          job: start.job,
          index: start.index,
          outcome: outcome.type,
        });
        return { type: 'finished', outcome, runMs, clock, credit };
      })
      .exhaustive();
  }

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

  private keepHouse(): void {
    this.records.expire();
    if (this.target && performance.now() > this.targetUntil) this.dropTarget('lease expired');
    this.scheduleConnect();
    this.distribute();
    this.audit();
  }

  private scheduleConnect(): void {
    const pause =
      Math.max(0, DIAL_PAUSE_MS - HOUSEKEEPING_MS) + this.parts.random() * DIAL_JITTER_MS;
    setTimeout(() => this.connect(), pause);
  }

  private audit(): void {
    const before = performance.now() - AUDIT_AFTER_MS;
    this.slots.idleBefore(before).forEach(({ entry, credits }) => {
      const link = [...this.links.values()].find(({ name }) => name === entry)?.link;
      link
        ?.call('audit', { credits })
        .then(({ held }) => this.slots.settleAudit(credits, held, performance.now()))
        .then(() => this.distribute())
        // The credits stay idle, and the next audit asks for them again.
        .catch((error: unknown) => {
          this.parts.log.warn({ entry, detail: String(error) }, 'audit_failed');
        });
    });
  }
}
