import { createLog } from '@marjorammast/telemetry';
import { NO_RESOURCES } from '@marjorammast/protocol';
import type { Link, WorkerView } from '@marjorammast/protocol';
import { AgentConnection } from '../src/AgentConnection';

const createView = (state: WorkerView['state']): WorkerView => ({
  service: 'desk',
  labels: [],
  capacity: NO_RESOURCES,
  free: NO_RESOURCES,
  state,
  reason: '',
  slowness: 1,
});

describe('AgentConnection', () => {
  // An agent's next view may arrive in the same packet as its answer to `attach` and be handled
  // before that answer. An entry that dropped such a view treated the worker as closed until the view
  // changed again (soak test, seed 30).
  it('keeps a view that is handled before the answer to attach', async () => {
    const rules = { revision: 0, outDataCenters: [] };
    const answer = { agent: 'a', dataCenter: 'one', rules, view: createView('closed'), clock: 0 };
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
    const connection = AgentConnection.create(
      { name: 'a', address: '', dataCenter: 'one' },
      {
        entry: 'e',
        dial: () => Promise.resolve(link),
        rules: () => rules,
        hasRuns: () => false,
        onChange: jest.fn(),
        onLost: jest.fn(),
        onRules: jest.fn(),
        random: () => 0,
        log: createLog('connection', 'silent'),
      },
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
});
