import type { BodyBudget, BodyHolder } from './BodyBudget';
import { PAGE_BYTES } from './PagePool';

/**
 * Largest chunk that is kept without a copy although more may follow, in bytes. A larger one that is copied later
 * may have left the young generation, where its memory is freed only by a full garbage collection.
 */
const MAX_KEPT_BYTES = PAGE_BYTES;

/** False for a part of a larger buffer, which would stay in memory as a whole. */
const ownsMemory = (chunk: Buffer): boolean => chunk.length === chunk.buffer.byteLength;

/** Buffer of one body or one line, which grows by pages. Every byte is reserved before memory is allocated for it. */
export class PagedBuffer {
  /** The only chunk so far. It is not copied, since most bodies arrive in one chunk. */
  private onlyChunk: Buffer | undefined;

  private pages: Buffer[] = [];

  private size = 0;

  private constructor(
    private readonly budget: BodyBudget,
    private readonly holder: BodyHolder,
  ) {}

  /**
   * @param budget - from which the bytes are reserved
   * @param onEvicted - called when the budget closes this buffer, which is empty then
   * @returns an empty buffer
   */
  static create(budget: BodyBudget, onEvicted: () => void): PagedBuffer {
    const holder = { evict: () => undefined as void };
    const buffer = new PagedBuffer(budget, holder);
    holder.evict = () => {
      buffer.release();
      onEvicted();
    };
    return buffer;
  }

  /** Number of bytes so far. */
  get length(): number {
    return this.size;
  }

  /**
   * Adds a chunk.
   *
   * @param chunk - the bytes; the caller does not change them later
   * @param isWhole - true if no more bytes are expected, so that a copy would be of no use
   * @returns false when the budget has no room; the buffer is empty then
   */
  append(chunk: Buffer, isWhole = false): boolean {
    const mayKeep = isWhole || (chunk.length <= MAX_KEPT_BYTES && ownsMemory(chunk));
    if (this.size === 0 && mayKeep) return this.keep(chunk);
    if (!this.grow(this.size + chunk.length)) {
      this.release();
      return false;
    }
    this.moveOnlyChunk();
    this.copy(chunk);
    return true;
  }

  /** @returns the bytes as UTF-8 text without a byte order mark */
  toText(): string {
    const text = this.toContiguous().toString('utf8', 0, this.size);
    return text.startsWith('\uFEFF') ? text.slice(1) : text;
  }

  /** @returns the bytes; later changes of the buffer do not affect them */
  toBytes(): Buffer {
    return this.onlyChunk ?? Buffer.concat(this.pages, this.size);
  }

  /** Gives all memory back. */
  release(): void {
    this.budget.release(this.holder);
    this.budget.pages.give(this.pages);
    this.pages = [];
    this.onlyChunk = undefined;
    this.size = 0;
  }

  private keep(chunk: Buffer): boolean {
    if (!this.budget.reserve(this.holder, chunk.length)) return false;
    this.onlyChunk = chunk;
    this.size = chunk.length;
    return true;
  }

  /** Takes pages until the given number of bytes fits. */
  private grow(bytes: number): boolean {
    const missing = Math.ceil(bytes / PAGE_BYTES) - this.pages.length;
    if (missing <= 0) {
      this.budget.touch(this.holder);
      return true;
    }
    const pages = this.budget.reservePages(this.holder, missing);
    if (pages) this.pages.push(...pages);
    return pages !== undefined;
  }

  private moveOnlyChunk(): void {
    if (!this.onlyChunk) return;
    const chunk = this.onlyChunk;
    this.onlyChunk = undefined;
    this.size = 0;
    this.copy(chunk);
    this.budget.giveBack(this.holder, chunk.length);
  }

  private copy(chunk: Buffer): void {
    let copied = 0;
    while (copied < chunk.length) {
      const at = this.size % PAGE_BYTES;
      const count = chunk.copy(this.pages[(this.size - at) / PAGE_BYTES] as Buffer, at, copied);
      copied += count;
      this.size += count;
    }
  }

  private toContiguous(): Buffer {
    const [page] = this.pages;
    return page && this.pages.length === 1 ? page : this.toBytes();
  }
}
