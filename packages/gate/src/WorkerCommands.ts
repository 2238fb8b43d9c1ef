import { taskKey } from '@marjorammast/protocol';
import type { TaskId } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { FencingToken, lowestToken } from './FencingToken';
import type {
  CommandResult,
  HoldCommand,
  HoldResult,
  RunList,
  StartCommand,
  WorkerClient,
  WorkerIdentity,
  WorkerReport,
} from './WorkerClient';

/** Connection to the worker, and what is told of its answers. */
export type WorkerCommandsHost = {
  worker: WorkerClient;
  /** Generation of the agent's process; 0 while it is not known. */
  generation: () => number;
  /**
   * Called when the worker refuses a command, since it has received a higher fencing token. `isOvertaken` tells
   * whether this process has sent none that is as high.
   */
  onSuperseded: (isOvertaken: boolean) => void;
  log: Log;
};

/** A command without the worker for which it is meant and the token, which are those of the session. */
type Unfenced<T> = Omit<T, 'worker' | 'token'>;

/** What a list of the runs is to contain, and how long the worker may wait before it answers. */
export type RunListRequest = Unfenced<HoldCommand>;

/** The commands of an agent to one incarnation of its worker, with their fencing token. */
export class WorkerCommands {
  private constructor(
    private readonly report: WorkerReport,
    private readonly fencing: FencingToken,
    private readonly host: WorkerCommandsHost,
  ) {}

  /**
   * @param report - first report of the incarnation that the agent has received
   * @param highestEarlier - highest token that an earlier incarnation may have received
   * @param host - connection to the worker
   * @returns commands with a token above the earlier ones
   */
  static create(
    report: WorkerReport,
    highestEarlier: number,
    host: WorkerCommandsHost,
  ): WorkerCommands {
    const generation = host.generation();
    const fencing = FencingToken.create(lowestToken(report, generation), highestEarlier);
    const { id, born, clock } = report;
    const { current: token } = fencing;
    const fields = { worker: id, born, clock, generation, token, earlier: highestEarlier };
    host.log.info(fields, 'token_chosen');
    return new WorkerCommands(report, fencing, host);
  }

  private get identity(): WorkerIdentity {
    const { id, born } = this.report;
    return { id, born };
  }

  /** Token of the next command. */
  get token(): number {
    return this.fencing.current;
  }

  /** Highest token sent to this incarnation of the worker or to the next one. */
  get highestToken(): number {
    return this.fencing.highest;
  }

  /** Raises the token, so that the worker refuses the commands sent before. */
  raiseToken(): void {
    this.fencing.raise(lowestToken(this.report, this.host.generation()));
  }

  /**
   * Tells the worker to start a run.
   *
   * @param command - the run and its lease
   * @returns the answer
   */
  async start(command: Unfenced<StartCommand>): Promise<CommandResult> {
    const { token } = this;
    const answer = await this.host.worker.start({ worker: this.identity, token, ...command });
    const { task, run } = command;
    this.recordRefusal('start_refused', answer, token, { task: taskKey(task), run });
    return answer;
  }

  /**
   * Tells the worker to stop a run, or to refuse its start.
   *
   * @param task - task of the run
   * @param run - number of the run
   * @returns the answer
   */
  async stop(task: TaskId, run: number): Promise<CommandResult> {
    const { token } = this;
    const answer = await this.host.worker.stop({ worker: this.identity, token, task, run });
    this.recordRefusal('command_refused', answer, token, {
      call: 'stop',
      task: taskKey(task),
      run,
    });
    return answer;
  }

  /**
   * Asks the worker for its runs, and extends their lease if the command says so.
   *
   * @param command - what to list and how long to wait
   * @returns the answer
   */
  async hold(command: RunListRequest): Promise<HoldResult> {
    const { token } = this;
    const answer = await this.host.worker.hold({ worker: this.identity, token, ...command });
    this.recordRefusal('command_refused', answer, token, { call: 'hold' });
    return answer;
  }

  /**
   * Sends a higher token to the next incarnation at once, so that it refuses commands that were meant
   * for this incarnation and arrive late.
   *
   * @param list - the list with which the next incarnation has answered
   */
  fenceNextIncarnation(list: RunList): void {
    const { born } = list;
    const worker = { ...this.identity, born };
    const token = this.fencing.forNextIncarnation(lowestToken(list, this.host.generation()));
    void this.host.worker.hold({ worker, token, lastEnd: 0, waitMs: 0 }).then((answer) => {
      this.host.log.info({ born, answer: answer.type, token }, 'next_life_fenced');
    });
  }

  private recordRefusal(
    event: 'start_refused' | 'command_refused',
    answer: CommandResult | HoldResult,
    token: number,
    fields: Record<string, unknown>,
  ): void {
    if (answer.type !== 'refused') return;
    const { reason, clock } = answer;
    this.host.log.warn({ ...fields, token, reason, clock }, event);
    // A command that a later one with a higher token has overtaken is refused too.
    if (reason === 'superseded') this.host.onSuperseded(token >= this.fencing.current);
  }
}
