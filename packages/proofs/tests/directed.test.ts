import { check } from './support/Recorder';
import { runSchedule } from './support/schedule';
import type { Fault, Work } from './support/schedule';

const fault = (
  type: Fault['type'],
  atMs: number,
  forMs: number,
  node: number,
  other = 0,
): Fault => ({
  type,
  atMs,
  forMs,
  node,
  other,
});

/** Jobs sent to one entry at a steady rate, each to a second entry a little later if asked. */
const stream = (entry: number, count: number, runMs: number, againMs?: number): Work[] =>
  Array.from({ length: count }, (_, index) => ({
    atMs: index * 250,
    runsMs: [runMs, runMs + 40],
    entry,
    urgent: false,
    againMs,
  }));

const expectPromises = async (faults: Fault[], work: Work[]): Promise<void> => {
  const world = await runSchedule({ seed: 7, faults, work });
  expect(check(world.seen)).toEqual([]);
  // A run in which nothing was started would prove nothing.
  expect(world.seen.starts.length).toBeGreaterThan(work.length / 2);
};

describe('promises in directed schedules', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it.each([0, 1, 2])(
    'an entry %i that is cut off with an agent does not miss a withdrawal',
    (entry) =>
      expectPromises(
        [fault('isolateEntry', 500, 7_000, entry), fault('takeOut', 1_500, 7_000, entry + 1, 0)],
        stream(entry, 36, 60),
      ),
  );

  it.each([0, 1, 2])('an entry %i that is cut off is not an owner for long', (entry) =>
    expectPromises([fault('isolateEntry', 500, 7_000, entry)], stream(entry, 36, 60, 4_000)),
  );

  it.each([0, 1, 2])('a store outage hides no withdrawal made before it, entry %i', (entry) =>
    expectPromises(
      [
        fault('takeOut', 1_500, 7_000, entry, 0),
        fault('repliesLost', 1_400, 300, 0),
        fault('storeDown', 1_700, 5_000, 0),
        fault('cutStore', 1_450, 6_000, entry + 1),
      ],
      stream(entry + 1, 36, 60),
    ),
  );

  it('a resubmission that meets a takeover in progress starts nothing again', () =>
    expectPromises(
      [fault('killEntry', 1_000, 6_000, 1), fault('jitter', 500, 7_000, 0)],
      stream(1, 30, 900, 700),
    ));

  it('an agent that restarts while its owner is lost leaves no task to start again', () =>
    expectPromises(
      [fault('killAgent', 1_000, 500, 0), fault('killEntry', 1_200, 6_000, 0)],
      [...stream(0, 24, 700, 2_500), ...stream(1, 12, 700, 2_500)],
    ));

  it('an owner that is cut off past a deadline does not answer for the next one', () =>
    expectPromises(
      [
        fault('isolateEntry', 9_379, 6_990, 2),
        fault('stopEntry', 12, 971, 0, 1),
        fault('stopEntry', 4_973, 5_612, 3),
      ],
      [...stream(2, 44, 900, 3_018), ...stream(0, 20, 600, 2_000)],
    ));

  it('two graceful stops in a row cut nothing', () =>
    expectPromises(
      [fault('stopEntry', 1_000, 200, 0), fault('stopEntry', 3_000, 200, 1)],
      [...stream(0, 30, 900), ...stream(1, 30, 900)],
    ));
});
