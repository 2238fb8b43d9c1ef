import { match } from 'ts-pattern';
import { CallError } from '@marjorammast/protocol';
import type { ForwardDeclineReason, Link, RegisteredProcess, Result } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import type { ActiveJob } from './ActiveJob';
import { createAgentRanking } from './chooseAgents';
import { choosePeers, chooseReceiver } from './chooseForwarding';
import type { UtilizationThresholds } from './chooseForwarding';
import {
  FORWARD_MARGIN_MS,
  FORWARD_PAUSE_MS,
  MIN_FORWARD_REMAINING_MS,
  RUN_EXPIRY_MS,
} from './constants';
import type { EntryLoad } from './EntryLoad';
import { ReceiverLink } from './ReceiverLink';

/** How a forwarded job was answered, for the metrics. */
export type ForwardAnswer = 'ended' | 'declined' | 'lost' | 'notSent';

/** Identity and dependencies of a job forwarder. */
export type JobForwarderOptions = {
  /** Name of this entry. */
  entry: string;
  dataCenter: string;
  thresholds: UtilizationThresholds;
  /** Largest number of receivers. */
  maxPeers: number;
  load: EntryLoad;
  dial: (address: string) => Promise<Link>;
  /** Uniform random numbers in [0, 1). */
  random: () => number;
  meter: (answer: ForwardAnswer) => void;
  log: Log;
};

/** The sender's side of forwarding: sends new jobs to other entries while this one has too little processor time. */
export class JobForwarder {
  private readonly links = new Map<string, ReceiverLink>();

  /** The entries to which jobs are forwarded. */
  private peers: readonly RegisteredProcess[] = [];

  private readonly rankOf: (entry: string) => string;

  /** Monotonic time until which runs of withdrawn or lost jobs may be active at a receiver, by job. */
  private readonly expiries = new Map<string, number>();

  private constructor(private readonly options: JobForwarderOptions) {
    this.rankOf = createAgentRanking(options.entry);
  }

  /**
   * @param options - identity and dependencies of the forwarder
   * @returns a forwarder without receivers
   */
  static create(options: JobForwarderOptions): JobForwarder {
    return new JobForwarder(options);
  }

  /**
   * Replaces the list of registered entries. A receiver with open jobs is kept until they have ended.
   *
   * @param entries - all entries registered in the store, including this one
   * @param evacuatedDataCenters - data centres that get no tasks
   */
  updatePeers(
    entries: readonly RegisteredProcess[],
    evacuatedDataCenters: readonly string[],
  ): void {
    const { entry, dataCenter, maxPeers } = this.options;
    const others = entries.filter(({ name }) => name !== entry);
    this.peers = choosePeers(others, this.rankOf, dataCenter, evacuatedDataCenters, maxPeers);
    this.updateLinks();
  }

  /** Opens and closes connections as the load requires; called after each window of the load. */
  maintain(): void {
    this.updateLinks();
    this.links.forEach((link) => link.maintain());
  }

  /**
   * @param job - identifier of a job
   * @returns monotonic time until which runs of an earlier submission that was forwarded may be active, in
   * milliseconds; 0 when there are none
   */
  earlierRunsUntil(job: string): number {
    return this.expiries.get(job) ?? 0;
  }

  /**
   * Forwards a new job if the load requires it and another entry has spare time. From then on this entry does not run it,
   * unless the receiver declines it.
   *
   * @param job - the job, of which nothing has been assigned
   * @param version - version of the operators' configuration
   * @param run - runs the job at this entry; called when it turns out that the receiver does not
   * @returns true when the job was forwarded
   */
  tryForward(job: ActiveJob, version: number, run: () => void): boolean {
    if (!this.mayForward(job) || !this.options.load.takeTurn()) return false;
    const link = this.chooseLink();
    if (!link) return false;
    job.forwardedTo = link.peer.name;
    void this.send(job, version, link, run);
    return true;
  }

  /** Closes all connections, which ends the jobs at their receivers. */
  halt(): void {
    this.links.forEach((link) => link.close());
  }

  private isPeer({ peer }: ReceiverLink): boolean {
    return this.peers.some(({ name, address }) => name === peer.name && address === peer.address);
  }

  private updateLinks(): void {
    const { dial, load, log } = this.options;
    this.links.forEach((link, name) => {
      if (link.hasJobs || this.isPeer(link)) return;
      link.close();
      this.links.delete(name);
    });
    const host = { dial, isNeeded: () => load.needsReceivers, log };
    this.peers
      .filter(({ name }) => !this.links.has(name))
      .forEach((peer) => this.links.set(peer.name, ReceiverLink.create(peer, host)));
  }

  private mayForward(job: ActiveJob): boolean {
    const remainingMs = job.deadlineAt - performance.now();
    const isLongEnough = remainingMs >= MIN_FORWARD_REMAINING_MS + job.step.estimateMs;
    return isLongEnough && performance.now() >= this.earlierRunsUntil(job.id);
  }

  private chooseLink(): ReceiverLink | undefined {
    const { dataCenter, thresholds, random } = this.options;
    const now = performance.now();
    const receivers = [...this.links.values()].flatMap((link) => {
      const { load, reservedCores, peer } = link;
      if (!load || link.pausedUntil > now || !this.isPeer(link)) return [];
      return [{ name: peer.name, dataCenter: peer.dataCenter, load, reservedCores }];
    });
    const name = chooseReceiver(receivers, dataCenter, thresholds, random());
    return name === undefined ? undefined : this.links.get(name);
  }

  private async send(
    job: ActiveJob,
    version: number,
    link: ReceiverLink,
    run: () => void,
  ): Promise<void> {
    const { request, route, deadlineAt } = job;
    const remainingMs = deadlineAt - performance.now() - FORWARD_MARGIN_MS;
    const params = { job: request, route: route.name, version, remainingMs };
    const fields = { job: job.id, route: route.name, peer: link.peer.name };
    this.options.log.info({ ...fields, leftMs: Math.round(remainingMs) }, 'job_forwarded');
    void job.waitForOutcome().then(() => this.withdrawIfOpen(job, link));
    try {
      this.handleAnswer(job, link, await link.forward(job, params), run);
    } catch (error) {
      this.handleFailure(job, link, error, run);
    }
  }

  private handleAnswer(
    job: ActiveJob,
    link: ReceiverLink,
    answer: Result<'forward'>,
    run: () => void,
  ): void {
    this.options.meter(answer.type);
    match(answer)
      .with({ type: 'ended' }, ({ outcome }) => job.settle(outcome))
      .with({ type: 'declined' }, ({ reason }) => this.handleDecline(job, link, reason, run))
      .exhaustive();
  }

  private handleDecline(
    job: ActiveJob,
    link: ReceiverLink,
    reason: ForwardDeclineReason,
    run: () => void,
  ): void {
    const { log, random } = this.options;
    log.info({ job: job.id, peer: link.peer.name, reason }, 'forward_declined');
    link.pausedUntil = performance.now() + FORWARD_PAUSE_MS * (1 + random());
    this.runLocally(job, run);
  }

  private handleFailure(job: ActiveJob, link: ReceiverLink, error: unknown, run: () => void): void {
    const fault = error instanceof CallError ? error.fault : 'lost';
    this.options.meter(fault === 'notSent' ? 'notSent' : 'lost');
    if (fault === 'notSent') {
      this.runLocally(job, run);
      return;
    }
    const detail = error instanceof Error ? error.message : String(error);
    const fields = { job: job.id, peer: link.peer.name, fault, detail };
    this.options.log.warn(fields, 'forward_lost');
    this.recordExpiry(job.id);
    job.settle({ type: 'unfinished', reason: 'forward lost' });
  }

  /** Runs a job at this entry, after the receiver has declined it or has certainly not received it. */
  private runLocally(job: ActiveJob, run: () => void): void {
    job.forwardedTo = undefined;
    this.expiries.delete(job.id);
    if (job.isOpen) run();
  }

  /** Withdraws a job that was answered before the receiver has answered: its client has left, or it was cancelled. */
  private withdrawIfOpen(job: ActiveJob, link: ReceiverLink): void {
    if (!link.has(job)) return;
    this.recordExpiry(job.id);
    link.withdraw(job);
  }

  private recordExpiry(job: string): void {
    const now = performance.now();
    const expired = [...this.expiries].filter(([, until]) => until <= now);
    expired.forEach(([id]) => this.expiries.delete(id));
    this.expiries.delete(job);
    this.expiries.set(job, now + RUN_EXPIRY_MS);
  }
}
