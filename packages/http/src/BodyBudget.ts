import { PAGE_BYTES, PagePool } from './PagePool';

/** Owner of reserved bytes, such as a body that is being read. */
export type BodyHolder = {
  /** Called when the budget evicts this holder; its bytes are released already. */
  evict: () => void;
};

/** Bytes of one holder, and the position of its last progress in the order of all progress. */
type Holding = { bytes: number; progress: number };

/** Bounds the bytes that a process holds for incomplete bodies, over all connections. */
export class BodyBudget {
  /** Memory of the bodies. */
  readonly pages = PagePool.create();

  private readonly holdings = new Map<BodyHolder, Holding>();

  private held = 0;

  private progress = 0;

  private constructor(readonly limitBytes: number) {}

  /**
   * @param limitBytes - bound on the bytes of all holders
   * @returns a budget of which nothing is spent
   */
  static create(limitBytes: number): BodyBudget {
    return new BodyBudget(limitBytes);
  }

  /** Bytes of all holders. */
  get heldBytes(): number {
    return this.held;
  }

  /** Number of holders. */
  get holders(): number {
    return this.holdings.size;
  }

  /**
   * Reserves bytes before they are allocated. While they do not fit, the holder with the most bytes is
   * evicted; among equals, the one without progress for the longest time. The caller counts with the bytes
   * that it asks for.
   *
   * @param holder - who needs the bytes
   * @param bytes - number of bytes, in addition to those that it has
   * @returns false when the caller itself is evicted; its bytes are released then
   */
  reserve(holder: BodyHolder, bytes: number): boolean {
    const fits = this.makeRoom(holder, bytes);
    if (fits) this.pages.trim(this.limitBytes - this.held);
    return fits;
  }

  /**
   * Reserves pages like {@link reserve} and takes them.
   *
   * @param holder - who needs the pages
   * @param count - number of pages, in addition to those that it has
   * @returns the pages, or `undefined` when the caller itself is evicted
   */
  reservePages(holder: BodyHolder, count: number): Buffer[] | undefined {
    if (!this.makeRoom(holder, count * PAGE_BYTES)) return undefined;
    const pages = Array.from({ length: count }, () => this.pages.take());
    this.pages.trim(this.limitBytes - this.held);
    return pages;
  }

  /**
   * Records progress of a holder whose new bytes fit into memory that it has already.
   *
   * @param holder - the holder
   */
  touch(holder: BodyHolder): void {
    const holding = this.holdings.get(holder);
    if (!holding) return;
    this.progress += 1;
    holding.progress = this.progress;
  }

  /**
   * Gives back a part of the bytes of a holder.
   *
   * @param holder - the holder
   * @param bytes - number of bytes that it no longer holds
   */
  giveBack(holder: BodyHolder, bytes: number): void {
    const holding = this.holdings.get(holder);
    if (!holding) return;
    holding.bytes -= bytes;
    this.held -= bytes;
  }

  /**
   * Gives back all bytes of a holder. Does nothing when it has none.
   *
   * @param holder - the holder
   */
  release(holder: BodyHolder): void {
    const holding = this.holdings.get(holder);
    if (!holding) return;
    this.holdings.delete(holder);
    this.held -= holding.bytes;
  }

  private makeRoom(holder: BodyHolder, bytes: number): boolean {
    const holding = this.holdings.get(holder) ?? { bytes: 0, progress: 0 };
    this.progress += 1;
    holding.progress = this.progress;
    while (this.held + bytes > this.limitBytes) {
      const largest = this.findLargest(holder, holding.bytes + bytes);
      this.release(largest);
      if (largest === holder) return false;
      largest.evict();
    }
    holding.bytes += bytes;
    this.held += bytes;
    this.holdings.set(holder, holding);
    return true;
  }

  private findLargest(caller: BodyHolder, callerBytes: number): BodyHolder {
    let largest = caller;
    let most = { bytes: callerBytes, progress: Infinity };
    this.holdings.forEach((holding, holder) => {
      if (holder === caller || holding.bytes < most.bytes) return;
      if (holding.bytes === most.bytes && holding.progress > most.progress) return;
      largest = holder;
      most = holding;
    });
    return largest;
  }
}
