import { AsyncLocalStorage } from 'node:async_hooks';

/** The timers of one simulated process. */
export type ProcessTimers = {
  isFrozen: boolean;
  /** Callbacks of the timers that have run out while the process was frozen, in order. */
  overdue: (() => void)[];
};

const currentProcess = new AsyncLocalStorage<ProcessTimers>();

/** @returns the timers of a process that runs */
export const createProcessTimers = (): ProcessTimers => ({ isFrozen: false, overdue: [] });

/**
 * Runs code as a part of a process: the timers that it sets are those of the process.
 *
 * @param timers - the timers of the process
 * @param code - the code
 * @returns what the code returns
 */
export const runInProcess = <T>(timers: ProcessTimers | undefined, code: () => T): T =>
  timers ? currentProcess.run(timers, code) : code();

/**
 * Runs code outside of all processes, as that of a worker.
 *
 * @param code - the code
 * @returns what the code returns
 */
export const runOutside = <T>(code: () => T): T => currentProcess.exit(code);

/**
 * Runs the timers that have run out while a process was frozen. A process that resumes does so before it reads
 * its sockets.
 *
 * @param timers - the timers of the process
 */
export const runOverdueTimers = (timers: ProcessTimers): void => {
  timers.overdue.splice(0).forEach((callback) => runInProcess(timers, callback));
};

/**
 * Makes the timers of frozen processes wait until these resume. To be called after Jest's fake timers were
 * installed, which remove it again.
 */
export const holdTimersOfFrozenProcesses = (): void => {
  const states = new WeakMap<object, { isCleared: boolean }>();
  const { setTimeout, clearTimeout, setImmediate, clearImmediate } = globalThis;
  const holdWith = <T extends object>(
    set: (callback: () => void) => T,
    callback: () => void,
  ): T => {
    const timers = currentProcess.getStore();
    const state = { isCleared: false };
    const run = (): void => {
      if (!state.isCleared) callback();
    };
    const timer = set(() => {
      if (timers?.isFrozen) timers.overdue.push(run);
      else runInProcess(timers, run);
    });
    states.set(timer, state);
    return timer;
  };
  const markCleared = (timer?: object): void => {
    const state = timer && states.get(timer);
    if (state) state.isCleared = true;
  };
  Object.assign(globalThis, {
    setTimeout: (callback: () => void, ms?: number) =>
      holdWith((run) => setTimeout(run, ms), callback),
    setImmediate: (callback: () => void) => holdWith(setImmediate, callback),
    clearTimeout: (timer?: NodeJS.Timeout) => {
      markCleared(timer);
      clearTimeout(timer);
    },
    clearImmediate: (immediate?: NodeJS.Immediate) => {
      markCleared(immediate);
      clearImmediate(immediate);
    },
  });
};
