import type { WorkerEvent } from '@marjorammast/standins';
import { SoakChecker } from '../src/soak/SoakChecker';
import type { Attempt, Disturbance } from '../src/soak/SoakChecker';

const JOB = 'a'.repeat(16);

const create = (): SoakChecker =>
  SoakChecker.create({
    entries: ['entry-0'],
    agentOf: (worker) => worker.replace('i-', 'agent-'),
    attempts: 2,
  });

const event = (at: number, what: string, fields: Partial<WorkerEvent> = {}): WorkerEvent => ({
  at,
  worker: 'i-0',
  task: `${JOB}.0.0.0`,
  run: 1,
  what,
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

const span = (place: string, fields: Partial<Disturbance> = {}): Disturbance => ({
  place,
  from: 10_500,
  to: 12_000,
  isPlanned: false,
  ...fields,
});

describe('SoakChecker', () => {
  it('finds nothing in a job that ran once and was answered', () => {
    const checker = create();
    checker.takeEvents([event(10_100, 'start'), event(10_200, 'done')]);
    checker.takeJob(job(attempt(200, { state: 'completed' })));
    expect(checker.violations).toEqual([]);
    expect(checker.starts).toBe(1);
  });

  it('finds two runs of a task at the same time, also when workers are polled out of order', () => {
    const checker = create();
    checker.takeEvents([event(3, 'start', { worker: 'i-1', run: 2 }), event(1, 'start')]);
    expect(checker.violations).toEqual([expect.stringContaining('two runs')]);
  });

  it('allows a second run once the first has ended, and after a crash', () => {
    const checker = create();
    checker.takeEvents([event(1, 'start'), event(2, 'crashed')]);
    checker.takeEvents([event(3, 'start', { run: 2 }), event(4, 'lapsed', { run: 2 })]);
    checker.takeEvents([event(5, 'start', { run: 3 })]);
    expect(checker.violations).toEqual([]);
  });

  it('finds a refusal of a job that has run, unless another call got no refusal', () => {
    const checker = create();
    checker.takeEvents([event(1, 'start'), event(2, 'stopped')]);
    checker.takeJob(job(attempt('broken'), attempt(503)));
    expect(checker.violations).toEqual([]);
    checker.takeJob(job(attempt(429), attempt(503)));
    expect(checker.violations).toEqual([expect.stringContaining('false refusal')]);
  });

  it('finds an answer before all tasks are done', () => {
    const checker = create();
    checker.takeEvents([event(10_100, 'start'), event(11_001, 'done')]);
    checker.takeJob(job(attempt(200, { state: 'completed' })));
    expect(checker.violations).toEqual([expect.stringContaining('partial answer')]);
  });

  it('finds a failure that was reported after too few attempts', () => {
    const checker = create();
    checker.takeEvents([event(10_100, 'start'), event(10_200, 'failed')]);
    checker.takeJob(job(attempt(200, { state: 'failed' })));
    expect(checker.violations).toEqual([expect.stringContaining('false failure')]);
    const fair = create();
    fair.takeEvents([event(1, 'failed'), event(2, 'failed', { run: 2 })]);
    fair.takeJob(job(attempt(200, { state: 'failed' })));
    expect(fair.violations).toEqual([]);
  });

  it('finds a start at a closed place while its agent, the store and an entry are in touch', () => {
    const checker = create();
    const open = checker.close('evacuated', (worker) => worker === 'i-0', 20_000);
    checker.takeEvents([event(19_999, 'start'), event(20_001, 'start', { task: 'b.0.0.0' })]);
    checker.takeEvents([event(20_002, 'start', { worker: 'i-1', task: 'c.0.0.0' })]);
    expect(checker.violations).toEqual([expect.stringContaining('b.0.0.0')]);
    open();
  });

  it.each(['agent-0', 'store', 'entry-0'])(
    'excuses a start at a closed place after trouble at %s',
    (place) => {
      const checker = create();
      checker.close('evacuated', () => true, 20_000);
      checker.disturb(span(place, { from: 17_500, to: 18_000 }));
      checker.takeEvents([event(20_001, 'start')]);
      expect(checker.violations).toEqual([]);
    },
  );

  it('finds a request that a planned stop cut off', () => {
    const checker = create();
    checker.disturb(span('entry-0', { isPlanned: true }));
    checker.takeJob(job(attempt('broken')));
    expect(checker.violations).toEqual([expect.stringContaining('planned stop')]);
  });

  it.each([
    ['an unplanned fault is near', [span('agent-0'), span('entry-0', { isPlanned: true })], 10_000],
    ['it may not have been read', [span('entry-0', { isPlanned: true })], 10_450],
    ['another entry was stopped', [span('entry-1', { isPlanned: true })], 10_000],
  ])('excuses a request that was cut off when %s', (_, spans, sentAt) => {
    const checker = create();
    spans.forEach((disturbance) => checker.disturb(disturbance));
    checker.takeJob(job(attempt('broken', { sentAt })));
    expect(checker.violations).toEqual([]);
  });
});
