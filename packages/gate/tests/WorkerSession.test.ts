import { CLOCK_RATE_TOLERANCE, EXPIRY_MARGIN_MS, LEASE_MS } from '../src/constants';
import type { Run } from '../src/run';
import type { HoldResult } from '../src/WorkerClient';

import {
  BORN,
  CLOCK,
  accepted,
  createFixture,
  createRun,
  noAnswer,
  report,
} from './createSessionFixture';

type Fixture = ReturnType<typeof createFixture>;

const advance = (ms: number) => jest.advanceTimersByTimeAsync(ms);

describe('WorkerSession', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against two runs of a task at once: a start without an answer may be carried out seconds later.
  it('keeps the resources of an unanswered start until a list with a higher token does not show it', async () => {
    const fixture = createFixture();
    await advance(20);
    fixture.startAnswer = noAnswer;
    fixture.isHoldUnanswered = true;
    fixture.session.startRun(createRun(0));
    await advance(60);
    expect(fixture.ends).toEqual([]);
    expect(fixture.session.free.cpu).toBe(3_000);
    fixture.isHoldUnanswered = false;
    await advance(100);
    expect(fixture.ends).toEqual(['notRun']);
    expect(fixture.session.free.cpu).toBe(4_000);
    expect(fixture.holds[fixture.holds.length - 1]?.token).toBeGreaterThan(
      fixture.starts[0]?.token ?? Infinity,
    );
    fixture.session.end();
  });

  it('tells which incarnation carried out a start that got no answer', async () => {
    const fixture = createFixture();
    await advance(20);
    fixture.startAnswer = noAnswer;
    const run = createRun(0);
    fixture.isHoldUnanswered = true;
    fixture.session.startRun(run);
    await advance(60);
    fixture.isHoldUnanswered = false;
    fixture.running = [{ task: run.task, run: 1, percent: 10 }];
    await advance(60);
    const start = expect.objectContaining({ task: run.task, run: 1 });
    expect(fixture.host.onStartedLate).toHaveBeenCalledWith(start, BORN);
    expect(fixture.host.onStartedLate).toHaveBeenCalledTimes(1);
    fixture.session.end();
  });

  // Guards against two runs of a task: a worker that carries out both starts has one run, since they name the same.
  it('sends a start without an answer again with the same run number and a higher token', async () => {
    const fixture = createFixture();
    await advance(20);
    fixture.startAnswer = noAnswer;
    fixture.mayRepeatStart = true;
    const run = createRun(0);
    fixture.session.startRun(run);
    await advance(2);
    fixture.startAnswer = accepted;
    await advance(60);
    expect(fixture.starts.map((start) => start.run)).toEqual([1, 1]);
    expect(fixture.starts[1]?.token).toBeGreaterThan(fixture.starts[0]?.token ?? Infinity);
    fixture.running = [{ task: run.task, run: 1, percent: 10 }];
    await advance(60);
    expect(run).toMatchObject({ state: 'running', pendingStarts: 1 });
    expect(fixture.host.unsettledStarts.tasks).toEqual([['a', 0, 'i-1']]);
    fixture.session.end();
  });

  // A task whose start may be on its way is bound to its worker; this start is not.
  it('ends a run at once whose start waited for a connection until its time was over', async () => {
    const fixture = createFixture();
    await advance(20);
    fixture.startAnswer = { ...noAnswer, wasSent: false };
    fixture.session.startRun(createRun(0));
    await advance(1);
    expect(fixture.ends).toEqual(['notRun']);
    expect(fixture.host.unsettledStarts.tasks).toEqual([]);
    fixture.session.end();
  });

  it('takes no start for fenced by a list with a row that cannot be read', async () => {
    const fixture = createFixture();
    await advance(20);
    fixture.startAnswer = noAnswer;
    fixture.hasUnreadableRows = true;
    fixture.session.startRun(createRun(0));
    await advance(100);
    expect(fixture.ends).toEqual([]);
    fixture.hasUnreadableRows = false;
    await advance(100);
    expect(fixture.ends).toEqual(['notRun']);
    fixture.session.end();
  });

  // Guards against two runs of a task at once: the entry of an inherited run may be gone since.
  it('does not extend the lease while an inherited run may be active', async () => {
    const fixture = createFixture({ token: 9_000, unconfirmed: [createRun(1)] });
    fixture.stopAnswer = noAnswer;
    fixture.running = [{ task: createRun(1).task, run: 1, percent: 1 }];
    await advance(500);
    expect(fixture.session.unavailableReason).toBe('run not stopped');
    expect(fixture.holds.filter(({ leaseUntil }) => leaseUntil !== undefined)).toEqual([]);
    fixture.session.end();
  });

  // Guards against runs that are taken for ended by an answer to a command of the previous session.
  it('replaces no session by an answer that comes after its own end', async () => {
    const fixture = createFixture();
    await advance(20);
    fixture.session.startRun(createRun(0));
    await advance(5);
    fixture.stopAnswer = { type: 'refused', reason: 'otherLife' };
    fixture.session.abandon(fixture.session.find(createRun(0).task) as Run);
    fixture.session.end();
    await advance(50);
    expect(fixture.host.onReplaced).not.toHaveBeenCalled();
  });

  it('lets an unanswered start run on when a later list shows it', async () => {
    const fixture = createFixture();
    await advance(20);
    fixture.startAnswer = noAnswer;
    fixture.running = [{ task: createRun(0).task, run: 1, percent: 1 }];
    fixture.session.startRun(createRun(0));
    await advance(100);
    expect(fixture.stops).toEqual([]);
    fixture.running = [];
    fixture.ended = [{ number: 1, task: createRun(0).task, run: 1, how: 'done' }];
    await advance(100);
    expect(fixture.ends).toEqual(['done']);
    fixture.session.end();
  });

  it('stops an unanswered start that a later list shows once nobody waits for it', async () => {
    const fixture = createFixture();
    await advance(20);
    const run = createRun(0);
    fixture.startAnswer = noAnswer;
    fixture.isHoldUnanswered = true;
    fixture.session.startRun(run);
    await advance(60);
    fixture.running = [{ task: run.task, run: 1, percent: 1 }];
    fixture.session.abandon(run);
    fixture.isHoldUnanswered = false;
    await advance(100);
    expect(fixture.stops[0]).toMatchObject({ task: run.task, run: 1 });
    fixture.session.end();
  });

  // Guards against putting a crash down to a task whose start the crashed worker never got.
  it('queues a run again at once when its start was refused, and does not count it as lost', async () => {
    const fixture = createFixture();
    await advance(20);
    fixture.startAnswer = { ...noAnswer, wasRefused: true, wasSent: false };
    fixture.session.startRun(createRun(0));
    fixture.session.startRun(createRun(1));
    await advance(2);
    expect(fixture.ends).toEqual(['notRun', 'notRun']);
    expect(fixture.host.onCrashed).toHaveBeenCalledWith([]);
    fixture.session.end();
  });

  it('does not report the end of a worker that leaves as a crash', async () => {
    const fixture = createFixture();
    await advance(20);
    fixture.session.update({ ...report, isLeaving: true, sequence: 2 });
    fixture.isRefusing = true;
    await advance(100);
    expect(fixture.session.unavailableReason).not.toBe('');
    expect(fixture.host.onCrashed).not.toHaveBeenCalled();
    fixture.session.end();
  });

  // Guards against two runs of a task at once: a living worker may refuse connections too.
  it('keeps the runs of a worker that refuses connections until their lease has certainly ended', async () => {
    const fixture = createFixture();
    await advance(20);
    fixture.session.startRun(createRun(0));
    await advance(2);
    fixture.startAnswer = noAnswer;
    fixture.session.startRun(createRun(1));
    await advance(1);
    fixture.isRefusing = true;
    await advance(LEASE_MS);
    expect(fixture.host.onCrashed).toHaveBeenCalledTimes(1);
    expect(fixture.ends).toEqual([]);
    expect(fixture.session.unavailableReason).not.toBe('');
    await advance(LEASE_MS * (CLOCK_RATE_TOLERANCE - 1) + EXPIRY_MARGIN_MS);
    expect(fixture.ends).toEqual(['lapsed', 'lapsed']);
    fixture.session.end();
  });

  it.each([
    ['it is no longer wanted', ({ session }: Fixture, run: Run) => session.stop(run)],
    [
      'what it was admitted on has changed',
      (fixture: Fixture) => Object.assign(fixture, { mayStart: false }),
    ],
    ['the session ends', ({ session }: Fixture) => session.end()],
  ])('never starts a run that waits for its start when %s', async (_, interrupt) => {
    const fixture = createFixture();
    await advance(20);
    const run: Run = { ...createRun(0), startsAt: performance.now() + 50, state: 'waiting' };
    fixture.session.startRun(run);
    await advance(20);
    expect(fixture.session.free.cpu).toBe(3_000);
    interrupt(fixture, run);
    await advance(100);
    expect(fixture.starts).toEqual([]);
    expect(fixture.ends).toEqual(['notRun']);
    expect(fixture.session.end().unconfirmed).toEqual([]);
  });

  it('starts a run that waits at the time that it names', async () => {
    const fixture = createFixture();
    await advance(20);
    const run: Run = { ...createRun(0), startsAt: performance.now() + 50, state: 'waiting' };
    fixture.session.startRun(run);
    await advance(49);
    expect(fixture.starts).toHaveLength(0);
    await advance(1);
    expect(fixture.starts).toHaveLength(1);
    fixture.session.end();
  });

  it('counts the age of a run that waited from its start, also when its timer is late', async () => {
    const fixture = createFixture();
    await advance(20);
    const run: Run = { ...createRun(0), startsAt: performance.now() - 40, state: 'waiting' };
    fixture.session.startRun(run);
    await advance(5);
    expect(fixture.starts).toHaveLength(1);
    expect(performance.now() - run.startsAt).toBeLessThanOrEqual(5);
    fixture.session.end();
  });

  it('is unavailable while the worker lists runs of an earlier agent process, and stops them', async () => {
    const fixture = createFixture();
    fixture.running = [{ task: createRun(3).task, run: 2, percent: 40 }];
    await advance(100);
    expect(fixture.session.unavailableReason).toBe('runs unknown');
    expect(fixture.stops[0]).toMatchObject({ task: createRun(3).task, run: 2 });
    fixture.running = [];
    await advance(100);
    expect(fixture.session.unavailableReason).toBe('');
    fixture.session.end();
  });

  it('stops a run on request and frees its resources once its end is listed', async () => {
    const fixture = createFixture();
    await advance(20);
    const run = createRun(0);
    fixture.session.startRun(run);
    await advance(5);
    fixture.running = [{ task: run.task, run: 1, percent: 1 }];
    fixture.session.stop(run);
    await advance(60);
    expect(fixture.stops.length).toBeGreaterThan(0);
    expect(fixture.session.free.cpu).toBe(3_000);
    fixture.running = [];
    fixture.ended = [{ number: 1, task: run.task, run: 1, how: 'stopped' }];
    await advance(60);
    expect(fixture.ends).toEqual(['stopped']);
    expect(fixture.session.free.cpu).toBe(4_000);
    fixture.session.end();
  });

  // Guards against two runs of a task at once: its entry was killed, the worker did not carry out the stop,
  // and renewals and starts for other runs kept the first run alive until its client sent the job again.
  it('does not extend the lease while a run that nobody waits for may be active', async () => {
    const fixture = createFixture();
    await advance(20);
    const runs = [createRun(0), createRun(1)];
    runs.forEach((run) => fixture.session.startRun(run));
    fixture.running = runs.map(({ task }) => ({ task, run: 1, percent: 1 }));
    await advance(50);
    fixture.stopAnswer = noAnswer;
    const ends = () =>
      [...fixture.holds, ...fixture.starts].map(({ leaseUntil }) => leaseUntil ?? 0);
    const endBefore = Math.max(...ends());
    fixture.session.abandon(runs[0] as Run);
    await advance(100);
    fixture.session.startRun(createRun(2));
    expect(fixture.session.unavailableReason).toBe('');
    await advance(250);
    expect(fixture.session.unavailableReason).toBe('run not stopped');
    expect(Math.max(...ends())).toBe(endBefore);
    fixture.running = [];
    fixture.ended = [{ number: 1, task: createRun(0).task, run: 1, how: 'stopped' }];
    await advance(200);
    expect(fixture.session.unavailableReason).toBe('');
    expect(Math.max(...ends())).toBeGreaterThan(endBefore);
    fixture.session.end();
  });

  // Guards against a run that goes on beside its successor, hidden as one that had ended.
  it('stops a run that is listed although its end has been reported before', async () => {
    const fixture = createFixture();
    await advance(20);
    fixture.session.startRun(createRun(0));
    await advance(5);
    fixture.isHoldUnanswered = true;
    await advance(1_000);
    expect(fixture.ends).toEqual(['lapsed']);
    fixture.running = [{ task: createRun(0).task, run: 1, percent: 1 }];
    fixture.isHoldUnanswered = false;
    await advance(100);
    expect(fixture.stops[0]).toMatchObject({ task: createRun(0).task, run: 1 });
    expect(fixture.host.onEndContradicted).toHaveBeenCalled();
    expect(fixture.session.unavailableReason).toBe('runs unknown');
    fixture.session.end();
  });

  it('reports only listed runs as lapsed when the session ends, and passes on the others', async () => {
    const fixture = createFixture();
    await advance(20);
    fixture.session.startRun(createRun(0));
    fixture.running = [{ task: createRun(0).task, run: 1, percent: 1 }];
    await advance(200);
    fixture.session.startRun(createRun(1));
    await advance(1);
    const { unconfirmed, token } = fixture.session.end();
    expect(fixture.ends).toEqual(['lapsed']);
    expect(unconfirmed.map(({ task }) => task.index)).toEqual([1]);
    expect(token).toBe(BORN + CLOCK);
  });

  it('stops unconfirmed runs of the previous session, with a higher token than that session', async () => {
    const fixture = createFixture({ token: 9_000, unconfirmed: [createRun(1)] });
    expect(fixture.session.free.cpu).toBe(3_000);
    await advance(100);
    expect(fixture.stops[0]).toMatchObject({ task: createRun(1).task, token: 9_001 });
    expect(fixture.ends).toEqual(['notRun']);
    fixture.session.end();
  });

  // The load: many workers without work. Each timer and call of their agents is paid for nothing.
  it('arms no timer and renews no lease while the worker has no runs', async () => {
    const fixture = createFixture();
    const { holds, host } = fixture;
    host.worker.hold = (command) => {
      holds.push(command);
      return new Promise<HoldResult>(jest.fn());
    };
    await advance(5_000);
    expect(holds.filter(({ leaseUntil }) => leaseUntil !== undefined)).toEqual([]);
    expect(jest.getTimerCount()).toBe(0);
    fixture.session.end();
  });

  it('renews the lease with the watch for ends, and by itself only when the watch waits', async () => {
    const fixture = createFixture();
    await advance(100);
    fixture.holds.length = 0;
    fixture.session.startRun(createRun(0));
    await advance(1_000);
    const renewals = fixture.holds.filter(({ leaseUntil }) => leaseUntil !== undefined);
    const extraRenewals = renewals.filter(({ waitMs }) => waitMs === 0);
    expect(renewals.length).toBeGreaterThan(3);
    expect(extraRenewals).toEqual([]);
    fixture.session.end();
  });
});
