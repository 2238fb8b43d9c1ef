import { DispatchSimulation } from './support/DispatchSimulation';
import type { SentJob } from './support/DispatchSimulation';
import { checkDispatchGuarantees } from './support/checkDispatchGuarantees';

/** Readings of a worker's clock at the start of an incarnation and of the one after it, in milliseconds. */
const HIGH_CLOCK_MS = 476_000;
const LOW_CLOCK_MS = 2_000;

/** Time after which a client gives up its call, in milliseconds. */
const GIVE_UP_MS = 90;

const createJob = (digit: string, runMs = 100): SentJob => ({
  id: digit.repeat(16),
  tasks: 2,
  spec: { runMs, cpu: 300 },
  estimateMs: runMs,
});

const advance = (ms: number) => jest.advanceTimersByTimeAsync(ms);

/** Creates a simulation of one worker, whose clock is high, with its agent and an entry. */
const createSimulation = async () => {
  const simulation = DispatchSimulation.create(1, 1, 1);
  const [worker] = simulation.workers;
  if (!worker) throw new Error('no worker');
  await advance(1_000);
  worker.nextClockStart = HIGH_CLOCK_MS;
  worker.restart();
  await advance(1_500);
  worker.nextClockStart = LOW_CLOCK_MS;
  return { simulation, worker };
};

/** Kills agents and starts them again. */
const restartAgents = async (simulation: DispatchSimulation, agents: readonly number[]) => {
  agents.forEach((agent) => simulation.killAgent(agent));
  await advance(300);
  agents.forEach((agent) => simulation.startAgent(agent));
};

/** Crashes all workers once for each reading with which their clocks begin. */
const crashWorkers = async (
  simulation: DispatchSimulation,
  [clockStart, ...rest]: readonly number[],
): Promise<void> => {
  if (clockStart === undefined) return;
  simulation.workers.forEach((worker) => {
    Object.assign(worker, { nextClockStart: clockStart });
    worker.restart();
  });
  await advance(1_500);
  await crashWorkers(simulation, rest);
};

/** Sends a job and waits until it is over. */
const sendJob = async (simulation: DispatchSimulation, digit: string) => {
  void simulation.send(createJob(digit), 0);
  await advance(1_000);
};

const outcomes = ({ answers }: DispatchSimulation) => answers.map(({ outcome }) => outcome.type);

describe('the fencing token of an agent', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against workers that refuse every later process of their agent: it computed a lower token than the one before.
  it('is accepted from the next process of the agent after the worker came back with a lower clock', async () => {
    const { simulation, worker } = await createSimulation();
    worker.restart();
    await advance(1_500);
    await restartAgents(simulation, [0]);
    await advance(3_000);
    await sendJob(simulation, 'a');
    simulation.halt();
    expect(outcomes(simulation)).toEqual(['completed']);
  });

  describe.each([
    ['lower each time', [900_000, 476_000, 60_000, 2_000]],
    ['far higher each time', [2_000, 476_000, 90_000_000, 1_800_000_000_000]],
    ['lower and higher by turns', [476_000, 2_000, 1_800_000_000_000, 1]],
  ])('after crashes of the worker with clocks that begin %s', (_, clockStarts) => {
    // Guards against the same fault after any series of clocks, and against one that only the first restart is spared.
    it.each([
      ['its agent alone', [0]],
      ['all agents', [0, 1, 2]],
    ])('is accepted after two restarts of %s in a row', async (__, restarted) => {
      const simulation = DispatchSimulation.create(1, 1, 3);
      await advance(1_000);
      await crashWorkers(simulation, clockStarts);
      await restartAgents(simulation, restarted);
      await advance(1_000);
      await restartAgents(simulation, restarted);
      await advance(3_000);
      // The tasks fill all three workers.
      void simulation.send({ ...createJob('a'), tasks: 9, spec: { runMs: 100, cpu: 1_000 } }, 0);
      await advance(1_000);
      simulation.halt();
      expect(outcomes(simulation)).toEqual(['completed']);
      expect(new Set(simulation.runs.map(({ worker }) => worker)).size).toBe(3);
      expect(checkDispatchGuarantees(simulation)).toEqual([]);
    });
  });

  // Guards against a second run of a task: a start of an earlier process is on its way when the next one has listed the
  // runs, and its lease counts from its arrival.
  it('fences off a delayed start of an earlier process, to the same incarnation', async () => {
    const { simulation, worker } = await createSimulation();
    worker.countsLateLeasesFromArrival = true;
    worker.lateDelaysMs = [6_000, 6_000];
    worker.lateShares = { start: 1 };
    void simulation.send(createJob('a'), 0, GIVE_UP_MS);
    await advance(100);
    worker.lateShares = {};
    simulation.killEntry(0);
    await restartAgents(simulation, [0]);
    simulation.startEntry(0);
    await advance(7_000);
    await sendJob(simulation, 'b');
    simulation.halt();
    expect(simulation.runs.filter(({ task }) => task.startsWith('a'))).toEqual([]);
    expect(outcomes(simulation)).toEqual(['completed']);
  });

  // Guards against a second run of a task: the start of an earlier process, sent to an earlier incarnation, is late.
  it('fences off a delayed start of an earlier process, to an incarnation whose clock was higher', async () => {
    const { simulation, worker } = await createSimulation();
    worker.lateDelaysMs = [6_000, 6_000];
    worker.lateShares = { start: 1 };
    void simulation.send(createJob('a'), 0, GIVE_UP_MS);
    await advance(100);
    worker.lateShares = {};
    simulation.killAgent(0);
    simulation.killEntry(0);
    worker.restart();
    await advance(500);
    simulation.startAgent(0);
    simulation.startEntry(0);
    await advance(6_000);
    await sendJob(simulation, 'b');
    simulation.halt();
    expect(simulation.runs.filter(({ task }) => task.startsWith('a'))).toEqual([]);
    expect(outcomes(simulation)).toEqual(['completed']);
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
  });

  // Guards against an earlier process that takes its worker back: it was paused while its successor took over.
  it.each([
    ['the same incarnation', false],
    ['an incarnation whose clock began lower', true],
  ])('fences off an earlier process that resumes, at %s', async (_, isReborn) => {
    const { simulation, worker } = await createSimulation();
    void simulation.send(createJob('a', 300), 0);
    await advance(100);
    const earlier = simulation.agents[0]?.node;
    const resume = simulation.succeedAgent(0);
    if (isReborn) worker.restart();
    await advance(3_000);
    void simulation.send(createJob('b', 2_000), 0);
    await advance(500);
    resume();
    await advance(100);
    const report = worker.report();
    if (report) earlier?.handleReport(report);
    await advance(900);
    expect(earlier?.view).toMatchObject({ state: 'closed', reason: 'superseded' });
    await advance(2_000);
    simulation.halt();
    expect(outcomes(simulation)).toEqual(['completed', 'completed']);
    expect(simulation.runs.filter(({ task }) => task.startsWith('b'))).toHaveLength(2);
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
  });

  // Guards against a service that depends on the store: a worker that is started anew takes work without it.
  it('is accepted from an agent that the store does not answer, by a worker that has started since', async () => {
    const { simulation, worker } = await createSimulation();
    simulation.store.isDown = true;
    simulation.killAgent(0);
    worker.restart();
    await advance(300);
    simulation.startAgent(0);
    await advance(3_000);
    await sendJob(simulation, 'a');
    simulation.halt();
    expect(outcomes(simulation)).toEqual(['completed']);
  });

  // LIMIT: until the store answers, the next process of an agent can't tell that it is the newest.
  it('is accepted from the next process of the agent as soon as the store answers again', async () => {
    const { simulation, worker } = await createSimulation();
    worker.restart();
    await advance(1_500);
    simulation.store.isDown = true;
    await restartAgents(simulation, [0]);
    await advance(4_000);
    simulation.store.isDown = false;
    await advance(2_500);
    await sendJob(simulation, 'a');
    simulation.halt();
    expect(outcomes(simulation)).toEqual(['completed']);
  });
});
