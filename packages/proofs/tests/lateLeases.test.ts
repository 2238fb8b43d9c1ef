import fc from 'fast-check';
import { checkDispatchGuarantees } from './support/checkDispatchGuarantees';
import { DispatchSimulation } from './support/DispatchSimulation';
import {
  LATE_SCHEDULE_AGENTS,
  createLateShareSchedules,
  runDispatchSchedule,
} from './support/dispatchSchedule';

/** Number of generated schedules; set by `FAULT_RUNS`. */
const SCHEDULE_COUNT = Number(process.env['FAULT_RUNS'] ?? 40);

/** Seed of the generated schedules; `FAULT_SEED` adds an offset to run others. */
const SEED = 56_001 + Number(process.env['FAULT_SEED'] ?? 0);

const SEEDS = [1, 2, 3, 4, 5];

const FAULTS = [
  'killEntry',
  'killAgent',
  'cut',
  'cutOneWay',
  'freezeAgent',
  'freezeEntry',
] as const;

/** The page of the platform has only leases until a time on the worker's clock. */
describe.each([['a time on the clock of the worker', false]])(
  'no task has two runs when the leases of late commands count from %s',
  (_, isFromArrival) => {
    beforeEach(() => {
      jest.useFakeTimers({ now: 1_800_000_000_000 });
    });

    afterEach(() => {
      jest.useRealTimers();
    });

    const createSimulation = async (seed: number): Promise<DispatchSimulation> => {
      const simulation = DispatchSimulation.create(seed, 2, 3);
      simulation.workers.forEach((worker) =>
        Object.assign(worker, { countsLateLeasesFromArrival: isFromArrival }),
      );
      await jest.advanceTimersByTimeAsync(1_000);
      const job = {
        id: 'a'.repeat(16),
        tasks: 6,
        spec: { runMs: 7_000, cpu: 300 },
        estimateMs: 7_000,
        deadlineMs: 16_000,
      };
      void simulation.send(job, 0);
      await jest.advanceTimersByTimeAsync(100);
      return simulation;
    };

    // Renewals of the last seconds arrive while the runs of the entry are to be stopped.
    it.each(SEEDS)(
      'when renewals are late and then the stops of a killed entry, seed %i',
      async (seed) => {
        const simulation = await createSimulation(seed);
        simulation.workers.forEach((worker) => {
          worker.lateDelaysMs = [2_000, 3_500];
          worker.lateShares = { hold: 0.4 };
        });
        await jest.advanceTimersByTimeAsync(3_000);
        simulation.workers.forEach((worker) => {
          worker.lateShares = { stop: 1 };
        });
        simulation.killEntry(0);
        await jest.advanceTimersByTimeAsync(12_000);
        simulation.halt();
        expect(simulation.runs.length).toBeGreaterThan(6);
        expect(checkDispatchGuarantees(simulation)).toEqual([]);
      },
    );

    // The worker no longer answers, its lease counts as expired, and a renewal arrives before that.
    it.each(SEEDS)(
      'when a worker falls silent while renewals are on their way, seed %i',
      async (seed) => {
        const simulation = await createSimulation(seed);
        simulation.workers.forEach((worker) => {
          worker.lateDelaysMs = [300, 3_000];
          worker.lateShares = { hold: 0.3 };
        });
        await jest.advanceTimersByTimeAsync(2_000);
        simulation.workers.slice(0, 1).forEach((worker) => {
          worker.commandFault = 'silent';
        });
        simulation.workers.slice(1).forEach((worker) => {
          worker.lateShares = {};
        });
        await jest.advanceTimersByTimeAsync(12_000);
        simulation.halt();
        expect(checkDispatchGuarantees(simulation)).toEqual([]);
      },
    );

    it('in every generated schedule of few late commands beside faults of processes', async () => {
      await fc.assert(
        fc.asyncProperty(
          createLateShareSchedules(FAULTS, [0.05, 0.1, 0.2, 0.3, 0.5]),
          async (schedule) => {
            const simulation = await runDispatchSchedule(
              { ...schedule, countsLateLeasesFromArrival: isFromArrival },
              LATE_SCHEDULE_AGENTS,
            );
            expect(checkDispatchGuarantees(simulation)).toEqual([]);
          },
        ),
        { seed: SEED, numRuns: SCHEDULE_COUNT, endOnFailure: true },
      );
    }, 1_800_000);
  },
);
