/** Number of tokens of one generation, that is, of one process of the agent. */
const TOKENS_PER_GENERATION = 100_000_000;

/** Tokens of generations are above this one, and with it above those that are computed from clocks. */
const HIGHEST_CLOCK_TOKEN = 10_000_000_000_000;

/**
 * @param generation - generation of the agent's process; 0 while it is not known
 * @returns the lowest token of the generation; 0 while it is not known
 */
export const firstTokenOf = (generation: number): number =>
  generation === 0 ? 0 : HIGHEST_CLOCK_TOKEN + generation * TOKENS_PER_GENERATION;

/**
 * Computes a token without the store, from the start time of a worker incarnation and a reading of its clock. It
 * rises with each process of the agent within one incarnation. Clocks begin at any reading, so that it may be lower
 * than one of an earlier incarnation.
 */
const clockTokenAt = (born: number, clock: number): number => Math.floor(born + clock);

/**
 * Fencing token of the commands to one incarnation of a worker: the order of the agent's processes, and within one
 * process of what it knows. It rises after each start without an answer.
 */
export class FencingToken {
  private highestSent: number;

  private constructor(private token: number) {
    this.highestSent = token;
  }

  /**
   * @param born - start time of the incarnation, in milliseconds since the Unix epoch
   * @param clock - a reading of the worker's clock, in milliseconds
   * @param generation - generation of the agent's process; 0 while it is not known
   * @param highestEarlier - highest token that an earlier incarnation may have received from this process
   * @returns a token above all earlier ones that this process can know of
   */
  static create(
    born: number,
    clock: number,
    generation: number,
    highestEarlier: number,
  ): FencingToken {
    const lowest = Math.max(clockTokenAt(born, clock), firstTokenOf(generation));
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
   * @param lowest - lowest token to continue with
   */
  raise(lowest = 0): void {
    this.token = Math.max(this.token + 1, lowest);
    this.highestSent = Math.max(this.highestSent, this.token);
  }

  /**
   * @param born - start time of the next incarnation, in milliseconds since the Unix epoch
   * @param clock - a reading of its clock, in milliseconds
   * @returns the token for the first command to it, above that of any command before
   */
  forNextIncarnation(born: number, clock: number): number {
    this.highestSent = Math.max(this.highestSent + 1, clockTokenAt(born, clock));
    return this.highestSent;
  }
}
