import type { z } from 'zod';
import { formatMistake, readDocument } from '@marjorammast/settings';
import type { Log } from '@marjorammast/telemetry';

/** Exit code for a command line or settings that cannot be used. */
export const EXIT_USAGE = 2;

/**
 * Reads the settings file named on the command line; with mistakes in it the process ends.
 *
 * @param program - name of the program, for the message
 * @param schema - what the settings must look like
 * @returns the checked settings
 */
export const loadSettings = <T>(program: string, schema: z.ZodType<T>): T => {
  const file = process.argv[2];
  if (!file || file === '--help') {
    process.stderr.write(`usage: ${program} SETTINGS.jsonc\n`);
    process.exit(file ? 0 : EXIT_USAGE);
  }
  const reading = readDocument(file, schema);
  if (reading.type === 'valid') return reading.value;
  reading.mistakes.forEach((mistake) => process.stderr.write(`${formatMistake(mistake)}\n`));
  return process.exit(EXIT_USAGE);
};

/**
 * Splits an address.
 *
 * @param address - host and port
 */
export const parseAddress = (address: string): { host: string; port: number } => {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};

/**
 * Stops gracefully on SIGTERM and SIGINT.
 *
 * @param log - the process's log
 * @param stop - stops the daemon
 */
export const stopOnSignal = (log: Log, stop: () => Promise<void>): void => {
  let isStopping = false;
  const handle = (signal: string): void => {
    if (isStopping) return;
    isStopping = true;
    log.info({ signal }, 'stopping');
    stop().then(
      () => {
        log.info('stopped');
        process.exit(0);
      },
      (error: Error) => {
        log.error({ error: error.message }, 'stop_failed');
        process.exit(1);
      },
    );
  };
  // The settings hold nothing that a running daemon changes.
  process.on('SIGHUP', () => log.info({ signal: 'SIGHUP' }, 'settings_unchanged'));
  process.on('SIGTERM', handle);
  process.on('SIGINT', handle);
};
