/**
 * @param one - distinct values
 * @param other - distinct values
 * @returns true when both have the same values, in any order
 */
export const isSameSet = (one: readonly string[], other: readonly string[]): boolean =>
  one.length === other.length && one.every((value) => other.includes(value));
