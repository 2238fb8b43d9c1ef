import type { BoundTaskRows } from '@marjorammast/protocol';
import { BoundTaskNotices } from '../src/BoundTaskNotices';
import { BOUND_NOTICE_WAIT_MS, DEADLINE_MARGIN_MS } from '../src/constants';

type Call = { name: string; rows: BoundTaskRows; answer: () => void };

/** Creates notices to two entries whose answers the test gives. */
const createFixture = () => {
  const calls: Call[] = [];
  const notices = BoundTaskNotices.create({
    peerNames: ['second', 'third'],
    tellBoundTasks: (name, rows) =>
      new Promise((resolve) => {
        calls.push({ name, rows, answer: resolve });
      }),
  });
  /** Tells of a task; the result shows when that is over. */
  const tell = (job: string, leftMs = 5_000) => {
    const state: { endedAfterMs?: number } = {};
    const startedAt = performance.now();
    void notices.tell([[job, 0, 'agent-1', 'i-1']], startedAt + leftMs).then(() => {
      state.endedAfterMs = performance.now() - startedAt;
    });
    return state;
  };
  return { calls, notices, tell };
};

const namesAndJobs = (calls: readonly Call[]) =>
  calls.map(({ name, rows }) => [name, rows.map(([job]) => job).join()]);

describe('BoundTaskNotices', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('tells each entry once of all jobs of a turn, and waits for the answers', async () => {
    const { calls, notices, tell } = createFixture();
    const states = [tell('a'), tell('b')];
    await jest.advanceTimersByTimeAsync(5);
    expect(namesAndJobs(calls)).toEqual([
      ['second', 'a,b'],
      ['third', 'a,b'],
    ]);
    calls[0]?.answer();
    await jest.advanceTimersByTimeAsync(5);
    expect([states, notices.isSending]).toEqual([[{}, {}], true]);
    calls[1]?.answer();
    await jest.advanceTimersByTimeAsync(0);
    expect(states).toEqual([{ endedAfterMs: 10 }, { endedAfterMs: 10 }]);
    expect(notices.isSending).toBe(false);
  });

  it('waits for a short time when an entry does not answer, less before the deadline', async () => {
    const { tell } = createFixture();
    const [early, atDeadline, late] = [tell('a'), tell('b', DEADLINE_MARGIN_MS), tell('c', -10)];
    await jest.advanceTimersByTimeAsync(BOUND_NOTICE_WAIT_MS);
    expect(early.endedAfterMs).toBe(BOUND_NOTICE_WAIT_MS);
    expect(atDeadline.endedAfterMs).toBeLessThan(DEADLINE_MARGIN_MS);
    expect(late.endedAfterMs).toBeLessThanOrEqual(1);
  });

  it('makes one call at a time to an entry and then tells it of the jobs that ended meanwhile', async () => {
    const { calls, tell } = createFixture();
    tell('a');
    await jest.advanceTimersByTimeAsync(5);
    calls[1]?.answer();
    const later = [tell('b')];
    await jest.advanceTimersByTimeAsync(5);
    later.push(tell('c'));
    await jest.advanceTimersByTimeAsync(5);
    expect(namesAndJobs(calls.filter(({ name }) => name === 'second'))).toEqual([['second', 'a']]);
    calls[0]?.answer();
    await jest.advanceTimersByTimeAsync(0);
    expect(namesAndJobs(calls.filter(({ name }) => name === 'second'))).toEqual([
      ['second', 'a'],
      ['second', 'b,c'],
    ]);
    calls.filter(({ name }) => name === 'third').forEach(({ answer }) => answer());
    await jest.advanceTimersByTimeAsync(5);
    expect(later).toEqual([{}, {}]);
    calls.forEach(({ answer }) => answer());
    await jest.advanceTimersByTimeAsync(5);
    expect(later.map(({ endedAfterMs }) => endedAfterMs)).toEqual([15, 10]);
  });

  it('calls no entry without bound tasks, nor after a halt', async () => {
    const { calls, notices, tell } = createFixture();
    await notices.tell([], performance.now() + 5_000);
    tell('a');
    notices.halt();
    tell('b');
    await jest.advanceTimersByTimeAsync(BOUND_NOTICE_WAIT_MS);
    expect(calls).toEqual([]);
    expect(notices.isSending).toBe(false);
  });
});
