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

/** State of one task at its owner. */
export type TaskState =
  | { type: 'waiting' }
  /** A start was sent and not answered. */
  | { type: 'sent'; agent: string; incarnation: string }
  | { type: 'finished'; outcome: Outcome };

/** What an owner can say for the caller of a job; `notOwner` when another entry must be asked. */
export type Reply = { type: 'answer'; answer: Answer } | { type: 'notOwner' };

const taskVerdict = (task: TaskState): Verdict =>
  match(task)
    .returnType<Verdict>()
    .with({ type: 'waiting' }, () => 'notRun')
    .with({ type: 'sent' }, () => 'mayHaveRun')
    .with({ type: 'finished', outcome: { type: 'unknown' } }, () => 'mayHaveRun')
    .with({ type: 'finished' }, () => 'ran')
    .exhaustive();

/** One job at its owner. */
export class Job {
  readonly shard: number;

  private readonly states: TaskState[];

  private doneCount = 0;

  /** First task that ended otherwise than done. */
  private failedIndex: number | undefined;

  answer: Answer | undefined;

  /** Monotonic time at which the job fails, in milliseconds. */
  deadlineAt: number;

  /** Wall-clock time until which the answer is kept. */
  keepUntil = 0;

  /** True when another entry owns the job. */
  isReleased = false;

  /** Starts refused with a true `notRun`, over all tasks. */
  refusals = 0;

  private waiters: ((reply: Reply) => void)[] = [];

  private constructor(
    readonly id: string,
    readonly digest: string,
    readonly notAfter: number,
    count: number,
    /** Absent for a job known only from started-records. */
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
   * @param submission - checked submission
   * @param deadlineLeftMs - time left for the whole job, in milliseconds
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
   * Creates a job that is known only from a started-record.
   *
   * @param record - one of its records
   * @returns a job without content
   */
  static fromRecord(record: StartRecord): Job {
    const leftMs = Math.max(0, record.notAfter - Date.now());
    const deadlineAt = performance.now() + leftMs;
    return new Job(record.job, record.digest, record.notAfter, record.count, undefined, deadlineAt);
  }

  /**
   * Creates a job that an earlier owner hands over, with all tasks waiting.
   *
   * @param state - its state there
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
   * Changes the state of a task; a finished one stays as it is.
   *
   * @param index - the task
   * @param state - its new state
   */
  setTask(index: number, state: TaskState): void {
    if (this.states[index]?.type === 'finished') return;
    this.states[index] = state;
    if (state.type !== 'finished') return;
    if (state.outcome.type === 'done') this.doneCount += 1;
    else this.failedIndex ??= index;
  }

  /** Indexes of the tasks that wait for a slot. */
  get waiting(): number[] {
    return [...this.tasks.keys()].filter((index) => this.tasks[index]?.type === 'waiting');
  }

  /** Team of the job. */
  get team(): string {
    return this.id.slice(0, this.id.indexOf('/'));
  }

  /** Number of finished tasks. */
  get finished(): number {
    return this.tasks.filter((task) => task.type === 'finished').length;
  }

  /** Whether anything of the job may have run. */
  get verdict(): Verdict {
    return joinVerdicts(this.tasks.map(taskVerdict));
  }

  /** Tasks that were sent and not answered. */
  get sent(): { index: number; agent: string; incarnation: string }[] {
    return this.tasks.flatMap((task, index) => (task.type === 'sent' ? [{ index, ...task }] : []));
  }

  /** The complete answer when every task is done, a failure when one failed, else nothing. */
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
   * Waits for the answer.
   *
   * @returns the answer, or `notOwner` when the job went to another entry
   */
  wait(): Promise<Reply> {
    if (this.answer) return Promise.resolve({ type: 'answer', answer: this.answer });
    return new Promise((resolve) => {
      this.waiters.push(resolve);
    });
  }

  /** True while the owner may start tasks of the job. */
  get isOpen(): boolean {
    return !this.answer && !this.isReleased;
  }

  /** Settles the job with an answer. */
  settle(answer: Answer, keepUntil: number): void {
    this.answer = answer;
    this.keepUntil = keepUntil;
    this.notifyWaiters({ type: 'answer', answer });
  }

  /** Tells those who wait. */
  notifyWaiters(reply: Reply): void {
    this.waiters.splice(0).forEach((resolve) => resolve(reply));
  }

  /** State for the next owner. */
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
