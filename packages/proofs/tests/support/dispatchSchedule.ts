import fc from 'fast-check';
import { CENTERS, DispatchWorld } from './DispatchWorld';

/** One fault of a schedule. */
export type DispatchFault = {
  type:
    | 'killEntry'
    | 'killAgent'
    | 'freezeEntry'
    | 'freezeAgent'
    | 'cut'
    | 'cutOneWay'
    | 'silent'
    | 'answerLost'
    | 'late'
    | 'delayed'
    | 'reborn'
    | 'leaves'
    | 'takeOut';
  atMs: number;
  forMs: number;
  node: number;
  other: number;
};

/** One job of a schedule. */
export type DispatchWork = {
  atMs: number;
  entry: number;
  tasks: number;
  runMs: number;
  cpu: number;
  fails: boolean;
  leaveMs: number | undefined;
  /** The client that has given up its call sends the job again. */
  returns: boolean;
};

/** A whole schedule. */
export type DispatchRun = { seed: number; faults: DispatchFault[]; work: DispatchWork[] };

const ENTRIES = 2;

const AGENTS = 3;

const LENGTH_MS = 4_000;

/** Time in which every client has its answer, in milliseconds. */
const SETTLE_MS = 13_000;

const STEP_MS = 10;

const fault: fc.Arbitrary<DispatchFault> = fc.record({
  type: fc.constantFrom(
    'killEntry',
    'killAgent',
    'freezeEntry',
    'freezeAgent',
    'cut',
    'cutOneWay',
    'silent',
    'answerLost',
    'late',
    'delayed',
    'reborn',
    'leaves',
    'takeOut',
  ),
  atMs: fc.integer({ min: 0, max: LENGTH_MS }),
  forMs: fc.integer({ min: 30, max: 4_000 }),
  node: fc.nat({ max: AGENTS - 1 }),
  other: fc.nat({ max: ENTRIES - 1 }),
});

const work: fc.Arbitrary<DispatchWork> = fc.record({
  atMs: fc.integer({ min: 0, max: LENGTH_MS }),
  entry: fc.nat({ max: ENTRIES - 1 }),
  tasks: fc.integer({ min: 1, max: 6 }),
  runMs: fc.integer({ min: 5, max: 3_000 }),
  cpu: fc.integer({ min: 400, max: 1_500 }),
  fails: fc.boolean().map((flag) => flag),
  leaveMs: fc.option(fc.integer({ min: 5, max: 1_500 }), { nil: undefined, freq: 2 }),
  returns: fc.boolean(),
});

/** Generates schedules. */
export const dispatchRun: fc.Arbitrary<DispatchRun> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  faults: fc.array(fault, { maxLength: 6 }),
  work: fc.array(work, { minLength: 3, maxLength: 40 }),
});

const apply = (world: DispatchWorld, { type, node, other }: DispatchFault, isOn: boolean): void => {
  const entry = `entry-${other}`;
  const agent = `agent-${node}`;
  const worker = world.workers[node];
  const center = CENTERS[node % CENTERS.length] ?? CENTERS[0];
  const actions: Record<DispatchFault['type'], () => void> = {
    killEntry: () => (isOn ? world.killEntry(other) : world.startEntry(other)),
    killAgent: () => (isOn ? world.killAgent(node) : world.startAgent(node)),
    freezeEntry: () => world.network.freeze(entry, isOn),
    freezeAgent: () => world.network.freeze(agent, isOn),
    cut: () => {
      world.network.cut(entry, agent, isOn);
      world.network.cut(agent, entry, isOn);
    },
    cutOneWay: () => world.network.cut(entry, agent, isOn),
    silent: () => {
      if (worker) worker.mood = isOn ? 'silent' : 'well';
    },
    answerLost: () => {
      if (worker) worker.mood = isOn ? 'answerLost' : 'well';
    },
    late: () => {
      if (worker) worker.mood = isOn ? 'late' : 'well';
    },
    delayed: () => {
      if (worker) worker.mood = isOn ? 'delayed' : 'well';
    },
    reborn: () => {
      if (isOn) worker?.reborn();
    },
    leaves: () => {
      if (worker && isOn) worker.isLeaving = true;
      else worker?.reborn();
    },
    takeOut: () => world.takeOut(isOn ? [center] : []),
  };
  actions[type]();
};

/**
 * Plays a schedule under paused time.
 *
 * @param run - the schedule
 * @returns the world at its end
 */
export const playDispatch = async (run: DispatchRun): Promise<DispatchWorld> => {
  const world = DispatchWorld.create(run.seed, ENTRIES, AGENTS);
  await jest.advanceTimersByTimeAsync(1_000);
  run.faults.forEach((item) => {
    setTimeout(() => apply(world, item, true), item.atMs);
    setTimeout(() => apply(world, item, false), item.atMs + item.forMs);
  });
  run.work.forEach(({ atMs, entry, tasks, runMs, cpu, fails, leaveMs, returns }, index) => {
    const id = (index + 1).toString(16).padStart(16, '0');
    const job = {
      id,
      tasks,
      spec: { runMs, cpu, fails: fails && index % 5 === 0 },
      estimateMs: runMs,
    };
    setTimeout(() => void world.send(job, entry, leaveMs, returns), atMs);
  });
  const until = performance.now() + LENGTH_MS + SETTLE_MS;
  while (
    performance.now() < until &&
    (world.openClients > 0 || performance.now() < until - SETTLE_MS)
  ) {
    await jest.advanceTimersByTimeAsync(STEP_MS);
  }
  world.halt();
  return world;
};
