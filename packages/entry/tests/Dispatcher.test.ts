import { createLog } from '@marjorammast/telemetry';
import { Dispatcher } from '../src/Dispatcher';
import type { DispatcherHost } from '../src/Dispatcher';
import { Job } from '../src/Job';

const createJob = (idempotent: boolean): Job =>
  Job.create(
    {
      key: 'lookup-1',
      team: 'studio',
      kind: 'availability-lookup',
      tasks: [{ payload: null }],
      urgent: true,
      deadlineMs: 10_000,
      notAfter: Date.now() + 10_000,
      idempotent,
    },
    10_000,
  );

const createDispatcher = (conclude: (job: Job) => void): Dispatcher =>
  Dispatcher.create({
    conclude,
    fail: jest.fn(),
    shares: () => ({ teams: {}, normalShare: 8, entries: 1 }),
    configurationAgeMs: () => Infinity,
    log: createLog('dispatcher', 'silent'),
  } as unknown as DispatcherHost);

describe('Dispatcher of the first design', () => {
  // Guards against a request that crashes one target after the other.
  it('repeats an idempotent task after one unknown outcome, not after two', () => {
    const conclude = jest.fn();
    const dispatcher = createDispatcher(conclude);
    const job = createJob(true);
    const lose = () => {
      job.setTask(0, { type: 'sent', agent: 'a', incarnation: 'i' });
      dispatcher.markLost(job, 0, 'target lost');
    };
    lose();
    expect(job.waiting).toEqual([0]);
    expect(conclude).not.toHaveBeenCalled();
    lose();
    expect(conclude).toHaveBeenCalledTimes(1);
    expect(job.conclusion()).toMatchObject({ type: 'failed', failure: { verdict: 'mayHaveRun' } });
    dispatcher.halt();
  });

  it('does not repeat any other task after an unknown outcome', () => {
    const conclude = jest.fn();
    createDispatcher(conclude).markLost(createJob(false), 0, 'target lost');
    expect(conclude).toHaveBeenCalledTimes(1);
  });
});
