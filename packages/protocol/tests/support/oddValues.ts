/** Depth at which code that follows a value by recursion overflows its stack. */
const DEPTH = 100_000;

/** A value that is nested very deeply, as JSON. */
export const DEEP_JSON = '['.repeat(DEPTH) + ']'.repeat(DEPTH);

/** The same value as an object under one key, as JSON. */
export const DEEP_OBJECT_JSON = `${'{"a":'.repeat(DEPTH)}1${'}'.repeat(DEPTH)}`;

/** Values that another writer may leave where a whole number is expected, as JSON, with a name each. */
export const ODD_NUMBERS: readonly (readonly [string, string])[] = [
  ['deep nesting', DEEP_JSON],
  ['a deep object', DEEP_OBJECT_JSON],
  ['1e400', '1e400'],
  ['1e300', '1e300'],
  ['2^53', '9007199254740992'],
  ['a negative number', '-1'],
  ['a fraction', '1.5'],
  ['text', '"1"'],
  ['null', 'null'],
];

/** Ports out of range, and addresses that are none, as JSON, with a name each. */
export const ODD_ADDRESSES: readonly (readonly [string, string])[] = [
  ['port 99999', '"10.0.0.1:99999"'],
  ['port 65536', '"10.0.0.1:65536"'],
  ['port 0', '"10.0.0.1:0"'],
  ['a negative port', '"10.0.0.1:-1"'],
  ['no port', '"10.0.0.1"'],
  ['no host', '":80"'],
  ['a number', '7'],
  ['null', 'null'],
  ['deep nesting', DEEP_JSON],
];
