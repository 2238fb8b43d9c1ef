import { sleep } from '@marjorammast/protocol';
import { createLog } from '@marjorammast/telemetry';
import type { WorkerView } from '@marjorammast/protocol';
import type { AgentConnection, Assignment } from '../src/AgentConnection';
import { CrashRecords } from '../src/CrashRecords';
import { RouteConfinement } from '../src/RouteConfinement';
import { MAX_DISPATCH_PASS_INTERVAL_MS, MAX_POLL_AGE_MS } from '../src/constants';
import { Dispatcher } from '../src/Dispatcher';
import type { PlacementOptions } from '../src/ScarcePlacement';
import { createTestJob } from './support';

const resourcesFor = (tasks: number) => ({ cpu: tasks * 1_000, memoryMb: 10_000, accelerators: 0 });

/** Creates an agent that admits every assignment and never reports the end of a run. */
const createFakeAgent = (name: string, slowness: number, tasks: number) => {
  const assigned: Assignment[] = [];
  const view: WorkerView = {
    service: 'desk',
    labels: [],
    capacity: resourcesFor(10),
    free: resourcesFor(tasks),
    state: 'open',
    reason: '',
    slowness,
    incarnation: `${name}@1`,
  };
  const connection = {
    name,
    agent: { name, address: '', dataCenter: 'one' },
    view,
    free: view.free,
    pausedUntil: 0,
    assign: (assignment: Assignment) => {
      assigned.push(assignment);
      const taken = assignment.runs.map(([index]) => index);
      return Promise.resolve({ taken, free: resourcesFor(0), clock: 0 });
    },
    abandon: jest.fn(),
  };
  return { connection: connection as unknown as AgentConnection, assigned };
};

const createDispatcher = (
  agents: readonly AgentConnection[],
  crashRecords = CrashRecords.create(),
  placement: PlacementOptions = {},
): Dispatcher =>
  Dispatcher.create({
    dataCenter: 'one',
    connections: () => agents,
    findConnection: (name) => agents.find((agent) => agent.name === name),
    evacuatedDataCenters: () => [],
    beforePass: () => undefined,
    crashRecords,
    confinement: RouteConfinement.create(),
    random: () => 0,
    log: createLog('dispatcher', 'silent'),
    placement,
  });

describe('Dispatcher', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against a latency objective that is computed from the speed of the few fastest workers. Such
  // an objective was so tight that jobs waited for these workers while slower ones were free.
  it('assigns a job at once to a worker of half speed while the fast workers have no free resources', async () => {
    const fast = createFakeAgent('fast', 0.6, 0);
    const slow = createFakeAgent('slow', 1.3, 5);
    const dispatcher = createDispatcher([fast.connection, slow.connection]);
    dispatcher.add(createTestJob(1, 1_000));
    await jest.advanceTimersByTimeAsync(50);
    dispatcher.halt();
    expect(slow.assigned).toHaveLength(1);
  });

  // The load: little is free on the fast workers, and short tasks that would be in time on slower ones take it.
  it.each([
    [{}, 'fast'],
    [{ scarceRoom: true }, 'slow'],
  ])('assigns a short task with the placement %j to the %s worker', async (placement, expected) => {
    const agents = [createFakeAgent('fast', 1, 2), createFakeAgent('slow', 1.5, 8)];
    const connections = agents.map(({ connection }) => connection);
    Object.assign(connections[0]?.view ?? {}, { capacity: resourcesFor(20) });
    const dispatcher = createDispatcher(connections, CrashRecords.create(), placement);
    const runJob = async (): Promise<string> => {
      dispatcher.add(createTestJob(1, 50));
      await jest.advanceTimersByTimeAsync(5);
      const name = agents.find(({ assigned }) => assigned.splice(0).length > 0)?.connection.name;
      dispatcher.handleRunEnds(name ?? '', [['a', 0, 1, 'done', 50]]);
      return name ?? '';
    };
    // The first runs show the run time of the route.
    for (let job = 0; job < 30; job += 1) await runJob();
    expect(await runJob()).toBe(expected);
    dispatcher.halt();
  });

  // Guards against healthy workers that are ejected for tasks that fail wherever they run.
  it('says of a task that it has failed on another worker', async () => {
    const agents = [createFakeAgent('first', 1, 5), createFakeAgent('second', 1, 5)];
    const dispatcher = createDispatcher(agents.map(({ connection }) => connection));
    dispatcher.add(createTestJob(1, 100));
    await jest.advanceTimersByTimeAsync(50);
    const [first, second] = agents.sort((a, b) => b.assigned.length - a.assigned.length);
    expect(first?.assigned).toMatchObject([{ hasFailedElsewhere: false }]);
    dispatcher.handleRunEnds(first?.connection.name ?? '', [['a', 0, 1, 'failed', 20]]);
    await jest.advanceTimersByTimeAsync(50);
    dispatcher.halt();
    expect(second?.assigned).toMatchObject([{ hasFailedElsewhere: true }]);
  });

  // Guards against one task that takes out one worker after the other while nobody knows that they crash.
  it('starts no task that three workers were lost with until one of them is back', async () => {
    const agents = ['a', 'b', 'c', 'd'].map((name) => createFakeAgent(name, 1, 5));
    const crashRecords = CrashRecords.create();
    const dispatcher = createDispatcher(
      agents.map(({ connection }) => connection),
      crashRecords,
    );
    dispatcher.add(createTestJob(1, 100));
    const countAssigned = () => agents.flatMap(({ assigned }) => assigned).length;
    for (let run = 1; run <= 3; run += 1) {
      await jest.advanceTimersByTimeAsync(50);
      expect(countAssigned()).toBe(run);
      const lost = agents.find(({ assigned }) => assigned.slice(-1)[0]?.runs[0]?.[1] === run);
      Object.assign(lost?.connection.view ?? {}, { state: 'closed' });
      const name = lost?.connection.name ?? '';
      const lostRun = { job: 'a', index: 0, route: 'claims', wasStarted: true };
      crashRecords.recordLoss(name, `${name}@1`, [lostRun]);
      dispatcher.handleRunEnds(name, [['a', 0, run, 'lapsed', 800]]);
    }
    await jest.advanceTimersByTimeAsync(1_000);
    expect(countAssigned()).toBe(3);
    const back = agents.find(({ assigned }) => assigned.length > 0);
    Object.assign(back?.connection.view ?? {}, { state: 'open' });
    crashRecords.recordReturn(back?.connection.name ?? '', back?.connection.view?.incarnation);
    await jest.advanceTimersByTimeAsync(50);
    dispatcher.halt();
    expect(countAssigned()).toBe(4);
  });

  // Guards against jobs that are refused though there is room, since a job that left the queue without a
  // pass (its client had gone) was taken to wait until the next job came.
  // Guards against two runs of a task: the next incarnation of a worker may carry out a start that had no answer.
  it('starts a task elsewhere only if no start of it is without an answer, also for a later copy of its job', async () => {
    const agents = ['a', 'b'].map((name) => createFakeAgent(name, 1, 5));
    const dispatcher = createDispatcher(agents.map(({ connection }) => connection));
    const [busy, free] = agents;
    Object.assign(busy?.connection ?? {}, { free: resourcesFor(0) });
    dispatcher.bindTasks('a', [['a', 1, 'a']]);
    const job = createTestJob(2, 1_000);
    dispatcher.add(job);
    await jest.advanceTimersByTimeAsync(50);
    expect(free?.assigned.map(({ runs }) => runs)).toEqual([[[0, 1]]]);
    expect(busy?.assigned).toEqual([]);
    Object.assign(busy?.connection ?? {}, { free: resourcesFor(5) });
    await jest.advanceTimersByTimeAsync(50);
    dispatcher.halt();
    expect(busy?.assigned.map(({ runs }) => runs)).toEqual([[[1, 1]]]);
  });

  // Guards against two runs of a task: another entry has lost the agent, or only that one is attached to it.
  it('keeps a task of which another entry has told for its worker, and does not tell it on', async () => {
    const agents = ['a', 'b'].map((name) => createFakeAgent(name, 1, 5));
    const dispatcher = createDispatcher(agents.map(({ connection }) => connection));
    const [busy, free] = agents;
    Object.assign(busy?.connection ?? {}, { free: resourcesFor(0) });
    dispatcher.bindToldTasks([['a', 0, 'a', 'a']]);
    const job = createTestJob(1, 1_000);
    dispatcher.add(job);
    await jest.advanceTimersByTimeAsync(50);
    expect([free?.assigned, job.mayHaveRun]).toEqual([[], true]);
    Object.assign(busy?.connection ?? {}, { free: resourcesFor(5) });
    await jest.advanceTimersByTimeAsync(50);
    dispatcher.halt();
    expect(busy?.assigned).toHaveLength(1);
    expect(dispatcher.bindings.rowsOf('a')).toEqual([]);
    dispatcher.bindTasks('a', [['a', 0, 'a']]);
    expect(dispatcher.bindings.rowsOf('a')).toEqual([['a', 0, 'a', 'a']]);
  });

  // Guards against a refusal that says that nothing runs while the start of an earlier copy is on its way.
  it.each(['before', 'after'])(
    'does not refuse a job of which a start without an answer became known %s it was submitted',
    async (when) => {
      const agent = createFakeAgent('a', 1, 0);
      const dispatcher = createDispatcher([agent.connection]);
      const job = createTestJob(1, 1_000);
      if (when === 'before') dispatcher.bindTasks('a', [['a', 0, 'a']]);
      dispatcher.add(job);
      if (when === 'after') dispatcher.bindTasks('a', [['a', 0, 'a']]);
      await jest.advanceTimersByTimeAsync(8_000);
      dispatcher.halt();
      expect(job.isCommitted).toBe(true);
      expect(job.isOpen).toBe(true);
    },
  );

  it('does not take the time in which nothing was queued for a wait', async () => {
    const agent = createFakeAgent('a', 1, 0);
    const dispatcher = createDispatcher([agent.connection]);
    const abandoned = createTestJob(1, 100);
    dispatcher.add(abandoned);
    await jest.advanceTimersByTimeAsync(5);
    dispatcher.remove(abandoned);
    await jest.advanceTimersByTimeAsync(6_000);
    Object.assign(agent.connection, { free: resourcesFor(1) });
    dispatcher.add(createTestJob(1, 100));
    await jest.advanceTimersByTimeAsync(5);
    Object.assign(agent.connection, { free: resourcesFor(0) });
    const next = createTestJob(1, 100);
    dispatcher.add(next);
    await jest.advanceTimersByTimeAsync(50);
    dispatcher.halt();
    expect(agent.assigned).toHaveLength(1);
    expect(next.isOpen).toBe(true);
  });

  // After a pause of the VM its timers run before its sockets are read. What the sockets hold, such as the
  // disconnect of a client, has to be handled before anything is assigned.
  it('assigns nothing from its timer before the sockets have been read', async () => {
    jest.useRealTimers();
    const agent = createFakeAgent('busy', 1, 0);
    const dispatcher = createDispatcher([agent.connection]);
    const job = createTestJob(1, 100);
    dispatcher.add(job);
    await sleep(5);
    Object.assign(agent.connection, { free: resourcesFor(5) });
    const pausedUntil = performance.now() + 2 * MAX_DISPATCH_PASS_INTERVAL_MS;
    setImmediate(() => dispatcher.remove(job));
    while (performance.now() < pausedUntil);
    await sleep(50);
    expect(agent.assigned).toEqual([]);
    dispatcher.halt();
  });

  // Guards against a second run of a task whose client has left: the VM was paused after its sockets had been
  // read, so that the end of the connection is read only after the pass.
  it('assigns nothing after a pause before the sockets have been read again', async () => {
    jest.useRealTimers();
    const agent = createFakeAgent('a', 1, 5);
    const dispatcher = createDispatcher([agent.connection]);
    const job = createTestJob(1, 100);
    // Stands for what is read in the next poll.
    setImmediate(() => setImmediate(() => dispatcher.remove(job)));
    dispatcher.add(job);
    const pausedUntil = performance.now() + 2 * MAX_POLL_AGE_MS;
    while (performance.now() < pausedUntil);
    await sleep(50);
    expect(agent.assigned).toEqual([]);
    dispatcher.halt();
  });

  // Guards against the same when the VM is paused in the middle of a pass.
  it('assigns nothing more in a pass that was paused', async () => {
    jest.useRealTimers();
    const agent = createFakeAgent('a', 1, 5);
    const dispatcher = createDispatcher([agent.connection]);
    const jobs = [createTestJob(1, 100), createTestJob(1, 100)];
    const { assign } = agent.connection;
    agent.connection.assign = (assignment) => {
      const pausedUntil = performance.now() + 2 * MAX_POLL_AGE_MS;
      while (performance.now() < pausedUntil);
      setImmediate(() => jobs.forEach((job) => dispatcher.remove(job)));
      return assign(assignment);
    };
    jobs.forEach((job) => dispatcher.add(job));
    await sleep(50);
    expect(agent.assigned).toHaveLength(1);
    dispatcher.halt();
  });
});
