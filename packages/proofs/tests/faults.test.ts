import fc from 'fast-check';
import { check } from './support/Recorder';
import { runSchedule, schedule } from './support/schedule';

const SEED = 41_001;

const RUNS = Number(process.env['FAULT_RUNS'] ?? 30);

describe('promises under faults', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('hold in every generated schedule', async () => {
    await fc.assert(
      fc.asyncProperty(schedule, async (run) => {
        const world = await runSchedule(run);
        expect(check(world.seen)).toEqual([]);
      }),
      { seed: Number(process.env['FAULT_SEED'] ?? SEED), numRuns: RUNS, endOnFailure: true },
    );
  }, 600_000);
});
