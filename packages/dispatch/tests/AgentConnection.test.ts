import { createLog } from '@marjorammast/telemetry';
import { NO_RESOURCES } from '@marjorammast/protocol';
import type { AdmissionRules, Link, WorkerView } from '@marjorammast/protocol';
import { AgentConnection } from '../src/AgentConnection';
import type { Assignment } from '../src/AgentConnection';

const createView = (state: WorkerView['state']): WorkerView => ({
  service: 'desk',
  labels: [],
  capacity: NO_RESOURCES,
  free: NO_RESOURCES,
  state,
  reason: '',
  slowness: 1,
  incarnation: 'i-1@1',
});

/** Creates the connection of an entry to an agent. */
const connect = (
  link: Link,
  rules: () => AdmissionRules,
  hasRuns: () => boolean,
): AgentConnection =>
  AgentConnection.create(
    { name: 'a', address: '', dataCenter: 'one' },
    {
      entry: 'e',
      dial: () => Promise.resolve(link),
      rules,
      hasRuns,
      onChange: jest.fn(),
      onLost: jest.fn(),
      onRules: jest.fn(),
      onCrash: jest.fn(),
      onUnsettled: jest.fn(),
      random: () => 0,
      log: createLog('connection', 'silent'),
    },
    0,
  );

describe('AgentConnection', () => {
  // Guards against a step of the wall clock that is taken for a suspension of the VM, or the other way round.
  it('measures by how much more the clock of the agent has advanced', async () => {
    const rules = { revision: 0, outDataCenters: [] };
    const view = createView('open');
    const attached = { agent: 'a', dataCenter: 'one', rules, view, crashes: [], unsettled: [] };
    const clocks = [5_000, 5_000, 7_000];
    const call = () => Promise.resolve({ ...attached, clock: clocks.shift() });
    const link = { isOpen: true, call, notify: jest.fn(), onClose: jest.fn(), close: jest.fn() };
    const connection = connect(
      link as unknown as Link,
      () => rules,
      () => false,
    );
    expect(await connection.measureSuspension()).toBeUndefined();
    await new Promise(setImmediate);
    expect(Math.abs((await connection.measureSuspension()) ?? Infinity)).toBeLessThan(500);
    expect(await connection.measureSuspension()).toBeGreaterThan(1_500);
    connection.close();
  });

  // An agent's next view may arrive in the same packet as its answer to `attach` and be handled
  // before that answer. An entry that dropped such a view treated the worker as closed until the view
  // changed again (soak test, seed 30).
  it('keeps a view that is handled before the answer to attach', async () => {
    const rules = { revision: 0, outDataCenters: [] };
    const answer = {
      agent: 'a',
      dataCenter: 'one',
      rules,
      view: createView('closed'),
      crashes: [],
      clock: 0,
    };
    let deliverView = (): void => undefined;
    const link = {
      isOpen: true,
      call: () =>
        new Promise((resolve) => {
          setImmediate(() => {
            deliverView();
            resolve(answer);
          });
        }),
      notify: jest.fn(),
      onClose: jest.fn(),
      close: jest.fn(),
    } as unknown as Link;
    const connection = connect(
      link,
      () => rules,
      () => false,
    );
    deliverView = () => {
      if (connection.usesLink(link)) connection.updateView(createView('open'));
    };
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    expect(connection.view?.state).toBe('open');
    connection.close();
  });

  // Guards against tasks that an agent starts in a data centre which was taken out while its connection was being opened.
  it('sends an agent the rules that have become newer while it was attached', async () => {
    const agentRules = { revision: 3, outDataCenters: [] as string[] };
    const newerRules = { revision: 4, outDataCenters: ['one'] };
    let rules = agentRules;
    const notify = jest.fn();
    const link = {
      isOpen: true,
      call: () => {
        rules = newerRules;
        return Promise.resolve({
          ...{ agent: 'a', dataCenter: 'one', rules: agentRules, view: createView('open') },
          ...{ crashes: [], unsettled: [], clock: 0 },
        });
      },
      notify,
      onClose: jest.fn(),
      close: jest.fn(),
    } as unknown as Link;
    const connection = connect(
      link,
      () => rules,
      () => false,
    );
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    connection.close();
    expect(notify.mock.calls).toEqual([['rules', newerRules]]);
  });

  // The load: short tasks that are assigned many times a second. A renewal for each of them doubles the
  // messages between entries and agents.
  it('sends no renewal while assignments reach the agent more often than the renewal period', async () => {
    jest.useFakeTimers();
    const calls: string[] = [];
    const rules = { revision: 0, outDataCenters: [] };
    const answers: Record<string, object> = {
      attach: {
        agent: 'a',
        dataCenter: 'one',
        rules,
        view: createView('open'),
        crashes: [],
        clock: 0,
      },
      assign: { taken: [0], free: NO_RESOURCES, clock: 0 },
      renew: { clock: 0 },
    };
    const link = {
      isOpen: true,
      call: (method: string) => {
        calls.push(method);
        return Promise.resolve(answers[method]);
      },
      onClose: jest.fn(),
      close: jest.fn(),
    } as unknown as Link;
    const state = { hasRuns: true };
    const connection = connect(
      link,
      () => rules,
      () => state.hasRuns,
    );
    const countRenewals = () => calls.filter((method) => method === 'renew').length;
    const assign = () =>
      connection.assign({ needs: NO_RESOURCES, runs: [[0, 1]] } as unknown as Assignment);
    await jest.advanceTimersByTimeAsync(1);
    for (let count = 0; count < 10; count += 1) {
      await assign();
      await jest.advanceTimersByTimeAsync(100);
    }
    expect(countRenewals()).toBe(0);
    await jest.advanceTimersByTimeAsync(960);
    expect(countRenewals()).toBe(6);
    state.hasRuns = false;
    await jest.advanceTimersByTimeAsync(9_000);
    expect(countRenewals()).toBe(6);
    connection.close();
    expect(jest.getTimerCount()).toBe(0);
    jest.useRealTimers();
  });
});
