import type { Log } from '@marjorammast/telemetry';

/** Window in which unexpected errors are counted, in milliseconds. */
const WINDOW_MS = 10_000;

/** Number of unexpected errors within one window from which the process ends. */
const MAX_ERRORS_PER_WINDOW = 20;

/** The part of `process` that the guard uses. */
export type GuardedProcess = {
  on: (
    event: 'uncaughtException' | 'unhandledRejection',
    listener: (error: unknown) => void,
  ) => void;
  exit: (code: number) => void;
};

/**
 * Keeps a daemon running after an unexpected error, which concerns one message or one timer, while the
 * process serves many jobs. A process that fails again and again is ended, so that it starts anew.
 *
 * @param log - receives one line for each unexpected error
 * @param guarded - the process
 */
export const guardProcess = (log: Log, guarded: GuardedProcess): void => {
  let errorTimes: number[] = [];
  const handle = (error: unknown): void => {
    const now = performance.now();
    errorTimes = [...errorTimes.filter((at) => now - at < WINDOW_MS), now];
    const detail = error instanceof Error ? error.message : String(error);
    const stack = error instanceof Error ? error.stack : undefined;
    log.error({ detail, stack }, 'unexpected_error');
    if (errorTimes.length < MAX_ERRORS_PER_WINDOW) return;
    log.fatal({ errors: errorTimes.length }, 'too_many_errors');
    guarded.exit(1);
  };
  guarded.on('uncaughtException', handle);
  guarded.on('unhandledRejection', handle);
};

/**
 * Runs a daemon, and ends the process when it cannot start.
 *
 * @param start - starts the daemon
 */
export const runDaemon = (start: () => Promise<void>): void => {
  start().catch((error: unknown) => {
    process.stderr.write(`cannot start: ${String(error)}\n`);
    process.exit(1);
  });
};
