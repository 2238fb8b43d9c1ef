import type * as z from 'zod';

/** Maximum length of the reason of a fault, in characters; each odd row of a message adds to it. */
const MAX_REASON_LENGTH = 500;

/** Lists whose rows are independent of each other: an odd row is skipped, and the others count. */
const INDEPENDENT_LISTS: ReadonlySet<string> = new Set(['runs', 'crashes', 'unsettled', 'bound']);

/**
 * @param error - what went wrong
 * @returns a description of bounded length
 */
export const reasonOf = (error: unknown): string =>
  (error instanceof Error ? error.message : String(error)).slice(0, MAX_REASON_LENGTH);

/** Removes the rows with mistakes from the independent lists of a message. */
const withoutOddRows = (message: object, { issues }: z.ZodError): object => {
  const oddRows = new Set(issues.map(({ path }) => path.slice(0, 2).join('.')));
  const lists = Object.entries(message).map(([name, value]: [string, unknown]) => [
    name,
    INDEPENDENT_LISTS.has(name) && Array.isArray(value)
      ? value.filter((_, index) => !oddRows.has(`${name}.${index}`))
      : value,
  ]);
  return Object.fromEntries(lists) as object;
};

/**
 * Parses the parameters or the result of a call that only reports. Without its odd rows the rest is still true.
 *
 * @param schema - schema of the message
 * @param message - the message
 * @param onOddRows - called once with the reason when rows were skipped
 * @returns the parsed message
 * @throws when more than single rows is malformed
 */
export const parseReport = (
  schema: z.ZodType,
  message: unknown,
  onOddRows: (reason: string) => void,
): unknown => {
  const parsed = schema.safeParse(message);
  if (parsed.success) return parsed.data;
  if (typeof message !== 'object' || message === null) throw parsed.error;
  const rest = schema.parse(withoutOddRows(message, parsed.error));
  onOddRows(`rows skipped: ${reasonOf(parsed.error)}`);
  return rest;
};
