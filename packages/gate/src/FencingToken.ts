/**
 * Computes a fencing token from the start time of a worker incarnation and a reading of its clock. The
 * token is higher than those used for earlier incarnations and by earlier processes of the agent.
 */
const fencingTokenAt = (born: number, clock: number): number => Math.floor(born + clock);

/** Fencing token of the commands to one incarnation of a worker; it rises after each start without an answer. */
export class FencingToken {
  private highestSent: number;

  private constructor(
    private readonly born: number,
    private token: number,
  ) {
    this.highestSent = token;
  }

  /**
   * @param born - start time of the incarnation, in milliseconds since the Unix epoch
   * @param clock - a reading of the worker's clock, in milliseconds
   * @param highestEarlier - highest token that an earlier incarnation may have received
   * @returns a token above all earlier ones
   */
  static create(born: number, clock: number, highestEarlier: number): FencingToken {
    return new FencingToken(born, Math.max(fencingTokenAt(born, clock), highestEarlier + 1));
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
   * @param clock - the present time on the worker's clock, in milliseconds
   */
  raise(clock: number): void {
    this.token = Math.max(this.token + 1, fencingTokenAt(this.born, clock));
    this.highestSent = Math.max(this.highestSent, this.token);
  }

  /**
   * @param born - start time of the next incarnation, in milliseconds since the Unix epoch
   * @param clock - a reading of its clock, in milliseconds
   * @returns the token for the first command to it, above that of any command before
   */
  forNextIncarnation(born: number, clock: number): number {
    this.highestSent = Math.max(this.highestSent + 1, fencingTokenAt(born, clock));
    return this.highestSent;
  }
}
