import pino from 'pino';

/** Maximum size of the write buffer, in bytes; lines beyond it are dropped. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Maximum number of lines per second; lines beyond it are dropped. */
const MAX_LINES_PER_S = 3_000;

/** Length of the window of the rate limit, in milliseconds. */
const RATE_WINDOW_MS = 1_000;

/** Maximum time that a line stays in the write buffer, in milliseconds. */
const FLUSH_PERIOD_MS = 100;

/** Size of the write buffer at which it is flushed, in bytes. */
const BATCH_BYTES = 8_192;

/** Output that never blocks the process. It drops lines beyond its rate and buffer limits. */
export type BoundedOutput = {
  write: (line: string) => void;
  /** Returns the number of lines dropped since the last call. */
  takeDropped: () => number;
  /** Writes the buffered lines synchronously, before the process exits. */
  flush: () => void;
};

/**
 * Creates a bounded output that writes to standard output.
 *
 * @returns the output
 */
export const createBoundedOutput = (): BoundedOutput => {
  const stream = pino.destination({
    dest: 1,
    sync: false,
    minLength: BATCH_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
    periodicFlush: FLUSH_PERIOD_MS,
  });
  let droppedLines = 0;
  let linesInWindow = 0;
  let windowStart = performance.now();
  stream.on('drop', () => {
    droppedLines += 1;
  });
  return {
    write: (line) => {
      const now = performance.now();
      if (now - windowStart >= RATE_WINDOW_MS) {
        windowStart = now;
        linesInWindow = 0;
      }
      linesInWindow += 1;
      if (linesInWindow > MAX_LINES_PER_S) droppedLines += 1;
      else stream.write(line);
    },
    takeDropped: () => {
      const count = droppedLines;
      droppedLines = 0;
      return count;
    },
    flush: () => {
      try {
        stream.flushSync();
      } catch (error) {
        // The stream is not open yet if the process exits right after its start.
        process.stderr.write(`log not flushed: ${String(error)}\n`);
      }
    },
  };
};
