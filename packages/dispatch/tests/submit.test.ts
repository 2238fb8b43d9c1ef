import { createLog } from '@marjorammast/telemetry';
import { DispatchEntry } from '../src/DispatchEntry';
import { createTestJob, testRoute } from './support';

describe('DispatchEntry.submit', () => {
  // Guards against a job that runs for nobody, and beside its second copy, since its client left early.
  it('gives up a job whose client has left before it is accepted', async () => {
    const entry = DispatchEntry.create({
      name: 'entry',
      dataCenter: 'one',
      dial: jest.fn(),
      random: () => 0.5,
      log: createLog('entry', 'silent'),
      meter: { answered: jest.fn() },
    });
    const client = new AbortController();
    client.abort();
    const { request: job } = createTestJob(1, 100);
    const submission = { route: testRoute, job, remainingMs: 1_000, signal: client.signal };
    const outcome = await entry.submit(submission);
    expect(outcome).toEqual({ type: 'unfinished', reason: 'client left' });
    entry.halt();
  });
});
