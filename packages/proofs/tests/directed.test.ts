import { checkGuarantees } from './support/checkGuarantees';
import { runSchedule } from './support/schedule';
import type { PlannedFault, PlannedJob } from './support/schedule';

const createFault = (
  type: PlannedFault['type'],
  atMs: number,
  forMs: number,
  node: number,
  other = 0,
): PlannedFault => ({
  type,
  atMs,
  forMs,
  node,
  other,
});

/**
 * Creates jobs that clients send to one entry at a steady rate, and again to the next entry after
 * `duplicateAfterMs` if it is given.
 */
const createSteadyJobs = (
  entry: number,
  count: number,
  runMs: number,
  duplicateAfterMs?: number,
): PlannedJob[] =>
  Array.from({ length: count }, (_, index) => ({
    atMs: index * 250,
    runTimesMs: [runMs, runMs + 40],
    entry,
    urgent: false,
    duplicateAfterMs,
  }));

const expectGuarantees = async (faults: PlannedFault[], jobs: PlannedJob[]): Promise<void> => {
  const simulation = await runSchedule({ seed: 7, faults, jobs });
  expect(checkGuarantees(simulation.observations)).toEqual([]);
  // A run in which hardly any task starts would check nothing.
  expect(simulation.observations.starts.length).toBeGreaterThan(jobs.length / 2);
};

describe('guarantees in directed schedules', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it.each([0, 1, 2])(
    'entry %i, cut off together with an agent, starts no task in a data centre that is out',
    (entry) =>
      expectGuarantees(
        [
          createFault('isolateEntry', 500, 7_000, entry),
          createFault('takeOut', 1_500, 7_000, entry + 1, 0),
        ],
        createSteadyJobs(entry, 36, 60),
      ),
  );

  it.each([0, 1, 2])(
    'entry %i soon stops acting as the owner of its jobs when it is cut off',
    (entry) =>
      expectGuarantees(
        [createFault('isolateEntry', 500, 7_000, entry)],
        createSteadyJobs(entry, 36, 60, 4_000),
      ),
  );

  it.each([0, 1, 2])(
    'a data centre that entry %i takes out just before a store outage stays out',
    (entry) =>
      expectGuarantees(
        [
          createFault('takeOut', 1_500, 7_000, entry, 0),
          createFault('repliesLost', 1_400, 300, 0),
          createFault('storeDown', 1_700, 5_000, 0),
          createFault('cutStore', 1_450, 6_000, entry + 1),
        ],
        createSteadyJobs(entry + 1, 36, 60),
      ),
  );

  it('a job that is submitted again during a takeover starts no task twice', () =>
    expectGuarantees(
      [createFault('killEntry', 1_000, 6_000, 1), createFault('jitter', 500, 7_000, 0)],
      createSteadyJobs(1, 30, 900, 700),
    ));

  it('an agent that restarts while the owner is lost causes no task to start twice', () =>
    expectGuarantees(
      [createFault('killAgent', 1_000, 500, 0), createFault('killEntry', 1_200, 6_000, 0)],
      [...createSteadyJobs(0, 24, 700, 2_500), ...createSteadyJobs(1, 12, 700, 2_500)],
    ));

  it('an owner that is cut off past the job deadline does not contradict the next owner', () =>
    expectGuarantees(
      [
        createFault('isolateEntry', 9_379, 6_990, 2),
        createFault('stopEntry', 12, 971, 0, 1),
        createFault('stopEntry', 4_973, 5_612, 3),
      ],
      [...createSteadyJobs(2, 44, 900, 3_018), ...createSteadyJobs(0, 20, 600, 2_000)],
    ));

  it('two graceful stops in a row leave no request without an answer', () =>
    expectGuarantees(
      [createFault('stopEntry', 1_000, 200, 0), createFault('stopEntry', 3_000, 200, 1)],
      [...createSteadyJobs(0, 30, 900), ...createSteadyJobs(1, 30, 900)],
    ));
});
