import type { Handlers, Params, Result } from '@marjorammast/protocol';
import { ForwardedJobs } from '../src/ForwardedJobs';
import type { ForwardedJobsHost, ForwardedSubmission } from '../src/ForwardedJobs';
import { SENDER_TIMEOUT_MS } from '../src/constants';
import type { JobOutcome } from '../src/job';
import { connect, createLineLog, createServer } from './forwardingSupport';
import { createTestJob, testRoute } from './support';

const LOAD = { utilization: 0.1, processorCores: 1, accepts: true };

const COMPLETED: JobOutcome = { type: 'completed' };

/** A run of a forwarded job at the receiver. */
type TestRun = ForwardedSubmission & { end: (outcome: JobOutcome) => void };

const createFixture = (fields: Partial<ForwardedJobsHost> = {}) => {
  const runs: TestRun[] = [];
  const { lines, log } = createLineLog();
  const receiver = ForwardedJobs.create({
    findRoute: (name) => (name === testRoute.name ? testRoute : undefined),
    version: () => 4,
    findObstacle: () => undefined,
    isForwarded: () => false,
    isPending: () => true,
    load: () => LOAD,
    run: (submission) =>
      new Promise((resolve) => {
        runs.push({ ...submission, end: resolve });
        const reason = 'client left';
        submission.signal.addEventListener('abort', () => resolve({ type: 'unfinished', reason }));
      }),
    log,
    ...fields,
  });
  const handlers: Handlers = receiver.handlers;
  const connection = connect(createServer(), createServer(handlers));
  return { receiver, runs, lines, connection };
};

const createParams = (fields: Partial<Params<'forward'>> = {}): Params<'forward'> => {
  const { request: job } = createTestJob(2, 100);
  const echo = performance.now();
  return { job, route: 'claims', version: 4, remainingMs: 2_000, echo, heldMs: 0, ...fields };
};

const pass = (ms: number) => jest.advanceTimersByTimeAsync(ms);

describe('ForwardedJobs', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  const forward = (
    { connection }: ReturnType<typeof createFixture>,
    fields: Partial<Params<'forward'>> = {},
  ) => {
    const answers: (Result<'forward'> | 'lost')[] = [];
    void connection.near.call('forward', createParams(fields), 0).then(
      (answer) => answers.push(answer),
      () => answers.push('lost'),
    );
    return answers;
  };

  /** Sends heartbeats for a time, as a sender that lives. */
  const beat = async ({ connection }: ReturnType<typeof createFixture>, ms: number) => {
    for (let left = ms; left > 0; left -= 100) {
      const age = { echo: performance.now(), heldMs: 0 };
      void connection.near.call('heartbeat', age, 0).catch(() => undefined);
      await pass(100);
    }
  };

  it('answers when the job has ended, and once', async () => {
    const fixture = createFixture();
    const answers = forward(fixture);
    await beat(fixture, 1_000);
    expect(answers).toEqual([]);
    fixture.runs[0]?.end(COMPLETED);
    await pass(10);
    expect(answers).toEqual([{ type: 'ended', outcome: COMPLETED, load: LOAD }]);
    expect(fixture.runs).toHaveLength(1);
  });

  it.each([
    ['an older configuration', { version: 5 }, {}, 'configuration'],
    ['a route that is missing', { route: 'other' }, {}, 'route'],
    ['its load', {}, { findObstacle: () => 'load' as const }, 'load'],
    ['its end', {}, { findObstacle: () => 'stopping' as const }, 'stopping'],
    ['a job that it has forwarded itself', {}, { isForwarded: () => true }, 'forwarded'],
    ['a message without an age', { echo: undefined }, {}, 'stale'],
    ['a message that waited for long', { echo: -400 }, {}, 'stale'],
  ])('declines for %s and runs nothing', async (_name, params, host, reason) => {
    const fixture = createFixture(host);
    const answers = forward(fixture, params);
    await pass(10);
    expect(answers).toEqual([{ type: 'declined', reason, load: LOAD }]);
    expect(fixture.runs).toEqual([]);
  });

  // Guards against tasks that run at two entries: the sender has given the job up while the VM was suspended, and the
  // monotonic clock stood still.
  it('declines a message that waited while the VM was suspended', async () => {
    const fixture = createFixture();
    const params = { echo: performance.now(), heldMs: 0 };
    jest.setSystemTime(Date.now() + 2_000);
    const answers = forward(fixture, params);
    await pass(10);
    expect(answers).toEqual([{ type: 'declined', reason: 'stale', load: LOAD }]);
    expect(fixture.runs).toEqual([]);
  });

  // Guards against starts for a sender that has given its jobs up, and against a step of the wall clock that ends jobs.
  it('starts nothing after a suspension or a step until the sender is heard again', async () => {
    const fixture = createFixture();
    forward(fixture);
    await pass(10);
    const { connection, runs } = fixture;
    expect(runs[0]?.mayStart()).toBe(true);
    jest.setSystemTime(Date.now() + 2_000);
    expect(runs[0]?.mayStart()).toBe(false);
    const readings: number[] = [];
    const heartbeat = (echo?: number) =>
      connection.near
        .call('heartbeat', { echo, heldMs: 0 }, 0)
        .then(({ clock }) => readings.push(clock));
    void heartbeat();
    await pass(10);
    void heartbeat(readings[0]);
    await pass(10);
    expect(runs[0]?.mayStart()).toBe(true);
    await pass(200);
    expect(runs[0]?.signal.aborted).toBe(false);
    expect(connection.near.isOpen).toBe(true);
  });

  it('accepts a job from an entry with an older configuration', async () => {
    const fixture = createFixture();
    forward(fixture, { version: 3 });
    await pass(10);
    expect(fixture.runs).toHaveLength(1);
  });

  // Guards against a job that is accepted after its withdrawal, which came with it.
  it('aborts a job that is withdrawn in the same turn', async () => {
    const fixture = createFixture();
    const answers = forward(fixture);
    fixture.connection.near.notify('withdraw', { jobs: ['a'] });
    await pass(10);
    expect(fixture.runs[0]?.signal.aborted).toBe(true);
    expect(fixture.runs[0]?.mayStart()).toBe(false);
    expect(answers).toMatchObject([{ type: 'ended', outcome: { type: 'unfinished' } }]);
  });

  it('aborts the jobs of a sender whose connection closes', async () => {
    const fixture = createFixture();
    forward(fixture);
    await pass(10);
    fixture.connection.near.close();
    await pass(10);
    expect(fixture.runs[0]?.signal.aborted).toBe(true);
    expect(fixture.runs[0]?.mayStart()).toBe(false);
    expect(fixture.lines.join()).toContain('sender_lost');
  });

  it('aborts the jobs of a sender that is silent, and not those of one that lives', async () => {
    const fixture = createFixture();
    forward(fixture);
    await beat(fixture, 3_000);
    expect(fixture.runs[0]?.signal.aborted).toBe(false);
    fixture.connection.toFar = 'lost';
    await pass(SENDER_TIMEOUT_MS + 10);
    expect(fixture.runs[0]?.signal.aborted).toBe(true);
    expect(fixture.connection.far.isOpen).toBe(false);
    expect(fixture.lines.join()).toContain('sender_silent');
  });

  // Guards against starts for a sender that died while this process was paused: its last heartbeats are read then.
  it('starts nothing after a pause because of heartbeats that have waited in the socket', async () => {
    const fixture = createFixture();
    forward(fixture);
    await pass(10);
    fixture.connection.toFar = 'held';
    const age = { echo: performance.now(), heldMs: 0 };
    void fixture.connection.near.call('heartbeat', age, 0).catch(() => undefined);
    await pass(SENDER_TIMEOUT_MS - 20);
    expect(fixture.runs[0]?.mayStart()).toBe(true);
    await pass(15);
    fixture.connection.release();
    expect(fixture.runs[0]?.mayStart()).toBe(false);
    await pass(10);
    expect(fixture.runs[0]?.signal.aborted).toBe(true);
  });

  it('runs a job that arrives twice as submissions of one job, and withdraws both', async () => {
    const fixture = createFixture();
    fixture.connection.toFar = 'twice';
    forward(fixture);
    await pass(10);
    expect(fixture.runs).toHaveLength(2);
    fixture.connection.near.notify('withdraw', { jobs: ['a'] });
    await pass(10);
    expect(fixture.runs.map(({ signal }) => signal.aborted)).toEqual([true, true]);
  });

  it('names the jobs of a sender of which no run has been admitted', async () => {
    const pending = new Set(['a']);
    const fixture = createFixture({ isPending: (job) => pending.has(job) });
    forward(fixture);
    await pass(10);
    const ask = () => fixture.connection.near.call('heartbeat', { heldMs: 0 }, 0);
    const first = ask();
    await pass(10);
    pending.clear();
    const second = ask();
    await pass(10);
    expect([(await first).pending, (await second).pending]).toEqual([['a'], []]);
  });
});
