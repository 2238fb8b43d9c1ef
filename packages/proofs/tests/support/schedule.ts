import fc from 'fast-check';
import { match } from 'ts-pattern';
import { DATA_CENTERS, Simulation } from './Simulation';
import type { SimulationSize } from './Simulation';

/** Time from the end of the start-up to the start of the schedule, in milliseconds. */
const SCHEDULE_DELAY_MS = 500;

const LONGEST_FAULT_MS = 7_000;

/** Time in which faults begin and clients send their jobs, in milliseconds. */
const SCHEDULE_MS = 12_000;

/** Longest wait for clients after all faults have ended, in milliseconds. */
const CLIENTS_TIMEOUT_MS = 45_000;

const size: SimulationSize = { entries: 3, agents: 4 };

/**
 * One fault or operation. It begins `atMs` after the start of the schedule and lasts `forMs`.
 * `node` selects the agent and the entry, `other` selects the peer entry and the data centre.
 */
export type PlannedFault = { atMs: number; forMs: number; node: number; other: number } & {
  type:
    | 'killEntry'
    | 'killAgent'
    | 'stopEntry'
    | 'stopAgent'
    | 'freezeEntry'
    | 'freezeAgent'
    /** Cuts the network between the entry and its peer in both directions. */
    | 'cutEntries'
    /** Cuts the network from the entry to its peer and to the agent only. */
    | 'cutOneWay'
    /** Cuts the network between the entry and the agent in both directions. */
    | 'cutAgent'
    /** Cuts the entry off from the store. */
    | 'cutStore'
    /** Cuts the entry, together with the first agent, off from all others. */
    | 'isolateEntry'
    | 'storeDown'
    | 'storeSlow'
    /** The store executes writes, but their replies are lost. */
    | 'repliesLost'
    /** The store sends no watch notifications. */
    | 'watchSilent'
    /** Delays messages at random. */
    | 'jitter'
    /** Takes the data centre out through the entry; at the end the peer puts it back in. */
    | 'takeOut'
    /** Takes different data centres out at the same time through the entry and its peer. */
    | 'race'
    /** Cancels all open jobs of the entry through its peer. */
    | 'cancelAll';
};

/** One job of a schedule. */
export type PlannedJob = {
  /** Time at which the client sends the job, after the start of the schedule, in milliseconds. */
  atMs: number;
  /** Run time of each task, in milliseconds. */
  runTimesMs: number[];
  /** Index of the entry that the client calls first. */
  entry: number;
  urgent: boolean;
  /**
   * Time after which a second client sends the same job to the next entry, in milliseconds; absent
   * if none does.
   */
  duplicateAfterMs?: number;
};

/** A schedule of faults and jobs, with the seed of the simulation. */
export type Schedule = { seed: number; faults: PlannedFault[]; jobs: PlannedJob[] };

const time = fc.integer({ min: 0, max: SCHEDULE_MS });

const faultTypes: PlannedFault['type'][] = [
  'killEntry',
  'killAgent',
  'stopEntry',
  'stopAgent',
  'freezeEntry',
  'freezeAgent',
  'cutEntries',
  'cutOneWay',
  'cutAgent',
  'cutStore',
  'isolateEntry',
  'storeDown',
  'storeSlow',
  'repliesLost',
  'watchSilent',
  'jitter',
  'takeOut',
  'race',
  'cancelAll',
];

const plannedFault: fc.Arbitrary<PlannedFault> = fc.record({
  type: fc.constantFrom(...faultTypes),
  atMs: time,
  forMs: fc.integer({ min: 100, max: LONGEST_FAULT_MS }),
  node: fc.nat(3),
  other: fc.nat(3),
});

const plannedJob: fc.Arbitrary<PlannedJob> = fc.record({
  atMs: time,
  runTimesMs: fc.array(fc.integer({ min: 5, max: 1_500 }), { minLength: 1, maxLength: 5 }),
  entry: fc.nat(2),
  urgent: fc.boolean(),
  duplicateAfterMs: fc.option(fc.integer({ min: 0, max: 6_000 }), { nil: undefined }),
});

/** Generates schedules of up to five faults, which may overlap. */
export const scheduleArbitrary: fc.Arbitrary<Schedule> = fc.record({
  seed: fc.integer(),
  faults: fc.array(plannedFault, { minLength: 1, maxLength: 5 }),
  jobs: fc.array(plannedJob, { minLength: 4, maxLength: 10 }),
});

/** Cuts one entry, together with the first agent, off from all other processes and the store. */
const isolateEntry = (simulation: Simulation, entry: string, isCut: boolean): void => {
  const group = [entry, 'agent-0'];
  const others = [...simulation.entries, ...simulation.agents]
    .map(({ name }) => name)
    .filter((name) => !group.includes(name));
  group.forEach((inside) => {
    others.forEach((outside) => {
      simulation.network.cut(inside, outside, isCut);
      simulation.network.cut(outside, inside, isCut);
    });
  });
  simulation.network.cut(entry, 'store', isCut);
};

const cutBothWays = (simulation: Simulation, a: string, b: string, isCut: boolean): void => {
  simulation.network.cut(a, b, isCut);
  simulation.network.cut(b, a, isCut);
};

/**
 * Begins a fault.
 *
 * @param simulation - the simulation
 * @param fault - the fault
 * @returns a function that ends the fault
 */
const applyFault = (simulation: Simulation, { type, node, other }: PlannedFault): (() => void) => {
  const entryIndex = node % size.entries;
  const peerIndex = (entryIndex + 1 + (other % (size.entries - 1))) % size.entries;
  const [entry, peer, agent] = [`entry-${entryIndex}`, `entry-${peerIndex}`, `agent-${node}`];
  const dataCenter = DATA_CENTERS[other % 2] ?? '';
  const { network, store } = simulation;
  const doNothing = () => undefined;
  return match(type)
    .returnType<() => void>()
    .with('killEntry', () => {
      simulation.killEntry(entryIndex);
      return () => simulation.startEntry(entryIndex);
    })
    .with('killAgent', () => {
      simulation.killAgent(node);
      return () => simulation.startAgent(node);
    })
    .with('stopEntry', () => {
      const stopped = simulation.stopEntry(entryIndex);
      return () => void stopped.then(() => simulation.startEntry(entryIndex));
    })
    .with('stopAgent', () => {
      const stopped = simulation.stopAgent(node);
      return () => void stopped.then(() => simulation.startAgent(node));
    })
    .with('freezeEntry', () => {
      network.freeze(entry, true);
      return () => network.freeze(entry, false);
    })
    .with('freezeAgent', () => {
      network.freeze(agent, true);
      return () => network.freeze(agent, false);
    })
    .with('cutEntries', () => {
      cutBothWays(simulation, entry, peer, true);
      return () => cutBothWays(simulation, entry, peer, false);
    })
    .with('cutOneWay', () => {
      network.cut(entry, peer, true);
      network.cut(entry, agent, true);
      return () => {
        network.cut(entry, peer, false);
        network.cut(entry, agent, false);
      };
    })
    .with('cutAgent', () => {
      cutBothWays(simulation, entry, agent, true);
      return () => cutBothWays(simulation, entry, agent, false);
    })
    .with('cutStore', () => {
      network.cut(entry, 'store', true);
      return () => network.cut(entry, 'store', false);
    })
    .with('isolateEntry', () => {
      isolateEntry(simulation, entry, true);
      return () => isolateEntry(simulation, entry, false);
    })
    .with('storeDown', () => {
      store.isDown = true;
      return () => {
        store.isDown = false;
      };
    })
    .with('storeSlow', () => {
      store.delayMs = 400;
      return () => {
        store.delayMs = 3;
      };
    })
    .with('repliesLost', () => {
      store.losesReplies = true;
      return () => {
        store.losesReplies = false;
      };
    })
    .with('watchSilent', () => {
      store.isWatchSilent = true;
      return () => {
        store.isWatchSilent = false;
      };
    })
    .with('jitter', () => {
      network.jitterMs = 3_000;
      return () => {
        network.jitterMs = 0;
      };
    })
    .with('takeOut', () => {
      void simulation.changeDataCenters(entryIndex, [dataCenter]);
      return () => void simulation.changeDataCenters(peerIndex, []);
    })
    .with('race', () => {
      void simulation.changeDataCenters(entryIndex, [dataCenter]);
      void simulation.changeDataCenters(
        peerIndex,
        DATA_CENTERS.filter((name) => name !== dataCenter),
      );
      return doNothing;
    })
    .with('cancelAll', () => {
      const open = simulation.entries[entryIndex]?.node.jobs.listOpen() ?? [];
      open.forEach(
        ({ id }) => void simulation.entries[peerIndex]?.node.cancel(id).catch(doNothing),
      );
      return doNothing;
    })
    .exhaustive();
};

/**
 * Runs a schedule with Jest's fake timers, ends all faults, and waits for the clients.
 *
 * @param schedule - the schedule
 * @returns the ended simulation, with its observations
 */
export const runSchedule = async (schedule: Schedule): Promise<Simulation> => {
  const simulation = await Simulation.create(size, schedule.seed);
  schedule.jobs.forEach(({ atMs, runTimesMs, entry, urgent, duplicateAfterMs }, index) => {
    setTimeout(() => {
      const submission = simulation.createSubmission(`job-${index}`, runTimesMs, urgent);
      void simulation.submitUntilAnswered(submission, entry);
      if (duplicateAfterMs === undefined) return;
      setTimeout(
        () => void simulation.submitUntilAnswered(submission, entry + 1),
        duplicateAfterMs,
      );
    }, SCHEDULE_DELAY_MS + atMs);
  });
  schedule.faults.forEach((fault) => {
    setTimeout(() => {
      const end = applyFault(simulation, fault);
      setTimeout(end, fault.forMs);
    }, SCHEDULE_DELAY_MS + fault.atMs);
  });
  await jest.advanceTimersByTimeAsync(SCHEDULE_DELAY_MS + SCHEDULE_MS + LONGEST_FAULT_MS);
  simulation.heal();
  const until = performance.now() + CLIENTS_TIMEOUT_MS;
  while (simulation.waitingClients > 0 && performance.now() < until) {
    await jest.advanceTimersByTimeAsync(1_000);
  }
  simulation.end();
  await jest.advanceTimersByTimeAsync(2_000);
  jest.clearAllTimers();
  return simulation;
};
