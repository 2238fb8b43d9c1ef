import { createLog } from '@marjorammast/telemetry';
import { DispatchEntry } from '../src/DispatchEntry';
import { createTestJob, testRoute } from './support';

const BALANCER_DELAY_MS = 500;
const STOP_TIMEOUT_MS = 2_000;

const createEntry = () =>
  DispatchEntry.create({
    name: 'entry',
    dataCenter: 'one',
    dial: jest.fn(),
    random: () => 0.5,
    log: createLog('entry', 'silent'),
    meter: { answered: jest.fn() },
  });

/** Submits a job that no worker takes, as the entry has none. */
const submit = (entry: DispatchEntry, id: string) => {
  const { request } = createTestJob(1, 10_000);
  const { signal } = new AbortController();
  return entry.submit({ route: testRoute, job: { ...request, id }, remainingMs: 60_000, signal });
};

describe('DispatchEntry.stop', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against a job that is accepted shortly before the process ends, and cut off with it.
  it('refuses new jobs once the load balancer has had the time to notice', async () => {
    const entry = createEntry();
    const first = submit(entry, 'a');
    const stopped = entry.stop(BALANCER_DELAY_MS, STOP_TIMEOUT_MS);
    await jest.advanceTimersByTimeAsync(BALANCER_DELAY_MS + 100);
    const outcome = await submit(entry, 'b');
    expect(outcome).toMatchObject({ type: 'refused', reason: 'stopping' });
    await jest.advanceTimersByTimeAsync(STOP_TIMEOUT_MS);
    await stopped;
    await first;
  });

  // Guards against a connection that ends without an answer when the process ends.
  it('answers the remaining jobs at its timeout', async () => {
    const entry = createEntry();
    const answered = jest.fn();
    void submit(entry, 'a').then(answered);
    const stopped = entry.stop(BALANCER_DELAY_MS, STOP_TIMEOUT_MS).then(() => answered.mock.calls);
    await jest.advanceTimersByTimeAsync(STOP_TIMEOUT_MS + 1_000);
    expect(await stopped).toEqual([[expect.objectContaining({ type: 'refused' })]]);
  });
});
