import { createLog } from '@marjorammast/telemetry';
import { CallError } from '@marjorammast/protocol';
import { DIALS_AT_ONCE, MAX_ATTACHED_AGENTS } from '../src/constants';
import { DispatchEntry } from '../src/DispatchEntry';

const createAgents = (count: number) =>
  Array.from({ length: count }, (_, index) => ({
    name: `agent-${index}`,
    address: `10.0.0.${index}:1`,
    dataCenter: `dc-${index % 6}`,
  }));

/**
 * Starts an entry while all agents register one after the other within a second.
 *
 * @param agentCount - number of agents
 * @returns the addresses that the entry has dialled, with the time
 */
const replayStart = async (agentCount: number) => {
  const dials: { address: string; at: number }[] = [];
  const entry = DispatchEntry.create({
    name: 'entry',
    dataCenter: 'dc-0',
    dial: (address) => {
      dials.push({ address, at: performance.now() });
      // The connection hangs, as that to a VM without power does.
      return new Promise((_, reject) => {
        setTimeout(() => reject(CallError.create('notSent', 'timed out')), 60_000);
      });
    },
    random: () => 0,
    log: createLog('entry', 'silent'),
    meter: { answered: jest.fn() },
  });
  const startedAt = performance.now();
  const agents = createAgents(agentCount);
  for (let count = 1; count <= agentCount; count += 1) {
    entry.updateAgents(agents.slice(0, count));
    await jest.advanceTimersByTimeAsync(1_000 / agentCount);
  }
  await jest.advanceTimersByTimeAsync(2_000);
  entry.halt();
  return dials.map(({ address, at }) => ({ address, at: at - startedAt }));
};

describe('start of a deployment', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  // The load: everything starts together, and an entry sees the agents register one after the other.
  it('has an entry dial no agent twice, and not more agents than the fleet grows by', async () => {
    const countDials = async (size: number): Promise<number> => {
      const dials = await replayStart(size);
      expect(new Set(dials.map(({ address }) => address)).size).toBe(dials.length);
      return dials.length;
    };
    const small = await countDials(30);
    const middle = await countDials(100);
    const large = await countDials(300);
    expect(small).toBe(30);
    expect(middle / small).toBeLessThanOrEqual(100 / 30);
    expect(large / middle).toBeLessThanOrEqual(3);
  });

  it('connects to some agents at once and to the others within a second', async () => {
    const times: number[] = [];
    const entry = DispatchEntry.create({
      name: 'entry',
      dataCenter: 'dc-0',
      dial: () => {
        times.push(performance.now());
        return new Promise(jest.fn());
      },
      random: () => 0,
      log: createLog('entry', 'silent'),
      meter: { answered: jest.fn() },
    });
    entry.updateAgents(createAgents(300));
    await jest.advanceTimersByTimeAsync(1);
    expect(times).toHaveLength(DIALS_AT_ONCE);
    await jest.advanceTimersByTimeAsync(1_000);
    expect(times).toHaveLength(MAX_ATTACHED_AGENTS);
    entry.halt();
  });
});
