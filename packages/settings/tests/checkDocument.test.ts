import { checkDocument, entrySettingsSchema, formatMistake } from '../src';

const VALID_DOCUMENT = `{
  // An entry in Bangkok.
  "name": "entry-1",
  "dataCenter": "bangkok-north",
  "http": "127.0.0.1:7100",
  "rpc": "127.0.0.1:7101",
  "store": "http://127.0.0.1:2379", /* the platform's */
}`;

const findMistakes = (text: string): string[] => {
  const result = checkDocument('entry.jsonc', text, entrySettingsSchema);
  return result.type === 'valid' ? [] : result.mistakes.map(formatMistake);
};

describe('checkDocument', () => {
  it('accepts comments and a trailing comma and applies defaults', () => {
    const result = checkDocument('entry.jsonc', VALID_DOCUMENT, entrySettingsSchema);
    expect(result).toMatchObject({ type: 'valid', value: { stopTimeoutMs: 30_000 } });
  });

  it('reports all mistakes at once, each with its line and key', () => {
    const text = VALID_DOCUMENT.replace('"127.0.0.1:7100"', '7100')
      .replace('"entry-1"', '""')
      .replace('"rpc"', '"rcp"');
    const mistakes = findMistakes(text);
    expect(mistakes).toHaveLength(4);
    expect(mistakes.some((line) => line.startsWith('entry.jsonc:3:3: name:'))).toBe(true);
    expect(mistakes.some((line) => line.startsWith('entry.jsonc:5:3: http:'))).toBe(true);
    expect(mistakes.some((line) => line.includes('rcp: unknown key "rcp"'))).toBe(true);
    expect(mistakes.some((line) => line.includes('rpc:'))).toBe(true);
  });

  it('reports the position of a syntax error', () => {
    expect(findMistakes('{\n  "name" "x"\n}')[0]).toMatch(/^entry\.jsonc:2:10: ColonExpected/);
  });
});
