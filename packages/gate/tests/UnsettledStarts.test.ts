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

  it('returns a start once, with the incarnation to which it was sent', () => {
    const starts = UnsettledStarts.create(jest.fn());
    starts.add(task, 2, worker);
    expect(starts.take(task, 1)).toBeUndefined();
    expect(starts.take(task, 2)).toMatchObject({ task, run: 2, born: 1_000 });
    expect(starts.take(task, 2)).toBeUndefined();
  });

  it('reports the task of a start once', () => {
    const onAdded = jest.fn();
    const starts = UnsettledStarts.create(onAdded);
    starts.add(task, 2, worker);
    starts.add(task, 2, { ...worker, born: 2_000 });
    expect(onAdded.mock.calls).toEqual([[task]]);
    expect(starts.take(task, 2)?.born).toBe(1_000);
  });

  it('forgets a start only after the time in which it may be carried out', () => {
    const starts = UnsettledStarts.create(jest.fn());
    starts.add(task, 1, worker);
    jest.advanceTimersByTime(UNSETTLED_START_RETENTION_MS);
    expect(starts.tasks).toEqual([['a', 3]]);
    jest.advanceTimersByTime(1);
    expect(starts.tasks).toEqual([]);
  });
});
