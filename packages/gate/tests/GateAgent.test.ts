import { createLog } from '@marjorammast/telemetry';
import { Link, NO_RESOURCES, createCallServer } from '@marjorammast/protocol';
import type { Params } from '@marjorammast/protocol';
import { PROBATION_MS, VIEW_DELAY_MS } from '../src/constants';
import { GateAgent } from '../src/GateAgent';
import type {
  HoldResult,
  ListedEnd,
  ListedRun,
  WorkerClient,
  WorkerReport,
} from '../src/WorkerClient';

const report: WorkerReport = {
  id: 'i-1',
  born: 1_000,
  service: 'desk',
  dataCenter: 'one',
  capacity: { cpu: 4_000, memoryMb: 1_000, accelerators: 0 },
  labels: [],
  isLeaving: false,
  clock: 50,
  sequence: 1,
};

/**
 * Creates a client of a worker. While `isReconciled` returns false, the worker lists a run that the
 * agent does not know.
 */
const createWorkerClient = (isReconciled: () => boolean): WorkerClient => {
  const running = [{ task: { job: 'x', occurrence: 0, step: 0, index: 0 }, run: 1, percent: 1 }];
  const list = (): HoldResult => ({
    type: 'list',
    list: { born: 1_000, clock: 50, running: isReconciled() ? [] : running, ended: [] },
  });
  const answerLater = <T>(answer: () => T): Promise<T> =>
    new Promise((resolve) => {
      setTimeout(() => resolve(answer()), 1);
    });
  return {
    start: () => answerLater(() => ({ type: 'accepted', clock: 50 })),
    stop: () => answerLater(() => ({ type: 'accepted', clock: 50 })),
    hold: () => answerLater(list),
  };
};

/** Creates a client of a worker on which every run fails at once. */
const createFailingWorkerClient = (): WorkerClient => {
  const ended: ListedEnd[] = [];
  const client = createWorkerClient(() => true);
  return {
    ...client,
    start: (command) => {
      const { task, run } = command;
      ended.push({ number: ended.length + 1, task, run, how: 'failed' });
      return client.start(command);
    },
    hold: async (command) => {
      const answer = await client.hold(command);
      return answer.type === 'list' ? { ...answer, list: { ...answer.list, ended } } : answer;
    },
  };
};

/** Creates a client of a worker on which every run goes on until its lease ends. */
const createBusyWorkerClient = (): WorkerClient => {
  const running: ListedRun[] = [];
  const client = createWorkerClient(() => true);
  return {
    ...client,
    start: (command) => {
      running.push({ task: command.task, run: command.run, percent: 1 });
      return client.start(command);
    },
    hold: async (command) => {
      const answer = await client.hold(command);
      return answer.type === 'list' ? { ...answer, list: { ...answer.list, running } } : answer;
    },
  };
};

const createAgent = (worker: WorkerClient): GateAgent =>
  GateAgent.create({
    name: 'agent',
    dataCenter: 'one',
    worker,
    clock: () => performance.now(),
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

const assignment: Params<'assign'> = {
  occurrence: 0,
  step: 0,
  job: 'a',
  service: 'desk',
  route: 'claims',
  isSuspect: false,
  hasFailedElsewhere: false,
  spec: '',
  needs: { cpu: 100, memoryMb: 10, accelerators: 0 },
  maxPerWorker: 0,
  estimateMs: 50,
  bestSlowness: 1,
  runs: [[0, 1]],
  heldMs: 0,
  echo: 0,
};

/** Attaches an entry to the agent over an in-memory link and collects the views that it receives. */
const attach = async (agent: GateAgent, entry: string) => {
  const views: Params<'view'>[] = [];
  const ends: Params<'ended'>['runs'] = [];
  /** What the entry was told, in order. */
  const calls: string[] = [];
  const server = createCallServer(
    {
      ended: ({ runs }) => {
        ends.push(...runs);
        calls.push('ended');
        return {};
      },
      unsettled: ({ unsettled }) => {
        calls.push(`unsettled ${JSON.stringify(unsettled)}`);
        return {};
      },
      view: (view) => {
        views.push(view);
        return {};
      },
    },
    jest.fn(),
  );
  const links: { entryLink?: Link; agentLink?: Link } = {};
  const entryLink = Link.create(
    'agent',
    { write: (m) => links.agentLink?.receive(m), close: jest.fn() },
    server,
  );
  const agentLink = Link.create(
    entry,
    { write: (m) => entryLink.receive(m), close: jest.fn() },
    agent.server,
  );
  Object.assign(links, { entryLink, agentLink });
  const answer = await entryLink.call('attach', {
    entry,
    rules: { revision: 0, outDataCenters: [] },
  });
  return { views, ends, calls, answer, entryLink };
};

describe('GateAgent', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against a fault in which an entry attached while the view was closed for a moment between
  // two broadcasts. The open view was not sent to it afterwards, since it equalled the view of the
  // last broadcast.
  it('sends the view to an entry that attached while the view differed from the last broadcast', async () => {
    let isReconciled = true;
    const agent = createAgent(createWorkerClient(() => isReconciled));
    agent.handleReport(report);
    const first = await attach(agent, 'first');
    await jest.advanceTimersByTimeAsync(600);
    expect(first.views.pop()?.state).toBe('open');
    isReconciled = false;
    await jest.advanceTimersByTimeAsync(5);
    const second = await attach(agent, 'second');
    expect(second.answer.view.state).toBe('closed');
    isReconciled = true;
    await jest.advanceTimersByTimeAsync(600);
    expect(second.views.pop()?.state).toBe('open');
    agent.halt();
  });

  // Guards against a healthy worker that is ejected for tasks that fail wherever they run.
  it.each([
    ['keeps a worker on which tasks fail that have failed elsewhere', true, 'open'],
    ['ejects a worker on which tasks fail that have not failed elsewhere', false, 'closed'],
  ])('%s', async (_, hasFailedElsewhere, state) => {
    const agent = createAgent(createFailingWorkerClient());
    agent.handleReport(report);
    const { entryLink } = await attach(agent, 'entry');
    await jest.advanceTimersByTimeAsync(100);
    ['a', 'b', 'c'].forEach((job) => {
      void entryLink.call('assign', { ...assignment, job, hasFailedElsewhere });
    });
    await jest.advanceTimersByTimeAsync(300);
    expect(agent.view.state).toBe(state);
    agent.halt();
  });

  // Guards against blaming a suspected task for the crash of one that had started just before it.
  it('starts a suspected task apart from the tasks of other jobs', async () => {
    const startedAt = new Map<string, number>();
    const client = createWorkerClient(() => true);
    const agent = createAgent({
      ...client,
      start: (command) => {
        startedAt.set(command.task.job, performance.now());
        return client.start(command);
      },
    });
    agent.handleReport(report);
    const { entryLink } = await attach(agent, 'entry');
    await jest.advanceTimersByTimeAsync(10);
    const assign = (job: string, isSuspect: boolean) =>
      entryLink.call('assign', { ...assignment, job, isSuspect, echo: performance.now() });
    void assign('first', false);
    await jest.advanceTimersByTimeAsync(10);
    void assign('suspect', true);
    await jest.advanceTimersByTimeAsync(10);
    const later = await assign('later', false);
    await jest.advanceTimersByTimeAsync(300);
    const distanceMs = (startedAt.get('suspect') ?? 0) - (startedAt.get('first') ?? 0);
    expect(distanceMs).toBeGreaterThanOrEqual(PROBATION_MS);
    expect(later).toMatchObject({ taken: [], reason: 'probation' });
    agent.halt();
  });

  // Guards against entries that assign tasks again and again to a worker that admits none of them. The load:
  // many entries with waiting tasks and one worker that has just started a suspected task.
  it('shows no room while a suspected task is on probation, and shows it again afterwards', async () => {
    const agent = createAgent(createWorkerClient(() => true));
    agent.handleReport(report);
    const { entryLink, views } = await attach(agent, 'entry');
    await jest.advanceTimersByTimeAsync(10);
    const run = { ...assignment, isSuspect: true, echo: performance.now() };
    const answer = await entryLink.call('assign', run);
    expect(answer).toMatchObject({ taken: [0], free: NO_RESOURCES });
    const declined = await entryLink.call('assign', { ...run, job: 'b' });
    expect(declined).toMatchObject({ taken: [], free: NO_RESOURCES });
    await jest.advanceTimersByTimeAsync(PROBATION_MS + VIEW_DELAY_MS + 5);
    expect(views.pop()?.free.cpu).toBeGreaterThan(0);
    agent.halt();
  });

  // Guards against two runs of a task at once: what somebody says of the worker is no end of its runs.
  it.each([
    ['deregisters', (agent: GateAgent) => agent.handleDeregistration(report.id, report.born)],
    [
      'is named in a late deregistration of its earlier incarnation',
      (agent: GateAgent) => agent.handleDeregistration(report.id, report.born - 1),
    ],
    [
      'is left out of a report of another writer',
      (agent: GateAgent) =>
        agent.handleReport({ ...report, id: 'i-odd', born: report.born + 1, service: 'none' }),
    ],
  ])('does not take the runs of a worker for ended when it %s', async (_, say) => {
    const agent = createAgent(createBusyWorkerClient());
    agent.handleReport(report);
    const { entryLink, ends } = await attach(agent, 'entry');
    await jest.advanceTimersByTimeAsync(10);
    await entryLink.call('assign', { ...assignment, echo: performance.now() });
    await jest.advanceTimersByTimeAsync(50);
    say(agent);
    await jest.advanceTimersByTimeAsync(300);
    expect(ends).toEqual([]);
    agent.halt();
  });

  it('goes on with a worker that another writer has left out of its report', async () => {
    const agent = createAgent(createBusyWorkerClient());
    agent.handleReport(report);
    await jest.advanceTimersByTimeAsync(10);
    agent.handleReport({ ...report, id: 'i-odd', born: report.born + 1, service: 'none' });
    await jest.advanceTimersByTimeAsync(100);
    agent.handleReport({ ...report, sequence: 2 });
    expect(agent.view).toMatchObject({ state: 'open', service: report.service });
    agent.halt();
  });

  // A report that the network held back may arrive after its worker has left.
  it('does not use a worker again for a report that it sent before it deregistered', async () => {
    const agent = createAgent(createWorkerClient(() => true));
    agent.handleReport(report);
    await jest.advanceTimersByTimeAsync(10);
    expect(agent.view.state).toBe('open');
    agent.handleDeregistration(report.id);
    agent.handleReport({ ...report, sequence: 2 });
    await jest.advanceTimersByTimeAsync(10);
    expect(agent.view).toMatchObject({ state: 'closed', reason: 'no worker' });
    agent.handleReport({ ...report, born: report.born + 1 });
    expect(agent.view.reason).toBe('runs unknown');
    agent.halt();
  });

  // Guards against two runs of a task: the next incarnation of a worker may carry out a start that had no answer.
  it('tells all entries of a start without an answer before its owner hears that the run has ended', async () => {
    const client = createWorkerClient(() => true);
    const agent = createAgent({
      ...client,
      start: () =>
        Promise.resolve({ type: 'noAnswer', detail: 'late', wasRefused: false, wasSent: true }),
    });
    agent.handleReport(report);
    const entries = [await attach(agent, 'first'), await attach(agent, 'second')];
    await jest.advanceTimersByTimeAsync(10);
    await entries[0]?.entryLink.call('assign', { ...assignment, echo: performance.now() });
    await jest.advanceTimersByTimeAsync(50);
    entries[0]?.entryLink.notify('abandon', { jobs: [assignment.job] });
    await jest.advanceTimersByTimeAsync(50);
    expect(entries[0]?.calls).toEqual(['unsettled [["a",0,"i-1"]]', 'ended']);
    expect(entries[1]?.calls).toEqual(['unsettled [["a",0,"i-1"]]']);
    const later = await attach(agent, 'third');
    expect(later.answer.unsettled).toEqual([['a', 0, 'i-1']]);
    agent.halt();
  });

  // Guards against an agent that is locked out after its restart: the clock of a worker begins at any reading, so that
  // a token above that of an earlier worker may be above all that the next process of the agent can compute.
  it('begins with a token of its own for a worker under another id, of which it tells as of the earlier one', async () => {
    const tokens: number[] = [];
    let isOther = false;
    const client = createWorkerClient(() => true);
    const agent = createAgent({
      ...client,
      hold: (command) => {
        if (isOther && command.worker.id === report.id)
          return Promise.resolve({ type: 'refused', reason: 'otherLife' });
        if (isOther) tokens.push(command.token);
        return client.hold(command);
      },
      start: () =>
        Promise.resolve({ type: 'noAnswer', detail: 'late', wasRefused: false, wasSent: true }),
    });
    agent.handleReport({ ...report, clock: 5_000_000 });
    const entry = await attach(agent, 'first');
    await jest.advanceTimersByTimeAsync(10);
    await entry.entryLink.call('assign', { ...assignment, echo: performance.now() });
    await jest.advanceTimersByTimeAsync(50);
    isOther = true;
    const next = { ...report, id: 'i-2', born: report.born + 2, clock: 10 };
    agent.handleReport(next);
    await jest.advanceTimersByTimeAsync(100);
    expect(tokens[0]).toBe(next.born + next.clock);
    expect(entry.ends.map(([, , , how]) => how)).toEqual(['lapsed']);
    expect((await attach(agent, 'second')).answer.unsettled).toEqual([]);
    agent.halt();
  });

  // Guards against an entry that was paused, and stops the runs of the entry to which its client went.
  it('stops for an entry that abandons a job only the runs that this entry has assigned', async () => {
    const stopped: number[] = [];
    const client = createBusyWorkerClient();
    const agent = createAgent({
      ...client,
      stop: (command) => {
        stopped.push(command.task.index);
        return client.stop(command);
      },
    });
    agent.handleReport(report);
    const entries = [await attach(agent, 'first'), await attach(agent, 'second')];
    await jest.advanceTimersByTimeAsync(10);
    const echo = performance.now();
    await entries[0]?.entryLink.call('assign', { ...assignment, echo, runs: [[0, 1]] });
    await entries[1]?.entryLink.call('assign', { ...assignment, echo, runs: [[1, 1]] });
    entries[0]?.entryLink.notify('abandon', { jobs: [assignment.job] });
    await jest.advanceTimersByTimeAsync(20);
    expect([...new Set(stopped)]).toEqual([0]);
    agent.halt();
  });
});
