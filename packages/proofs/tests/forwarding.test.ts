import fc from 'fast-check';
import { checkDispatchGuarantees } from './support/checkDispatchGuarantees';
import type { DispatchSimulation } from './support/DispatchSimulation';
import { forwardingScheduleArbitrary, runDispatchSchedule } from './support/dispatchSchedule';
import type { PlannedDispatchFault, PlannedDispatchJob } from './support/dispatchSchedule';
import { holdTimersOfFrozenProcesses } from './support/processTimers';

/** Number of generated schedules; set by `FAULT_RUNS`. */
const SCHEDULE_COUNT = Number(process.env['FAULT_RUNS'] ?? 100);

/** Seed of the generated schedules; `FAULT_SEED` adds an offset to run others. */
const SEED = 71_003 + Number(process.env['FAULT_SEED'] ?? 0);

/** Only the first of three entries is overloaded. */
const UTILIZATIONS = [1, 0.1, 0.1];

const createJobs = (count: number, fields: Partial<PlannedDispatchJob>): PlannedDispatchJob[] =>
  Array.from({ length: count }, (_, index) => ({
    atMs: 100 + index * 60,
    entry: 0,
    tasks: 2,
    runMs: 250,
    cpu: 300,
    fails: false,
    giveUpMs: undefined,
    sendsAgain: false,
    ...fields,
  }));

const createFault = (
  type: PlannedDispatchFault['type'],
  other: number,
  forMs: number,
): PlannedDispatchFault => ({ type, atMs: 700, forMs, node: 0, other });

const countForwarded = ({ forwardAnswers }: DispatchSimulation): number =>
  Object.values(forwardAnswers).reduce((sum, count) => sum + count, 0);

describe('forwarding of jobs under faults', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
    holdTimersOfFrozenProcesses();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against jobs without an owner when nothing fails.
  it('answers all jobs of an overloaded entry, most of them through others', async () => {
    const jobs = createJobs(30, {});
    const simulation = await runDispatchSchedule({
      ...{ seed: 1, utilizations: UTILIZATIONS, faults: [], jobs },
    });
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    expect(simulation.answers.map(({ outcome }) => outcome.type)).toEqual(
      Array(30).fill('completed'),
    );
    expect(simulation.forwardAnswers['ended']).toBeGreaterThan(20);
  });

  // Guards against two runs of a task at a time, and against jobs without an answer.
  it.each([
    ['killEntry', 0, 800],
    ['killEntry', 1, 800],
    ['freezeEntry', 0, 400],
    ['freezeEntry', 0, 1_500],
    ['freezeEntry', 1, 400],
    ['freezeEntry', 1, 1_500],
    ['cutEntries', 0, 300],
    ['cutEntries', 0, 2_000],
    ['cutToEntry', 0, 2_000],
    ['cutFromEntry', 0, 2_000],
  ] as const)('keeps all guarantees under the fault %s of entry %d', async (type, other, forMs) => {
    const jobs = createJobs(30, { runMs: 900, sendsAgain: true });
    const simulation = await runDispatchSchedule({
      ...{ seed: 3, utilizations: UTILIZATIONS, faults: [createFault(type, other, forMs)], jobs },
      hasSocketBuffers: true,
    });
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    expect(simulation.answers.length).toBeGreaterThanOrEqual(20);
    expect(countForwarded(simulation)).toBeGreaterThan(5);
  });

  // Guards against runs that go on for a sender that is lost, until after the client has sent the job again.
  it.each([
    ['killEntry', 800],
    ['freezeEntry', 3_000],
  ] as const)('stops long runs in time under the fault %s of the sender', async (type, forMs) => {
    const jobs = createJobs(20, { atMs: 400, runMs: 2_900, cpu: 100, sendsAgain: true });
    const simulation = await runDispatchSchedule({
      ...{ seed: 5, utilizations: UTILIZATIONS, faults: [createFault(type, 0, forMs)], jobs },
      hasSocketBuffers: true,
    });
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    expect(countForwarded(simulation)).toBeGreaterThan(5);
  });

  // Guards against a second copy that runs beside the first, at the sender, the receivers and a third entry.
  it.each([0, 1, 2])(
    'runs no task twice when clients give up and send again, seed %d',
    async (seed) => {
      const jobs = createJobs(30, { runMs: 1_500, giveUpMs: 300, sendsAgain: true });
      const simulation = await runDispatchSchedule({
        ...{ seed, utilizations: UTILIZATIONS, faults: [], jobs },
      });
      expect(checkDispatchGuarantees(simulation)).toEqual([]);
    },
  );

  it('keeps all guarantees in every generated schedule', async () => {
    let forwarded = 0;
    await fc.assert(
      fc.asyncProperty(forwardingScheduleArbitrary, async (schedule) => {
        const simulation = await runDispatchSchedule(schedule);
        forwarded += simulation.forwardAnswers['ended'] ?? 0;
        expect(checkDispatchGuarantees(simulation)).toEqual([]);
      }),
      { seed: SEED, numRuns: SCHEDULE_COUNT, endOnFailure: false },
    );
    expect(forwarded).toBeGreaterThan(SCHEDULE_COUNT);
  }, 1_800_000);
});
