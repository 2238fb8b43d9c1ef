import { createSuspendAwareClock } from '../src/createSuspendAwareClock';

describe('createSuspendAwareClock', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('advances with the monotonic clock', () => {
    const clock = createSuspendAwareClock();
    const before = clock();
    jest.advanceTimersByTime(700);
    expect(clock() - before).toBeCloseTo(700, 0);
  });

  it('includes a suspension, during which only the wall clock advances', () => {
    const clock = createSuspendAwareClock();
    const before = clock();
    jest.setSystemTime(Date.now() + 3_000);
    expect(clock() - before).toBeCloseTo(3_000, 0);
  });

  it('does not go back when the wall clock is set back', () => {
    const clock = createSuspendAwareClock();
    const before = clock();
    jest.setSystemTime(Date.now() - 3_000);
    expect(clock() - before).toBeCloseTo(0, 0);
  });
});
