import { UNSETTLED_START_RETENTION_MS } from '../src/constants';
import { UnsettledStarts } from '../src/UnsettledStarts';

const task = { job: 'a', occurrence: 0, step: 0, index: 3 };

const worker = { id: 'i-1', born: 1_000 };

describe('UnsettledStarts', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('tells once that a run was listed, with the incarnation to which its start was sent', () => {
    const starts = UnsettledStarts.create(jest.fn());
    starts.add(task, 2, worker);
    expect(starts.recordListed(task, 1)).toBeUndefined();
    expect(starts.recordListed(task, 2)).toMatchObject({ task, run: 2, worker });
    expect(starts.recordListed(task, 2)).toBeUndefined();
    expect(starts.tasks).toEqual([['a', 3, 'i-1']]);
    starts.remove(task, 2);
    expect(starts.tasks).toEqual([]);
  });

  it('reports the task of a start once, and keeps it for as long as its last repetition', () => {
    const onAdded = jest.fn();
    const starts = UnsettledStarts.create(onAdded);
    starts.add(task, 2, worker);
    jest.advanceTimersByTime(UNSETTLED_START_RETENTION_MS);
    starts.add(task, 2, { ...worker, born: 2_000 });
    expect(onAdded.mock.calls).toEqual([[['a', 3, 'i-1']]]);
    jest.advanceTimersByTime(UNSETTLED_START_RETENTION_MS);
    expect(starts.tasks).toEqual([['a', 3, 'i-1']]);
    expect(starts.recordListed(task, 2)?.worker.born).toBe(1_000);
  });

  it('forgets a start only after the time in which it may be carried out', () => {
    const starts = UnsettledStarts.create(jest.fn());
    starts.add(task, 1, worker);
    jest.advanceTimersByTime(UNSETTLED_START_RETENTION_MS);
    expect(starts.tasks).toEqual([['a', 3, 'i-1']]);
    jest.advanceTimersByTime(1);
    expect(starts.tasks).toEqual([]);
  });
});
