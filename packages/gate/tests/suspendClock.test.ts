import { createSuspendClock } from '../src/suspendClock';

describe('createSuspendClock', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('runs with the steady clock', () => {
    const clock = createSuspendClock();
    const before = clock();
    jest.advanceTimersByTime(700);
    expect(clock() - before).toBeCloseTo(700, 0);
  });

  it('counts a suspension, in which only the time of day goes on', () => {
    const clock = createSuspendClock();
    const before = clock();
    jest.setSystemTime(Date.now() + 3_000);
    expect(clock() - before).toBeCloseTo(3_000, 0);
  });

  it('does not go back with the time of day', () => {
    const clock = createSuspendClock();
    const before = clock();
    jest.setSystemTime(Date.now() - 3_000);
    expect(clock() - before).toBeCloseTo(0, 0);
  });
});
