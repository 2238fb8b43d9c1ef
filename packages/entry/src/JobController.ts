import { match } from 'ts-pattern';
import {
  CLOCK_SKEW_MS,
  MAX_NOT_AFTER_MS,
  RECORD_RETENTION_MS,
  failure,
  joinVerdicts,
  submissionDigest,
} from '@marjorammast/protocol';
import type {
  Environment,
  Failure,
  JobState,
  StartRecord,
  Submission,
} from '@marjorammast/protocol';
import type { Log, Metrics, Timeline } from '@marjorammast/telemetry';
import { RETRY_AFTER_MS } from './constants';
import { Job } from './Job';
import type { Reply, TaskState } from './Job';

/** State of a shard at this entry. */
export type ShardState =
  | { type: 'notOwned' }
  /** The start records of the shard's tasks are being collected from the agents. */
  | { type: 'recovering'; ready: Promise<void> }
  /** Until the wall-clock time `ambiguousUntil`, a job with an unknown key may already have run. */
  | { type: 'ready'; epoch: number; ambiguousUntil: number };

/** Dependencies of the job controller. */
export type JobControllerHost = {
  environment: () => Environment | undefined;
  shardState: (shard: number) => ShardState;
  /** Adds tasks to the queue. */
  enqueue: (job: Job, indexes: number[]) => void;
  /** Called when a job is answered, to remove its waiting tasks and cancel the running ones. */
  answered: (job: Job) => void;
  queuedTasks: () => number;
  /** False when the cluster map may be outdated, so that another entry may own the shards. */
  isFresh: () => boolean;
  log: Log;
  metrics: Metrics;
  timeline: Timeline;
};

const failedReply = (reason: Failure): Reply => ({
  type: 'answer',
  answer: { type: 'failed', failure: reason },
});

/** Jobs that this entry owns, from admission until the answer is no longer retained. */
export class JobController {
  private readonly jobs = new Map<string, Job>();

  private readonly deadlines = new Map<Job, NodeJS.Timeout>();

  private unanswered = 0;

  private constructor(private readonly host: JobControllerHost) {}

  /**
   * @param host - dependencies
   * @returns a controller without jobs
   */
  static create(host: JobControllerHost): JobController {
    return new JobController(host);
  }

  /** Number of jobs, including answered ones that are still retained. */
  get size(): number {
    return this.jobs.size;
  }

  /** Number of jobs without an answer. */
  get openCount(): number {
    return this.unanswered;
  }

  /** Finds a job by its identifier. */
  find(id: string): Job | undefined {
    return this.jobs.get(id);
  }

  /** Lists the jobs without an answer. */
  listOpen(): Job[] {
    return [...this.jobs.values()].filter((job) => !job.answer);
  }

  /**
   * Runs a job, or waits for the existing job with the same key.
   *
   * @param submission - validated submission
   * @param deadlineLeftMs - time left until the deadline of the job, in milliseconds
   * @param isFirst - true when the key was certainly not sent to any owner before
   * @returns the answer, or `notOwner` when another entry owns the job
   */
  async submit(submission: Submission, deadlineLeftMs: number, isFirst: boolean): Promise<Reply> {
    const draft = Job.create(submission, deadlineLeftMs);
    const state = this.host.shardState(draft.shard);
    if (state.type === 'notOwned') return { type: 'notOwner' };
    if (state.type === 'recovering') {
      await state.ready;
      const leftMs = draft.deadlineAt - performance.now();
      return this.submit(submission, leftMs, isFirst);
    }
    const known = this.jobs.get(draft.id);
    if (known) return this.join(known, submission, deadlineLeftMs);
    const refusal = this.admissionFailure(submission, isFirst ? 0 : state.ambiguousUntil);
    if (refusal) {
      this.host.metrics.count('jobs.refused', 1, { code: refusal.code });
      return failedReply(refusal);
    }
    this.admit(draft);
    this.host.enqueue(draft, draft.waiting);
    return draft.wait();
  }

  /**
   * Cancels a job.
   *
   * @param id - identifier of the job
   * @returns true when this entry has the job
   */
  cancel(id: string): boolean {
    const job = this.jobs.get(id);
    if (job && !job.answer) {
      this.fail(job, failure('cancelled', job.verdict, 'cancelled by the caller'));
    }
    return job !== undefined;
  }

  /** Answers a job with a failure, unless it is already answered. */
  fail(job: Job, reason: Failure): void {
    if (!job.answer) this.answer(job, { type: 'failed', failure: reason });
  }

  /** Answers a job if the states of its tasks allow it. */
  conclude(job: Job): void {
    if (job.answer) return;
    const conclusion = job.conclusion();
    if (conclusion) this.answer(job, conclusion);
  }

  /**
   * Adds a start record that was collected from an agent during a takeover.
   *
   * @param record - the start record
   * @param agent - name of the agent that holds it
   * @param incarnation - process of the agent
   * @returns the job when the task still runs at the agent
   */
  addRecord(record: StartRecord, agent: string, incarnation: string): Job | undefined {
    const job = this.jobs.get(record.job) ?? this.add(Job.fromRecord(record));
    const task = job.tasks[record.index];
    if (!task || task.type === 'finished') return undefined;
    const state: TaskState = record.outcome
      ? { type: 'finished', outcome: record.outcome }
      : { type: 'sent', agent, incarnation };
    job.setTask(record.index, state);
    this.conclude(job);
    return record.outcome || job.answer ? undefined : job;
  }

  /**
   * Adds a job that its previous owner hands over.
   *
   * @param state - state of the job at the previous owner
   * @returns the job when it is not answered
   */
  adopt(state: JobState): Job | undefined {
    const job = this.jobs.get(state.id) ?? this.add(Job.fromState(state));
    if (!job.submission && state.submission) {
      job.submission = state.submission;
      job.deadlineAt = performance.now() + state.deadlineLeftMs;
      this.setDeadline(job);
    }
    state.tasks.forEach(({ index, agent, incarnation = '', outcome }) => {
      if (job.tasks[index]?.type !== 'waiting') return;
      if (outcome) job.setTask(index, { type: 'finished', outcome });
      else if (agent) job.setTask(index, { type: 'sent', agent, incarnation });
    });
    // A `stale` failure only says that the previous owner could not confirm that its cluster map
    // was current. It does not answer the job at this entry.
    const isStale = state.answer?.type === 'failed' && state.answer.failure.code === 'stale';
    if (state.answer && !job.answer && !isStale) this.answer(job, state.answer);
    this.conclude(job);
    return job.answer ? undefined : job;
  }

  /**
   * Removes the jobs of shards that this entry no longer owns.
   *
   * @param shards - the shards
   * @returns the removed jobs, for the handover
   */
  release(shards: readonly number[]): Job[] {
    const lost = new Set(shards);
    const released = [...this.jobs.values()].filter((job) => lost.has(job.shard));
    released.forEach((job) => {
      job.isReleased = true;
      this.jobs.delete(job.id);
      this.clearDeadline(job);
      if (!job.answer) this.unanswered -= 1;
      job.notifyWaiters({ type: 'notOwner' });
    });
    return released;
  }

  /** Deletes answered jobs whose retention time has passed. */
  expire(): void {
    const now = Date.now();
    this.jobs.forEach((job, id) => {
      if (job.answer && job.keepUntil < now) this.jobs.delete(id);
    });
  }

  private join(job: Job, submission: Submission, deadlineLeftMs: number): Promise<Reply> {
    if (job.digest !== submissionDigest(submission)) {
      const detail = `key ${submission.key} was used for another content`;
      return Promise.resolve(failedReply(failure('conflict', 'notRun', detail)));
    }
    if (!job.submission && !job.answer) this.resume(job, submission, deadlineLeftMs);
    return job.wait();
  }

  /**
   * Continues a job whose submission was lost with its previous owner and has now been sent again.
   */
  private resume(job: Job, submission: Submission, deadlineLeftMs: number): void {
    job.submission = submission;
    job.deadlineAt = performance.now() + deadlineLeftMs;
    this.setDeadline(job);
    this.startWaitingTasks(job);
  }

  /**
   * Starts the waiting tasks of a job that came from a previous owner. Fails the job when one of
   * these tasks may have been started at an agent whose start records are missing.
   *
   * @param job - the job
   */
  startWaitingTasks(job: Job): void {
    const state = this.host.shardState(job.shard);
    if (!job.isOpen || !job.submission || state.type !== 'ready') return;
    if (job.waiting.length > 0 && Date.now() < state.ambiguousUntil) {
      const detail = 'an agent that may have started tasks of this job cannot be asked';
      this.fail(job, failure('ownerLost', joinVerdicts([job.verdict, 'mayHaveRun']), detail));
      return;
    }
    this.host.enqueue(job, job.waiting);
  }

  private admissionFailure(submission: Submission, ambiguousUntil: number): Failure | undefined {
    const environment = this.host.environment();
    const now = Date.now();
    if (now > submission.notAfter) {
      return failure('expired', 'mayHaveRun', 'notAfter has passed and the key is unknown');
    }
    if (submission.notAfter > now + MAX_NOT_AFTER_MS + CLOCK_SKEW_MS) {
      const detail = `notAfter may lie at most ${MAX_NOT_AFTER_MS} ms ahead`;
      return failure('invalid', 'notRun', detail);
    }
    if (now < ambiguousUntil) {
      const detail = 'the earlier owner of this key was lost and not every agent can be asked';
      return failure('ownerLost', 'mayHaveRun', detail, { retryAfterMs: RETRY_AFTER_MS });
    }
    if (!environment) {
      const detail = 'no environment has been applied';
      return failure('unavailable', 'notRun', detail, { retryAfterMs: RETRY_AFTER_MS });
    }
    if (!environment.teams[submission.team]) {
      return failure('invalid', 'notRun', `team ${submission.team} is not in the environment`);
    }
    if (!environment.kinds[submission.kind]) {
      return failure('invalid', 'notRun', `kind ${submission.kind} is not in the environment`);
    }
    const { maxJobs, maxQueuedTasks } = environment.policy;
    const isFull =
      this.unanswered >= maxJobs ||
      this.host.queuedTasks() + submission.tasks.length > maxQueuedTasks;
    if (!isFull) return undefined;
    const detail = 'too much work is waiting';
    return failure('overloaded', 'notRun', detail, { retryAfterMs: RETRY_AFTER_MS });
  }

  private admit(job: Job): void {
    this.add(job);
    this.host.metrics.count('jobs.admitted');
    this.host.timeline.record('jobAdmitted', { job: job.id, tasks: job.tasks.length });
  }

  private add(job: Job): Job {
    this.jobs.set(job.id, job);
    this.unanswered += 1;
    this.setDeadline(job);
    return job;
  }

  private setDeadline(job: Job): void {
    this.clearDeadline(job);
    const leftMs = Math.max(0, job.deadlineAt - performance.now());
    this.deadlines.set(
      job,
      setTimeout(() => this.expireDeadline(job), leftMs),
    );
  }

  private clearDeadline(job: Job): void {
    clearTimeout(this.deadlines.get(job));
    this.deadlines.delete(job);
  }

  private expireDeadline(job: Job): void {
    if (job.submission && !this.host.isFresh()) {
      const detail = 'this entry is cut off, and another one may answer the job';
      this.fail(job, failure('stale', joinVerdicts([job.verdict, 'mayHaveRun']), detail));
      return;
    }
    const code = job.submission ? 'deadlineExceeded' : 'ownerLost';
    const detail = job.submission
      ? `${job.finished} of ${job.tasks.length} tasks had ended at the deadline`
      : 'the content of the job was lost with its owner and was not submitted again';
    this.fail(job, failure(code, job.verdict, detail));
  }

  private answer(job: Job, answer: NonNullable<Job['answer']>): void {
    this.unanswered -= 1;
    this.clearDeadline(job);
    const keepUntil = Math.max(job.notAfter, Date.now()) + RECORD_RETENTION_MS - MAX_NOT_AFTER_MS;
    job.settle(answer, keepUntil);
    this.host.answered(job);
    const outcome = match(answer)
      .with({ type: 'complete' }, () => 'complete')
      .with({ type: 'failed' }, ({ failure: { code } }) => code)
      .exhaustive();
    this.host.metrics.count('jobs.answered', 1, { outcome });
    this.host.timeline.record('jobAnswered', { job: job.id, outcome });
    if (answer.type === 'failed') {
      const { verdict, detail } = answer.failure;
      this.host.log.info({ job: job.id, code: outcome, verdict, detail }, 'job_failed');
    }
  }
}
