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
    const starts = UnsettledStarts.create();
    starts.add(task, 2, worker);
    expect(starts.take(task, 1)).toBeUndefined();
    expect(starts.take(task, 2)).toMatchObject({ task, run: 2, born: 1_000 });
    expect(starts.take(task, 2)).toBeUndefined();
  });

  it('forgets a start only after the time in which it may be carried out', () => {
    const starts = UnsettledStarts.create();
    starts.add(task, 1, worker);
    jest.advanceTimersByTime(UNSETTLED_START_RETENTION_MS);
    starts.expire();
    starts.add(task, 2, worker);
    jest.advanceTimersByTime(1);
    starts.expire();
    expect(starts.take(task, 1)).toBeUndefined();
    expect(starts.take(task, 2)).toBeDefined();
  });
});
