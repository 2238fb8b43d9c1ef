import type { WorkerEvent } from '@marjorammast/standins';
import { SoakChecker } from '../src/soak/SoakChecker';
import type { Attempt, Disturbance } from '../src/soak/SoakChecker';

const JOB = 'a'.repeat(16);

const create = (): SoakChecker =>
  SoakChecker.create({
    entries: ['entry-0'],
    agentOf: (worker) => worker.replace('i-', 'agent-'),
    maxFailedRuns: 2,
  });

const event = (at: number, type: string, fields: Partial<WorkerEvent> = {}): WorkerEvent => ({
  at,
  worker: 'i-0',
  task: `${JOB}.0.0.0`,
  run: 1,
  type,
  ...fields,
});

const attempt = (status: Attempt['status'], fields: Partial<Attempt> = {}): Attempt => ({
  entry: 'entry-0',
  sentAt: 10_000,
  endedAt: 11_000,
  status,
  state: '',
  ...fields,
});

const job = (...attempts: Attempt[]) => ({ id: JOB, tasks: 1, attempts });

const span = (component: string, fields: Partial<Disturbance> = {}): Disturbance => ({
  component,
  from: 10_500,
  to: 12_000,
  isPlanned: false,
  ...fields,
});

describe('SoakChecker', () => {
  it('reports no violation for a job that ran once and was answered', () => {
    const checker = create();
    checker.addWorkerEvents([event(10_100, 'start'), event(10_200, 'done')]);
    checker.checkJob(job(attempt(200, { state: 'completed' })));
    expect(checker.violations).toEqual([]);
    expect(checker.starts).toBe(1);
  });

  it('reports two runs of a task at the same time, also when events arrive out of order', () => {
    const checker = create();
    checker.addWorkerEvents([event(3, 'start', { worker: 'i-1', run: 2 }), event(1, 'start')]);
    expect(checker.violations).toEqual([expect.stringContaining('two runs')]);
  });

  it('allows a second run after the first has ended or its worker has crashed', () => {
    const checker = create();
    checker.addWorkerEvents([event(1, 'start'), event(2, 'crashed')]);
    checker.addWorkerEvents([event(3, 'start', { run: 2 }), event(4, 'lapsed', { run: 2 })]);
    checker.addWorkerEvents([event(5, 'start', { run: 3 })]);
    expect(checker.violations).toEqual([]);
  });

  it('reports a refused job that has run, unless one of its calls was not refused', () => {
    const checker = create();
    checker.addWorkerEvents([event(1, 'start'), event(2, 'stopped')]);
    checker.checkJob(job(attempt('broken'), attempt(503)));
    expect(checker.violations).toEqual([]);
    checker.checkJob(job(attempt(429), attempt(503)));
    expect(checker.violations).toEqual([expect.stringContaining('false refusal')]);
  });

  it('reports an answer that says completed before all tasks are done', () => {
    const checker = create();
    checker.addWorkerEvents([event(10_100, 'start'), event(11_001, 'done')]);
    checker.checkJob(job(attempt(200, { state: 'completed' })));
    expect(checker.violations).toEqual([expect.stringContaining('partial answer')]);
  });

  it('reports a job that was answered as failed after too few failed runs', () => {
    const checker = create();
    checker.addWorkerEvents([event(10_100, 'start'), event(10_200, 'failed')]);
    checker.checkJob(job(attempt(200, { state: 'failed' })));
    expect(checker.violations).toEqual([expect.stringContaining('false failure')]);
    const secondChecker = create();
    secondChecker.addWorkerEvents([event(1, 'failed'), event(2, 'failed', { run: 2 })]);
    secondChecker.checkJob(job(attempt(200, { state: 'failed' })));
    expect(secondChecker.violations).toEqual([]);
  });

  it('allows a failed job after two crashes under a task, not after one', () => {
    const violationsAfter = (crashes: number): readonly string[] => {
      const checker = create();
      for (let run = 1; run <= crashes; run += 1) {
        const fields = { run, worker: `i-${run}` };
        const at = 10_000 + 20 * run;
        checker.addWorkerEvents([event(at, 'start', fields), event(at + 10, 'crashed', fields)]);
      }
      checker.checkJob(job(attempt(200, { state: 'failed' })));
      return checker.violations;
    };
    expect(violationsAfter(1)).toEqual([expect.stringContaining('false failure')]);
    expect(violationsAfter(2)).toEqual([]);
  });

  it('reports three starts after three crashes under a task by undisturbed agents', () => {
    const violationsOf = (starts: number, disturbed?: string): readonly string[] => {
      const checker = create();
      if (disturbed) checker.addDisturbance(span(disturbed));
      for (let run = 1; run <= starts; run += 1) {
        const fields = { run, worker: `i-${run}` };
        const at = 10_000 + 20 * run;
        checker.addWorkerEvents([event(at, 'start', fields), event(at + 10, 'crashed', fields)]);
      }
      checker.checkJob({ ...job(attempt(504)), crashingTask: 0 });
      expect(checker.mostCrashesOfTask).toBe(starts);
      return checker.violations;
    };
    expect(violationsOf(5)).toEqual([]);
    expect(violationsOf(6)).toEqual([expect.stringContaining('crash budget')]);
    expect(violationsOf(6, 'agent-6')).toEqual([]);
  });

  it('reports a forbidden start when its agent, the store and an entry were undisturbed', () => {
    const checker = create();
    const allowStarts = checker.forbidStarts('evacuated', (worker) => worker === 'i-0', 20_000);
    checker.addWorkerEvents([event(19_999, 'start'), event(20_001, 'start', { task: 'b.0.0.0' })]);
    checker.addWorkerEvents([event(20_002, 'start', { worker: 'i-1', task: 'c.0.0.0' })]);
    expect(checker.violations).toEqual([expect.stringContaining('b.0.0.0')]);
    allowStarts();
  });

  it.each(['agent-0', 'store', 'entry-0'])(
    'allows a forbidden start shortly after a disturbance of %s',
    (component) => {
      const checker = create();
      checker.forbidStarts('evacuated', () => true, 20_000);
      checker.addDisturbance(span(component, { from: 17_500, to: 18_000 }));
      checker.addWorkerEvents([event(20_001, 'start')]);
      expect(checker.violations).toEqual([]);
    },
  );

  it('reports a request that a planned stop cut off', () => {
    const checker = create();
    checker.addDisturbance(span('entry-0', { isPlanned: true }));
    checker.checkJob(job(attempt('broken')));
    expect(checker.violations).toEqual([expect.stringContaining('planned stop')]);
  });

  it.each([
    [
      'an unplanned fault happened close to it',
      [span('agent-0'), span('entry-0', { isPlanned: true })],
      10_000,
    ],
    ['the entry may not have read it', [span('entry-0', { isPlanned: true })], 10_450],
    ['another entry was stopped', [span('entry-1', { isPlanned: true })], 10_000],
  ])('allows a request to be cut off when %s', (_, spans, sentAt) => {
    const checker = create();
    spans.forEach((disturbance) => checker.addDisturbance(disturbance));
    checker.checkJob(job(attempt('broken', { sentAt })));
    expect(checker.violations).toEqual([]);
  });
});
