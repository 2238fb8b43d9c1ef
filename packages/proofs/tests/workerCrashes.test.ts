import fc from 'fast-check';
import { checkDispatchGuarantees } from './support/checkDispatchGuarantees';
import type { DispatchSimulation } from './support/DispatchSimulation';
import {
  CRASH_SCHEDULE_AGENTS,
  crashScheduleArbitrary,
  runDispatchSchedule,
} from './support/dispatchSchedule';
import type { PlannedDispatchFault, PlannedDispatchJob } from './support/dispatchSchedule';

const AGENTS = 8;

/**
 * Time after which the runs under a lease have certainly ended, in milliseconds: 600 ms on a clock that is 2 %
 * slow, and 100 ms to end them.
 */
const LEASE_END_MS = 712;

/** Number of generated schedules; set by `FAULT_RUNS`. */
const SCHEDULE_COUNT = Number(process.env['FAULT_RUNS'] ?? 60);

/** Seed of the generated schedules; `FAULT_SEED` adds an offset to run others. */
const SEED = 53_001 + Number(process.env['FAULT_SEED'] ?? 0);

const createJob = (fields: Partial<PlannedDispatchJob>): PlannedDispatchJob => ({
  atMs: 0,
  entry: 0,
  tasks: 1,
  runMs: 150,
  cpu: 500,
  fails: false,
  crashAfterMs: 10,
  giveUpMs: undefined,
  sendsAgain: false,
  ...fields,
});

const killEntryAt = (atMs: number): PlannedDispatchFault => ({
  type: 'killEntry',
  atMs,
  forMs: 500,
  node: 0,
  other: 0,
});

const countCrashes = ({ runs }: DispatchSimulation, task: string): number =>
  runs.filter((run) => run.task.startsWith(task) && run.how === 'crashed').length;

const CRASHING_JOB = '0000000000000001';

describe('tasks that crash the workers that start them', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('are given up after two crashes', async () => {
    const jobs = [createJob({ tasks: 3, crashingTask: 1 })];
    const simulation = await runDispatchSchedule({ seed: 3, faults: [], jobs }, AGENTS);
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    expect(simulation.answers.map(({ outcome }) => outcome.type)).toEqual(['failed']);
    expect(countCrashes(simulation, `${CRASHING_JOB}.0.0.1`)).toBe(2);
  });

  it.each([300, 900])(
    'are given up after two crashes when their entry is killed at %i ms',
    async (atMs) => {
      const jobs = [createJob({ crashingTask: 0, sendsAgain: true })];
      const faults = [killEntryAt(atMs)];
      const simulation = await runDispatchSchedule({ seed: 3, faults, jobs }, AGENTS);
      expect(checkDispatchGuarantees(simulation)).toEqual([]);
      expect(countCrashes(simulation, CRASHING_JOB)).toBe(2);
    },
  );

  it('are given up after four crashes when the workers crash before they answer', async () => {
    // Each start without an answer binds the task to its worker, which is down for 3 s after a crash.
    const jobs = [createJob({ crashingTask: 0, crashAfterMs: 0, deadlineMs: 14_000 })];
    const simulation = await runDispatchSchedule({ seed: 3, faults: [], jobs }, AGENTS);
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    expect(simulation.answers.map(({ outcome }) => outcome.type)).toEqual(['failed']);
    expect(countCrashes(simulation, CRASHING_JOB)).toBe(4);
    expect(new Set(simulation.runs.map(({ worker }) => worker)).size).toBe(1);
  });

  // Guards against starts on further workers before it is known whether the silent ones have crashed.
  it('are started by three workers at most while these only fall silent', async () => {
    const jobs = [createJob({ crashingTask: 0, isCrashSilent: true, deadlineMs: 12_000 })];
    const simulation = await runDispatchSchedule({ seed: 3, faults: [], jobs }, AGENTS);
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    expect(simulation.answers.map(({ outcome }) => outcome.type)).toEqual(['failed']);
    expect(countCrashes(simulation, CRASHING_JOB)).toBeLessThanOrEqual(3);
  });

  it('do not fail the jobs that shared a worker with them', async () => {
    const crashing = createJob({ atMs: 500, crashingTask: 0 });
    const others = Array.from({ length: 30 }, (_, index) =>
      createJob({ atMs: index * 50, entry: index % 2, tasks: 3 }),
    );
    const jobs = [crashing, ...others];
    const simulation = await runDispatchSchedule({ seed: 3, faults: [], jobs }, AGENTS);
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    const outcomes = simulation.answers
      .filter(({ job }) => job.id !== CRASHING_JOB)
      .map(({ outcome }) => outcome.type);
    expect(outcomes).toEqual(Array(others.length).fill('completed'));
  });

  // Guards against holding what shared a crashed worker back after its lease has certainly ended.
  it('delay the runs that shared a worker with them until their lease has ended, and no longer', async () => {
    const bystanders = Array.from({ length: 16 }, () => createJob({ tasks: 2, runMs: 1_000 }));
    const crashing = createJob({ atMs: 300, crashingTask: 0 });
    const jobs = [crashing, ...bystanders];
    const simulation = await runDispatchSchedule({ seed: 3, faults: [], jobs }, AGENTS);
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    const runs = simulation.runs.filter(({ task }) => !task.startsWith(CRASHING_JOB));
    const lost = runs.filter(({ how }) => how === 'crashed');
    const delays = lost.map(({ task, run, endedAt }) => {
      const next = runs.find((other) => other.task === task && other.run > run);
      return (next?.startedAt ?? Infinity) - endedAt;
    });
    expect(lost.length).toBeGreaterThan(0);
    expect(Math.max(...delays)).toBeLessThanOrEqual(LEASE_END_MS);
  });

  it('keep to all guarantees in every generated schedule', async () => {
    await fc.assert(
      fc.asyncProperty(crashScheduleArbitrary, async (schedule) => {
        const simulation = await runDispatchSchedule(schedule, CRASH_SCHEDULE_AGENTS);
        expect(checkDispatchGuarantees(simulation)).toEqual([]);
      }),
      { seed: SEED, numRuns: SCHEDULE_COUNT, endOnFailure: false },
    );
  }, 1_800_000);

  // The load: every third job of one route has a task that crashes its worker, while another route sends
  // twice as many jobs.
  it('leave room for the jobs of other routes', async () => {
    const claims = Array.from({ length: 40 }, (_, index) =>
      createJob({ atMs: index * 100, crashingTask: index % 3 === 0 ? 0 : undefined }),
    );
    const lookups = Array.from({ length: 80 }, (_, index) =>
      createJob({ atMs: index * 50, entry: 1, route: 'lookups', tasks: 2, runMs: 300 }),
    );
    const jobs = [...claims, ...lookups];
    const simulation = await runDispatchSchedule({ seed: 3, faults: [], jobs }, 12);
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    const outcomes = simulation.answers
      .filter(({ job }) => job.route === 'lookups')
      .map(({ outcome }) => outcome.type);
    const completed = outcomes.filter((type) => type === 'completed');
    expect(completed.length / lookups.length).toBeGreaterThanOrEqual(0.9);
    expect(new Set(outcomes)).not.toContain('failed');
  });

  // The load: every tenth job of one route has such a task, and the entry that accepts them is killed.
  it('leave room for other jobs while their entry is killed', async () => {
    const crashingJobs = 10;
    const claims = Array.from({ length: 10 * crashingJobs }, (_, index) =>
      createJob({
        atMs: index * 40,
        crashingTask: index % 10 === 0 ? 0 : undefined,
        sendsAgain: true,
      }),
    );
    const lookups = Array.from({ length: 80 }, (_, index) =>
      createJob({ atMs: index * 50, entry: 1, route: 'lookups', tasks: 2, runMs: 300 }),
    );
    const schedule = { seed: 3, faults: [killEntryAt(2_000)], jobs: [...claims, ...lookups] };
    const simulation = await runDispatchSchedule(schedule, 12);
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    const crashed = simulation.runs.filter(({ how }) => how === 'crashed');
    const crashes = crashed.map(({ task }) => countCrashes(simulation, task));
    expect(Math.max(...crashes)).toBeLessThanOrEqual(3);
    const outcomes = simulation.answers
      .filter(({ job }) => job.route === 'lookups')
      .map(({ outcome }) => outcome.type);
    const completed = outcomes.filter((type) => type === 'completed');
    expect(completed.length / lookups.length).toBeGreaterThanOrEqual(0.9);
    expect(new Set(outcomes)).not.toContain('failed');
  });
});
