import logfmt from 'logfmt';
import pino from 'pino';
import type { Logger } from 'pino';

/** Logger that writes one logfmt (key=value) line per event. */
export type Log = Logger;

/**
 * Maximum length of one value, in characters. A value may come from another system, and one such value
 * must not take the place of the lines that explain the others.
 */
const MAX_VALUE_LENGTH = 2_000;

/** Characters at which programs that read the log would end a line. */
const LINE_BREAKS = /[\r\n\u0085\u2028\u2029]+/g;

/** Keeps a text within its line: logfmt quotes spaces, but no line breaks. */
const fitValue = (value: unknown): unknown =>
  typeof value === 'string' ? value.slice(0, MAX_VALUE_LENGTH).replace(LINE_BREAKS, ' ') : value;

const formatLine = (json: string): string => {
  const { time, level, node, msg, ...fields } = JSON.parse(json) as Record<string, unknown>;
  const label = pino.levels.labels[Number(level)];
  const at = new Date(Number(time)).toISOString();
  const values = { time: at, level: label, node, event: msg, ...fields };
  const fitted = Object.entries(values).map(([key, value]) => [key, fitValue(value)]);
  return `${logfmt.stringify(Object.fromEntries(fitted))}\n`;
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
