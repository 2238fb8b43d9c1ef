import { createCallServer } from '@marjorammast/protocol';
import type { EntryLoadReport, Params, Result } from '@marjorammast/protocol';
import type { ActiveJob } from '../src/ActiveJob';
import { JobForwarder } from '../src/JobForwarder';
import { RUN_EXPIRY_MS } from '../src/constants';
import type { JobOutcome } from '../src/job';
import { connect, createLineLog, createLoad, createServer, refuseDial } from './forwardingSupport';
import type { TestConnection } from './forwardingSupport';
import { createTestJob } from './support';

const IDLE: EntryLoadReport = { utilization: 0.1, processorCores: 1, accepts: true };

const COMPLETED: JobOutcome = { type: 'completed' };

const PEERS = ['own', 'near', 'far'].map((name) => ({
  name,
  address: name,
  dataCenter: name === 'far' ? 'two' : 'one',
}));

type ReceivedJob = Params<'forward'> & { answer: (result: Result<'forward'>) => void };

const pass = (ms: number) => jest.advanceTimersByTimeAsync(ms);

/** Creates the forwarder of the entry `own` with a utilization; only `near` can be reached. */
const createFixture = async (utilization = 1, receiverLoad = IDLE) => {
  const received: ReceivedJob[] = [];
  const withdrawn: string[] = [];
  const dialled: string[] = [];
  const connections: TestConnection[] = [];
  const meter = jest.fn();
  const { lines, log } = createLineLog();
  const server = createCallServer(
    {
      heartbeat: () => ({ clock: performance.now(), load: receiverLoad, pending: [] }),
      forward: (params) =>
        new Promise((resolve) => {
          received.push({ ...params, answer: resolve });
        }),
      withdraw: ({ jobs }) => ({ ...(withdrawn.push(...jobs) && {}) }),
    },
    () => undefined,
  );
  const dial = (address: string) => {
    dialled.push(address);
    if (address !== 'near') return refuseDial();
    const connection = connect(createServer(), server);
    connections.push(connection);
    return Promise.resolve(connection.near);
  };
  const load = createLoad(utilization);
  const forwarder = JobForwarder.create({
    ...{ entry: 'own', dataCenter: 'one', maxPeers: 4, load, dial, random: () => 0.5, meter, log },
    thresholds: { highUtilization: 0.7, lowUtilization: 0.5 },
  });
  forwarder.updatePeers(PEERS, []);
  forwarder.maintain();
  await pass(20);
  const run = jest.fn();
  /** Submits jobs until one is forwarded, since only a part of them is. */
  const forward = async (job: ActiveJob = createTestJob(2, 100)) => {
    const isForwarded = [1, 2, 3].some(() => forwarder.tryForward(job, 4, run));
    await pass(5);
    return { job, isForwarded };
  };
  return { forwarder, received, withdrawn, dialled, connections, meter, lines, run, forward };
};

const outcomeOf = async (job: ActiveJob): Promise<JobOutcome | undefined> =>
  job.isOpen ? undefined : job.waitForOutcome();

describe('JobForwarder', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('opens no connection and forwards nothing while the entry has time', async () => {
    const { dialled, forward } = await createFixture(0.3);
    expect((await forward()).isForwarded).toBe(false);
    expect(dialled).toEqual([]);
  });

  it('forwards a job with what the receiver needs, and passes the outcome on', async () => {
    const { received, forward, run, meter, lines } = await createFixture();
    const { job, isForwarded } = await forward();
    expect(isForwarded).toBe(true);
    expect(job.isCommitted).toBe(true);
    expect(received).toMatchObject([{ job: { id: 'a' }, route: 'claims', version: 4 }]);
    received[0]?.answer({ type: 'ended', outcome: COMPLETED, load: IDLE });
    await pass(5);
    expect(await outcomeOf(job)).toEqual(COMPLETED);
    expect(run).not.toHaveBeenCalled();
    expect(meter.mock.calls).toEqual([['ended']]);
    expect(lines.join()).toContain('event=job_forwarded');
  });

  it('runs a job that the receiver declines, and leaves the receiver alone for a moment', async () => {
    const { received, forward, run, lines, forwarder } = await createFixture();
    const { job } = await forward();
    received[0]?.answer({ type: 'declined', reason: 'load', load: IDLE });
    await pass(5);
    expect(run).toHaveBeenCalledTimes(1);
    expect(job.isOpen).toBe(true);
    expect(job.isCommitted).toBe(false);
    expect(lines.join()).toContain('event=forward_declined');
    expect((await forward()).isForwarded).toBe(false);
    await pass(500);
    forwarder.maintain();
    await pass(20);
    expect((await forward()).isForwarded).toBe(true);
  });

  it('does not choose a receiver that accepts nothing', async () => {
    const { forward } = await createFixture(1, { ...IDLE, accepts: false });
    expect((await forward()).isForwarded).toBe(false);
  });

  // Guards against a job that waits for ever, and against one that runs at two entries.
  it.each([
    ['the connection closes', (connection: TestConnection) => connection.far.close()],
    [
      'the forward is lost',
      (connection: TestConnection) => Object.assign(connection, { toFar: 'lost' }),
    ],
    [
      'the receiver is silent',
      (connection: TestConnection) => Object.assign(connection, { toNear: 'lost' }),
    ],
  ])('answers a job as unfinished and does not run it when %s', async (_name, fail) => {
    const { forward, connections, run, forwarder, lines } = await createFixture();
    const [connection] = connections;
    const { job } = await forward();
    if (connection) fail(connection);
    await pass(160 + 350 + 10);
    expect(await outcomeOf(job)).toMatchObject({ type: 'unfinished' });
    expect(run).not.toHaveBeenCalled();
    expect(lines.join()).toContain('event=forward_lost');
    expect(forwarder.earlierRunsUntil(job.id)).toBeGreaterThan(performance.now());
  });

  it.each([
    [{ type: 'ended', outcome: COMPLETED, load: IDLE } as const],
    [{ type: 'declined', reason: 'load', load: IDLE } as const],
  ])('withdraws a job whose client leaves, and ignores the late answer %j', async (answer) => {
    const { received, withdrawn, forward, run } = await createFixture();
    const { job } = await forward();
    job.settle({ type: 'unfinished', reason: 'client left' });
    await pass(5);
    expect(withdrawn).toEqual(['a']);
    received[0]?.answer(answer);
    await pass(5);
    expect(await outcomeOf(job)).toMatchObject({ type: 'unfinished' });
    expect(run).not.toHaveBeenCalled();
  });

  it('withdraws nothing after the answer', async () => {
    const { received, withdrawn, forward } = await createFixture();
    await forward();
    received[0]?.answer({ type: 'ended', outcome: COMPLETED, load: IDLE });
    await pass(50);
    expect(withdrawn).toEqual([]);
  });

  it('takes an answer that comes twice once', async () => {
    const { received, forward, connections, meter, run } = await createFixture();
    Object.assign(connections[0] ?? {}, { toNear: 'twice' });
    const { job } = await forward();
    received[0]?.answer({ type: 'declined', reason: 'load', load: IDLE });
    await pass(10);
    expect(run).toHaveBeenCalledTimes(1);
    expect(meter).toHaveBeenCalledTimes(1);
    expect(job.isOpen).toBe(true);
  });

  // Guards against runs of a second copy beside those of the first at the receiver.
  it('neither forwards nor starts a second copy until the runs of a withdrawn one are over', async () => {
    const { forward, forwarder } = await createFixture();
    const { job } = await forward();
    job.settle({ type: 'unfinished', reason: 'cancelled' });
    await pass(5);
    const copy = createTestJob(2, 100);
    copy.notBefore = forwarder.earlierRunsUntil(copy.id);
    expect((await forward(copy)).isForwarded).toBe(false);
    expect(copy.mayStart).toBe(false);
    await pass(RUN_EXPIRY_MS);
    expect(copy.mayStart).toBe(true);
  });

  it('does not forward a job with too little time for the hop', async () => {
    const { forward } = await createFixture();
    expect((await forward(createTestJob(1, 8_950))).isForwarded).toBe(false);
  });

  it('waits for the answers of an entry that is not registered any more, and gives it no other job', async () => {
    const { received, forward, forwarder, connections } = await createFixture();
    const { job } = await forward();
    forwarder.updatePeers([], []);
    expect((await forward()).isForwarded).toBe(false);
    received[0]?.answer({ type: 'ended', outcome: COMPLETED, load: IDLE });
    await pass(5);
    expect(await outcomeOf(job)).toEqual(COMPLETED);
    forwarder.maintain();
    expect(connections[0]?.near.isOpen).toBe(false);
  });
});
