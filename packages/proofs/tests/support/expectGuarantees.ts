import fc from 'fast-check';
import { checkGuarantees } from './checkGuarantees';
import { runSchedule, scheduleArbitrary } from './schedule';

/** Number of schedules that one test file runs; set by `FAULT_RUNS`. */
const SCHEDULE_COUNT = Number(process.env['FAULT_RUNS'] ?? 260);

/** Offset that is added to the seed of each file; set by `FAULT_SEED` to run other schedules. */
const SEED_OFFSET = Number(process.env['FAULT_SEED'] ?? 0);

const TIMEOUT_MS = 6 * 60 * 60 * 1_000;

/**
 * Declares a test that runs generated schedules of faults and checks every guarantee.
 *
 * @param seed - seed of the schedules
 */
export const expectGuarantees = (seed: number): void => {
  describe(`guarantees under faults, seed ${seed}`, () => {
    beforeEach(() => {
      jest.useFakeTimers({ now: 1_800_000_000_000 });
    });

    afterEach(() => {
      jest.useRealTimers();
    });

    it(
      'hold in every generated schedule',
      async () => {
        await fc.assert(
          fc.asyncProperty(scheduleArbitrary, async (schedule) => {
            const simulation = await runSchedule(schedule);
            expect(checkGuarantees(simulation.observations)).toEqual([]);
          }),
          { seed: seed + SEED_OFFSET, numRuns: SCHEDULE_COUNT, endOnFailure: true },
        );
      },
      TIMEOUT_MS,
    );
  });
};
