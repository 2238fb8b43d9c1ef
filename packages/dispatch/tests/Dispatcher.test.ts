import { createLog } from '@marjorammast/telemetry';
import type { WorkerView } from '@marjorammast/protocol';
import type { AgentConnection, Assignment } from '../src/AgentConnection';
import { Dispatcher } from '../src/Dispatcher';
import { createTestJob } from './support';

const roomFor = (tasks: number) => ({ cpu: tasks * 1_000, memoryMb: 10_000, accelerators: 0 });

/** An agent that takes everything and reports no end. */
const fakeAgent = (name: string, slowness: number, tasks: number) => {
  const assigned: Assignment[] = [];
  const view: WorkerView = {
    service: 'desk',
    labels: [],
    capacity: roomFor(10),
    free: roomFor(tasks),
    state: 'open',
    reason: '',
    slowness,
  };
  const connection = {
    name,
    listed: { name, address: '', dataCenter: 'one' },
    view,
    free: view.free,
    pausedUntil: 0,
    assign: (assignment: Assignment) => {
      assigned.push(assignment);
      const taken = assignment.runs.map(([index]) => index);
      return Promise.resolve({ taken, free: roomFor(0), clock: 0 });
    },
    abandon: jest.fn(),
  };
  return { connection: connection as unknown as AgentConnection, assigned };
};

const createDispatcher = (agents: readonly AgentConnection[]): Dispatcher =>
  Dispatcher.create({
    dataCenter: 'one',
    connections: () => agents,
    findConnection: (name) => agents.find((agent) => agent.name === name),
    outDataCenters: () => [],
    log: createLog('world', 'silent'),
  });

describe('Dispatcher', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // The objective was taken for as tight as if every worker were one of the few fast ones.
  it('starts a job at once on a worker of half speed while the fast ones are full', async () => {
    const fast = fakeAgent('fast', 0.6, 0);
    const slow = fakeAgent('slow', 1.3, 5);
    const dispatcher = createDispatcher([fast.connection, slow.connection]);
    dispatcher.add(createTestJob(1, 1_000));
    await jest.advanceTimersByTimeAsync(50);
    dispatcher.halt();
    expect(slow.assigned).toHaveLength(1);
  });
});
