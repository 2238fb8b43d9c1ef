import type { Link } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { MAX_RELEASE_MS, RUN_EXPIRY_MS } from './constants';

/** Largest number of claims that are kept. */
const MAX_CLAIMS = 20_000;

/** A job that another entry runs, and that was not submitted to this one yet. */
type ReceivedClaim = {
  entry: string;
  link: Link;
  /** Monotonic time after which no run of it is active, whatever the other entry does, in milliseconds. */
  until: number;
};

/** Jobs that other entries have claimed at this one. */
export class ReceivedClaims {
  private readonly claims = new Map<string, ReceivedClaim>();

  private constructor(private readonly log: Log) {}

  /**
   * @param log - receives a line for each release
   * @returns no claims
   */
  static create(log: Log): ReceivedClaims {
    return new ReceivedClaims(log);
  }

  /** True when no further claim can be kept. */
  get isFull(): boolean {
    if (this.claims.size >= MAX_CLAIMS) this.forgetExpired();
    return this.claims.size >= MAX_CLAIMS;
  }

  /**
   * Records a claim.
   *
   * @param job - identifier of the job
   * @param entry - name of the entry that runs it
   * @param link - connection to that entry
   * @param remainingMs - time until that entry ends it, in milliseconds
   */
  add(job: string, entry: string, link: Link, remainingMs: number): void {
    const now = performance.now();
    this.claims.delete(job);
    this.claims.set(job, { entry, link, until: now + remainingMs + RUN_EXPIRY_MS });
    const [oldest] = this.claims;
    if (oldest && oldest[1].until <= now) this.claims.delete(oldest[0]);
  }

  private forgetExpired(): void {
    const now = performance.now();
    const expired = [...this.claims].filter(([, { until }]) => until <= now);
    expired.forEach(([job]) => this.claims.delete(job));
  }

  /**
   * @param job - identifier of a job
   * @returns monotonic time until which runs of the entry that has claimed it may be active, in milliseconds; 0 if
   * there is no claim
   */
  until(job: string): number {
    const until = this.claims.get(job)?.until ?? 0;
    return until > performance.now() ? until : 0;
  }

  /**
   * Makes the entry that has claimed a job release it. The claim stays if that entry does not answer.
   *
   * @param job - identifier of the job, which was submitted to this entry
   */
  async release(job: string): Promise<void> {
    const claim = this.claims.get(job);
    if (!claim) return;
    const { entry, link, until } = claim;
    try {
      await link.call('releaseJob', { job }, MAX_RELEASE_MS);
      if (this.claims.get(job) === claim) this.claims.delete(job);
      this.log.info({ job, peer: entry }, 'claim_released');
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      const leftMs = Math.round(until - performance.now());
      this.log.warn({ job, peer: entry, leftMs, detail }, 'claim_not_released');
    }
  }
}
