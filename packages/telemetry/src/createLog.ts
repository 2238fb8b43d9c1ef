import logfmt from 'logfmt';
import pino from 'pino';
import type { Logger } from 'pino';

/** Logger that writes one logfmt (key=value) line per event. */
export type Log = Logger;

const formatLine = (json: string): string => {
  const { time, level, node, msg, ...fields } = JSON.parse(json) as Record<string, unknown>;
  const label = pino.levels.labels[Number(level)];
  const at = new Date(Number(time)).toISOString();
  return `${logfmt.stringify({ time: at, level: label, node, event: msg, ...fields })}\n`;
};

/**
 * Creates the log of one process.
 *
 * @param node - name of the process
 * @param level - minimum level of logged events
 * @param write - writes one formatted line
 * @returns the log
 */
export const createLog = (
  node: string,
  level: string,
  write: (line: string) => void = (line) => void process.stdout.write(line),
): Log => pino({ level, base: { node } }, { write: (json: string) => write(formatLine(json)) });
