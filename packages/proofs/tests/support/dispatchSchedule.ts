import fc from 'fast-check';
import type { WorkerReport } from '@marjorammast/gate';
import { DATA_CENTERS, DispatchSimulation } from './DispatchSimulation';

/** One fault of a schedule. */
export type PlannedDispatchFault = {
  type:
    | 'killEntry'
    | 'killAgent'
    | 'freezeEntry'
    | 'freezeAgent'
    /** Cuts the network between the entry and the agent in both directions. */
    | 'cut'
    /** Cuts the network from the entry to the agent only. */
    | 'cutOneWay'
    /** Cuts the network from the agent to the entry only. */
    | 'cutAnswers'
    /** Cuts the network between the entry and the next one in both directions. */
    | 'cutEntries'
    /** Cuts the network from the entry to the next one only. */
    | 'cutToEntry'
    /** Cuts the network from the next entry to the entry only. */
    | 'cutFromEntry'
    /** The worker neither executes nor answers commands. */
    | 'silent'
    /** The worker executes commands, but its answers are lost. */
    | 'answerLost'
    /** The worker executes all commands long after its agent has given up waiting. */
    | 'late'
    /** The worker executes start and stop commands shortly after its agent has given up waiting. */
    | 'delayed'
    /** The worker crashes and restarts. */
    | 'reborn'
    /** The worker reports that it leaves, and restarts at the end of the fault. */
    | 'leaves'
    /** The worker refuses connections, while its runs continue until their lease ends. */
    | 'refusing'
    /** The worker reports that it leaves, and deregisters at the end of the fault. */
    | 'deregisters'
    /** The same, but the answer to the deregistration is lost, so that the worker ends 2 s later. */
    | 'deregistersUnheard'
    /** The worker restarts, and the deregistration of its earlier incarnation arrives at the end. */
    | 'lateDeregistration'
    /** The worker restarts, and a report of its earlier incarnation arrives at the end of the fault. */
    | 'lateReport'
    /** A report of another worker, which nobody has started, reaches the agent. */
    | 'oddWorker'
    /** A report with the worker's id but the start time of a later incarnation reaches the agent. */
    | 'oddBirth'
    /** The capacity of the worker shrinks, and it reports so at once. */
    | 'shrink'
    /** The same, but the agent learns of it from the next report; the worker refuses what exceeds it. */
    | 'shrinkUnseen'
    /** Operators take the data centre of the worker out. */
    | 'takeOut';
  /** Time of the fault after the start of the schedule, in milliseconds. */
  atMs: number;
  /** Duration of the fault, in milliseconds. */
  forMs: number;
  /** Index of the agent and of its worker. */
  node: number;
  /** Index of the entry. */
  other: number;
  /** Factor by which the capacity of the worker shrinks; a third if absent. */
  shrinkFactor?: number;
};

/** A worker of which some commands are late for the whole of a schedule. */
export type LateWorker = {
  /** Index of the worker. */
  node: number;
  /** Share of its commands that get no answer and are executed 2 to 12 s later. */
  share: number;
};

/** One job of a schedule. */
export type PlannedDispatchJob = {
  /** Time at which the client sends the job, after the start of the schedule, in milliseconds. */
  atMs: number;
  /** Index of the entry that the client calls first. */
  entry: number;
  /** Name of the route; `claims` if absent. */
  route?: string;
  /** Number of tasks. */
  tasks: number;
  /** Run time of each task, in milliseconds. */
  runMs: number;
  /** CPU share that each task needs, in thousandths of a core. */
  cpu: number;
  /** True when the tasks fail; it takes effect on every fifth job only. */
  fails: boolean;
  /** Index of the task that crashes each worker that starts it, if there is one. */
  crashingTask?: number;
  /** Time from its start to the crash, in milliseconds. */
  crashAfterMs?: number;
  /** True when the workers that it crashes only fall silent. */
  isCrashSilent?: boolean;
  /** Time after which the client no longer waits for an answer, in milliseconds; 5 s if absent. */
  deadlineMs?: number;
  /** Time after which the client gives up its first call, in milliseconds, if it does. */
  giveUpMs: number | undefined;
  /** True when a client that has given up its first call sends the job again. */
  sendsAgain: boolean;
};

/** A schedule of faults and jobs, with the seed of the simulation. */
export type DispatchSchedule = {
  seed: number;
  faults: PlannedDispatchFault[];
  jobs: PlannedDispatchJob[];
  /** Workers of which some commands are late; none if absent. */
  lateWorkers?: LateWorker[];
  /** True when messages wait in the sockets of frozen processes, where no cut holds them back. */
  hasSocketBuffers?: boolean;
  /** True when the leases of late commands count from their arrival. */
  countsLateLeasesFromArrival?: boolean;
  /** Utilization of each entry, which forward jobs then; they do not if absent. */
  utilizations?: readonly number[];
  /** True when tasks without room wait at the agents. */
  isQueueing?: boolean;
};

const ENTRIES = 2;

/** Number of agents unless a test asks for another. */
const AGENTS = 3;

/** Time in which faults begin and clients send their jobs, in milliseconds. */
const SCHEDULE_MS = 4_000;

/** Longest wait for clients after the schedule, in milliseconds. */
const ANSWERS_TIMEOUT_MS = 13_000;

/** Factor by which the capacity of a worker shrinks unless a fault has another. */
const SHRINK_FACTOR = 1 / 3;

/** Time by which the start in an odd report lies in the future, in milliseconds. */
const ODD_BIRTH_OFFSET_MS = 86_400_000;

/** Longest wait of a task at an agent, in milliseconds. */
const MAX_QUEUE_MS = 200;

/**
 * Factor from the duration of a fault to the reading with which the clock of a worker begins that restarts during it:
 * clocks begin at any reading.
 */
const CLOCK_START_FACTOR = 250;

/** Step by which the fake time advances, in milliseconds. */
const STEP_MS = 10;

const plannedFault: fc.Arbitrary<PlannedDispatchFault> = fc.record({
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
  atMs: fc.integer({ min: 0, max: SCHEDULE_MS }),
  forMs: fc.integer({ min: 30, max: 4_000 }),
  node: fc.nat({ max: AGENTS - 1 }),
  other: fc.nat({ max: ENTRIES - 1 }),
});

const plannedJob: fc.Arbitrary<PlannedDispatchJob> = fc.record({
  atMs: fc.integer({ min: 0, max: SCHEDULE_MS }),
  entry: fc.nat({ max: ENTRIES - 1 }),
  tasks: fc.integer({ min: 1, max: 6 }),
  runMs: fc.integer({ min: 5, max: 3_000 }),
  cpu: fc.integer({ min: 400, max: 1_500 }),
  fails: fc.boolean().map((flag) => flag),
  giveUpMs: fc.option(fc.integer({ min: 5, max: 1_500 }), { nil: undefined, freq: 2 }),
  sendsAgain: fc.boolean(),
});

/** Generates schedules of up to six faults, which may overlap. */
export const dispatchScheduleArbitrary: fc.Arbitrary<DispatchSchedule> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  faults: fc.array(plannedFault, { maxLength: 6 }),
  jobs: fc.array(plannedJob, { minLength: 3, maxLength: 40 }),
  isQueueing: fc.boolean(),
});

const faultBesideForwarding: fc.Arbitrary<PlannedDispatchFault> = fc.record({
  type: fc.constantFrom(
    'killEntry',
    'killAgent',
    'freezeEntry',
    'freezeAgent',
    'cut',
    'cutOneWay',
    'cutEntries',
    'cutToEntry',
    'cutFromEntry',
    'silent',
    'answerLost',
    'reborn',
    'leaves',
    'takeOut',
  ),
  atMs: fc.integer({ min: 0, max: SCHEDULE_MS }),
  forMs: fc.integer({ min: 30, max: 4_000 }),
  node: fc.nat({ max: AGENTS - 1 }),
  other: fc.nat({ max: 2 }),
});

/** Generates schedules in which one or two of three entries forward most of their jobs. */
export const forwardingScheduleArbitrary: fc.Arbitrary<DispatchSchedule> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  isQueueing: fc.boolean(),
  utilizations: fc.constantFrom([1, 0.1, 0.1], [1, 0.1, 0.3], [1, 1, 0.1], [0.1, 1, 0.1]),
  hasSocketBuffers: fc.boolean(),
  faults: fc.array(faultBesideForwarding, { maxLength: 6 }),
  jobs: fc.array(
    fc
      .tuple(plannedJob, fc.nat({ max: 2 }))
      .map(([job, entry]): PlannedDispatchJob => ({ ...job, entry })),
    { minLength: 3, maxLength: 40 },
  ),
});

/** Number of agents of the schedules with crashing tasks. */
export const CRASH_SCHEDULE_AGENTS = 8;

const faultBesideCrashes: fc.Arbitrary<PlannedDispatchFault> = fc.record({
  type: fc.constantFrom(
    'killEntry',
    'killAgent',
    'silent',
    'answerLost',
    'reborn',
    'leaves',
    'shrink',
    'shrinkUnseen',
    'takeOut',
  ),
  atMs: fc.integer({ min: 0, max: SCHEDULE_MS }),
  forMs: fc.integer({ min: 30, max: 3_000 }),
  node: fc.nat({ max: CRASH_SCHEDULE_AGENTS - 1 }),
  other: fc.nat({ max: ENTRIES - 1 }),
});

const crashingJob: fc.Arbitrary<PlannedDispatchJob> = fc.record({
  atMs: fc.integer({ min: 0, max: SCHEDULE_MS }),
  entry: fc.nat({ max: ENTRIES - 1 }),
  tasks: fc.integer({ min: 1, max: 4 }),
  runMs: fc.integer({ min: 300, max: 1_000 }),
  cpu: fc.integer({ min: 400, max: 1_500 }),
  fails: fc.constant(false),
  crashingTask: fc.constant(0),
  crashAfterMs: fc.constantFrom(0, 10, 250),
  isCrashSilent: fc.boolean(),
  deadlineMs: fc.integer({ min: 2_000, max: 12_000 }),
  giveUpMs: fc.constant(undefined),
  sendsAgain: fc.constant(true),
});

/** Generates schedules in which some jobs have a task that crashes workers, beside other faults. */
export const crashScheduleArbitrary: fc.Arbitrary<DispatchSchedule> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  faults: fc.array(faultBesideCrashes, { maxLength: 4 }),
  jobs: fc
    .tuple(
      fc.array(crashingJob, { minLength: 1, maxLength: 4 }),
      fc.array(plannedJob, { maxLength: 25 }),
    )
    .map(([crashing, others]) => [...crashing, ...others]),
  isQueueing: fc.boolean(),
});

/** Number of agents of the schedules in which few commands are late. */
export const LATE_SCHEDULE_AGENTS = 4;

const jobBesideLateCommands: fc.Arbitrary<PlannedDispatchJob> = fc.record({
  atMs: fc.integer({ min: 0, max: SCHEDULE_MS }),
  entry: fc.nat({ max: ENTRIES - 1 }),
  tasks: fc.integer({ min: 1, max: 4 }),
  runMs: fc.integer({ min: 300, max: 3_000 }),
  cpu: fc.integer({ min: 300, max: 1_000 }),
  fails: fc.constant(false),
  deadlineMs: fc.integer({ min: 3_000, max: 10_000 }),
  giveUpMs: fc.option(fc.integer({ min: 100, max: 1_500 }), { nil: undefined, freq: 2 }),
  sendsAgain: fc.constant(true),
});

/**
 * Creates a generator of schedules in which few commands of some workers are late, so that service goes
 * on.
 *
 * @param types - the faults beside the late commands
 * @param shares - shares of the late commands of a worker
 * @returns the generator
 */
export const createLateShareSchedules = (
  types: readonly PlannedDispatchFault['type'][],
  shares: readonly number[],
): fc.Arbitrary<DispatchSchedule> => {
  const fault: fc.Arbitrary<PlannedDispatchFault> = fc.record({
    type: fc.constantFrom(...types),
    atMs: fc.integer({ min: 0, max: SCHEDULE_MS }),
    forMs: fc.integer({ min: 30, max: 3_000 }),
    node: fc.nat({ max: LATE_SCHEDULE_AGENTS - 1 }),
    other: fc.nat({ max: ENTRIES - 1 }),
  });
  const lateWorker: fc.Arbitrary<LateWorker> = fc.record({
    node: fc.nat({ max: LATE_SCHEDULE_AGENTS - 1 }),
    share: fc.constantFrom(...shares),
  });
  return fc.record({
    seed: fc.integer({ min: 1, max: 1_000_000 }),
    lateWorkers: fc.uniqueArray(lateWorker, {
      minLength: 1,
      maxLength: LATE_SCHEDULE_AGENTS,
      selector: ({ node }) => node,
    }),
    faults: fc.array(fault, { maxLength: 5 }),
    jobs: fc.array(jobBesideLateCommands, { minLength: 3, maxLength: 25 }),
    isQueueing: fc.boolean(),
  });
};

/** Passes a report of another writer, with some fields of the worker's own, to an agent. */
const deliverOddReport = (
  simulation: DispatchSimulation,
  node: number,
  fields: Partial<WorkerReport>,
): void => {
  const report = simulation.workers[node]?.report();
  if (report) simulation.deliverReport(node, { ...report, service: 'unknown', ...fields });
};

/** Begins a fault if `isOn` is true, and ends it otherwise. */
const applyFault = (
  simulation: DispatchSimulation,
  { type, node, other, forMs, shrinkFactor = SHRINK_FACTOR }: PlannedDispatchFault,
  isOn: boolean,
): void => {
  const entry = `entry-${other}`;
  const nextEntry = `entry-${(other + 1) % simulation.entries.length}`;
  const agent = `agent-${node}`;
  const worker = simulation.workers[node];
  if (worker) worker.nextClockStart = forMs * CLOCK_START_FACTOR;
  const leave = (isAnswerLost: boolean): void => {
    if (worker && isOn) worker.isLeaving = true;
    else simulation.deregister(node, isAnswerLost);
  };
  const dataCenter = DATA_CENTERS[node % DATA_CENTERS.length] ?? DATA_CENTERS[0];
  const actions: Record<PlannedDispatchFault['type'], () => void> = {
    killEntry: () => (isOn ? simulation.killEntry(other) : simulation.startEntry(other)),
    killAgent: () => (isOn ? simulation.killAgent(node) : simulation.startAgent(node)),
    freezeEntry: () => simulation.network.freeze(entry, isOn),
    freezeAgent: () => simulation.network.freeze(agent, isOn),
    cut: () => {
      simulation.network.cut(entry, agent, isOn);
      simulation.network.cut(agent, entry, isOn);
    },
    cutOneWay: () => simulation.network.cut(entry, agent, isOn),
    cutAnswers: () => simulation.network.cut(agent, entry, isOn),
    cutEntries: () => {
      simulation.network.cut(entry, nextEntry, isOn);
      simulation.network.cut(nextEntry, entry, isOn);
    },
    cutToEntry: () => simulation.network.cut(entry, nextEntry, isOn),
    cutFromEntry: () => simulation.network.cut(nextEntry, entry, isOn),
    silent: () => {
      if (worker) worker.commandFault = isOn ? 'silent' : 'none';
    },
    answerLost: () => {
      if (worker) worker.commandFault = isOn ? 'answerLost' : 'none';
    },
    late: () => {
      if (worker) worker.commandFault = isOn ? 'late' : 'none';
    },
    delayed: () => {
      if (worker) worker.commandFault = isOn ? 'delayed' : 'none';
    },
    reborn: () => {
      if (isOn) worker?.restart();
    },
    leaves: () => {
      if (worker && isOn) worker.isLeaving = true;
      else worker?.leave();
    },
    refusing: () => {
      if (worker) worker.commandFault = isOn ? 'refusing' : 'none';
    },
    deregisters: () => leave(false),
    deregistersUnheard: () => leave(true),
    lateDeregistration: () => {
      const identity = worker?.identity;
      if (!worker || !identity || !isOn) return;
      worker.restart();
      setTimeout(() => simulation.deliverDeregistration(node, identity), forMs);
    },
    lateReport: () => {
      const report = worker?.report();
      if (!worker || !report || !isOn) return;
      worker.restart();
      setTimeout(() => simulation.deliverReport(node, report), forMs);
    },
    oddWorker: () => {
      if (isOn) deliverOddReport(simulation, node, { id: 'nobody', sequence: 1 });
    },
    oddBirth: () => {
      if (isOn) deliverOddReport(simulation, node, { born: Date.now() + ODD_BIRTH_OFFSET_MS });
    },
    shrink: () => {
      worker?.scaleCapacity(isOn ? shrinkFactor : 1 / shrinkFactor);
      simulation.reportNow(node);
    },
    shrinkUnseen: () => {
      if (!worker) return;
      worker.rejectsOverload = true;
      worker.scaleCapacity(isOn ? shrinkFactor : 1 / shrinkFactor);
    },
    takeOut: () => simulation.takeOut(isOn ? [dataCenter] : []),
  };
  actions[type]();
};

/**
 * Runs a schedule with Jest's fake timers.
 *
 * @param schedule - the schedule
 * @param agentCount - number of agents, each with one worker
 * @returns the halted simulation with its observations
 */
export const runDispatchSchedule = async (
  schedule: DispatchSchedule,
  agentCount = AGENTS,
): Promise<DispatchSimulation> => {
  const { seed, utilizations } = schedule;
  const { hasSocketBuffers = false, countsLateLeasesFromArrival = false } = schedule;
  const queueing = schedule.isQueueing ? { maxQueueMs: MAX_QUEUE_MS } : undefined;
  const simulation = DispatchSimulation.create(
    seed,
    utilizations?.length ?? ENTRIES,
    agentCount,
    undefined,
    utilizations,
    queueing,
  );
  simulation.network.hasSocketBuffers = hasSocketBuffers;
  simulation.workers.forEach((worker) => Object.assign(worker, { countsLateLeasesFromArrival }));
  await jest.advanceTimersByTimeAsync(1_000);
  schedule.lateWorkers?.forEach(({ node, share }) => {
    const worker = simulation.workers[node];
    if (worker) worker.lateShares = { start: share, stop: share, hold: share };
  });
  schedule.faults.forEach((fault) => {
    setTimeout(() => applyFault(simulation, fault, true), fault.atMs);
    setTimeout(() => applyFault(simulation, fault, false), fault.atMs + fault.forMs);
  });
  schedule.jobs.forEach(
    (
      {
        atMs,
        entry,
        route,
        tasks,
        runMs,
        cpu,
        fails,
        crashingTask,
        crashAfterMs,
        isCrashSilent,
        deadlineMs,
        giveUpMs,
        sendsAgain,
      },
      index,
    ) => {
      const id = (index + 1).toString(16).padStart(16, '0');
      const job = {
        id,
        route,
        tasks,
        spec: {
          runMs,
          cpu,
          fails: fails && index % 5 === 0,
          crashingTask,
          crashAfterMs,
          isCrashSilent,
        },
        estimateMs: runMs,
        deadlineMs,
      };
      setTimeout(() => void simulation.send(job, entry, giveUpMs, sendsAgain), atMs);
    },
  );
  const until = performance.now() + SCHEDULE_MS + ANSWERS_TIMEOUT_MS;
  while (
    performance.now() < until &&
    (simulation.waitingClients > 0 || performance.now() < until - ANSWERS_TIMEOUT_MS)
  ) {
    await jest.advanceTimersByTimeAsync(STEP_MS);
  }
  simulation.halt();
  return simulation;
};
