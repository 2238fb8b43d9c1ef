import fc from 'fast-check';
import { sleep } from '@marjorammast/protocol';
import { checkDispatchGuarantees } from './support/checkDispatchGuarantees';
import { DispatchSimulation } from './support/DispatchSimulation';
import type { SentJob } from './support/DispatchSimulation';
import {
  LATE_SCHEDULE_AGENTS,
  createLateShareSchedules,
  runDispatchSchedule,
} from './support/dispatchSchedule';
import type { PlannedDispatchFault, PlannedDispatchJob } from './support/dispatchSchedule';

/** Number of generated schedules; set by `FAULT_RUNS`. */
const SCHEDULE_COUNT = Number(process.env['FAULT_RUNS'] ?? 40);

/** Seed of the generated schedules; `FAULT_SEED` adds an offset to run others. */
const SEED = 54_001 + Number(process.env['FAULT_SEED'] ?? 0);

/** Seeds of the network delays and the placement, with which each directed test is run. */
const SEEDS = [1, 2, 3, 4, 5];

const PROCESS_FAULTS = [
  'killEntry',
  'killAgent',
  'cut',
  'cutOneWay',
  'freezeAgent',
  'freezeEntry',
] as const;

const INCARNATION_FAULTS = ['reborn', 'leaves'] as const;

const REFUSALS = ['refusing'] as const;

const DEPARTURES = [
  'deregisters',
  'deregistersUnheard',
  'lateDeregistration',
  'lateReport',
] as const;

const ALL_FAULTS = [...PROCESS_FAULTS, ...INCARNATION_FAULTS, ...REFUSALS, ...DEPARTURES];

/** Shares of the late commands of a worker while service goes on. */
const FEW = [0.05, 0.1, 0.2, 0.3];

/** Shares with which several stops in a row are late. */
const HALF = [0.4, 0.5];

const createSentJob = (digit: string, tasks: number, runMs: number, cpu = 300): SentJob => ({
  id: digit.repeat(16),
  tasks,
  spec: { runMs, cpu },
  estimateMs: runMs,
  deadlineMs: 8_000,
});

const createFault = (
  type: PlannedDispatchFault['type'],
  atMs: number,
  forMs: number,
  node = 0,
  other = 0,
): PlannedDispatchFault => ({ type, atMs, forMs, node, other });

/** Creates jobs of long and short tasks that clients send to the entries in turn at a steady rate. */
const createSteadyJobs = (count: number, isSentAgain = false): PlannedDispatchJob[] =>
  Array.from({ length: count }, (_, index) => ({
    atMs: index * 150,
    entry: index % 2,
    tasks: 3,
    runMs: index % 3 === 0 ? 2_500 : 500,
    cpu: 300,
    fails: false,
    deadlineMs: 8_000,
    giveUpMs: undefined,
    sendsAgain: isSentAgain,
  }));

/** Creates a simulation in which all connections are established. */
const createSimulation = async (
  seed: number,
  entryCount: number,
  agentCount: number,
): Promise<DispatchSimulation> => {
  const simulation = DispatchSimulation.create(seed, entryCount, agentCount);
  await jest.advanceTimersByTimeAsync(1_000);
  return simulation;
};

describe('no task has two runs at the same time', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  describe.each(SEEDS)('with seed %i', (seed) => {
    // The stops of the first copy are late; other runs of the worker keep the lease that it shares.
    it('when a run whose stop is not carried out is kept alive by the renewals for its neighbours', async () => {
      const simulation = await createSimulation(seed, 2, 3);
      void simulation.send(createSentJob('b', 6, 4_000), 1);
      void simulation.send(createSentJob('a', 6, 3_000), 0);
      await jest.advanceTimersByTimeAsync(300);
      simulation.workers.forEach((worker) => {
        worker.lateShares = { stop: 1 };
      });
      simulation.killEntry(0);
      await jest.advanceTimersByTimeAsync(1_200);
      simulation.workers.slice(1).forEach((worker) => {
        worker.lateShares = {};
      });
      await jest.advanceTimersByTimeAsync(8_000);
      simulation.halt();
      expect(checkDispatchGuarantees(simulation)).toEqual([]);
      expect(simulation.runs.length).toBeGreaterThan(12);
    });

    // The entry forgot a job with its last client, while the stops of its runs were still under way.
    it.each([1, 8, 40])(
      'when clients whose connections broke send their jobs again to the same entry after %i ms',
      async (pauseMs) => {
        const simulation = await createSimulation(seed, 1, 4);
        const ids = [...'0123456789'];
        const resend = async (digit: string) => {
          await simulation.send(createSentJob(digit, 2, 400), 0, 40);
          await sleep(pauseMs);
          await simulation.send(createSentJob(digit, 2, 400), 0);
        };
        const clients = ids.map(resend);
        await jest.advanceTimersByTimeAsync(6_000);
        await Promise.all(clients);
        simulation.halt();
        expect(checkDispatchGuarantees(simulation)).toEqual([]);
        expect(simulation.answers.map(({ outcome }) => outcome.type)).toEqual(
          Array(ids.length).fill('completed'),
        );
      },
    );

    it.each([300, 2_500])(
      'when a worker whose deregistration was handled %i ms after its notice does not hear so',
      async (forMs) => {
        const simulation = await runDispatchSchedule({
          seed,
          faults: [createFault('deregistersUnheard', 1_000, forMs)],
          jobs: createSteadyJobs(25),
        });
        expect(checkDispatchGuarantees(simulation)).toEqual([]);
        expect(simulation.answers.length).toBeGreaterThan(15);
      },
    );

    it.each(['lateDeregistration', 'lateReport'] as const)(
      'when the fault %s concerns an earlier incarnation while the next one is at work',
      async (type) => {
        const simulation = await runDispatchSchedule({
          seed,
          faults: [createFault(type, 300, 1_500)],
          jobs: createSteadyJobs(25),
        });
        expect(checkDispatchGuarantees(simulation)).toEqual([]);
        expect(simulation.answers.length).toBeGreaterThan(15);
      },
    );

    it.each(['oddWorker', 'oddBirth'] as const)(
      'when a report of another writer (%s) replaces the session with the worker',
      async (type) => {
        const simulation = await runDispatchSchedule({
          seed,
          faults: [createFault(type, 1_000, 10)],
          jobs: createSteadyJobs(25),
        });
        expect(checkDispatchGuarantees(simulation)).toEqual([]);
        expect(simulation.answers.length).toBeGreaterThan(15);
      },
    );

    it('when a worker that lives refuses connections', async () => {
      const simulation = await runDispatchSchedule({
        seed,
        faults: [createFault('refusing', 1_000, 1_500)],
        jobs: createSteadyJobs(25),
      });
      expect(checkDispatchGuarantees(simulation)).toEqual([]);
      expect(simulation.answers.length).toBeGreaterThan(15);
    });

    // The starts are executed 2 s later, the given time after the worker has crashed and is back.
    it.each([5, 100, 400, 1_000])(
      'when starts without an answer are carried out by an incarnation that is up for %i ms',
      async (upMs) => {
        const simulation = await createSimulation(seed, 2, 2);
        const [worker] = simulation.workers;
        if (!worker) return;
        worker.lateDelaysMs = [2_000, 2_000];
        worker.lateShares = { start: 1 };
        void simulation.send(createSentJob('a', 8, 3_000), 0);
        await jest.advanceTimersByTimeAsync(100);
        worker.lateShares = { stop: 0.3, hold: 0.3 };
        await jest.advanceTimersByTimeAsync(1_900 - upMs);
        worker.restart();
        await jest.advanceTimersByTimeAsync(10_000);
        simulation.halt();
        expect(checkDispatchGuarantees(simulation)).toEqual([]);
        expect(simulation.runs.length).toBeGreaterThan(7);
      },
    );

    // The entry cannot hear which of its last starts had no answer.
    it.each(['killed', 'cut off'])(
      'when starts whose agent is then %s are carried out by the next incarnation of its worker',
      async (how) => {
        const simulation = await createSimulation(seed, 1, 2);
        const [worker] = simulation.workers;
        if (!worker) return;
        worker.lateDelaysMs = [2_000, 2_000];
        worker.lateShares = { start: 1 };
        void simulation.send(createSentJob('a', 8, 3_000), 0);
        await jest.advanceTimersByTimeAsync(100);
        worker.lateShares = {};
        const cut = (isCut: boolean) => {
          simulation.network.cut('entry-0', 'agent-0', isCut);
          simulation.network.cut('agent-0', 'entry-0', isCut);
        };
        if (how === 'killed') simulation.killAgent(0);
        else cut(true);
        await jest.advanceTimersByTimeAsync(1_895);
        worker.restart();
        await jest.advanceTimersByTimeAsync(2_000);
        if (how === 'killed') simulation.startAgent(0);
        else cut(false);
        await jest.advanceTimersByTimeAsync(8_000);
        simulation.halt();
        expect(checkDispatchGuarantees(simulation)).toEqual([]);
        expect(simulation.runs.length).toBeGreaterThan(7);
      },
    );

    // The agent cannot tell the second entry; the first one answers `unfinished` at the deadline.
    it('when a copy of a job at another entry follows a start whose agent was killed', async () => {
      const simulation = await createSimulation(seed, 2, 2);
      const [worker] = simulation.workers;
      if (!worker) return;
      worker.lateDelaysMs = [6_000, 6_000];
      worker.lateShares = { start: 1 };
      void simulation.send({ ...createSentJob('a', 8, 2_500), deadlineMs: 3_500 }, 0);
      await jest.advanceTimersByTimeAsync(100);
      worker.lateShares = {};
      simulation.killAgent(0);
      await jest.advanceTimersByTimeAsync(5_895);
      worker.restart();
      await jest.advanceTimersByTimeAsync(500);
      simulation.startAgent(0);
      await jest.advanceTimersByTimeAsync(8_000);
      simulation.halt();
      expect(checkDispatchGuarantees(simulation)).toEqual([]);
      expect(simulation.answers[0]).toMatchObject({
        entry: 'entry-0',
        outcome: { type: 'unfinished', reason: 'deadline' },
      });
      expect(simulation.runs.length).toBeGreaterThan(7);
    });

    // The client gives up its call and sends the job to the other entry.
    it('when a copy of a job whose client left follows a start whose agent was killed', async () => {
      const simulation = await createSimulation(seed, 2, 2);
      const [worker] = simulation.workers;
      if (!worker) return;
      worker.lateDelaysMs = [6_000, 6_000];
      worker.lateShares = { start: 1 };
      void simulation.send(createSentJob('a', 8, 3_500), 0, 2_000, true);
      await jest.advanceTimersByTimeAsync(100);
      worker.lateShares = {};
      simulation.killAgent(0);
      await jest.advanceTimersByTimeAsync(5_895);
      worker.restart();
      await jest.advanceTimersByTimeAsync(500);
      simulation.startAgent(0);
      await jest.advanceTimersByTimeAsync(8_000);
      simulation.halt();
      expect(checkDispatchGuarantees(simulation)).toEqual([]);
      expect(simulation.runs.length).toBeGreaterThan(7);
    });

    it.each([1_000, 2_000, 3_000])(
      'when an agent resumes after %i ms beside a killed entry and few commands are late',
      async (forMs) => {
        const faults = [
          createFault('freezeAgent', 700, forMs),
          createFault('killEntry', 900, 600),
          createFault('freezeAgent', 2_000, forMs, 1),
          createFault('killEntry', 2_300, 600, 0, 1),
        ];
        const simulation = await runDispatchSchedule(
          {
            seed,
            faults,
            jobs: createSteadyJobs(25, true),
            lateWorkers: [0, 1, 2, 3].map((node) => ({ node, share: 0.1 })),
          },
          LATE_SCHEDULE_AGENTS,
        );
        expect(checkDispatchGuarantees(simulation)).toEqual([]);
        expect(simulation.answers.length).toBeGreaterThan(10);
      },
    );
  });

  it.each([
    ['few', 'processes and connections', FEW, PROCESS_FAULTS],
    ['half of the', 'processes and connections', HALF, PROCESS_FAULTS],
    ['few', 'incarnations', FEW, INCARNATION_FAULTS],
    ['few', 'refused connections', FEW, REFUSALS],
    ['few', 'departures', FEW, DEPARTURES],
    ['few', 'all kinds', FEW, ALL_FAULTS],
  ] as const)(
    'in every generated schedule with %s late commands beside faults of %s',
    async (_, __, shares, types) => {
      await fc.assert(
        fc.asyncProperty(createLateShareSchedules(types, shares), async (schedule) => {
          const simulation = await runDispatchSchedule(schedule, LATE_SCHEDULE_AGENTS);
          expect(checkDispatchGuarantees(simulation)).toEqual([]);
        }),
        { seed: SEED, numRuns: SCHEDULE_COUNT, endOnFailure: true },
      );
    },
    1_800_000,
  );
});
