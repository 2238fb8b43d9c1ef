import { Link, createCallServer, sleep } from '@marjorammast/protocol';
import type { AdmissionRules, Params } from '@marjorammast/protocol';
import { createLog } from '@marjorammast/telemetry';
import { ENTRY_TIMEOUT_MS, MAX_ASSIGNMENT_AGE_MS, MAX_QUEUE_MS } from '../src/constants';
import { GateAgent } from '../src/GateAgent';
import type { ListedEnd, ListedRun, WorkerClient, WorkerReport } from '../src/WorkerClient';

/** A worker with room for ten tasks; two of them may wait. */
const report: WorkerReport = {
  id: 'i-1',
  born: 1_000,
  service: 'desk',
  dataCenter: 'one',
  capacity: { cpu: 1_000, memoryMb: 1_000, accelerators: 0 },
  labels: [],
  isLeaving: false,
  clock: 50,
  sequence: 1,
};

const createWorker = () => {
  const running: ListedRun[] = [];
  const ended: ListedEnd[] = [];
  const started: string[] = [];
  const identity = { born: 1_000 };
  let maxRunning = 0;
  const end = (name: string, how: ListedEnd['how'] = 'done'): void => {
    const index = running.findIndex(({ task }) => `${task.job}.${task.index}` === name);
    const [row] = index >= 0 ? running.splice(index, 1) : [];
    if (row) ended.push({ number: ended.length + 1, task: row.task, run: row.run, how });
  };
  const client: WorkerClient = {
    start: async ({ task, run }) => {
      started.push(`${task.job}.${task.index}`);
      running.push({ task, run, percent: 1 });
      maxRunning = Math.max(maxRunning, running.length);
      await sleep(1);
      return { type: 'accepted', clock: 50 };
    },
    stop: async ({ task }) => {
      end(`${task.job}.${task.index}`, 'stopped');
      await sleep(1);
      return { type: 'accepted', clock: 50 };
    },
    hold: async () => {
      await sleep(2);
      const list = { born: identity.born, clock: 50, running: [...running], ended: [...ended] };
      return { type: 'list', list };
    },
  };
  return { client, started, identity, end, maxRunning: () => maxRunning };
};

const createAgent = (client: WorkerClient, clock = () => performance.now()): GateAgent =>
  GateAgent.create({
    name: 'agent',
    dataCenter: 'one',
    worker: client,
    clock,
    log: createLog('agent', 'silent'),
    renewGeneration: () => Promise.resolve({ type: 'unanswered', detail: 'no store' }),
    meter: {
      assigned: jest.fn(),
      ended: jest.fn(),
      endContradicted: jest.fn(),
      startedLate: jest.fn(),
      superseded: jest.fn(),
      crashed: jest.fn(),
      queued: jest.fn(),
      unqueued: jest.fn(),
    },
  });

/** Attaches an entry over an in-memory link, which loses its messages while it is cut. */
const attach = async (agent: GateAgent, entry: string) => {
  const ends: string[] = [];
  const state = { isCut: false };
  const server = createCallServer(
    {
      ended: ({ runs }) => {
        ends.push(...runs.map(([job, index, , how]) => `${job}.${index} ${how}`));
        return {};
      },
      view: () => ({}),
      rules: () => ({}),
      unsettled: () => ({}),
    },
    jest.fn(),
  );
  const links: { entryLink?: Link; agentLink?: Link } = {};
  const send = (link: () => Link | undefined) => ({
    write: (message: unknown) => {
      if (!state.isCut) link()?.receive(message);
    },
    close: jest.fn(),
  });
  const entryLink = Link.create(
    'agent',
    send(() => links.agentLink),
    server,
  );
  const agentLink = Link.create(
    entry,
    send(() => links.entryLink),
    agent.server,
  );
  Object.assign(links, { entryLink, agentLink });
  await entryLink.call('attach', { entry, rules: { revision: 0, outDataCenters: [] } });
  const assign = (job: string, count: number, fields: Partial<Params<'assign'>> = {}) =>
    entryLink.call('assign', {
      occurrence: 0,
      step: 0,
      job,
      service: 'desk',
      route: 'claims',
      isSuspect: false,
      hasFailedElsewhere: false,
      spec: '',
      needs: { cpu: 100, memoryMb: 10, accelerators: 0 },
      maxPerWorker: 0,
      estimateMs: 50,
      bestSlowness: 1,
      runs: Array.from({ length: count }, (_, index): [number, number] => [index, 1]),
      heldMs: 0,
      echo: performance.now(),
      priority: 1,
      objectiveInMs: 100,
      maxQueueMs: MAX_QUEUE_MS,
      ...fields,
    });
  const takeOut = () => {
    const rules: AdmissionRules = { revision: 2, outDataCenters: ['one'] };
    entryLink.notify('rules', rules);
  };
  const close = () => agentLink.close();
  return { ends, state, entryLink, assign, takeOut, close };
};

/** A full worker, with two tasks of the job `queued` that wait. */
const createFullAgent = async (clock?: () => number) => {
  const worker = createWorker();
  const agent = createAgent(worker.client, clock);
  agent.handleReport(report);
  const entry = await attach(agent, 'first');
  await jest.advanceTimersByTimeAsync(10);
  await entry.assign('full', 10);
  const answer = await entry.assign('queued', 3);
  return { worker, agent, entry, answer };
};

describe('tasks that wait at an agent', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('start once runs have ended, within the capacity, and are declined when the queue is full', async () => {
    const { worker, agent, entry, answer } = await createFullAgent();
    expect(answer).toMatchObject({ taken: [], queued: [0, 1], reason: 'room', queueFullFor: 1 });
    await jest.advanceTimersByTimeAsync(20);
    worker.end('full.0');
    await jest.advanceTimersByTimeAsync(20);
    expect(worker.started.slice(10)).toEqual(['queued.0']);
    worker.end('full.1');
    await jest.advanceTimersByTimeAsync(20);
    expect(worker.started.slice(10)).toEqual(['queued.0', 'queued.1']);
    expect([worker.maxRunning(), agent.queuedTasks]).toEqual([10, 0]);
    expect(entry.ends).toEqual(['full.0 done', 'full.1 done']);
    agent.halt();
  });

  // Guards against a task that starts after its entry has been told that it never does.
  it.each([
    ['its time is over', async () => jest.advanceTimersByTimeAsync(MAX_QUEUE_MS + 5)],
    [
      'its data centre is evacuated',
      (_: GateAgent, entry: { takeOut: () => void }) => entry.takeOut(),
    ],
    [
      'its worker leaves',
      (agent: GateAgent) => agent.handleReport({ ...report, sequence: 2, isLeaving: true }),
    ],
    ['its worker deregisters', (agent: GateAgent) => agent.handleDeregistration('i-1', 1_000)],
    ['its agent stops', (agent: GateAgent) => void agent.stop(1_000)],
    [
      'its job is abandoned',
      (_: GateAgent, { entryLink }: { entryLink: Link }) =>
        entryLink.notify('abandon', { jobs: ['queued'] }),
    ],
  ])('are given back and never start when %s', async (_, act) => {
    const { worker, agent, entry } = await createFullAgent();
    await act(agent, entry);
    await jest.advanceTimersByTimeAsync(10);
    const unqueued = entry.ends.filter((row) => row.endsWith('unqueued'));
    expect(unqueued).toEqual(['queued.0 unqueued', 'queued.1 unqueued']);
    worker.end('full.0');
    worker.end('full.1');
    await jest.advanceTimersByTimeAsync(500);
    expect(worker.started).toHaveLength(10);
    agent.halt();
  });

  // Guards against starts on the next incarnation of a worker that the agent has not looked at yet.
  it('are given back when another incarnation of the worker answers', async () => {
    const { worker, agent, entry } = await createFullAgent();
    agent.handleReport({ ...report, born: 2_000, sequence: 1 });
    worker.identity.born = 2_000;
    await jest.advanceTimersByTimeAsync(20);
    expect(entry.ends).toEqual(
      expect.arrayContaining(['queued.0 unqueued', 'queued.1 unqueued']) as string[],
    );
    await jest.advanceTimersByTimeAsync(300);
    expect(worker.started).toHaveLength(10);
    agent.halt();
  });

  // Guards against two runs of a task: the client of a lost entry sends its job again to another one.
  it('do not start for an entry whose connection is closed', async () => {
    const { worker, agent, entry } = await createFullAgent();
    entry.close();
    worker.end('full.0');
    await jest.advanceTimersByTimeAsync(100);
    expect(agent.queuedTasks).toBe(0);
    expect(worker.started).toHaveLength(10);
    agent.halt();
  });

  it('do not start after a suspension of the VM in which they became too old', async () => {
    let pausedMs = 0;
    const clock = () => performance.now() + pausedMs;
    const { worker, agent } = await createFullAgent(clock);
    worker.end('full.0');
    // The VM was suspended: only the clock that counts the suspension has advanced.
    pausedMs = MAX_ASSIGNMENT_AGE_MS;
    await jest.advanceTimersByTimeAsync(20);
    expect(agent.queuedTasks).toBe(0);
    expect(worker.started).toHaveLength(10);
    agent.halt();
  });

  it('do not start for an entry that has fallen silent and cannot hear that they were given back', async () => {
    const { worker, agent } = await createFullAgent();
    const second = await attach(agent, 'second');
    await second.assign('other', 1, { priority: 0 });
    second.state.isCut = true;
    await jest.advanceTimersByTimeAsync(ENTRY_TIMEOUT_MS + 50);
    worker.end('full.0');
    await jest.advanceTimersByTimeAsync(50);
    expect(worker.started).not.toContain('other.0');
    agent.halt();
  });

  // Guards against two runs of a task: the client of a broken connection sent the job to another entry.
  it('start once when two entries have the same job, and are given back to the other entry', async () => {
    const worker = createWorker();
    const agent = createAgent(worker.client);
    agent.handleReport(report);
    const first = await attach(agent, 'first');
    const second = await attach(agent, 'second');
    await jest.advanceTimersByTimeAsync(10);
    await first.assign('full', 10);
    expect((await first.assign('copy', 1)).queued).toEqual([0]);
    expect((await second.assign('copy', 1)).queued).toEqual([0]);
    worker.end('full.0');
    worker.end('full.1');
    await jest.advanceTimersByTimeAsync(50);
    expect(worker.started.filter((name) => name === 'copy.0')).toHaveLength(1);
    expect(second.ends).toEqual(['copy.0 unqueued']);
    agent.halt();
  });

  // Guards against a run that goes on for a job that its entry has answered.
  it('are stopped when the abandonment arrives after the start', async () => {
    const { worker, agent, entry } = await createFullAgent();
    worker.end('full.0');
    await jest.advanceTimersByTimeAsync(10);
    expect(worker.started).toContain('queued.0');
    entry.entryLink.notify('abandon', { jobs: ['queued'] });
    await jest.advanceTimersByTimeAsync(50);
    expect(entry.ends).toEqual(
      expect.arrayContaining(['queued.1 unqueued', 'queued.0 stopped']) as string[],
    );
    agent.halt();
  });

  // Guards against two runs of a task: the entry binds what may have been sent when the agent is lost.
  it('are named to their entry as tasks whose start may get no answer', async () => {
    const { agent, entry, answer } = await createFullAgent();
    expect(answer.unsettled).toEqual(
      expect.arrayContaining([
        ['queued', 0, 'i-1'],
        ['queued', 1, 'i-1'],
      ]) as string[][],
    );
    const renewed = await entry.entryLink.call('renew', {});
    expect(renewed.unsettled).toEqual(expect.arrayContaining([['queued', 0, 'i-1']]) as string[][]);
    agent.halt();
  });

  it('displace less urgent ones, which are given back', async () => {
    const { worker, agent, entry } = await createFullAgent();
    const second = await attach(agent, 'second');
    expect((await second.assign('urgent', 1, { priority: 0 })).queued).toEqual([0]);
    await jest.advanceTimersByTimeAsync(5);
    expect(entry.ends).toEqual(['queued.1 unqueued']);
    worker.end('full.0');
    await jest.advanceTimersByTimeAsync(20);
    expect(worker.started.slice(10)).toEqual(['urgent.0']);
    agent.halt();
  });

  // Guards against tasks that overtake more urgent ones, also those of entries without queues.
  it('come before a less urgent assignment that would fit', async () => {
    const { worker, agent, entry } = await createFullAgent();
    const second = await attach(agent, 'second');
    worker.end('full.0');
    await jest.advanceTimersByTimeAsync(3);
    const old = await second.assign('old', 1, { maxQueueMs: undefined, priority: undefined });
    expect(old).toMatchObject({ taken: [], reason: 'room' });
    expect(old.queued).toBeUndefined();
    await jest.advanceTimersByTimeAsync(20);
    expect(worker.started.slice(10)).toEqual(['queued.0']);
    expect(entry.ends).toEqual(['full.0 done']);
    agent.halt();
  });

  it('do not exist for an entry that does not ask for them: messages are as before', async () => {
    const worker = createWorker();
    const agent = createAgent(worker.client);
    agent.handleReport(report);
    const entry = await attach(agent, 'first');
    await jest.advanceTimersByTimeAsync(10);
    const answer = await entry.assign('full', 12, { maxQueueMs: undefined });
    expect(answer.taken).toHaveLength(10);
    const sent = JSON.parse(JSON.stringify(answer)) as object;
    expect(Object.keys(sent).sort()).toEqual(['clock', 'free', 'reason', 'taken', 'unsettled']);
    expect(agent.view.queueMs).toBeUndefined();
    agent.halt();
  });

  it('are declined at once when they would wait for too long, or are suspected of a crash', async () => {
    const worker = createWorker();
    const agent = createAgent(worker.client);
    agent.handleReport(report);
    const entry = await attach(agent, 'first');
    await jest.advanceTimersByTimeAsync(10);
    await entry.assign('full', 10, { estimateMs: 5_000 });
    expect(await entry.assign('long', 1)).toMatchObject({ taken: [], reason: 'room' });
    expect(agent.queuedTasks).toBe(0);
    agent.halt();
  });
});
