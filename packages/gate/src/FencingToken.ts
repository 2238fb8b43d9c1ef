import type { WorkerReport } from './WorkerClient';

/** Number of tokens of one generation, that is, of one process of the agent. */
const TOKENS_PER_GENERATION = 100_000_000;

/** Tokens that are computed from clocks are below this one, those of generations above it. */
const HIGHEST_CLOCK_TOKEN = 10_000_000_000_000;

/**
 * Computes the lowest token that a process may use. Without the store it follows from the start time of the worker
 * incarnation and its clock: it rises with each process of the agent within one incarnation, but may be lower than a
 * token of an earlier incarnation, since clocks begin at any reading.
 *
 * @param worker - start time of the incarnation, in milliseconds since the Unix epoch, and a reading of its clock, in
 * milliseconds
 * @param generation - generation of the agent's process; 0 while it is not known
 * @returns the token
 */
export const lowestToken = (
  { born, clock }: Pick<WorkerReport, 'born' | 'clock'>,
  generation: number,
): number =>
  generation > 0
    ? HIGHEST_CLOCK_TOKEN + generation * TOKENS_PER_GENERATION
    : Math.floor(born + clock);

/**
 * Fencing token of the commands to one incarnation of a worker. The generation orders the processes of the agent;
 * within one process, the token rises with each incarnation and after each start without an answer.
 */
export class FencingToken {
  private highestSent: number;

  private constructor(private token: number) {
    this.highestSent = token;
  }

  /**
   * @param lowest - lowest token that this process may use
   * @param highestEarlier - highest token that an earlier incarnation may have received from this process
   * @returns a token above all earlier ones that this process can know of
   */
  static create(lowest: number, highestEarlier: number): FencingToken {
    return new FencingToken(Math.max(lowest, highestEarlier + 1));
  }

  /** The token of the next command. */
  get current(): number {
    return this.token;
  }

  /** Highest token sent to this incarnation of the worker or to the next one. */
  get highest(): number {
    return this.highestSent;
  }

  /**
   * Raises the token, so that the worker refuses the commands sent before.
   *
   * @param lowest - lowest token that this process may use
   */
  raise(lowest: number): void {
    this.token = Math.max(this.token + 1, lowest);
    this.highestSent = Math.max(this.highestSent, this.token);
  }

  /**
   * @param lowest - lowest token that this process may use with the next incarnation
   * @returns the token for the first command to it, above that of any command before
   */
  forNextIncarnation(lowest: number): number {
    this.highestSent = Math.max(this.highestSent + 1, lowest);
    return this.highestSent;
  }
}
