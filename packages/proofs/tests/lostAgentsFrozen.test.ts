import { ENTRY, createBusySimulation, cutBothWays, finish } from './support/lostAgents';
import { holdTimersOfFrozenProcesses } from './support/processTimers';

const SEEDS = [1, 2, 3, 4, 5];

describe('the runs of a lost agent that was frozen are over when their tasks start elsewhere', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
    holdTimersOfFrozenProcesses();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  describe.each(SEEDS)('with seed %i', (seed) => {
    // The lease is renewed by a timer that runs before the one that misses the entry.
    it.each([440, 500, 540, 580])(
      'when the agent is frozen for %i ms just before it would have missed the entry',
      async (forMs) => {
        const { simulation, agent } = await createBusySimulation(seed);
        simulation.network.cut(agent, ENTRY, true);
        setTimeout(() => cutBothWays(simulation, agent), 340);
        setTimeout(() => simulation.network.freeze(agent, true), 670);
        setTimeout(() => simulation.network.freeze(agent, false), 670 + forMs);
        await finish(simulation);
      },
    );

    // The renewals of the entry count from the time at which the agent reads them.
    it.each([0, 400, 800, 1_200, 1_600, 2_000])(
      'when renewals wait in the socket of an agent that is frozen after %i ms and then cut off',
      async (afterMs) => {
        // An entry that loses its frozen agent closes the connection, and its runs withhold the lease.
        const { simulation, agent } = await createBusySimulation(seed, false);
        simulation.network.hasSocketBuffers = true;
        await jest.advanceTimersByTimeAsync(afterMs);
        simulation.network.freeze(agent, true);
        setTimeout(() => cutBothWays(simulation, agent), 340);
        setTimeout(() => simulation.network.freeze(agent, false), 540);
        await finish(simulation);
      },
    );
  });
});
