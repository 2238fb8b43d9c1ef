import { PauseDetector } from '../src/PauseDetector';
import type { Pause } from '../src/PauseDetector';

describe('PauseDetector', () => {
  let pauses: Pause[];
  let processorMs: number;
  let detector: PauseDetector;

  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
    pauses = [];
    processorMs = 0;
    detector = PauseDetector.create({
      readProcessorMs: () => processorMs,
      onPause: (pause) => pauses.push(pause),
    });
  });

  afterEach(() => {
    detector.stop();
    jest.useRealTimers();
  });

  /** Advances both clocks without running any timer, as a stopped process sees it. */
  const stopProcess = (ms: number): void => {
    const steady = performance.now();
    const wall = Date.now();
    jest.spyOn(performance, 'now').mockReturnValue(steady + ms);
    jest.spyOn(Date, 'now').mockReturnValue(wall + ms);
  };

  /** Advances only the wall clock, as a suspension of the VM or a step does. */
  const stepWallClock = (ms: number): void => {
    jest.setSystemTime(Date.now() + ms);
  };

  afterEach(() => {
    jest.restoreAllMocks();
  });

  it('notices nothing while the process runs', () => {
    jest.advanceTimersByTime(60_000);
    expect(pauses).toEqual([]);
    expect(detector.findLongestAge(0)).toBeUndefined();
  });

  it('notices that the process was stopped', () => {
    jest.advanceTimersByTime(1_000);
    stopProcess(2_000);
    detector.check();
    expect(pauses).toEqual([expect.objectContaining({ lengthMs: 2_000, suspendedMs: 0 })]);
    expect(detector.findLongestAge(500)).toBe(2_000);
  });

  it('notices a suspension, during which the monotonic clock stands still', () => {
    jest.advanceTimersByTime(1_000);
    stepWallClock(2_000);
    detector.check();
    expect(pauses).toEqual([expect.objectContaining({ lengthMs: 2_000, suspendedMs: 2_000 })]);
  });

  it('takes no backward step of the wall clock for a pause', () => {
    stepWallClock(-5_000);
    jest.advanceTimersByTime(1_000);
    expect(pauses).toEqual([]);
  });

  // Guards against doubts at each job of an entry that is only busy.
  it('takes no short time of work for a pause, but a long one', () => {
    processorMs = 600;
    stopProcess(700);
    detector.check();
    expect(pauses).toEqual([]);
    processorMs = 2_600;
    stopProcess(2_000);
    detector.check();
    expect(pauses).toHaveLength(1);
  });

  it('knows that connections accepted after the pause bring nothing old', async () => {
    jest.advanceTimersByTime(1_000);
    stepWallClock(2_000);
    detector.check();
    // Accepted in the first poll after the pause: it was opened during it.
    expect(detector.findLongestAge(performance.now())).toBe(2_000);
    await jest.advanceTimersByTimeAsync(20);
    expect(detector.findLongestAge(performance.now())).toBeUndefined();
    expect(detector.findLongestAge(500)).toBe(2_020);
  });

  it('forgets a pause once all retransmissions have arrived', () => {
    stepWallClock(2_000);
    detector.check();
    jest.advanceTimersByTime(8_900);
    expect(detector.findLongestAge(0)).toBeGreaterThan(10_000);
    jest.advanceTimersByTime(200);
    expect(detector.findLongestAge(0)).toBeUndefined();
  });
});
