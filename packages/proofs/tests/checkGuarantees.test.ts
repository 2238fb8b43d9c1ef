import { failure } from '@marjorammast/protocol';
import { checkGuarantees, createObservations } from './support/checkGuarantees';
import type { Observations } from './support/checkGuarantees';

const JOB = 'kalahari/hold-1';

const start = (changed: Partial<Observations['starts'][number]> = {}) => ({
  at: 100,
  job: JOB,
  index: 0,
  target: 't',
  dataCenter: 'north',
  ...changed,
});

const answer = (changed: Partial<Observations['answers'][number]> = {}) => ({
  at: 300,
  job: JOB,
  count: 1,
  answer: { type: 'complete' as const, results: [`${JOB}#0`] },
  ...changed,
});

const correct: Observations = {
  ...createObservations(),
  starts: [start()],
  ends: [{ at: 200, job: JOB, index: 0 }],
  answers: [answer()],
};

const failed = (code: 'taskFailed' | 'overloaded', verdict: 'ran' | 'notRun') => ({
  type: 'failed' as const,
  failure: failure(code, verdict, ''),
});

describe('checkGuarantees', () => {
  it('reports no violation for a correct run', () => {
    expect(checkGuarantees(correct)).toEqual([]);
  });

  it.each<[string, Partial<Observations>]>([
    ['started at most once', { starts: [start(), start({ at: 150, target: 'u' })] }],
    ['complete, and its own', { answers: [answer({ count: 2 })] }],
    [
      'complete, and its own',
      { answers: [answer({ answer: { type: 'complete', results: ['kalahari/hold-2#0'] } })] },
    ],
    ['complete, and its own', { ends: [] }],
    ['notRun is true', { answers: [answer({ answer: failed('overloaded', 'notRun') })] }],
    ['one answer', { answers: [answer(), answer({ answer: failed('taskFailed', 'ran') })] }],
    [
      'no start in a data centre that is out',
      {
        starts: [start({ at: 9_000 })],
        ends: [{ at: 9_100, job: JOB, index: 0 }],
        answers: [answer({ at: 9_200 })],
        changes: [{ askedAt: 4_000, acceptedAt: 4_100, out: ['north'] }],
      },
    ],
    [
      'configuration never reverts',
      {
        versions: [
          { at: 1, node: 'a', process: 'a@1', version: 2 },
          { at: 2, node: 'a', process: 'a@1', version: 1 },
        ],
      },
    ],
    ['a planned stop cuts nothing', { cutRequests: [{ at: 1, job: JOB, entry: 'entry-1' }] }],
    ['every job is answered', { unanswered: [JOB] }],
  ])('reports a violation of "%s"', (guarantee, changed) => {
    expect(
      checkGuarantees({ ...correct, ...changed }).map((violation) => violation.guarantee),
    ).toContain(guarantee);
  });
});
