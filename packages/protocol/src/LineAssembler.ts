import { PagedBuffer } from '@marjorammast/http';
import type { BodyBudget } from '@marjorammast/http';

const NEWLINE = 10;

/** Bounds of the line that a connection is receiving. */
export type LineBounds = {
  /** Maximum length of the line, in bytes. */
  maxBytes: number;
  /** From which its bytes are reserved. */
  budget: BodyBudget;
};

/**
 * Collects the chunks of a connection and emits whole lines. A line that arrives in many small chunks takes
 * about as much time and memory as one that arrives at once.
 */
export class LineAssembler {
  private partial: PagedBuffer | undefined;

  private isClosed = false;

  private constructor(
    private readonly bounds: () => LineBounds,
    private readonly onLines: (lines: Buffer) => void,
    private readonly onOverflow: (reason: 'lineTooLong' | 'noMemory') => void,
  ) {}

  /**
   * @param bounds - bounds of the line that begins
   * @param onLines - receives one or more whole lines, or the last one without its end
   * @param onOverflow - called once when the line is too long or the budget has no room for it
   * @returns an assembler without a partial line
   */
  static create(
    bounds: () => LineBounds,
    onLines: (lines: Buffer) => void,
    onOverflow: (reason: 'lineTooLong' | 'noMemory') => void,
  ): LineAssembler {
    return new LineAssembler(bounds, onLines, onOverflow);
  }

  /**
   * Adds a chunk and emits the lines that it completes.
   *
   * @param chunk - the bytes
   */
  add(chunk: Buffer): void {
    if (this.isClosed) return;
    const end = chunk.lastIndexOf(NEWLINE) + 1;
    if (end > 0) this.emitLines(end === chunk.length ? chunk : chunk.subarray(0, end));
    if (end < chunk.length) this.keep(end === 0 ? chunk : chunk.subarray(end));
  }

  /** Emits the partial line at the end of the connection. */
  end(): void {
    const rest = this.partial?.toBytes();
    this.close();
    if (rest) this.onLines(rest);
  }

  /** Releases the memory. Later chunks are dropped. */
  close(): void {
    this.isClosed = true;
    this.partial?.release();
    this.partial = undefined;
  }

  private emitLines(lines: Buffer): void {
    const start = this.partial?.toBytes();
    this.partial?.release();
    this.partial = undefined;
    this.onLines(start ? Buffer.concat([start, lines]) : lines);
  }

  private keep(chunk: Buffer): void {
    if (this.isClosed) return;
    const { maxBytes, budget } = this.bounds();
    this.partial ??= PagedBuffer.create(budget, () => this.overflow('noMemory'));
    if (this.partial.length + chunk.length > maxBytes) this.overflow('lineTooLong');
    else if (!this.partial.append(chunk)) this.overflow('noMemory');
  }

  private overflow(reason: 'lineTooLong' | 'noMemory'): void {
    this.close();
    this.onOverflow(reason);
  }
}
