import fc from 'fast-check';
import type { WorkerCrash } from '@marjorammast/protocol';
import { CrashRecords } from '../src/CrashRecords';
import { CRASH_RETENTION_MS } from '../src/constants';

const createCrash = (
  incarnation: string,
  index = 0,
  isSuspect = true,
  wasStarted = true,
): WorkerCrash => ({
  isCertain: true,
  incarnation,
  agent: incarnation,
  runs: [{ job: 'a', index, route: 'claims', isSuspect, wasStarted }],
});

const createRun = (wasStarted = true) => ({ job: 'a', index: 0, route: 'claims', wasStarted });

describe('CrashRecords', () => {
  it('spends the budget of a task with the second crash of which it is suspected', () => {
    const records = CrashRecords.create();
    expect(records.record(createCrash('w1'))).toEqual([]);
    expect(records.isSuspect('a', 0)).toBe(true);
    expect(records.findSpentTask('a')).toBeUndefined();
    expect(records.record(createCrash('w2'))).toEqual([{ job: 'a', index: 0, route: 'claims' }]);
    expect(records.findSpentTask('a')).toBe(0);
    expect(records.record(createCrash('w3'))).toEqual([]);
  });

  it('spends it with the third crash when the task was running for longer each time', () => {
    const records = CrashRecords.create();
    records.record(createCrash('w1', 0, false));
    records.record(createCrash('w2', 0, false));
    expect(records.isSuspect('a', 0)).toBe(false);
    expect(records.findSpentTask('a')).toBeUndefined();
    expect(records.record(createCrash('w3', 0, false))).toHaveLength(1);
  });

  // Guards against giving up a task whose start had reached neither of two workers that crashed.
  it('does not spend it with starts that no worker has confirmed, before there are four', () => {
    const records = CrashRecords.create();
    ['w1', 'w2', 'w3'].forEach((name) => records.record(createCrash(name, 0, true, false)));
    expect(records.isSuspect('a', 0)).toBe(true);
    expect(records.findSpentTask('a')).toBeUndefined();
    expect(records.record(createCrash('w4', 0, true, false))).toHaveLength(1);
  });

  it('counts a crash once, however often it is reported', () => {
    const report = fc.tuple(fc.constantFrom('w1', 'w2', 'w3'), fc.nat({ max: 2 }), fc.boolean());
    fc.assert(
      fc.property(fc.array(report), (reports) => {
        const records = CrashRecords.create();
        const given = reports.flatMap((args) => records.record(createCrash(...args)));
        expect(new Set(given.map(({ index }) => index)).size).toBe(given.length);
        const isSpent = [0, 1, 2].some((task) => {
          const firstReports = reports.filter(
            ([name, index], position) =>
              index === task &&
              reports.findIndex((other) => other[0] === name && other[1] === index) === position,
          );
          const suspicions = firstReports.filter(([, , isSuspect]) => isSuspect);
          return suspicions.length >= 2 || firstReports.length >= 3;
        });
        expect(records.findSpentTask('a') !== undefined).toBe(isSpent);
      }),
      { seed: 1 },
    );
  });

  it('forgets a job when the retention time has passed since its last crash', () => {
    jest.useFakeTimers();
    const records = CrashRecords.create();
    records.record(createCrash('w0', 0, false));
    jest.advanceTimersByTime(CRASH_RETENTION_MS - 1);
    records.record(createCrash('w1'));
    jest.advanceTimersByTime(CRASH_RETENTION_MS - 1);
    records.record({ isCertain: true, incarnation: 'w2', agent: 'w2', runs: [] });
    expect(records.isSuspect('a', 0)).toBe(true);
    jest.advanceTimersByTime(2);
    const [run] = createCrash('w2').runs;
    if (run)
      records.record({
        isCertain: true,
        incarnation: 'w2',
        agent: 'w2',
        runs: [{ ...run, job: 'b' }],
      });
    expect(records.isSuspect('a', 0)).toBe(false);
    expect(records.isSuspect('b', 0)).toBe(true);
    jest.useRealTimers();
  });

  const names = fc.subarray(['a', 'b', 'c', 'd', 'e']);

  it('makes a task wait for lost workers until their crash is known or they are back', () => {
    fc.assert(
      fc.property(names, names, names, (lost, crashed, back) => {
        const records = CrashRecords.create();
        lost.forEach((name) => records.recordLoss(name, name, [createRun()]));
        crashed.forEach((name) => records.record(createCrash(name, 0, false)));
        const silent = lost.filter((name) => !back.includes(name) && !crashed.includes(name));
        const mustWait = silent.length > 0 && silent.length + crashed.length >= 3;
        back.forEach((name) => records.recordReturn(name, name));
        expect(records.mustWait('a', 0)).toBe(mustWait);
      }),
      { seed: 1 },
    );
  });

  // Guards against a task that is started without limit by workers that crash under it again and again.
  it('makes a task wait for a worker that is lost again after an earlier crash under the task', () => {
    const records = CrashRecords.create();
    ['w1', 'w2', 'w3'].forEach((name) => records.record(createCrash(name, 0, false, false)));
    expect(records.mustWait('a', 0)).toBe(false);
    records.recordLoss('w1', 'w1, next incarnation', [createRun()]);
    expect(records.mustWait('a', 0)).toBe(true);
    records.recordReturn('w1', 'w1, next incarnation');
    expect(records.mustWait('a', 0)).toBe(false);
  });

  it('makes a task wait once for a worker whose agent was lost too', () => {
    const records = CrashRecords.create();
    ['w1', 'w2', 'w3'].forEach((name) => records.recordLoss(name, name, [createRun(false)]));
    expect(records.mustWait('a', 0)).toBe(true);
    ['w1', 'w2', 'w3'].forEach((name) => records.record(createCrash(name, 0, false, false)));
    expect(records.mustWait('a', 0)).toBe(false);
  });

  // Guards against forgetting crashes that an agent could not report, since it was killed meanwhile.
  it('counts a crash when a lost worker has another incarnation on its return', () => {
    const records = CrashRecords.create();
    ['w1', 'w2', 'w3', 'w4'].forEach((name) => records.recordLoss(name, name, [createRun(false)]));
    const spent = ['w1', 'w2', 'w3', 'w4'].map((name) =>
      records.recordReturn(name, `${name}, next`),
    );
    expect(spent.map((tasks) => tasks.length)).toEqual([0, 0, 0, 1]);
    expect(records.findSpentTask('a')).toBe(0);
  });

  it('counts no crash when the agent of a lost worker is gone for good', () => {
    const records = CrashRecords.create();
    ['w1', 'w2', 'w3', 'w4'].forEach((name) => records.recordLoss(name, name, [createRun(false)]));
    ['w1', 'w2', 'w3', 'w4'].forEach((name) => records.recordReturn(name));
    expect(records.mustWait('a', 0)).toBe(false);
    expect(records.findSpentTask('a')).toBeUndefined();
  });
});
