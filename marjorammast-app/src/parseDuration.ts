const UNITS_MS: Record<string, number> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000 };

/**
 * Parses a duration with its unit.
 *
 * @param text - duration such as `500ms`, `30s` or `5m`
 * @returns milliseconds, or `undefined` when the text is not a duration
 */
export const parseDuration = (text: string): number | undefined => {
  const [, amount, unit] = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/.exec(text) ?? [];
  return amount && unit ? Number(amount) * (UNITS_MS[unit] ?? 0) : undefined;
};
