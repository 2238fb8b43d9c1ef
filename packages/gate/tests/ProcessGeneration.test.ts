import type { GenerationRenewal } from '@marjorammast/protocol';
import { createLog } from '@marjorammast/telemetry';
import { RENEWAL_PAUSE_MS } from '../src/constants';
import { ProcessGeneration } from '../src/ProcessGeneration';

const createFixture = () => {
  const renewal: { next: GenerationRenewal } = { next: { type: 'renewed', generation: 2 } };
  const host = {
    renew: jest.fn(() => Promise.resolve(renewal.next)),
    onRaised: jest.fn(),
    onReplaced: jest.fn(),
    log: createLog('generation', 'silent'),
  };
  return { renewal, host, generation: ProcessGeneration.create(host) };
};

const advance = (ms: number) => jest.advanceTimersByTimeAsync(ms);

describe('ProcessGeneration', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // Guards against an agent that is refused for good: whatever raised the worker's token, the newest process gets above it.
  it('gets higher generations, one at a time, while the worker has received a higher token', async () => {
    const { renewal, host, generation } = createFixture();
    generation.raise(1);
    generation.handleSuperseded();
    generation.handleSuperseded();
    await advance(RENEWAL_PAUSE_MS);
    expect(host.renew).toHaveBeenCalledTimes(1);
    expect(generation.current).toBe(2);
    renewal.next = { type: 'renewed', generation: 3 };
    generation.handleSuperseded();
    await advance(RENEWAL_PAUSE_MS);
    expect(generation.current).toBe(3);
    expect(host.onRaised).toHaveBeenCalledTimes(3);
  });

  it('asks again after the store has not answered', async () => {
    const { renewal, host, generation } = createFixture();
    renewal.next = { type: 'unanswered', detail: 'down' };
    generation.raise(1);
    generation.handleSuperseded();
    await advance(RENEWAL_PAUSE_MS);
    renewal.next = { type: 'renewed', generation: 2 };
    generation.handleSuperseded();
    await advance(RENEWAL_PAUSE_MS);
    expect(host.renew).toHaveBeenCalledTimes(2);
    expect(generation.current).toBe(2);
  });

  it('asks for nothing before it is registered', async () => {
    const { host, generation } = createFixture();
    generation.handleSuperseded();
    await advance(RENEWAL_PAUSE_MS);
    expect(host.renew).not.toHaveBeenCalled();
  });

  // Guards against two processes that take their worker from each other by turns.
  it('ends for good once a newer process has registered', async () => {
    const { renewal, host, generation } = createFixture();
    renewal.next = { type: 'replaced' };
    generation.raise(1);
    generation.handleSuperseded();
    await advance(RENEWAL_PAUSE_MS);
    generation.handleSuperseded();
    await advance(RENEWAL_PAUSE_MS);
    expect(generation.isReplaced).toBe(true);
    expect(host.renew).toHaveBeenCalledTimes(1);
    expect(host.onReplaced).toHaveBeenCalledTimes(1);
  });
});
