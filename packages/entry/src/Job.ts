import { match } from 'ts-pattern';
import { failure, jobId, joinVerdicts, shardOf, submissionDigest } from '@marjorammast/protocol';
import type {
  Answer,
  Failure,
  JobState,
  Outcome,
  StartRecord,
  Submission,
  Verdict,
} from '@marjorammast/protocol';

/** State of one task at the entry that owns its job. */
export type TaskState =
  | { type: 'waiting' }
  /** A start was sent to an agent, and its answer has not arrived. */
  | { type: 'sent'; agent: string; incarnation: string }
  | { type: 'finished'; outcome: Outcome };

/**
 * Reply of an entry to a submission: the job's answer, or `notOwner` when another entry owns the
 * job.
 */
export type Reply = { type: 'answer'; answer: Answer } | { type: 'notOwner' };

const taskVerdict = (task: TaskState): Verdict =>
  match(task)
    .returnType<Verdict>()
    .with({ type: 'waiting' }, () => 'notRun')
    .with({ type: 'sent' }, () => 'mayHaveRun')
    .with({ type: 'finished', outcome: { type: 'unknown' } }, () => 'mayHaveRun')
    .with({ type: 'finished' }, () => 'ran')
    .exhaustive();

/** One job at the entry that owns it. */
export class Job {
  readonly shard: number;

  private readonly states: TaskState[];

  private doneCount = 0;

  /** Index of the first task that ended without a result. */
  private failedIndex: number | undefined;

  answer: Answer | undefined;

  /** Monotonic time at which the job fails if it is still unanswered, in milliseconds. */
  deadlineAt: number;

  /** Wall-clock time until which the answer is retained, in milliseconds. */
  keepUntil = 0;

  /** True once another entry owns the job. */
  isReleased = false;

  /** Number of times that a task of the job returned to the queue after a start. */
  requeues = 0;

  /** Number of unknown outcomes, by task. */
  private readonly unknownOutcomes = new Map<number, number>();

  private waiters: ((reply: Reply) => void)[] = [];

  private constructor(
    readonly id: string,
    /** Digest of the submission, to detect a key that is reused with different content. */
    readonly digest: string,
    /** Wall-clock time after which no task may start any more, in milliseconds. */
    readonly notAfter: number,
    count: number,
    /** Absent for a job that is known only from start records. */
    public submission: Submission | undefined,
    deadlineAt: number,
  ) {
    this.shard = shardOf(id);
    this.states = Array.from({ length: count }, () => ({ type: 'waiting' }));
    this.deadlineAt = deadlineAt;
  }

  /**
   * Creates a job from a submission.
   *
   * @param submission - validated submission
   * @param deadlineLeftMs - time left until the deadline of the job, in milliseconds
   * @returns a job with all tasks waiting
   */
  static create(submission: Submission, deadlineLeftMs: number): Job {
    return new Job(
      jobId(submission.team, submission.key),
      submissionDigest(submission),
      submission.notAfter,
      submission.tasks.length,
      submission,
      performance.now() + deadlineLeftMs,
    );
  }

  /**
   * Creates a job that is known only from a start record. Its submission is missing, so it cannot
   * start tasks until the client submits it again.
   *
   * @param record - start record of one of its tasks
   * @returns a job without a submission
   */
  static fromRecord(record: StartRecord): Job {
    const leftMs = Math.max(0, record.notAfter - Date.now());
    const deadlineAt = performance.now() + leftMs;
    return new Job(record.job, record.digest, record.notAfter, record.count, undefined, deadlineAt);
  }

  /**
   * Creates a job that its previous owner hands over. All tasks are waiting; the states of the
   * tasks are not copied.
   *
   * @param state - state of the job at the previous owner
   * @returns a job with all tasks waiting
   */
  static fromState({ id, digest, notAfter, submission, deadlineLeftMs, tasks }: JobState): Job {
    const deadlineAt = performance.now() + deadlineLeftMs;
    return new Job(id, digest, notAfter, tasks.length, submission, deadlineAt);
  }

  /** State of each task, in order. */
  get tasks(): readonly TaskState[] {
    return this.states;
  }

  /**
   * Changes the state of a task. A finished task is not changed.
   *
   * @param index - index of the task
   * @param state - its new state
   */
  setTask(index: number, state: TaskState): void {
    if (this.states[index]?.type === 'finished') return;
    this.states[index] = state;
    if (state.type !== 'finished') return;
    if (state.outcome.type === 'done') this.doneCount += 1;
    else this.failedIndex ??= index;
  }

  /**
   * Counts an unknown outcome of a task.
   *
   * @param index - index of the task
   * @returns number of unknown outcomes of the task, with this one
   */
  countUnknownOutcome(index: number): number {
    const count = (this.unknownOutcomes.get(index) ?? 0) + 1;
    this.unknownOutcomes.set(index, count);
    return count;
  }

  /** Indexes of the tasks that have not been sent to an agent. */
  get waiting(): number[] {
    return [...this.tasks.keys()].filter((index) => this.tasks[index]?.type === 'waiting');
  }

  /** Team that submitted the job. */
  get team(): string {
    return this.id.slice(0, this.id.indexOf('/'));
  }

  /** Number of finished tasks. */
  get finished(): number {
    return this.tasks.filter((task) => task.type === 'finished').length;
  }

  /** Whether any task of the job has run or may have run. */
  get verdict(): Verdict {
    return joinVerdicts(this.tasks.map(taskVerdict));
  }

  /** Tasks whose start was sent to an agent and has not been answered. */
  get sent(): { index: number; agent: string; incarnation: string }[] {
    return this.tasks.flatMap((task, index) => (task.type === 'sent' ? [{ index, ...task }] : []));
  }

  /**
   * Derives the answer from the states of the tasks.
   *
   * @returns a failure as soon as one task has failed, the results when every task is done, and
   *   `undefined` before that
   */
  conclusion(): Answer | undefined {
    if (this.failedIndex !== undefined) {
      return { type: 'failed', failure: this.taskFailure(this.failedIndex) };
    }
    if (this.doneCount < this.tasks.length) return undefined;
    const results = this.tasks.flatMap((task) =>
      task.type === 'finished' && task.outcome.type === 'done' ? [task.outcome.result] : [],
    );
    return { type: 'complete', results };
  }

  /**
   * Waits until the job is answered or handed to another entry.
   *
   * @returns the answer, or `notOwner` when another entry owns the job now
   */
  wait(): Promise<Reply> {
    if (this.answer) return Promise.resolve({ type: 'answer', answer: this.answer });
    return new Promise((resolve) => {
      this.waiters.push(resolve);
    });
  }

  /** True while this entry may start tasks of the job. */
  get isOpen(): boolean {
    return !this.answer && !this.isReleased;
  }

  /**
   * Stores the answer and resolves all waiting calls.
   *
   * @param answer - the answer
   * @param keepUntil - wall-clock time until which the answer is retained, in milliseconds
   */
  settle(answer: Answer, keepUntil: number): void {
    this.answer = answer;
    this.keepUntil = keepUntil;
    this.notifyWaiters({ type: 'answer', answer });
  }

  /** Resolves all calls that wait for the answer. */
  notifyWaiters(reply: Reply): void {
    this.waiters.splice(0).forEach((resolve) => resolve(reply));
  }

  /** State of the job for the next owner. */
  exportState(): JobState {
    return {
      id: this.id,
      digest: this.digest,
      notAfter: this.notAfter,
      submission: this.submission,
      deadlineLeftMs: Math.max(0, this.deadlineAt - performance.now()),
      tasks: this.tasks.map((task, index) => ({
        index,
        agent: task.type === 'sent' ? task.agent : undefined,
        incarnation: task.type === 'sent' ? task.incarnation : undefined,
        outcome: task.type === 'finished' ? task.outcome : undefined,
      })),
      answer: this.answer,
    };
  }

  private taskFailure(index: number): Failure {
    const task = this.tasks[index];
    const outcome = task?.type === 'finished' ? task.outcome : undefined;
    return match(outcome)
      .with({ type: 'error' }, ({ detail }) =>
        failure('taskFailed', this.verdict, `task ${index}: ${detail}`, { task: index }),
      )
      .with({ type: 'unknown' }, ({ detail }) =>
        failure('agentLost', this.verdict, `task ${index}: ${detail}`, { task: index }),
      )
      .otherwise(() => failure('internal', this.verdict, `task ${index}`, { task: index }));
  }
}
