import { createLog } from '../src/createLog';

/** Longest line of an event with one odd field, in characters. */
const MAX_LINE_LENGTH = 3_000;

const format = (fields: object): string[] => {
  const lines: string[] = [];
  createLog('test', 'info', (line) => lines.push(line)).info(fields, 'event_name');
  return lines;
};

describe('createLog', () => {
  it('writes one line for a value with line breaks', () => {
    const [line] = format({ key: 'a\r\nevent=forged\u2028b', other: 7 });
    expect(line?.split(/\r|\n|\u2028/)).toHaveLength(2);
    expect(line).toContain('other=7');
  });

  it('cuts a value that is too long', () => {
    const [line] = format({ detail: 'x'.repeat(1_000_000), other: 7 });
    expect(line?.length).toBeLessThan(MAX_LINE_LENGTH);
    expect(line).toContain('other=7');
  });

  it('writes a value that is nested too deeply to be printed', () => {
    const row: unknown = JSON.parse('['.repeat(100_000) + ']'.repeat(100_000));
    expect(format({ row, other: 7 })).toEqual([expect.stringContaining('event=event_name')]);
  });
});
