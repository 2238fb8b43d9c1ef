/** Size of a page, in bytes. */
export const PAGE_BYTES = 8_192;

/**
 * Reuses pages of equal size. A buffer that is dropped keeps its memory until the next garbage collection, so
 * many short-lived bodies would take more memory than they hold at any time.
 */
export class PagePool {
  private readonly free: Buffer[] = [];

  private constructor() {}

  /** @returns a pool without pages */
  static create(): PagePool {
    return new PagePool();
  }

  /** Memory of the pages that nobody uses, in bytes. */
  get freeBytes(): number {
    return this.free.length * PAGE_BYTES;
  }

  /** @returns a page, whose content is undefined */
  take(): Buffer {
    return this.free.pop() ?? Buffer.allocUnsafeSlow(PAGE_BYTES);
  }

  /**
   * Gives pages back.
   *
   * @param pages - pages that the caller no longer uses
   */
  give(pages: Buffer[]): void {
    this.free.push(...pages);
  }

  /**
   * Drops free pages.
   *
   * @param bytes - memory that the remaining free pages may take, in bytes
   */
  trim(bytes: number): void {
    const pages = Math.max(0, Math.floor(bytes / PAGE_BYTES));
    if (pages < this.free.length) this.free.length = pages;
  }
}
