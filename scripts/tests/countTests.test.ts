import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const SCRIPT = join(__dirname, '../countTests.mjs');

type TestStatus = 'passed' | 'failed' | 'pending';

describe('countTests', () => {
  let folder = '';

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'marjorammast-count-'));
  });

  afterEach(() => rmSync(folder, { recursive: true }));

  const createFileResult = (file: string, tests: Record<string, TestStatus>, status?: string) => ({
    name: join(folder, file),
    status: status ?? (Object.values(tests).includes('failed') ? 'failed' : 'passed'),
    assertionResults: Object.entries(tests).map(([fullName, testStatus]) => ({
      fullName,
      status: testStatus,
    })),
  });

  const count = (
    testResults: ReturnType<typeof createFileResult>[],
    list: string | undefined,
    exitStatus = testResults.some(({ status }) => status === 'failed') ? 1 : 0,
    numRuntimeErrorTestSuites = 0,
  ) => {
    const report = join(folder, 'report.json');
    writeFileSync(report, JSON.stringify({ testResults, numRuntimeErrorTestSuites }));
    if (list !== undefined) writeFileSync(join(folder, 'list.txt'), list);
    const args = [SCRIPT, report, 'list.txt', String(exitStatus)];
    const { stdout, stderr } = spawnSync(process.execPath, args, { cwd: folder, encoding: 'utf8' });
    return { counts: stdout.trim(), details: stderr };
  };

  const results = () => [
    createFileResult('a.test.ts', { 'one works': 'passed', 'two works': 'failed' }),
    createFileResult('b.test.ts', { 'one works': 'passed', 'two works': 'passed' }),
  ];

  it.each([undefined, '', 'npm run soak: a seed that fails\n'])(
    'counts every test when the list names none: %p',
    (list) => {
      expect(count(results(), list)).toEqual({ counts: '3 1', details: '' });
    },
  );

  it('prints a failed test that is listed and counts it neither as passed nor as failed', () => {
    const { counts, details } = count(results(), 'jest: a.test.ts :: two works\nseen once\n');
    expect(counts).toBe('3 0');
    expect(details).toBe('Known red: a.test.ts :: two works\n');
  });

  it('counts the failure of another test although one is listed', () => {
    const list = 'jest: a.test.ts :: two works\n';
    const others = [...results(), createFileResult('c.test.ts', { 'two works': 'failed' })];
    expect(count(others, list).counts).toBe('3 1');
  });

  it('counts a listed test that passes', () => {
    const { counts, details } = count(
      results().slice(1),
      'jest: b.test.ts :: two works\njest: b.test.ts :: one works',
    );
    expect(counts).toBe('2 0');
    expect(details).toContain('Listed as known red, but passed: b.test.ts :: two works\n');
  });

  it.each([
    'jest: a.test.ts :: two',
    'jest: other.test.ts :: two works',
    'jest: two works',
    'jest: c.test.ts :: skipped',
    'jest: c.test.ts :: repeated',
  ])('counts a failure for a line that does not name exactly one test that ran: %s', (line) => {
    const repeated = createFileResult('c.test.ts', { repeated: 'passed', skipped: 'pending' });
    const others = [...results().slice(1), repeated, repeated];
    const { counts, details } = count(others, line);
    expect(counts).toBe('4 1');
    expect(details).toContain(line);
  });

  it('counts a file that fails without a failed test, also beside a listed test', () => {
    const list = 'jest: a.test.ts :: two works\n';
    const broken = createFileResult('c.test.ts', {}, 'failed');
    expect(count([...results(), broken], list).counts).toBe('3 1');
    expect(count(results(), list, 1, 1).counts).toBe('3 1');
  });

  it('counts a failure when no test has passed, or when Jest fails without a failed test', () => {
    expect(count([], undefined).counts).toBe('0 1');
    expect(count(results().slice(1), undefined, 1).counts).toBe('2 1');
  });

  it('prints no counts for a report that it cannot read', () => {
    const args = [SCRIPT, join(folder, 'none.json'), 'list.txt', '1'];
    const { stdout, status } = spawnSync(process.execPath, args, { encoding: 'utf8' });
    expect(stdout).toBe('');
    expect(status).not.toBe(0);
  });
});
