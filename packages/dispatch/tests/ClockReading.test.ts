import * as fc from 'fast-check';
import { ClockReading } from '../src/ClockReading';
import { MAX_CLOCK_DRIFT } from '../src/constants';

/** What the other process's clock shows at the present time of this process. */
const OFFSET_MS = 70_000;

/** Age that the other process computes for a message that is sent now and arrives at once. */
const ageOfMessage = ({ clock, at }: ClockReading): number =>
  performance.now() + OFFSET_MS - clock - (performance.now() - at);

/** Creates a reading that was under way for `delayMs`. */
const createReading = (delayMs: number): ClockReading =>
  ClockReading.create(performance.now() + OFFSET_MS - delayMs);

/** Takes a reading that was under way for `delayMs`. */
const read = (reading: ClockReading, delayMs: number): void =>
  reading.update(performance.now() + OFFSET_MS - delayMs);

describe('ClockReading', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('never lets a message look younger than it is, and older by the shortest delay seen lately', () => {
    const delays = fc.array(fc.integer({ min: 0, max: 2_000 }), { minLength: 1, maxLength: 20 });
    fc.assert(
      fc.property(delays, (delaysMs) => {
        const reading = createReading(2_000);
        delaysMs.forEach((delayMs) => {
          jest.advanceTimersByTime(100);
          read(reading, delayMs);
        });
        const ageMs = ageOfMessage(reading);
        expect(ageMs).toBeGreaterThanOrEqual(0);
        const toleranceMs = delaysMs.length * 100 * MAX_CLOCK_DRIFT + 1;
        expect(ageMs).toBeLessThanOrEqual(Math.min(...delaysMs) + toleranceMs);
      }),
    );
  });

  // The load: an entry without processor time takes 300 ms to handle an answer. By the newest reading each
  // of its assignments is older than the 250 ms up to which agents admit them.
  it('keeps a good reading while answers are handled late', () => {
    const reading = createReading(1);
    for (let count = 0; count < 50; count += 1) {
      jest.advanceTimersByTime(100);
      read(reading, 300);
    }
    expect(ageOfMessage(reading)).toBeLessThan(10);
  });

  it('follows the other clock when it has jumped ahead, as after a pause of this VM', () => {
    const reading = createReading(1);
    reading.update(performance.now() + OFFSET_MS + 5_000);
    expect(reading.clock).toBe(performance.now() + OFFSET_MS + 5_000);
  });
});
