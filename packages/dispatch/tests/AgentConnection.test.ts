import { createLog } from '@marjorammast/telemetry';
import { NO_RESOURCES } from '@marjorammast/protocol';
import type { Link, WorkerView } from '@marjorammast/protocol';
import { AgentConnection } from '../src/AgentConnection';

const viewOf = (state: WorkerView['state']): WorkerView => ({
  service: 'desk',
  labels: [],
  capacity: NO_RESOURCES,
  free: NO_RESOURCES,
  state,
  reason: '',
  slowness: 1,
});

describe('AgentConnection', () => {
  // The agent's next view came in one piece with its answer and was dropped: the entry took the
  // worker for closed until its view changed again (soak, seed 30).
  it('keeps a view that arrives before the answer to attach is read', async () => {
    const rules = { revision: 0, outDataCenters: [] };
    const answer = { agent: 'a', dataCenter: 'one', rules, view: viewOf('closed'), clock: 0 };
    let readEarly = (): void => undefined;
    const link = {
      isOpen: true,
      call: () =>
        new Promise((resolve) => {
          setImmediate(() => {
            readEarly();
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
        changed: jest.fn(),
        lost: jest.fn(),
        newerRules: jest.fn(),
        random: () => 0,
        log: createLog('connection', 'silent'),
      },
    );
    readEarly = () => {
      if (connection.owns(link)) connection.takeView(viewOf('open'));
    };
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    expect(connection.view?.state).toBe('open');
    connection.close();
  });
});
