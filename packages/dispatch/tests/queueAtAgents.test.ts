import { CallError } from '@marjorammast/protocol';
import type { Result, WorkerView } from '@marjorammast/protocol';
import { createLog } from '@marjorammast/telemetry';
import type { AgentConnection, Assignment } from '../src/AgentConnection';
import { RUN_EXPIRY_MS } from '../src/constants';
import { CrashRecords } from '../src/CrashRecords';
import { Dispatcher } from '../src/Dispatcher';
import { QueueRequests } from '../src/QueueRequests';
import { RouteConfinement } from '../src/RouteConfinement';
import { createTestJob } from './support';

const resourcesFor = (tasks: number) => ({ cpu: tasks * 1_000, memoryMb: 10_000, accelerators: 0 });

type Answer = Partial<Result<'assign'>>;

const queueAll = ({ runs }: Assignment): Promise<Answer> =>
  Promise.resolve({ taken: [], queued: runs.map(([index]) => index) });

/** An agent with a full worker of eight tasks: two may wait. */
const createFullAgent = (
  answer: (assignment: Assignment) => Promise<Answer> = queueAll,
  fields: Partial<WorkerView> = { queueMs: 20 },
) => {
  const assigned: Assignment[] = [];
  const view: WorkerView = {
    service: 'desk',
    labels: [],
    capacity: resourcesFor(8),
    free: resourcesFor(0),
    state: 'open',
    reason: '',
    slowness: 1,
    incarnation: 'i-1@1',
    ...fields,
  };
  const connection = {
    name: 'agent',
    agent: { name: 'agent', address: '', dataCenter: 'one' },
    view,
    free: view.free,
    pausedUntil: 0,
    queueRequests: QueueRequests.create(),
    assign: (assignment: Assignment) => {
      assigned.push(assignment);
      return answer(assignment);
    },
    abandon: jest.fn(),
  };
  return { connection, assigned };
};

const createDispatcher = (
  connection: ReturnType<typeof createFullAgent>['connection'],
  maxQueueMs: number | undefined = 200,
): Dispatcher => {
  const agent = connection as unknown as AgentConnection;
  return Dispatcher.create({
    dataCenter: 'one',
    connections: () => [agent],
    findConnection: () => agent,
    evacuatedDataCenters: () => [],
    beforePass: () => undefined,
    crashRecords: CrashRecords.create(),
    confinement: RouteConfinement.create(),
    queueing: maxQueueMs > 0 ? { maxQueueMs } : undefined,
    random: () => 0,
    log: createLog('dispatcher', 'silent'),
  });
};

describe('a task that waits at an agent', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against a refusal that says that nothing runs while the agent may start a task.
  it('keeps its job from being refused, which it may be once the task was given back', async () => {
    const answers = [queueAll];
    const { connection, assigned } = createFullAgent((assignment) =>
      (answers.pop() ?? (() => Promise.resolve({ taken: [] })))(assignment),
    );
    const dispatcher = createDispatcher(connection);
    const job = createTestJob(1, 100);
    dispatcher.add(job);
    await jest.advanceTimersByTimeAsync(5_000);
    expect([job.isOpen, job.isCommitted, job.mayHaveRun]).toEqual([true, true, false]);
    expect(assigned).toHaveLength(1);
    expect(assigned[0]).toMatchObject({ priority: 0, maxQueueMs: 200 });
    dispatcher.handleRunEnds('agent', [['a', 0, 1, 'unqueued', 200]]);
    await jest.advanceTimersByTimeAsync(50);
    dispatcher.halt();
    expect(await job.waitForOutcome()).toMatchObject({ type: 'refused' });
    expect(job.mayHaveRun).toBe(false);
  });

  it('is assigned again with a higher run number; a give-back of the earlier run changes nothing', async () => {
    const { connection, assigned } = createFullAgent();
    const dispatcher = createDispatcher(connection);
    const job = createTestJob(1, 1_000);
    dispatcher.add(job);
    await jest.advanceTimersByTimeAsync(10);
    dispatcher.handleRunEnds('agent', [['a', 0, 1, 'unqueued', 10]]);
    await jest.advanceTimersByTimeAsync(10);
    dispatcher.handleRunEnds('agent', [['a', 0, 1, 'unqueued', 10]]);
    await jest.advanceTimersByTimeAsync(50);
    dispatcher.halt();
    expect(assigned.map(({ runs }) => runs)).toEqual([[[0, 1]], [[0, 2]]]);
  });

  // Guards against a false refusal: the agent does not tell when a queued task starts.
  it.each(['failed', 'notRun', 'stopped', 'lapsed'] as const)(
    'may have run when its end is %s',
    async (end) => {
      const { connection } = createFullAgent();
      const dispatcher = createDispatcher(connection);
      const job = createTestJob(1, 1_000);
      dispatcher.add(job);
      await jest.advanceTimersByTimeAsync(10);
      dispatcher.handleRunEnds('agent', [['a', 0, 1, end, 10]]);
      dispatcher.halt();
      expect(job.mayHaveRun).toBe(true);
    },
  );

  // Guards against two runs of a task: its give-back may have been lost, and also its start.
  it('counts as a run there when the connection is lost', async () => {
    const { connection, assigned } = createFullAgent();
    const dispatcher = createDispatcher(connection);
    const job = createTestJob(1, 1_000);
    dispatcher.add(job);
    await jest.advanceTimersByTimeAsync(10);
    const { view } = connection;
    dispatcher.handleAgentLoss('agent', { unsettled: [['a', 0, 'i-1']], asOf: 0 });
    await jest.advanceTimersByTimeAsync(RUN_EXPIRY_MS - 50);
    expect([assigned.length, job.isCommitted]).toEqual([1, true]);
    Object.assign(view, { free: resourcesFor(4) });
    Object.assign(connection, { free: resourcesFor(4) });
    await jest.advanceTimersByTimeAsync(100);
    dispatcher.halt();
    expect(assigned).toHaveLength(2);
    expect(job.mayHaveRun).toBe(true);
    expect(dispatcher.bindings.rowsOf('a')).toEqual([['a', 0, 'agent', 'i-1']]);
  });

  it('may have run when the answer to its assignment is lost', async () => {
    const { connection } = createFullAgent(() =>
      Promise.reject(CallError.create('lost', 'closed')),
    );
    const dispatcher = createDispatcher(connection);
    const job = createTestJob(1, 1_000);
    dispatcher.add(job);
    await jest.advanceTimersByTimeAsync(10);
    dispatcher.halt();
    expect([job.isCommitted, job.mayHaveRun]).toEqual([true, true]);
    expect(connection.queueRequests.remainingTasks(2, 0, performance.now())).toBe(2);
  });

  // Guards against a run for a job that was answered while its assignment was under way.
  it('is abandoned when its job ended before the agent answered', async () => {
    const job = createTestJob(1, 1_000);
    const { connection } = createFullAgent((assignment) => {
      job.settle({ type: 'unfinished', reason: 'client left' });
      return queueAll(assignment);
    });
    const dispatcher = createDispatcher(connection);
    dispatcher.add(job);
    await jest.advanceTimersByTimeAsync(10);
    dispatcher.halt();
    expect(connection.abandon).toHaveBeenCalledWith(['a']);
  });

  // Guards against passes that send tasks of all waiting jobs to the same queue.
  it('is sent only as far as the queue has places, and not to a queue that is full for it', async () => {
    const { connection, assigned } = createFullAgent(() => new Promise<Answer>(jest.fn()));
    const dispatcher = createDispatcher(connection);
    dispatcher.add(createTestJob(5, 1_000));
    await jest.advanceTimersByTimeAsync(100);
    dispatcher.halt();
    expect(assigned.map(({ runs }) => runs.length)).toEqual([2]);
    const full = createFullAgent();
    full.connection.queueRequests.update({ queueFullFor: 0 }, performance.now());
    const other = createDispatcher(full.connection);
    other.add(createTestJob(1, 1_000));
    await jest.advanceTimersByTimeAsync(60);
    expect(full.assigned).toEqual([]);
    await jest.advanceTimersByTimeAsync(100);
    other.halt();
    expect(full.assigned).toHaveLength(1);
  });

  it.each([
    ['without the setting', { queueMs: 20 }, 0],
    ['at an agent without a queue', {}, 200],
  ])('waits at the entry %s', async (_, fields, maxQueueMs) => {
    const { connection, assigned } = createFullAgent(queueAll, fields);
    const dispatcher = createDispatcher(connection, maxQueueMs);
    dispatcher.add(createTestJob(1, 1_000));
    await jest.advanceTimersByTimeAsync(100);
    expect(assigned).toEqual([]);
    Object.assign(connection, { free: resourcesFor(1) });
    await jest.advanceTimersByTimeAsync(100);
    dispatcher.halt();
    expect(assigned).toHaveLength(1);
    expect(assigned[0]?.maxQueueMs).toBe(maxQueueMs > 0 ? maxQueueMs : undefined);
  });
});
