import { checkDispatchGuarantees } from './support/checkDispatchGuarantees';
import { runDispatchSchedule } from './support/dispatchSchedule';
import type { PlannedDispatchFault, PlannedDispatchJob } from './support/dispatchSchedule';

const createJob = (atMs: number, runMs: number): PlannedDispatchJob => ({
  atMs,
  entry: 0,
  tasks: 2,
  runMs,
  cpu: 700,
  fails: false,
  giveUpMs: undefined,
  sendsAgain: false,
});

const shrink: PlannedDispatchFault = { type: 'shrink', atMs: 300, forMs: 1_500, node: 0, other: 0 };

describe('a worker whose capacity shrinks below what its runs use', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against free resources below zero, for which entries dropped the ends in the same message.
  it('ends its runs as usual and gets new ones only within its capacity', async () => {
    const jobs = [
      createJob(0, 400),
      createJob(0, 1_200),
      createJob(100, 400),
      createJob(2_000, 400),
    ];
    const simulation = await runDispatchSchedule({ seed: 5, faults: [shrink], jobs }, 1);
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    const outcomes = simulation.answers.map(({ outcome }) => outcome.type);
    expect(outcomes).toEqual(jobs.map(() => 'completed'));
    expect(simulation.runs).toHaveLength(jobs.length * 2);
    expect(simulation.runs.filter(({ how }) => how !== 'done')).toEqual([]);
  });

  // Guards against starts that are repeated at once while the worker refuses them, each with twice the run
  // number, until the number is too high for a message and the agent's connection is closed.
  it('is not sent starts over and over while its agent has not heard of it', async () => {
    const jobs = [createJob(0, 3_000), createJob(320, 400)];
    const fault: PlannedDispatchFault = { ...shrink, type: 'shrinkUnseen', forMs: 450 };
    const simulation = await runDispatchSchedule({ seed: 5, faults: [fault], jobs }, 1);
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    expect(simulation.workers[0]?.rejectedStarts).toBeLessThanOrEqual(4);
    expect(simulation.runs.filter(({ how }) => how !== 'done')).toEqual([]);
  });
});

describe('a quarter of the workers that shrink to 0.55 of their capacity', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // The load: 20 jobs a second, and 1.4 times as many for a second and a half of the shrinkage.
  it('end each run once while more jobs come', async () => {
    const shrunkWorkers = [0, 1];
    const faults = shrunkWorkers.map((node): PlannedDispatchFault => ({
      ...shrink,
      atMs: 1_020,
      forMs: 2_500,
      node,
      shrinkFactor: 0.55,
    }));
    const usualJobs = Array.from({ length: 78 }, (_, index) =>
      createJob(index * 50, 250 + (index % 7) * 50),
    );
    const furtherJobs = Array.from({ length: 12 }, (_, index) =>
      createJob(1_500 + index * 125, 150),
    );
    const jobs = [...usualJobs, ...furtherJobs].map((job, index) => ({
      ...job,
      cpu: 1_000,
      entry: index % 2,
    }));
    const simulation = await runDispatchSchedule({ seed: 5, faults, jobs }, 8);
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    const outcomes = simulation.answers.map(({ outcome }) => outcome.type);
    expect(outcomes).toEqual(jobs.map(() => 'completed'));
    expect(simulation.runs).toHaveLength(jobs.length * 2);
    expect(simulation.runs.filter(({ how }) => how !== 'done')).toEqual([]);
    shrunkWorkers.forEach((node) => {
      expect(simulation.runs.some(({ worker }) => worker === `worker-${node}`)).toBe(true);
    });
  });
});
