import { match } from 'ts-pattern';
import { PauseDetector, sleep } from '@marjorammast/protocol';
import type {
  Handlers,
  Link,
  Params,
  Pause,
  RegisteredProcess,
  Result,
} from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import type { ActiveJob } from './ActiveJob';
import { MAX_RELEASE_MS, MIN_RETRY_AFTER_MS } from './constants';
import type { JobOutcome } from './job';
import { JobClaims } from './JobClaims';
import type { ClaimVerdict } from './JobClaims';
import { ReceivedClaims } from './ReceivedClaims';
import { RecentJobs } from './RecentJobs';

/** Reason of the outcome of a job of which another entry has a copy, or may have one. */
const SUBMITTED_ELSEWHERE = 'submitted elsewhere';

/** Time between two checks whether the runs of a released job have ended, in milliseconds. */
const RELEASE_POLL_PERIOD_MS = 5;

/** What the confirmation of jobs needs from its entry. */
export type JobConfirmationHost = {
  /** Name of the entry. */
  entry: string;
  /** All registered entries. */
  entries: () => readonly RegisteredProcess[];
  /** Revision up to which the store has delivered all changes to this entry. */
  storeRevision: () => number;
  dial: (address: string) => Promise<Link>;
  /** Reads the processor time that this process has used, in milliseconds. */
  readProcessorMs: () => number;
  /** Finds a job that is not answered. */
  findJob: (id: string) => ActiveJob | undefined;
  /** Jobs that this entry runs for its own clients. */
  ownJobs: () => readonly ActiveJob[];
  /** True while a run of any submission of a job may be active. */
  hasRunsOf: (id: string) => boolean;
  schedulePass: () => void;
  /** Tells whether the wall clock was stepped forward by a time in milliseconds, and the VM not suspended. */
  isClockStep: (ms: number) => Promise<boolean>;
  /** Called with the length of each pause of the process, in milliseconds. */
  onPause: (ms: number) => void;
  /** Called for each job that may be an old copy. */
  onClaimed: (verdict: ClaimVerdict) => void;
  log: Log;
};

/** A job that was submitted to this entry. */
export type ConfirmedSubmission = {
  id: string;
  /** Monotonic time at which its connection was accepted, in milliseconds; absent if it has none. */
  connectedAt: number | undefined;
  /** Time until its client's deadline, in milliseconds. */
  remainingMs: number;
};

/** Result of the confirmation of a job: it may run, or its client gets an answer at once. */
export type Confirmation = { type: 'confirmed' } | { type: 'answered'; outcome: JobOutcome };

/**
 * Confirms that this entry may run a job though another one may have a copy of it. Load pattern: an entry wakes after
 * seconds, and reads jobs whose clients have left and have submitted them to other entries since; the ends of
 * their connections follow later.
 */
export class JobConfirmation {
  /** Jobs that are being confirmed; true once they were cancelled. */
  private readonly confirming = new Map<string, boolean>();

  private readonly recentJobs = RecentJobs.create();

  private readonly receivedClaims: ReceivedClaims;

  private readonly claims: JobClaims;

  private readonly pauses: PauseDetector;

  /** Resolves when it is known which pauses were steps of the wall clock. */
  private stepChecks: Promise<unknown> = Promise.resolve();

  private constructor(private readonly host: JobConfirmationHost) {
    const { entry, entries, storeRevision, dial, readProcessorMs, log } = host;
    this.receivedClaims = ReceivedClaims.create(log);
    this.claims = JobClaims.create({
      entry,
      peers: () => entries().filter(({ name }) => name !== entry),
      storeRevision,
      dial,
      end: (id) => host.findJob(id)?.settle({ type: 'unfinished', reason: SUBMITTED_ELSEWHERE }),
      log,
    });
    this.pauses = PauseDetector.create({
      readProcessorMs,
      onPause: (pause) => this.handlePause(pause),
    });
  }

  /**
   * @param host - what the confirmation needs from its entry
   * @returns a confirmation that knows of no job
   */
  static create(host: JobConfirmationHost): JobConfirmation {
    return new JobConfirmation(host);
  }

  /** Handlers of the calls of other entries. */
  get handlers(): Handlers {
    return {
      claimJobs: (params, link) => this.handleClaims(params, link),
      releaseJob: ({ job }) => this.handleRelease(job),
    };
  }

  /** True while jobs are being confirmed. */
  get isBusy(): boolean {
    return this.confirming.size > 0;
  }

  /**
   * @param id - identifier of a job
   * @returns true while the job is being confirmed
   */
  isConfirming(id: string): boolean {
    return this.confirming.has(id);
  }

  /**
   * Remembers that a job was submitted to this entry.
   *
   * @param id - identifier of the job
   */
  recordSubmission(id: string): void {
    this.recentJobs.add(id);
  }

  /** Notices a pause of the process that has just ended. */
  checkPause(): void {
    this.pauses.check();
  }

  /**
   * @param submission - a job that was submitted just now
   * @returns true when another entry may have a copy of it, or may get one while this entry runs it
   */
  isNeeded(submission: ConfirmedSubmission): boolean {
    if (this.receivedClaims.until(submission.id) > 0) return true;
    return this.findLongestAge(submission) !== undefined;
  }

  /**
   * Confirms that no other entry runs a job, nor starts it before this one has ended it.
   *
   * @param submission - the job
   * @returns the answer to its client if this entry may not run it
   */
  async confirm(submission: ConfirmedSubmission): Promise<Confirmation> {
    const { id, remainingMs } = submission;
    this.confirming.set(id, this.confirming.get(id) ?? false);
    await this.receivedClaims.release(id);
    await this.stepChecks;
    const isOld = this.findLongestAge(submission) !== undefined;
    const verdict = isOld ? await this.claim(id, remainingMs, submission.connectedAt) : 'free';
    const isCancelled = this.confirming.get(id);
    this.confirming.delete(id);
    const answer = (outcome: JobOutcome): Confirmation => ({ type: 'answered', outcome });
    if (isCancelled) return answer({ type: 'unfinished', reason: 'cancelled' });
    return match(verdict)
      .with('free', (): Confirmation => ({ type: 'confirmed' }))
      .with('known', () => answer({ type: 'unfinished', reason: SUBMITTED_ELSEWHERE }))
      .with('unconfirmed', (reason) =>
        answer({ type: 'refused', reason, retryAfterMs: MIN_RETRY_AFTER_MS }),
      )
      .exhaustive();
  }

  /**
   * Cancels a job that is being confirmed.
   *
   * @param id - identifier of the job
   * @returns true when it is being confirmed
   */
  cancel(id: string): boolean {
    if (!this.confirming.has(id)) return false;
    this.confirming.set(id, true);
    return true;
  }

  /**
   * @param id - identifier of a job
   * @returns monotonic time until which another entry that has claimed it may run it, in milliseconds; 0 if none does
   */
  claimedUntil(id: string): number {
    return this.receivedClaims.until(id);
  }

  /**
   * @param id - identifier of a job
   * @returns true while this entry has claimed it at the others
   */
  hasClaimed(id: string): boolean {
    return this.claims.has(id);
  }

  /**
   * Forgets the claim of a job that this entry has answered.
   *
   * @param id - identifier of the job
   */
  forget(id: string): void {
    if (!this.host.findJob(id) && !this.confirming.has(id)) this.claims.forget(id);
  }

  /** Claims the jobs that may be old also at the entries that have registered since. */
  updateEntries(): void {
    void this.claims.extend();
  }

  /** Stops, and closes all connections. */
  halt(): void {
    this.pauses.stop();
    this.claims.halt();
  }

  private findLongestAge({ id, connectedAt }: ConfirmedSubmission): number | undefined {
    if (connectedAt === undefined || this.host.findJob(id)) return undefined;
    return this.pauses.findLongestAge(connectedAt);
  }

  /** Claims a job for which an earlier claim may have expired during a suspension. */
  private claimAgain({ id, deadlineAt }: ActiveJob): Promise<ClaimVerdict> {
    this.claims.forget(id);
    return this.claim(id, deadlineAt - performance.now());
  }

  /** Claims a job, and again if the process was paused meanwhile: the answers are as old as that pause. */
  private async claim(
    id: string,
    remainingMs: number,
    connectedAt = -Infinity,
  ): Promise<ClaimVerdict> {
    const ageMs = this.pauses.findLongestAge(connectedAt) ?? 0;
    const pausesBefore = this.pauses.count;
    const verdict = await this.claims.claim({ id, longestAgeMs: ageMs, remainingMs });
    this.pauses.check();
    if (this.pauses.count > pausesBefore) {
      this.claims.forget(id);
      return this.claim(id, remainingMs, connectedAt);
    }
    this.host.onClaimed(verdict);
    this.host.log.info({ job: id, ageMs: Math.round(ageMs), verdict }, 'job_claimed');
    return verdict;
  }

  private handlePause(pause: Pause): void {
    const { endedAt, lengthMs, suspendedMs, mayBeStep } = pause;
    this.host.log.warn({ lengthMs, suspendedMs }, 'paused');
    this.host.onPause(lengthMs);
    this.claims.closeUnused();
    if (suspendedMs === 0) return;
    const stepCheck = mayBeStep ? this.dismissStep(pause) : Promise.resolve(false);
    this.stepChecks = Promise.all([this.stepChecks, stepCheck]);
    this.host
      .ownJobs()
      .filter((job) => !job.forwardedTo && job.deadlineAt - suspendedMs <= endedAt)
      .forEach((job) => void this.holdUntilConfirmed(job, stepCheck));
  }

  /** Forgets a pause that was a step of the wall clock. Returns true if it was one. */
  private async dismissStep(pause: Pause): Promise<boolean> {
    const isStep = await this.host.isClockStep(pause.suspendedMs);
    if (!isStep) return false;
    this.host.log.info({ ms: pause.suspendedMs }, 'clock_step');
    this.pauses.dismiss(pause);
    return true;
  }

  /**
   * Starts no further task of a job until it is certain that no other entry has it: if the VM was suspended, the
   * client's deadline has passed. After a step of the wall clock, which looks the same, the job goes on.
   */
  private async holdUntilConfirmed(job: ActiveJob, stepCheck: Promise<boolean>): Promise<void> {
    job.hold();
    const verdict = (await stepCheck) ? 'free' : await this.claimAgain(job);
    match(verdict)
      .with('known', () => job.settle({ type: 'unfinished', reason: SUBMITTED_ELSEWHERE }))
      .with('unconfirmed', () => undefined)
      .with('free', () => {
        job.unhold();
        this.host.schedulePass();
      })
      .exhaustive();
  }

  private handleClaims(
    { entry, jobs, storeRevision }: Params<'claimJobs'>,
    link: Link,
  ): Result<'claimJobs'> {
    if (this.receivedClaims.isFull) throw new Error('too many claims');
    const isKnown = (id: string) => this.recentJobs.has(id);
    jobs
      .filter(([id]) => !isKnown(id))
      .forEach(([id, remainingMs]) => this.receivedClaims.add(id, entry, link, remainingMs));
    const known = jobs.map(([id]) => id).filter(isKnown);
    const hasNewerList = this.host.storeRevision() > storeRevision;
    const entries = hasNewerList ? [...this.host.entries()] : undefined;
    return { known, memoryMs: this.recentJobs.memoryMs, entries };
  }

  /** Ends a job that was submitted to another entry, and answers when its runs have ended. */
  private async handleRelease(id: string): Promise<Result<'releaseJob'>> {
    this.claims.release(id);
    const startedAt = performance.now();
    while (this.host.findJob(id) || this.host.hasRunsOf(id)) {
      if (performance.now() - startedAt > MAX_RELEASE_MS) throw new Error('runs have not ended');
      await sleep(RELEASE_POLL_PERIOD_MS);
    }
    return {};
  }
}
