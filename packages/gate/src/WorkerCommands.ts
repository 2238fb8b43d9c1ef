import { taskKey } from '@marjorammast/protocol';
import type { TaskId } from '@marjorammast/protocol';
import type { Log } from '@marjorammast/telemetry';
import { FencingToken } from './FencingToken';
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
  /** Called when the worker refuses a command, since it has received a higher fencing token. */
  onSuperseded: () => void;
  log: Log;
};

/** A command without the worker for which it is meant and the token, which are those of the session. */
type Unfenced<T> = Omit<T, 'worker' | 'token'>;

/** What a list of the runs is to contain, and how long the worker may wait before it answers. */
export type RunListRequest = Unfenced<HoldCommand>;

/** The commands of an agent to one incarnation of its worker, with their fencing token. */
export class WorkerCommands {
  private constructor(
    private readonly identity: WorkerIdentity,
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
    { id, born, clock }: WorkerReport,
    highestEarlier: number,
    host: WorkerCommandsHost,
  ): WorkerCommands {
    const fencing = FencingToken.create(born, clock, highestEarlier);
    const { current: token } = fencing;
    host.log.info({ worker: id, born, clock, token, earlier: highestEarlier }, 'token_chosen');
    return new WorkerCommands({ id, born }, fencing, host);
  }

  /** Token of the next command. */
  get token(): number {
    return this.fencing.current;
  }

  /** Highest token sent to this incarnation of the worker or to the next one. */
  get highestToken(): number {
    return this.fencing.highest;
  }

  /**
   * Raises the token, so that the worker refuses the commands sent before.
   *
   * @param clock - the present time on the worker's clock, in milliseconds
   */
  raiseToken(clock: number): void {
    this.fencing.raise(clock);
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
    this.recordRefusal('start_refused', answer, { task: taskKey(task), run, token });
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
    this.recordRefusal('command_refused', answer, {
      call: 'stop',
      task: taskKey(task),
      run,
      token,
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
    this.recordRefusal('command_refused', answer, { call: 'hold', token });
    return answer;
  }

  /**
   * Sends a higher token to the next incarnation at once, so that it refuses commands that were meant
   * for this incarnation and arrive late.
   *
   * @param list - the list with which the next incarnation has answered
   */
  fenceNextIncarnation({ born, clock }: RunList): void {
    const worker = { ...this.identity, born };
    const token = this.fencing.forNextIncarnation(born, clock);
    void this.host.worker.hold({ worker, token, lastEnd: 0, waitMs: 0 }).then((answer) => {
      this.host.log.info({ born, answer: answer.type, token }, 'next_life_fenced');
    });
  }

  private recordRefusal(
    event: 'start_refused' | 'command_refused',
    answer: CommandResult | HoldResult,
    fields: Record<string, unknown>,
  ): void {
    if (answer.type !== 'refused') return;
    const { reason, clock } = answer;
    this.host.log.warn({ ...fields, reason, clock }, event);
    if (reason === 'superseded') this.host.onSuperseded();
  }
}
