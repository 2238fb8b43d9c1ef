import { checkDispatch } from './support/DispatchWorld';
import type { SeenAnswer } from './support/DispatchWorld';
import type { SeenRun } from './support/MemoryWorker';

const JOB = 'a'.repeat(16);

const run = (from: number, to: number, how: string, worker = 'w1'): SeenRun => ({
  task: `${JOB}.0.0.0`,
  worker,
  run: 1,
  from,
  to,
  how,
  isForbidden: false,
});

const answer = (outcome: SeenAnswer['outcome'], at: number): SeenAnswer => ({
  job: { id: JOB, tasks: 1, spec: { runMs: 1, cpu: 1 }, estimateMs: 1 },
  entry: 'e1',
  outcome,
  at,
});

const rulesOf = (runs: SeenRun[], answers: SeenAnswer[], overloads: string[] = []): string[] =>
  checkDispatch({ runs, answers, overloads }).map(({ rule }) => rule);

const refused = { type: 'refused', reason: 'noRoom', retryAfterMs: 1 } as const;

// Each kind of broken promise, planted.
describe('checkDispatch', () => {
  it('passes runs of one task that follow each other', () => {
    const runs = [run(0, 10, 'lapsed'), run(10, 20, 'done', 'w2')];
    expect(rulesOf(runs, [answer({ type: 'completed' }, 21)])).toEqual([]);
  });

  it('finds two runs at the same time', () => {
    expect(rulesOf([run(10, 20, 'done', 'w2'), run(0, 11, 'lapsed')], [])).toEqual(['twice']);
  });

  it('finds a completed job with a task that is not done', () => {
    expect(rulesOf([run(0, 10, 'stopped')], [answer({ type: 'completed' }, 11)])).toEqual([
      'partial',
    ]);
  });

  it('finds a refusal of a job that is at work, and passes one of a job that is not', () => {
    expect(rulesOf([run(0, 30, 'done')], [answer(refused, 20)])).toEqual(['falseRefusal']);
    expect(rulesOf([], [answer(refused, 20)])).toEqual([]);
  });

  it('finds a failure after too few failed runs, and passes one after enough', () => {
    const failed = answer({ type: 'failed', reason: '' }, 30);
    expect(rulesOf([run(0, 10, 'failed')], [failed])).toEqual(['falseFailure']);
    expect(rulesOf([run(0, 10, 'failed'), run(10, 20, 'failed')], [failed])).toEqual([]);
  });

  it('finds a start on a worker that leaves', () => {
    expect(rulesOf([{ ...run(0, 10, 'done'), isForbidden: true }], [])).toEqual(['leaving']);
  });

  it('finds a worker with more at work than fits', () => {
    expect(rulesOf([], [], ['w1: 5000 of 4000'])).toEqual(['room']);
  });
});
