import type { Link, RegisteredProcess } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { ClaimLink } from './ClaimLink';
import type { ClaimAnswer } from './ClaimLink';
import { CLAIM_HEARTBEAT_MS, CLAIM_IDLE_MS } from './constants';

/** What is known of the copies of a job at the other entries. */
export type ClaimVerdict =
  /** No other entry has it. If one gets it later, it does not start it before this one has ended it. */
  | 'free'
  /** It was submitted to another entry too, or that entry has made this one release it. */
  | 'known'
  /** Not all other entries have answered. */
  | 'unconfirmed';

/** What the claims need from their entry. */
export type JobClaimsHost = {
  /** Name of the entry. */
  entry: string;
  /** The other registered entries. */
  peers: () => readonly RegisteredProcess[];
  /** Revision up to which the store has delivered all changes to this entry. */
  storeRevision: () => number;
  dial: (address: string) => Promise<Link>;
  /** Ends a job that this entry may not run any more. */
  end: (job: string) => void;
  log: Log;
};

/** A job that arrived so late that its client may have left. */
export type DoubtfulJob = {
  id: string;
  /** Longest time since its client may have sent it, in milliseconds. */
  longestAgeMs: number;
  /** Time until this entry ends it, in milliseconds. */
  remainingMs: number;
};

type Claim = { job: DoubtfulJob; isReleased: boolean; verdict: Promise<ClaimVerdict> };

type Batch = { jobs: DoubtfulJob[]; verdicts: Promise<(id: string) => ClaimVerdict> };

/**
 * Makes sure that this entry alone runs a job that it read after a pause. The client of such a job may have left
 * without that the end of its connection has arrived, and may have submitted the job to another entry, or do so at any time.
 * So all other entries are asked before a task starts, and those that do not know the job call back if they get it.
 */
export class JobClaims {
  private readonly claims = new Map<string, Claim>();

  private readonly links = new Map<string, ClaimLink>();

  /** The claims of the present turn of the event loop. */
  private batch: Batch | undefined;

  private idleTimer: NodeJS.Timeout | undefined;

  private heartbeatTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly host: JobClaimsHost) {}

  /**
   * @param host - what the claims need from their entry
   * @returns no claims
   */
  static create(host: JobClaimsHost): JobClaims {
    return new JobClaims(host);
  }

  /**
   * Claims a job at all other entries.
   *
   * @param job - the job
   * @returns what is known of its other copies
   */
  claim(job: DoubtfulJob): Promise<ClaimVerdict> {
    const known = this.claims.get(job.id);
    if (known) return known.verdict;
    this.batch ??= this.startBatch();
    this.batch.jobs.push(job);
    const claim: Claim = { job, isReleased: false, verdict: Promise.resolve('unconfirmed') };
    claim.verdict = this.batch.verdicts.then((verdictOf) =>
      claim.isReleased ? 'known' : verdictOf(job.id),
    );
    this.claims.set(job.id, claim);
    return claim.verdict;
  }

  /**
   * Releases a job to another entry, to which it was submitted.
   *
   * @param id - identifier of the job
   */
  release(id: string): void {
    const claim = this.claims.get(id);
    if (claim) claim.isReleased = true;
    this.host.end(id);
  }

  /**
   * @param id - identifier of a job
   * @returns true while this entry has claimed it
   */
  has(id: string): boolean {
    return this.claims.has(id);
  }

  /**
   * Forgets the claim of a job that has ended.
   *
   * @param id - identifier of the job
   */
  forget(id: string): void {
    this.claims.delete(id);
  }

  /** Claims its jobs also at the entries that have registered since, and releases those that are known there. */
  async extend(): Promise<void> {
    if (this.claims.size === 0) return;
    const jobs = [...this.claims.values()].map(({ job }) => job);
    const answers = await this.askAll(
      jobs,
      this.host.peers(),
      new Set([this.host.entry, ...this.links.keys()]),
    );
    answers.forEach((answer) => {
      if (answer.type === 'answered') answer.result.known.forEach((id) => this.release(id));
    });
  }

  /** Closes all connections that no claim needs: they may have gone silent during a pause. */
  closeUnused(): void {
    if (this.claims.size === 0) this.halt();
  }

  /** Closes all connections. */
  halt(): void {
    clearTimeout(this.idleTimer);
    clearTimeout(this.heartbeatTimer);
    this.heartbeatTimer = undefined;
    this.links.forEach((link) => link.close());
    this.links.clear();
  }

  private startBatch(): Batch {
    const jobs: DoubtfulJob[] = [];
    const begin = new Promise((resolve) => {
      setImmediate(resolve);
    });
    const verdicts = begin.then(() => {
      this.batch = undefined;
      return this.ask(jobs);
    });
    return { jobs, verdicts };
  }

  private async ask(jobs: readonly DoubtfulJob[]): Promise<(id: string) => ClaimVerdict> {
    this.restartIdleTimer();
    this.scheduleHeartbeat();
    const answers = await this.askAll(jobs, this.host.peers(), new Set([this.host.entry]));
    const known = new Set<string>();
    answers.forEach((answer) => {
      if (answer.type === 'answered') answer.result.known.forEach((id) => known.add(id));
    });
    const ages = new Map(jobs.map(({ id, longestAgeMs }) => [id, longestAgeMs]));
    const isConfirmed = (id: string) =>
      answers.every(
        (answer) =>
          answer.type === 'absent' ||
          (answer.type === 'answered' && answer.result.memoryMs >= (ages.get(id) ?? 0)),
      );
    return (id) => {
      if (known.has(id)) return 'known';
      return isConfirmed(id) ? 'free' : 'unconfirmed';
    };
  }

  /** Asks entries, then those of which they know and this entry does not. */
  private async askAll(
    jobs: readonly DoubtfulJob[],
    peers: readonly RegisteredProcess[],
    asked: Set<string>,
  ): Promise<ClaimAnswer[]> {
    const newPeers = peers.filter(({ name }) => !asked.has(name));
    if (newPeers.length === 0) return [];
    newPeers.forEach(({ name }) => asked.add(name));
    const params = {
      entry: this.host.entry,
      jobs: jobs.map(({ id, remainingMs }): [string, number] => [id, Math.max(0, remainingMs)]),
      storeRevision: this.host.storeRevision(),
    };
    const answers = await Promise.all(newPeers.map((peer) => this.linkTo(peer).claim(params)));
    const entries = answers.flatMap((answer) =>
      answer.type === 'answered' ? (answer.result.entries ?? []) : [],
    );
    return [...answers, ...(await this.askAll(jobs, entries, asked))];
  }

  private linkTo(peer: RegisteredProcess): ClaimLink {
    const known = this.links.get(peer.name);
    if (known?.peer.address === peer.address) return known;
    known?.close();
    const { dial, log } = this.host;
    const link = ClaimLink.create(peer, { dial, onLost: () => this.handleLoss(peer.name), log });
    this.links.set(peer.name, link);
    return link;
  }

  /** Another entry may have forgotten the claims with its connection: their jobs end here. */
  private handleLoss(peer: string): void {
    if (this.claims.size === 0) return;
    this.host.log.warn({ peer, jobs: this.claims.size }, 'claims_lost');
    [...this.claims.keys()].forEach((id) => this.release(id));
  }

  private scheduleHeartbeat(): void {
    this.heartbeatTimer ??= setTimeout(() => {
      this.heartbeatTimer = undefined;
      if (this.claims.size === 0) return;
      const { entry, storeRevision } = this.host;
      const params = { entry, jobs: [], storeRevision: storeRevision() };
      this.links.forEach((link) => link.beat(params));
      this.scheduleHeartbeat();
    }, CLAIM_HEARTBEAT_MS);
  }

  private restartIdleTimer(): void {
    clearTimeout(this.idleTimer);
    this.idleTimer = setTimeout(() => {
      this.closeUnused();
      if (this.claims.size > 0) this.restartIdleTimer();
    }, CLAIM_IDLE_MS);
  }
}
