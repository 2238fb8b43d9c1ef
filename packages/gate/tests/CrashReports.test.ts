import type { WorkerCrash } from '@marjorammast/protocol';
import { createLog } from '@marjorammast/telemetry';
import { CrashReports } from '../src/CrashReports';
import { CRASH_RETENTION_MS, MAX_REMEMBERED_CRASHES } from '../src/constants';

const WORKER = { id: 'i-1', born: 5 };

const createFixture = () => {
  const sent: WorkerCrash[] = [];
  const reports = CrashReports.create({
    name: 'agent-1',
    send: (report) => sent.push(report),
    log: createLog('crashes', 'silent'),
  });
  return { sent, reports };
};

describe('CrashReports', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('sends each report at once and keeps it for the retention time', () => {
    const { sent, reports } = createFixture();
    reports.reportLoss(WORKER, []);
    jest.advanceTimersByTime(1);
    reports.reportCrash(WORKER, []);
    expect(sent.map(({ isCertain }) => isCertain)).toEqual([false, true]);
    expect(sent.map(({ incarnation }) => incarnation)).toEqual(['i-1@5', 'i-1@5']);
    expect(reports.recent).toEqual(sent);
    jest.advanceTimersByTime(CRASH_RETENTION_MS);
    expect(reports.recent).toEqual(sent.slice(1));
  });

  it('keeps a limited number of reports, the newest ones', () => {
    const { sent, reports } = createFixture();
    Array.from({ length: MAX_REMEMBERED_CRASHES + 1 }, (_, born) =>
      reports.reportCrash({ ...WORKER, born }, []),
    );
    expect(reports.recent).toEqual(sent.slice(1));
  });
});
