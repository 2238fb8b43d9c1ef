import { createLog } from '@marjorammast/telemetry';
import type { WorkerView } from '@marjorammast/protocol';
import type { AgentConnection, Assignment } from '../src/AgentConnection';
import { ActiveJob } from '../src/ActiveJob';
import { Dispatcher } from '../src/Dispatcher';

const NEEDS = { cpu: 1_000, memoryMb: 10, accelerators: 0 };

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

const createJob = (estimateMs: number): ActiveJob => {
  const step = { count: 1, needs: NEEDS, estimateMs, after: [], maxPerWorker: 0, traits: [] };
  const route = {
    name: 'claims',
    host: 'h.example',
    prefix: '/claims/',
    service: 'desk',
    timeoutMs: 9_000,
    targetLatencyMs: 60,
    stretch: 1.6,
    priority: 0,
    attempts: 2,
    needsAdvice: false,
  };
  const request = { id: 'a', spec: '', steps: [step], isBestEffort: true, repeatCount: 0 };
  return ActiveJob.create(request, route, step, 9_000);
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
    dispatcher.add(createJob(1_000));
    await jest.advanceTimersByTimeAsync(50);
    dispatcher.halt();
    expect(slow.assigned).toHaveLength(1);
  });
});
