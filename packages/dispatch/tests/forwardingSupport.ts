import { CallError, Link, createCallServer } from '@marjorammast/protocol';
import type { CallServer, Handlers } from '@marjorammast/protocol';
import { createLog } from '@marjorammast/telemetry';
import { EntryLoad } from '../src/EntryLoad';

/** Thresholds of the utilization that the tests use. */
export const THRESHOLDS = { highUtilization: 0.7, lowUtilization: 0.5 };

/** A log that keeps its lines. */
export const createLineLog = () => {
  const lines: string[] = [];
  return { lines, log: createLog('test', 'info', (line) => lines.push(line)) };
};

/**
 * Creates the load of an entry after a second with a utilization.
 *
 * @param utilization - the utilization, from 0 to 1
 * @returns the load
 */
export const createLoad = (utilization: number): EntryLoad => {
  const load = EntryLoad.create(THRESHOLDS, 1, { activeMs: 0, idleMs: 0, processorMs: 0 });
  [200, 400, 600, 800, 1_000].forEach((ms) =>
    load.update({ activeMs: ms * utilization, idleMs: ms * (1 - utilization), processorMs: 0 }),
  );
  return load;
};

/** Two ends of a connection, of which each direction can hold its messages back or lose them. */
export type TestConnection = {
  near: Link;
  far: Link;
  /** What happens to messages from the near end to the far one, and the other way. */
  toFar: 'passes' | 'held' | 'lost' | 'twice';
  toNear: 'passes' | 'held' | 'lost' | 'twice';
  /** Delivers the messages that were held back, and passes later ones. */
  release: () => void;
};

/**
 * Connects two call servers in memory.
 *
 * @param near - handles the calls at the near end
 * @param far - handles the calls at the far end
 * @returns the connection
 */
export const connect = (near: CallServer, far: CallServer): TestConnection => {
  const held: (() => void)[] = [];
  const state = { toFar: 'passes', toNear: 'passes' } as TestConnection;
  const createEnd = (name: string, server: CallServer, to: 'far' | 'near'): Link => {
    const mode = () => (to === 'far' ? state.toFar : state.toNear);
    const send = (deliver: () => void) => {
      if (mode() === 'held') held.push(deliver);
      else if (mode() !== 'lost') setTimeout(deliver, 1);
      if (mode() === 'twice') setTimeout(deliver, 2);
    };
    const write = (message: unknown) => {
      const text = JSON.stringify(message);
      send(() => state[to].receive(JSON.parse(text)));
    };
    return Link.create(name, { write, close: () => send(() => state[to].close()) }, server);
  };
  state.near = createEnd('far', near, 'far');
  state.far = createEnd('near', far, 'near');
  state.release = () => {
    Object.assign(state, { toFar: 'passes', toNear: 'passes' });
    held.splice(0).forEach((deliver) => deliver());
  };
  return state;
};

/**
 * @param handlers - handlers of calls
 * @returns a server of which faults are ignored
 */
export const createServer = (handlers: Handlers = {}): CallServer =>
  createCallServer(handlers, () => undefined);

/** @returns a dial that fails */
export const refuseDial = (): Promise<Link> =>
  Promise.reject(CallError.create('notSent', 'refused'));
