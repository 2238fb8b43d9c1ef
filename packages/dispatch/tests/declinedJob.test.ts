import type { Link, Result } from '@marjorammast/protocol';
import { createLog } from '@marjorammast/telemetry';
import { DispatchEntry } from '../src/DispatchEntry';
import { THRESHOLDS, connect, createServer } from './forwardingSupport';
import { createTestJob, testRoute } from './support';

const LOAD = { utilization: 0.1, processorCores: 1, accepts: true };

/** Time in which the entry finds that it is overloaded and connects to the other one, in milliseconds. */
const WARM_UP_MS = 2_000;

const crashOf = (worker: string, job: string) => ({
  isCertain: true,
  incarnation: worker,
  agent: worker,
  runs: [{ job, index: 0, route: testRoute.name, isSuspect: true, wasStarted: true }],
});

describe('a job that another entry declines', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against a task that crashes further workers, since its last crash became known while it was forwarded.
  it('fails if the crash budget of a task was spent meanwhile', async () => {
    const forwards: ((answer: Result<'forward'>) => void)[] = [];
    const links: Link[] = [];
    const peer = createServer({
      heartbeat: () => ({ clock: performance.now(), load: LOAD, pending: [] }),
      forward: () =>
        new Promise((resolve) => {
          forwards.push(resolve);
        }),
    });
    const entry: DispatchEntry = DispatchEntry.create({
      name: 'entry',
      dataCenter: 'one',
      dial: (_address, server) => {
        const { near, far } = connect(server, peer);
        links.push(far);
        return Promise.resolve(near);
      },
      random: () => 0.5,
      log: createLog('entry', 'silent'),
      meter: { answered: jest.fn() },
      forwarding: {
        ...THRESHOLDS,
        maxPeers: 1,
        processorCores: 1,
        readUsage: () => ({ activeMs: performance.now(), idleMs: 0, processorMs: 0 }),
        meter: jest.fn(),
      },
    });
    entry.configure({ revision: 1, version: 1, routes: [testRoute], outDataCenters: [] });
    entry.updatePeers([{ name: 'peer', address: 'peer', dataCenter: 'one' }]);
    await jest.advanceTimersByTimeAsync(WARM_UP_MS);
    const { request } = createTestJob(1, 100);
    const { signal } = new AbortController();
    const submit = (id: string) =>
      entry.submit({ route: testRoute, job: { ...request, id }, remainingMs: 9_000, signal });
    const outcomes = ['a', 'b'].map(submit);
    await jest.advanceTimersByTimeAsync(10);
    expect(forwards).toHaveLength(1);
    ['w1', 'w2'].forEach((worker) => links[0]?.notify('crash', crashOf(worker, 'b')));
    await jest.advanceTimersByTimeAsync(10);
    expect(entry.isActive('b')).toBe(true);
    forwards[0]?.({ type: 'declined', reason: 'load', load: LOAD });
    await jest.advanceTimersByTimeAsync(10);
    expect(entry.isActive('b')).toBe(false);
    expect(await outcomes[1]).toMatchObject({ type: 'failed' });
    entry.halt();
  });
});
