import { CallError } from '@marjorammast/protocol';
import type { Handlers, Link, Params, Result } from '@marjorammast/protocol';
import type { ActiveJob } from '../src/ActiveJob';
import { CLAIM_TIMEOUT_MS, RUN_EXPIRY_MS } from '../src/constants';
import { JobConfirmation } from '../src/JobConfirmation';
import type { Confirmation, JobConfirmationHost } from '../src/JobConfirmation';
import { connect, createLineLog, createServer } from './forwardingSupport';
import type { TestConnection } from './forwardingSupport';
import { createTestJob } from './support';

const pass = (ms: number) => jest.advanceTimersByTimeAsync(ms);

const entryOf = (name: string) => ({ name, address: name, dataCenter: 'one' });

const FREE: Result<'claimJobs'> = { known: [], memoryMs: 60_000 };

/** Connects the entry `own` to others, each of which answers claims with the given function. */
const createFixture = (
  others: Record<string, (params: Params<'claimJobs'>) => Result<'claimJobs'>>,
  fields: Partial<JobConfirmationHost> = {},
) => {
  const { lines, log } = createLineLog();
  const connections: TestConnection[] = [];
  const asked: string[] = [];
  const jobs = new Map<string, ActiveJob>();
  const handlers: Handlers = {};
  const dial = (address: string): Promise<Link> => {
    const answer = others[address];
    if (!answer) return Promise.reject(Object.assign(new Error('x'), { code: 'ECONNREFUSED' }));
    const claimJobs = (params: Params<'claimJobs'>) => {
      asked.push(`${address} ${params.jobs.map(([id]) => id).join(' ')}`);
      return answer(params);
    };
    const connection = connect(createServer(handlers), createServer({ claimJobs }));
    connections.push(connection);
    return Promise.resolve(connection.near);
  };
  const confirmation = JobConfirmation.create({
    entry: 'own',
    entries: () => ['own', ...Object.keys(others)].map(entryOf),
    storeRevision: () => 7,
    dial,
    readProcessorMs: () => 0,
    findJob: (id) => jobs.get(id),
    ownJobs: () => [...jobs.values()],
    hasRunsOf: () => false,
    schedulePass: jest.fn(),
    isClockStep: () => Promise.resolve(false),
    onPause: jest.fn(),
    onClaimed: jest.fn(),
    log,
    ...fields,
  });
  Object.assign(handlers, confirmation.handlers);
  return { confirmation, connections, asked, jobs, lines };
};

type Fixture = ReturnType<typeof createFixture>;

describe('JobConfirmation', () => {
  let fixture: Fixture;

  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
  });

  afterEach(() => {
    fixture.confirmation.halt();
    jest.useRealTimers();
  });

  /** Makes the clocks look as after a suspension of the VM. */
  const suspend = (ms: number) => jest.setSystemTime(Date.now() + ms);

  /** Submits a job on a connection that is older than all pauses. */
  const confirm = (id = 'a'): Confirmation[] => {
    const answers: Confirmation[] = [];
    const submission = { id, connectedAt: -1, remainingMs: 1_500 };
    void fixture.confirmation.confirm(submission).then((answer) => answers.push(answer));
    return answers;
  };

  it('is needed after a pause only, and on old connections only', async () => {
    fixture = createFixture({ other: () => FREE });
    const { confirmation } = fixture;
    await pass(1_000);
    const submission = { id: 'a', connectedAt: 500, remainingMs: 1_500 };
    expect(confirmation.isNeeded(submission)).toBe(false);
    suspend(2_000);
    expect(confirmation.isNeeded(submission)).toBe(true);
    await pass(100);
    expect(confirmation.isNeeded({ ...submission, connectedAt: performance.now() })).toBe(false);
  });

  it.each([
    ['confirms a job that no other entry knows', FREE, { type: 'confirmed' }],
    [
      'answers a job that another entry knows',
      { known: ['a'], memoryMs: 60_000 },
      { outcome: { type: 'unfinished', reason: 'submitted elsewhere' } },
    ],
    [
      'refuses a job that an entry may have forgotten in a restart',
      { known: [], memoryMs: 1_999 },
      { outcome: { type: 'refused', reason: 'unconfirmed', retryAfterMs: 200 } },
    ],
  ])('%s', async (_, result, expected) => {
    fixture = createFixture({ other: () => result, third: () => FREE });
    suspend(2_000);
    const answers = confirm();
    await pass(20);
    expect(answers).toEqual([expect.objectContaining(expected)]);
    expect(fixture.asked).toEqual(['other a', 'third a']);
  });

  // Guards against a copy at an entry that has registered while this one was paused, or that the store hides from it.
  it('asks also the entries of which only another one knows', async () => {
    const told = { ...FREE, entries: ['own', 'other', 'hidden'].map(entryOf) };
    fixture = createFixture(
      { other: () => told, hidden: () => ({ known: ['a'], memoryMs: 60_000 }) },
      { entries: () => ['own', 'other'].map(entryOf) },
    );
    suspend(2_000);
    const answers = confirm();
    await pass(20);
    expect(fixture.asked).toEqual(['other a', 'hidden a']);
    expect(answers).toEqual([expect.objectContaining({ type: 'answered' })]);
  });

  // Guards against the answer of an entry whose claim has expired since: this VM was suspended before it read it.
  it('claims a job again after a pause during the claim', async () => {
    fixture = createFixture({ other: () => FREE });
    suspend(2_000);
    const answers = confirm();
    await pass(1);
    suspend(5_000);
    await pass(20);
    expect(fixture.asked).toEqual(['other a', 'other a']);
    expect(answers).toEqual([{ type: 'confirmed' }]);
  });

  it('refuses at once while an entry does not answer', async () => {
    fixture = createFixture({ other: () => FREE });
    suspend(2_000);
    confirm('first');
    await pass(20);
    Object.assign(fixture.connections[0] ?? {}, { toFar: 'lost' });
    const late = confirm('second');
    await pass(CLAIM_TIMEOUT_MS + 20);
    expect(late).toEqual([expect.objectContaining({ type: 'answered' })]);
    const atOnce = confirm('third');
    await pass(1);
    expect(atOnce).toEqual([
      { type: 'answered', outcome: expect.objectContaining({ reason: 'unconfirmed' }) },
    ]);
  });

  // Guards against refusals while a connection that went silent during the pause is still used.
  it('opens new connections after each pause', async () => {
    fixture = createFixture({ other: () => FREE });
    const { connections, confirmation } = fixture;
    suspend(2_000);
    confirm('first');
    await pass(20);
    confirmation.forget('first');
    Object.assign(connections[0] ?? {}, { toFar: 'lost' });
    suspend(2_000);
    const answers = confirm('second');
    await pass(20);
    expect(answers).toEqual([{ type: 'confirmed' }]);
    expect(connections).toHaveLength(2);
  });

  it('does without an entry whose port refuses connections, once its runs are over', async () => {
    fixture = createFixture({}, { entries: () => ['own', 'gone'].map(entryOf) });
    suspend(2_000);
    const early = confirm('early');
    await pass(RUN_EXPIRY_MS + 10);
    const late = confirm('late');
    await pass(10);
    expect(early).toEqual([expect.objectContaining({ type: 'answered' })]);
    expect(late).toEqual([{ type: 'confirmed' }]);
  });

  it('ends its jobs when an entry that has their claims is lost', async () => {
    fixture = createFixture({ other: () => FREE });
    const { jobs, connections } = fixture;
    suspend(2_000);
    confirm();
    await pass(20);
    const job = createTestJob(1, 100);
    jobs.set('a', job);
    connections[0]?.far.close();
    await pass(10);
    expect(job.isOpen).toBe(false);
  });

  // Guards against a step of the wall clock that costs jobs.
  it('holds a job that may have outlived a suspension until it is confirmed', async () => {
    fixture = createFixture({ other: () => FREE });
    const { jobs, confirmation } = fixture;
    const job = createTestJob(1, 100);
    jobs.set('a', job);
    await pass(1_000);
    suspend(4_000);
    confirmation.checkPause();
    expect(job.mayStart).toBe(true);
    suspend(9_000);
    confirmation.checkPause();
    expect(job.mayStart).toBe(false);
    await pass(20);
    expect(job.mayStart).toBe(true);
    expect(job.isOpen).toBe(true);
  });

  // Guards against a copy of the job at an entry that did not exist when the job was claimed.
  it('claims its jobs also at an entry that registers later', async () => {
    const names = ['own', 'other'];
    fixture = createFixture(
      { other: () => FREE, later: () => ({ known: ['a'], memoryMs: 100 }) },
      { entries: () => names.map(entryOf) },
    );
    const { asked, jobs, confirmation } = fixture;
    suspend(2_000);
    confirm();
    await pass(20);
    const job = createTestJob(1, 100);
    jobs.set('a', job);
    names.push('later');
    confirmation.updateEntries();
    await pass(20);
    expect(asked).toEqual(['other a', 'later a']);
    expect(job.isOpen).toBe(false);
  });

  // Guards against an entry that has lost its claims with the power of its VM, which closes no connection.
  it('sends messages to the entries that have its claims', async () => {
    fixture = createFixture({ other: () => FREE });
    suspend(2_000);
    confirm();
    await pass(500);
    expect(fixture.asked).toEqual(['other a', 'other ', 'other ']);
    fixture.confirmation.forget('a');
    await pass(1_000);
    expect(fixture.asked).toHaveLength(3);
  });

  // Guards against a step of the wall clock that costs jobs while an entry does not answer.
  it('takes no step of the wall clock for a suspension, if an agent shows that it was one', async () => {
    fixture = createFixture(
      {},
      { entries: () => ['own', 'gone'].map(entryOf), isClockStep: () => Promise.resolve(true) },
    );
    const { jobs, confirmation } = fixture;
    const job = createTestJob(1, 100);
    jobs.set('open', job);
    suspend(20_000);
    confirmation.checkPause();
    expect(job.mayStart).toBe(false);
    expect(confirmation.isNeeded({ id: 'a', connectedAt: -1, remainingMs: 1_500 })).toBe(true);
    const answers = confirm();
    await pass(5);
    expect(answers).toEqual([{ type: 'confirmed' }]);
    expect(job.mayStart).toBe(true);
    expect(confirmation.isNeeded({ id: 'b', connectedAt: -1, remainingMs: 1_500 })).toBe(false);
  });

  it('cancels a job that is being confirmed', async () => {
    fixture = createFixture({ other: () => FREE });
    suspend(2_000);
    const answers = confirm();
    await pass(1);
    expect(fixture.confirmation.cancel('a')).toBe(true);
    await pass(20);
    const outcome = { type: 'unfinished', reason: 'cancelled' };
    expect(answers).toEqual([{ type: 'answered', outcome }]);
    expect(fixture.confirmation.cancel('a')).toBe(false);
  });

  describe('for the claims of others', () => {
    const claimAt = async (id: string, release: () => Result<'releaseJob'>) => {
      const connection = connect(
        createServer({ releaseJob: release }),
        createServer(fixture.confirmation.handlers),
      );
      const answer = connection.near.call(
        'claimJobs',
        { entry: 'other', jobs: [[id, 1_000]], storeRevision: 6 },
        0,
      );
      await pass(10);
      return { connection, result: await answer };
    };

    it('tells which jobs it knows, and of all entries if its list is newer', async () => {
      fixture = createFixture({ other: () => FREE });
      await pass(3_000);
      fixture.confirmation.recordSubmission('b');
      const { result } = await claimAt('b', () => ({}));
      expect(result).toEqual({
        known: ['b'],
        memoryMs: 3_001,
        entries: ['own', 'other'].map(entryOf),
      });
      expect(fixture.confirmation.claimedUntil('b')).toBe(0);
    });

    it('makes the other entry release a job that is submitted here', async () => {
      fixture = createFixture({ other: () => FREE });
      const release = jest.fn(() => ({}));
      await claimAt('a', release);
      expect(fixture.confirmation.claimedUntil('a')).toBeGreaterThan(performance.now());
      const answers = confirm();
      await pass(10);
      expect(release).toHaveBeenCalledTimes(1);
      expect(answers).toEqual([{ type: 'confirmed' }]);
      expect(fixture.confirmation.claimedUntil('a')).toBe(0);
    });

    it('keeps the claim of an entry that does not release the job', async () => {
      fixture = createFixture({ other: () => FREE });
      await claimAt('a', () => {
        throw CallError.create('remote', 'runs have not ended');
      });
      confirm();
      await pass(100);
      const left = fixture.confirmation.claimedUntil('a') - performance.now();
      expect(left).toBeGreaterThan(RUN_EXPIRY_MS);
      await pass(3_000);
      expect(fixture.confirmation.claimedUntil('a')).toBe(0);
    });
  });
});
