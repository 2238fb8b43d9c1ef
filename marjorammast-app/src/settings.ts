import type * as z from 'zod';
import { formatMistake, readDocument } from '@marjorammast/settings';
import type { Log } from '@marjorammast/telemetry';

/** Exit code for an invalid command line, settings file or document. */
export const EXIT_USAGE = 2;

/**
 * Reads the settings file that the command line names. Ends the process if the file is invalid.
 *
 * @param program - name of the program, for the usage message
 * @param schema - schema of the settings
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
 * Splits an address at its last colon.
 *
 * @param address - host and port
 * @returns the host and the port
 */
export const parseAddress = (address: string): { host: string; port: number } => {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};

/**
 * Stops a daemon gracefully and ends the process on SIGTERM and SIGINT.
 *
 * @param log - log of the process
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
  // SIGHUP reloads nothing, because a running daemon cannot change any of its settings.
  process.on('SIGHUP', () => log.info({ signal: 'SIGHUP' }, 'settings_unchanged'));
  process.on('SIGTERM', handle);
  process.on('SIGINT', handle);
};
