import pino from 'pino';

/** Most bytes that wait to be written; further lines are dropped. */
const MAX_WAITING_BYTES = 1024 * 1024;

/** Most lines of one second; further ones are dropped. */
const MAX_LINES_PER_S = 3_000;

const WINDOW_MS = 1_000;

/** Lines are written together, at the latest after this time, in milliseconds. */
const FLUSH_PERIOD_MS = 100;

/** Bytes that are written at once. */
const BATCH_BYTES = 8_192;

/** Output that never blocks the process and drops lines beyond its bounds. */
export type BoundedOutput = {
  write: (line: string) => void;
  /** Number of lines dropped since the last call. */
  takeDropped: () => number;
  /** Writes what waits, before the process ends. */
  flush: () => void;
};

/**
 * Creates an output to standard output.
 *
 * @returns the output
 */
export const createBoundedOutput = (): BoundedOutput => {
  const stream = pino.destination({
    dest: 1,
    sync: false,
    minLength: BATCH_BYTES,
    maxLength: MAX_WAITING_BYTES,
    periodicFlush: FLUSH_PERIOD_MS,
  });
  let dropped = 0;
  let lines = 0;
  let windowStart = performance.now();
  stream.on('drop', () => {
    dropped += 1;
  });
  return {
    write: (line) => {
      const now = performance.now();
      if (now - windowStart >= WINDOW_MS) {
        windowStart = now;
        lines = 0;
      }
      lines += 1;
      if (lines > MAX_LINES_PER_S) dropped += 1;
      else stream.write(line);
    },
    takeDropped: () => {
      const count = dropped;
      dropped = 0;
      return count;
    },
    flush: () => {
      try {
        stream.flushSync();
      } catch (error) {
        // The stream is not open yet when a process ends at once.
        process.stderr.write(`log not flushed: ${String(error)}\n`);
      }
    },
  };
};
