// Counts the tests of a Jest report for `.ci/run`: the last line is the number of tests that passed and
// the number of failures. A failed test that the list of known red tests names is printed and not counted.
// The list names a test in a line `jest: <test file> :: <full test name>`; other lines are for readers.
import { existsSync, readFileSync } from 'node:fs';
import { relative } from 'node:path';

const LISTED_TEST = /^jest:\s*(\S+) :: (.+?)\s*$/;

const [reportFile, listFile, exitStatus] = process.argv.slice(2);
const { testResults, numRuntimeErrorTestSuites } = JSON.parse(readFileSync(reportFile, 'utf8'));
const list = existsSync(listFile) ? readFileSync(listFile, 'utf8') : '';

const keyOf = (file, name) => `${file} :: ${name}`;

const tests = testResults.flatMap(({ name: file, assertionResults }) =>
  assertionResults.map(({ fullName, status }) => ({
    key: keyOf(relative(process.cwd(), file), fullName),
    status,
  })),
);
const failedTests = tests.filter(({ status }) => status === 'failed');
const passedTests = tests.filter(({ status }) => status === 'passed');

const listedKeys = new Set();
const errors = [];
list
  .split('\n')
  .filter((line) => line.startsWith('jest:'))
  .forEach((line) => {
    const [, file, name] = LISTED_TEST.exec(line) ?? [];
    const key = keyOf(file, name);
    const count = [...failedTests, ...passedTests].filter((test) => test.key === key).length;
    if (count === 1) listedKeys.add(key);
    else errors.push(`names ${count} of the tests that ran instead of one: ${line}`);
  });

const knownRedTests = failedTests.filter(({ key }) => listedKeys.has(key));
const otherFailures = failedTests.length - knownRedTests.length;
// A file that cannot be loaded, or fails after its tests, has no failed test.
const failedFiles = testResults.filter(
  ({ status, assertionResults }) =>
    status === 'failed' && assertionResults.every((test) => test.status !== 'failed'),
);
const fileFailures = Math.max(failedFiles.length, numRuntimeErrorTestSuites);
if (passedTests.length === 0) errors.push('no test has passed');
if (exitStatus !== '0' && failedTests.length + fileFailures === 0) {
  errors.push(`Jest ended with ${exitStatus} without a failed test`);
}

const print = (line) => process.stderr.write(`${line}\n`);

knownRedTests.forEach(({ key }) => print(`Known red: ${key}`));
passedTests
  .filter(({ key }) => listedKeys.has(key))
  .forEach(({ key }) => print(`Listed as known red, but passed: ${key}`));
errors.forEach((error) => print(`FAILED: ${error}`));
const failures = otherFailures + fileFailures + errors.length;
process.stdout.write(`${passedTests.length} ${failures}\n`);
