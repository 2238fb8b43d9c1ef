import fc from 'fast-check';
import { check } from './Recorder';
import { runSchedule, schedule } from './schedule';

/** Schedules in one test file; `FAULT_RUNS` asks for more. */
const RUNS = Number(process.env['FAULT_RUNS'] ?? 260);

/** Added to each file's seed; `FAULT_SEED` gives other schedules. */
const SEED_OFFSET = Number(process.env['FAULT_SEED'] ?? 0);

const TIMEOUT_MS = 6 * 60 * 60 * 1_000;

/**
 * Declares a test that runs generated fault schedules and checks every promise.
 *
 * @param seed - seed of the schedules
 */
export const expectPromises = (seed: number): void => {
  describe(`promises under faults, seed ${seed}`, () => {
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
          fc.asyncProperty(schedule, async (run) => {
            const world = await runSchedule(run);
            expect(check(world.seen)).toEqual([]);
          }),
          { seed: seed + SEED_OFFSET, numRuns: RUNS, endOnFailure: true },
        );
      },
      TIMEOUT_MS,
    );
  });
};
