import { checkDocument, entrySettingsSchema, formatMistake } from '../src';

const GOOD = `{
  // An entry in Bangkok.
  "name": "entry-1",
  "dataCenter": "bangkok-north",
  "http": "127.0.0.1:7100",
  "rpc": "127.0.0.1:7101",
  "store": "http://127.0.0.1:2379", /* the platform's */
}`;

const mistakesOf = (text: string): string[] => {
  const reading = checkDocument('entry.jsonc', text, entrySettingsSchema);
  return reading.type === 'valid' ? [] : reading.mistakes.map(formatMistake);
};

describe('checkDocument', () => {
  it('takes comments, a trailing comma, and defaults', () => {
    const reading = checkDocument('entry.jsonc', GOOD, entrySettingsSchema);
    expect(reading).toMatchObject({ type: 'valid', value: { stopTimeoutMs: 30_000 } });
  });

  it('reports every mistake with its line and key at once', () => {
    const text = GOOD.replace('"127.0.0.1:7100"', '7100')
      .replace('"entry-1"', '""')
      .replace('"rpc"', '"rcp"');
    const mistakes = mistakesOf(text);
    expect(mistakes).toHaveLength(4);
    expect(mistakes.some((line) => line.startsWith('entry.jsonc:3:3: name:'))).toBe(true);
    expect(mistakes.some((line) => line.startsWith('entry.jsonc:5:3: http:'))).toBe(true);
    expect(mistakes.some((line) => line.includes('rcp: unknown key "rcp"'))).toBe(true);
    expect(mistakes.some((line) => line.includes('rpc:'))).toBe(true);
  });

  it('names the place of a syntax error', () => {
    expect(mistakesOf('{\n  "name" "x"\n}')[0]).toMatch(/^entry\.jsonc:2:10: ColonExpected/);
  });
});
