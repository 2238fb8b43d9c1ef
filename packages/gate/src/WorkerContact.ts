import { UNANSWERED_COMMAND_LIMIT } from './constants';

/** Whether the worker answers commands, and since when it has not. */
export class WorkerContact {
  private unansweredCommands = 0;

  private wasRefused = false;

  private lostSince: number | undefined;

  private constructor() {}

  /** @returns the contact with a worker that has left no command unanswered */
  static create(): WorkerContact {
    return new WorkerContact();
  }

  /** True when the last command was answered, or none was sent. */
  get isAnswering(): boolean {
    return this.unansweredCommands === 0;
  }

  /** True when several commands in a row got no answer. */
  get isSilent(): boolean {
    return this.unansweredCommands >= UNANSWERED_COMMAND_LIMIT;
  }

  /**
   * True when the worker is silent and nothing accepts connections at its address. It counts as crashed then,
   * although a living worker may refuse connections too.
   */
  get isGone(): boolean {
    return this.isSilent && this.wasRefused;
  }

  /**
   * Monotonic time of the first command in a row that got no answer, in milliseconds; `undefined` while
   * the worker answers.
   */
  get lostAt(): number | undefined {
    return this.lostSince;
  }

  /** Records an answer to a command. */
  recordAnswer(): void {
    this.unansweredCommands = 0;
    this.wasRefused = false;
    this.lostSince = undefined;
  }

  /**
   * Records a command that got no answer.
   *
   * @param wasRefused - true when the connection to the worker was refused
   */
  recordUnanswered(wasRefused: boolean): void {
    this.unansweredCommands += 1;
    this.wasRefused = wasRefused;
    this.lostSince ??= performance.now();
  }
}
