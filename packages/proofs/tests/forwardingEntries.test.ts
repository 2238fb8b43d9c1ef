import { checkDispatchGuarantees } from './support/checkDispatchGuarantees';
import { DispatchSimulation } from './support/DispatchSimulation';

const ID = 'a'.repeat(16);

/** Time in which the first entry is overloaded and its connections to the others are open, in milliseconds. */
const WARM_UP_MS = 3_000;

/** Time for which a client waits that does not send its job again, in milliseconds. */
const CLIENT_PATIENCE_MS = 5_000;

const createSimulation = async (): Promise<DispatchSimulation> => {
  const simulation = DispatchSimulation.create(4, 3, 3, undefined, [1, 0.1, 0.1]);
  await jest.advanceTimersByTimeAsync(WARM_UP_MS);
  return simulation;
};

const createJob = (runMs: number, tasks = 2, id = ID) => ({
  ...{ id, tasks, spec: { runMs, cpu: 300 }, estimateMs: runMs },
});

const createSubmission = (simulation: DispatchSimulation, runMs: number, id: string) => {
  const needs = { cpu: 300, memoryMb: 10, accelerators: 0 };
  const step = { count: 2, needs, estimateMs: runMs, after: [], maxPerWorker: 0, traits: [] };
  const [route] = simulation.operatorState.routes;
  if (!route) throw new Error('no route');
  const spec = JSON.stringify({ runMs, cpu: 300 });
  const job = { id, spec, steps: [step], isBestEffort: true, repeatCount: 0 };
  return { route, job, remainingMs: 5_000, signal: new AbortController().signal };
};

const nodeOf = ({ entries }: DispatchSimulation, index: number) => {
  const node = entries[index]?.node;
  if (!node) throw new Error(`no entry ${index}`);
  return node;
};

/** Index of the other entry at which a job is open, or -1. */
const receiverOf = (simulation: DispatchSimulation, id = ID): number =>
  simulation.entries.findIndex(({ node }, index) => index > 0 && node.isActive(id));

const activeRuns = ({ runs }: DispatchSimulation, id: string): number => {
  const now = performance.now();
  return runs.filter(({ task, endedAt }) => task.startsWith(id) && endedAt > now).length;
};

/** Sends jobs to the overloaded entry until one is open at another one. Returns its identifier. */
const forwardOne = async (simulation: DispatchSimulation, runMs: number): Promise<string> => {
  for (let number = 1; number < 10; number += 1) {
    const id = number.toString(16).padStart(16, '0');
    void simulation.send(createJob(runMs, 2, id), 0, CLIENT_PATIENCE_MS);
    await jest.advanceTimersByTimeAsync(50);
    if (receiverOf(simulation, id) > 0) return id;
  }
  throw new Error('no job was forwarded');
};

describe('entries that forward jobs', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against tasks that run on after their client has cancelled the job.
  it('cancel a forwarded job at the entry that got it', async () => {
    const simulation = await createSimulation();
    const id = await forwardOne(simulation, 2_000);
    expect(activeRuns(simulation, id)).toBe(2);
    expect(nodeOf(simulation, 0).cancel(id)).toBe(true);
    await jest.advanceTimersByTimeAsync(60);
    expect(receiverOf(simulation, id)).toBe(-1);
    expect(activeRuns(simulation, id)).toBe(0);
    simulation.halt();
  });

  it('count a forwarded job as open and as pending at the entry that got it', async () => {
    const simulation = await createSimulation();
    const [route] = simulation.operatorState.routes;
    if (!route) throw new Error('no route');
    const counts = () => simulation.entries.map(({ node }) => node.countPending(route));
    // The workers are occupied, so that the job has to wait.
    Array.from({ length: 3 }, (_, index) => `${index}`.padStart(16, 'b')).forEach(
      (id) =>
        void simulation.send(
          { ...createJob(1_500, 10, id), spec: { runMs: 1_500, cpu: 1_000 } },
          2,
        ),
    );
    await jest.advanceTimersByTimeAsync(100);
    const before = counts()[0] ?? 0;
    const id = await forwardOne(simulation, 2_000);
    expect(nodeOf(simulation, 0).isActive(id)).toBe(true);
    expect(nodeOf(simulation, 0).openJobs).toBeGreaterThan(0);
    expect(counts()[0]).toBeGreaterThan(before);
    expect(counts()[1]).toBe(0);
    simulation.halt();
  });

  it('give a second copy at the sender the answer to the first', async () => {
    const simulation = await createSimulation();
    const id = await forwardOne(simulation, 800);
    const second = nodeOf(simulation, 0).submit(createSubmission(simulation, 800, id));
    await jest.advanceTimersByTimeAsync(1_500);
    expect(await second).toEqual({ type: 'completed' });
    expect(simulation.runs.filter(({ task }) => task.startsWith(id))).toHaveLength(2);
    simulation.halt();
  });

  // Guards against the end of a job that another client still waits for, and against its second run.
  it('run a second copy at the receiver on, when the sender is lost', async () => {
    const simulation = await createSimulation();
    const id = await forwardOne(simulation, 1_500);
    const receiver = nodeOf(simulation, receiverOf(simulation, id));
    const second = receiver.submit(createSubmission(simulation, 1_500, id));
    await jest.advanceTimersByTimeAsync(100);
    simulation.killEntry(0);
    await jest.advanceTimersByTimeAsync(2_500);
    expect(await second).toEqual({ type: 'completed' });
    expect(checkDispatchGuarantees(simulation)).toEqual([]);
    simulation.halt();
  });

  // Guards against requests that are cut off by a graceful stop.
  it.each(['sender', 'receiver'])('answer all forwarded jobs when the %s stops', async (side) => {
    const simulation = await createSimulation();
    const id = await forwardOne(simulation, 1_000);
    const index = side === 'sender' ? 0 : receiverOf(simulation, id);
    let isStopped = false;
    void nodeOf(simulation, index)
      .stop(100, 4_000)
      .then(() => {
        isStopped = true;
      });
    await jest.advanceTimersByTimeAsync(300);
    expect(isStopped).toBe(false);
    await jest.advanceTimersByTimeAsync(2_000);
    expect(isStopped).toBe(true);
    expect(simulation.answers.map(({ outcome }) => outcome.type)).not.toContain('unfinished');
    expect(simulation.answers.map(({ job }) => job.id)).toContain(id);
    simulation.halt();
  });

  // Guards against a stop that times out and leaves forwarded jobs without a true answer, or their tasks running.
  it.each(['sender', 'receiver'])(
    'answer a forwarded job as unfinished when the stop of the %s times out',
    async (side) => {
      const simulation = await createSimulation();
      const id = await forwardOne(simulation, 3_000);
      const second = nodeOf(simulation, 0).submit(createSubmission(simulation, 3_000, id));
      const index = side === 'sender' ? 0 : receiverOf(simulation, id);
      void nodeOf(simulation, index).stop(100, 400);
      await jest.advanceTimersByTimeAsync(700);
      expect(await second).toEqual({ type: 'unfinished', reason: 'stopping' });
      expect(activeRuns(simulation, id)).toBe(0);
      await jest.advanceTimersByTimeAsync(6_000);
      expect(checkDispatchGuarantees(simulation)).toEqual([]);
      simulation.halt();
    },
  );

  // Guards against the start of a task of a job that a stopping receiver has refused.
  it('refuse a forwarded job that waits when the stop of the receiver times out', async () => {
    const simulation = await createSimulation();
    Array.from({ length: 3 }, (_, index) => `${index}`.padStart(16, 'b')).forEach(
      (id) =>
        void simulation.send(
          { ...createJob(2_500, 10, id), spec: { runMs: 2_500, cpu: 1_000 } },
          2,
          CLIENT_PATIENCE_MS,
        ),
    );
    await jest.advanceTimersByTimeAsync(100);
    const id = await forwardOne(simulation, 2_000);
    const second = nodeOf(simulation, 0).submit(createSubmission(simulation, 2_000, id));
    expect(activeRuns(simulation, id)).toBe(0);
    void nodeOf(simulation, receiverOf(simulation, id)).stop(100, 400);
    await jest.advanceTimersByTimeAsync(350);
    expect(receiverOf(simulation, id)).toBeGreaterThan(0);
    await jest.advanceTimersByTimeAsync(250);
    expect(await second).toMatchObject({ type: 'refused', reason: 'noRoom' });
    expect(simulation.runs.filter(({ task }) => task.startsWith(id))).toEqual([]);
    simulation.halt();
  });

  it('forward nothing to an entry that stops, and nothing while they stop', async () => {
    const simulation = await createSimulation();
    [1, 2].forEach((index) => void nodeOf(simulation, index).stop(3_000, 4_000));
    await jest.advanceTimersByTimeAsync(200);
    await expect(forwardOne(simulation, 100)).rejects.toThrow('no job was forwarded');
    simulation.halt();
  });

  it.each([
    ['configuration version', { version: 9 }, false],
    ['route', { version: 9, routes: [] }, true],
  ])('run a job at the sender when the receivers lack its %s', async (_name, fields, isNewer) => {
    const simulation = await createSimulation();
    const { routes } = simulation.operatorState;
    if (isNewer) {
      simulation.changeOperatorState(fields, [0]);
      nodeOf(simulation, 0).configure({ ...simulation.operatorState, version: 3, routes });
    } else {
      simulation.changeOperatorState(fields, [1, 2]);
    }
    ['a', 'b', 'c'].forEach((id) => void simulation.send(createJob(100, 2, id.repeat(16)), 0));
    await jest.advanceTimersByTimeAsync(290);
    expect(simulation.answers.map(({ outcome }) => outcome.type)).toEqual(
      Array(3).fill('completed'),
    );
    expect(simulation.forwardAnswers['declined']).toBeGreaterThan(0);
    simulation.halt();
  });
});
