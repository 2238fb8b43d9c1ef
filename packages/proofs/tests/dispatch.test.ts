import fc from 'fast-check';
import { DispatchWorld, checkDispatch } from './support/DispatchWorld';
import { dispatchRun, playDispatch } from './support/dispatchSchedule';
import type { DispatchFault, DispatchWork } from './support/dispatchSchedule';

/** Schedules in this file; `FAULT_RUNS` asks for more. */
const RUNS = Number(process.env['FAULT_RUNS'] ?? 150);

const SEED = 52_001 + Number(process.env['FAULT_SEED'] ?? 0);

const steady = (count: number, runMs: number): DispatchWork[] =>
  Array.from({ length: count }, (_, index) => ({
    atMs: index * 120,
    entry: index % 2,
    tasks: 3,
    runMs,
    cpu: 500,
    fails: false,
    leaveMs: undefined,
    returns: false,
  }));

const at = (type: DispatchFault['type'], atMs: number, forMs: number, node = 0, other = 0) => ({
  type,
  atMs,
  forMs,
  node,
  other,
});

describe('dispatch under faults', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('answers every job of a calm day with success', async () => {
    const world = await playDispatch({ seed: 1, faults: [], work: steady(20, 200) });
    expect(checkDispatch(world)).toEqual([]);
    expect(world.answers.map(({ outcome }) => outcome.type)).toEqual(Array(20).fill('completed'));
  });

  it.each([
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
  ] as const)('keeps its promises under %s', async (type, forMs) => {
    const faults = [at(type, 500, forMs), at(type, 2_600, forMs, 1, 1)];
    const world = await playDispatch({ seed: 7, faults, work: steady(30, 250) });
    expect(checkDispatch(world)).toEqual([]);
    const done = world.answers.filter(({ outcome }) => outcome.type === 'completed');
    expect(done.length).toBeGreaterThan(15);
  });

  it('offers a worker only when the runs of the agent before are known and gone', async () => {
    const world = DispatchWorld.create(6, 2, 1);
    await jest.advanceTimersByTimeAsync(1_000);
    const job = { tasks: 6, spec: { runMs: 2_500, cpu: 500 }, estimateMs: 2_500 };
    void world.send({ ...job, id: 'a'.repeat(16) }, 0);
    await jest.advanceTimersByTimeAsync(300);
    world.killAgent(0);
    world.startAgent(0);
    world.reportNow(0);
    void world.send({ ...job, id: 'b'.repeat(16) }, 1);
    await jest.advanceTimersByTimeAsync(5_000);
    world.halt();
    expect(checkDispatch(world)).toEqual([]);
    expect(world.runs.length).toBeGreaterThan(6);
  });

  it.each(['killEntry', 'freezeEntry', 'cut'] as const)(
    'has no run of the first call left when a client calls again after %s',
    async (type) => {
      const work = { ...steady(1, 2_800)[0], leaveMs: 400, returns: true } as DispatchWork;
      const faults = [0, 1, 2].map((node) => at(type, 350, 4_000, node));
      const world = await playDispatch({ seed: 9, faults, work: [work] });
      expect(checkDispatch(world)).toEqual([]);
      expect(new Set(world.runs.map(({ run }) => run)).size).toBeGreaterThan(0);
      expect(world.answers.map(({ outcome }) => outcome.type)).toEqual(['completed']);
    },
  );

  it('runs the tasks of a worker that falls silent again within a second', async () => {
    const world = DispatchWorld.create(5, 1, 2);
    await jest.advanceTimersByTimeAsync(1_000);
    const job = { id: 'a'.repeat(16), tasks: 8, spec: { runMs: 300, cpu: 500 }, estimateMs: 300 };
    void world.send(job, 0);
    await jest.advanceTimersByTimeAsync(100);
    const [worker] = world.workers;
    if (worker) worker.mood = 'silent';
    await jest.advanceTimersByTimeAsync(1_400);
    world.halt();
    expect(checkDispatch(world)).toEqual([]);
    expect(world.answers.map(({ outcome }) => outcome.type)).toEqual(['completed']);
  });

  it('tells an entry that the store turns away of a new configuration', async () => {
    const world = DispatchWorld.create(3, 3, 2);
    await jest.advanceTimersByTimeAsync(1_000);
    const [route] = world.operatorState.routes;
    const routes = route ? [route, { ...route, name: 'new', prefix: '/new/' }] : [];
    world.change({ version: 4, routes }, [1]);
    await jest.advanceTimersByTimeAsync(1_900);
    const names = world.entries.map(({ node }) => node.findRoute('h.example', '/new/1')?.name);
    world.halt();
    expect(names).toEqual(['new', 'new', 'new']);
  });

  it('keeps its promises in every generated schedule', async () => {
    await fc.assert(
      fc.asyncProperty(dispatchRun, async (run) => {
        expect(checkDispatch(await playDispatch(run))).toEqual([]);
      }),
      { seed: SEED, numRuns: RUNS, endOnFailure: false },
    );
  }, 1_800_000);
});
