import fc from 'fast-check';
import { match } from 'ts-pattern';
import { DATA_CENTERS, World } from './World';
import type { WorldSize } from './World';

/** Time from the end of the start-up to the first fault, in milliseconds. */
const SETTLED_MS = 500;

const LONGEST_FAULT_MS = 7_000;

const WINDOW_MS = 12_000;

const CLIENTS_MS = 45_000;

const size: WorldSize = { entries: 3, agents: 4 };

/** One fault or change, at a time after the start of the run. */
export type Fault = { atMs: number; forMs: number; node: number; other: number } & {
  type:
    | 'killEntry'
    | 'killAgent'
    | 'stopEntry'
    | 'stopAgent'
    | 'freezeEntry'
    | 'freezeAgent'
    | 'cutEntries'
    | 'cutOneWay'
    | 'cutAgent'
    | 'cutStore'
    | 'isolateEntry'
    | 'storeDown'
    | 'storeSlow'
    | 'repliesLost'
    | 'watchSilent'
    | 'jitter'
    | 'takeOut'
    | 'race'
    | 'cancelAll';
};

/** One job, the entries that clients send it to, and when. */
export type Work = {
  atMs: number;
  runsMs: number[];
  entry: number;
  urgent: boolean;
  /** A second client sends the same job, this much later. */
  againMs?: number;
};

/** One generated run. */
export type Schedule = { seed: number; faults: Fault[]; work: Work[] };

const time = fc.integer({ min: 0, max: WINDOW_MS });

const faultTypes: Fault['type'][] = [
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

const fault: fc.Arbitrary<Fault> = fc.record({
  type: fc.constantFrom(...faultTypes),
  atMs: time,
  forMs: fc.integer({ min: 100, max: LONGEST_FAULT_MS }),
  node: fc.nat(3),
  other: fc.nat(3),
});

const work: fc.Arbitrary<Work> = fc.record({
  atMs: time,
  runsMs: fc.array(fc.integer({ min: 5, max: 1_500 }), { minLength: 1, maxLength: 5 }),
  entry: fc.nat(2),
  urgent: fc.boolean(),
  againMs: fc.option(fc.integer({ min: 0, max: 6_000 }), { nil: undefined }),
});

/** Generates runs with up to five faults, which may overlap. */
export const schedule: fc.Arbitrary<Schedule> = fc.record({
  seed: fc.integer(),
  faults: fc.array(fault, { minLength: 1, maxLength: 5 }),
  work: fc.array(work, { minLength: 4, maxLength: 10 }),
});

/** Cuts one entry, together with the first agent, off from everything else. */
const isolate = (world: World, entry: string, isCut: boolean): void => {
  const group = [entry, 'agent-0'];
  const others = [...world.entries, ...world.agents]
    .map(({ name }) => name)
    .filter((name) => !group.includes(name));
  group.forEach((inside) => {
    others.forEach((outside) => {
      world.network.cut(inside, outside, isCut);
      world.network.cut(outside, inside, isCut);
    });
  });
  world.network.cut(entry, 'store', isCut);
};

const cutBoth = (world: World, a: string, b: string, isCut: boolean): void => {
  world.network.cut(a, b, isCut);
  world.network.cut(b, a, isCut);
};

/** Applies a fault; the result ends it. */
const apply = (world: World, { type, node, other }: Fault): (() => void) => {
  const e = node % size.entries;
  const o = (e + 1 + (other % (size.entries - 1))) % size.entries;
  const [entry, peer, agent] = [`entry-${e}`, `entry-${o}`, `agent-${node}`];
  const center = DATA_CENTERS[other % 2] ?? '';
  const { network, store } = world;
  const nothing = () => undefined;
  return match(type)
    .returnType<() => void>()
    .with('killEntry', () => {
      world.killEntry(e);
      return () => world.startEntry(e);
    })
    .with('killAgent', () => {
      world.killAgent(node);
      return () => world.startAgent(node);
    })
    .with('stopEntry', () => {
      const stopped = world.stopEntry(e);
      return () => void stopped.then(() => world.startEntry(e));
    })
    .with('stopAgent', () => {
      const stopped = world.stopAgent(node);
      return () => void stopped.then(() => world.startAgent(node));
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
      cutBoth(world, entry, peer, true);
      return () => cutBoth(world, entry, peer, false);
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
      cutBoth(world, entry, agent, true);
      return () => cutBoth(world, entry, agent, false);
    })
    .with('cutStore', () => {
      network.cut(entry, 'store', true);
      return () => network.cut(entry, 'store', false);
    })
    .with('isolateEntry', () => {
      isolate(world, entry, true);
      return () => isolate(world, entry, false);
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
      void world.changeDataCenters(e, [center]);
      return () => void world.changeDataCenters(o, []);
    })
    .with('race', () => {
      void world.changeDataCenters(e, [center]);
      void world.changeDataCenters(
        o,
        DATA_CENTERS.filter((name) => name !== center),
      );
      return nothing;
    })
    .with('cancelAll', () => {
      const open = world.entries[e]?.node.jobs.listOpen() ?? [];
      open.forEach(({ id }) => void world.entries[o]?.node.cancel(id).catch(nothing));
      return nothing;
    })
    .exhaustive();
};

/**
 * Runs a schedule under paused time.
 *
 * @param run - the schedule
 * @returns the world, at the end
 */
export const runSchedule = async (run: Schedule): Promise<World> => {
  const world = await World.create(size, run.seed);
  run.work.forEach(({ atMs, runsMs, entry, urgent, againMs }, index) => {
    setTimeout(() => {
      const submission = world.createSubmission(`job-${index}`, runsMs, urgent);
      void world.submitUntilAnswered(submission, entry);
      if (againMs === undefined) return;
      setTimeout(() => void world.submitUntilAnswered(submission, entry + 1), againMs);
    }, SETTLED_MS + atMs);
  });
  run.faults.forEach((one) => {
    setTimeout(() => {
      const end = apply(world, one);
      setTimeout(end, one.forMs);
    }, SETTLED_MS + one.atMs);
  });
  await jest.advanceTimersByTimeAsync(SETTLED_MS + WINDOW_MS + LONGEST_FAULT_MS);
  world.heal();
  const until = performance.now() + CLIENTS_MS;
  while (world.openClients > 0 && performance.now() < until) {
    await jest.advanceTimersByTimeAsync(1_000);
  }
  world.end();
  await jest.advanceTimersByTimeAsync(2_000);
  jest.clearAllTimers();
  return world;
};
