import fc from 'fast-check';
import { checkDispatchGuarantees } from './support/checkDispatchGuarantees';
import { DispatchSimulation } from './support/DispatchSimulation';
import { dispatchScheduleArbitrary, runDispatchSchedule } from './support/dispatchSchedule';
import type { PlannedDispatchFault, PlannedDispatchJob } from './support/dispatchSchedule';

/** Number of generated schedules; set by `FAULT_RUNS`. */
const SCHEDULE_COUNT = Number(process.env['FAULT_RUNS'] ?? 150);

/** Seed of the generated schedules; `FAULT_SEED` adds an offset to run others. */
const SEED = 52_001 + Number(process.env['FAULT_SEED'] ?? 0);

const idOf = (number: number): string => number.toString(16).padStart(16, '0');

/** Creates jobs that clients send to the entries in turn at a steady rate. */
const createSteadyJobs = (count: number, runMs: number): PlannedDispatchJob[] =>
  Array.from({ length: count }, (_, index) => ({
    atMs: index * 120,
    entry: index % 2,
    tasks: 3,
    runMs,
    cpu: 500,
    fails: false,
    giveUpMs: undefined,
    sendsAgain: false,
  }));

const createFault = (
  type: PlannedDispatchFault['type'],
  atMs: number,
  forMs: number,
  node = 0,
  other = 0,
) => ({
  type,
  atMs,
  forMs,
  node,
  other,
});

/** Faults with the time that each lasts, in milliseconds. */
const FAULT_TIMES = [
  ['killEntry', 800],
  ['killAgent', 1_500],
  ['freezeEntry', 1_200],
  ['freezeAgent', 1_200],
  ['cut', 1_500],
  ['silent', 1_500],
  ['answerLost', 1_500],
  ['late', 1_500],
  ['delayed', 1_500],
  ['reborn', 10],
  ['leaves', 3_500],
  ['takeOut', 1_500],
] as const;

describe('dispatch under faults', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('completes every job when there are no faults', async () => {
    const simulation = await runDispatchSchedule({
      seed: 1,
      faults: [],
      jobs: createSteadyJobs(20, 200),
    });
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    expect(simulation.answers.map(({ outcome }) => outcome.type)).toEqual(
      Array(20).fill('completed'),
    );
  });

  it.each([1, 2, 3, 4, 5])(
    'answers all jobs within three times their objective when more tasks wait than fit on the workers, seed %d',
    async (seed) => {
      const runMs = 60;
      const simulation = DispatchSimulation.create(seed, 2, 3, 4_000);
      const routes = simulation.operatorState.routes.map((route) => ({
        ...route,
        stretch: 2,
        targetLatencyMs: 100,
      }));
      simulation.changeOperatorState({ version: 4, routes });
      await jest.advanceTimersByTimeAsync(1_000);
      const sentAt = performance.now();
      Array.from({ length: 20 }, (_, index) => idOf(index + 1)).forEach((id, index) => {
        const job = { id, tasks: 4, spec: { runMs, cpu: 500 }, estimateMs: runMs };
        void simulation.send(job, index % 2);
      });
      await jest.advanceTimersByTimeAsync(5_000);
      simulation.halt();
      expect(checkDispatchGuarantees(simulation)).toEqual([]);
      expect(simulation.answers.map(({ outcome }) => outcome)).toEqual(
        Array(20).fill({ type: 'completed' }),
      );
      const lastAnswerMs = Math.max(...simulation.answers.map(({ at }) => at)) - sentAt;
      expect(lastAnswerMs).toBeLessThan(3 * (2 * runMs + 100));
    },
  );

  it.each(FAULT_TIMES)('keeps all guarantees under the fault %s', async (type, forMs) => {
    const faults = [createFault(type, 500, forMs), createFault(type, 2_600, forMs, 1, 1)];
    const simulation = await runDispatchSchedule({
      seed: 7,
      faults,
      jobs: createSteadyJobs(30, 250),
    });
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    const done = simulation.answers.filter(({ outcome }) => outcome.type === 'completed');
    expect(done.length).toBeGreaterThan(15);
  });

  it.each(FAULT_TIMES)(
    'keeps all guarantees while tasks wait at the agents under the fault %s',
    async (type, forMs) => {
      const simulation = await runDispatchSchedule({
        seed: 8,
        faults: [createFault(type, 500, forMs), createFault(type, 2_600, forMs, 1, 1)],
        jobs: createSteadyJobs(90, 250).map((job, index) => ({
          ...job,
          atMs: index * 40,
          tasks: 4,
          sendsAgain: true,
        })),
        isQueueing: true,
      });
      expect(checkDispatchGuarantees(simulation)).toEqual([]);
      // Without queued tasks nothing would have been shown.
      expect(simulation.admissions.queued).toBeGreaterThan(20);
    },
  );

  it('admits tasks after an agent restart only within the capacity that earlier runs leave free', async () => {
    const simulation = DispatchSimulation.create(6, 2, 1);
    await jest.advanceTimersByTimeAsync(1_000);
    const job = { tasks: 6, spec: { runMs: 2_500, cpu: 500 }, estimateMs: 2_500 };
    void simulation.send({ ...job, id: 'a'.repeat(16) }, 0);
    await jest.advanceTimersByTimeAsync(300);
    simulation.killAgent(0);
    simulation.startAgent(0);
    simulation.reportNow(0);
    void simulation.send({ ...job, id: 'b'.repeat(16) }, 1);
    await jest.advanceTimersByTimeAsync(5_000);
    simulation.halt();
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    expect(simulation.runs.length).toBeGreaterThan(6);
  });

  it.each(['killEntry', 'freezeEntry', 'cut'] as const)(
    'runs no task twice at the same time when a client sends its job again after the fault %s',
    async (type) => {
      const job = {
        ...createSteadyJobs(1, 2_800)[0],
        giveUpMs: 400,
        sendsAgain: true,
      } as PlannedDispatchJob;
      const faults = [0, 1, 2].map((node) => createFault(type, 350, 4_000, node));
      const simulation = await runDispatchSchedule({ seed: 9, faults, jobs: [job] });
      expect(checkDispatchGuarantees(simulation)).toEqual([]);
      expect(new Set(simulation.runs.map(({ run }) => run)).size).toBeGreaterThan(0);
      expect(simulation.answers.map(({ outcome }) => outcome.type)).toEqual(['completed']);
    },
  );

  it('reruns tasks within 1.4 seconds after their worker has stopped answering', async () => {
    const simulation = DispatchSimulation.create(5, 1, 2);
    await jest.advanceTimersByTimeAsync(1_000);
    const job = { id: 'a'.repeat(16), tasks: 8, spec: { runMs: 300, cpu: 500 }, estimateMs: 300 };
    void simulation.send(job, 0);
    await jest.advanceTimersByTimeAsync(100);
    const [worker] = simulation.workers;
    if (worker) worker.commandFault = 'silent';
    await jest.advanceTimersByTimeAsync(1_400);
    simulation.halt();
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    expect(simulation.answers.map(({ outcome }) => outcome.type)).toEqual(['completed']);
  });

  it('passes a new configuration on to an entry that does not get it from the store', async () => {
    const simulation = DispatchSimulation.create(3, 3, 2);
    await jest.advanceTimersByTimeAsync(1_000);
    const [route] = simulation.operatorState.routes;
    const routes = route ? [route, { ...route, name: 'new', prefix: '/new/' }] : [];
    simulation.changeOperatorState({ version: 4, routes }, [1]);
    await jest.advanceTimersByTimeAsync(1_900);
    const names = simulation.entries.map(({ node }) => node.findRoute('h.example', '/new/1')?.name);
    simulation.halt();
    expect(names).toEqual(['new', 'new', 'new']);
  });

  it('keeps all guarantees in every generated schedule', async () => {
    await fc.assert(
      fc.asyncProperty(dispatchScheduleArbitrary, async (schedule) => {
        expect(checkDispatchGuarantees(await runDispatchSchedule(schedule))).toEqual([]);
      }),
      { seed: SEED, numRuns: SCHEDULE_COUNT, endOnFailure: false },
    );
  }, 1_800_000);
});
