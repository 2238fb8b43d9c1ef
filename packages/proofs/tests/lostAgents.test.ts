import fc from 'fast-check';
import { checkDispatchGuarantees } from './support/checkDispatchGuarantees';
import {
  LATE_SCHEDULE_AGENTS,
  createLateShareSchedules,
  runDispatchSchedule,
} from './support/dispatchSchedule';
import { ENTRY, createBusySimulation, createJob, cutBothWays, finish } from './support/lostAgents';
import { holdTimersOfFrozenProcesses } from './support/processTimers';

/** Number of generated schedules; set by `FAULT_RUNS`. */
const SCHEDULE_COUNT = Number(process.env['FAULT_RUNS'] ?? 40);

/** Seed of the generated schedules; `FAULT_SEED` adds an offset to run others. */
const SEED = 55_001 + Number(process.env['FAULT_SEED'] ?? 0);

const SEEDS = [1, 2, 3, 4, 5];

const LATE_SHARES = [0.05, 0.1, 0.2, 0.3, 0.5];

describe('the runs of a lost agent are over when their tasks start elsewhere', () => {
  beforeEach(() => {
    jest.useFakeTimers({ now: 1_800_000_000_000 });
    holdTimersOfFrozenProcesses();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  describe.each(SEEDS)('with seed %i', (seed) => {
    it.each([600, 1_000, 6_000])('when both ways are cut for %i ms', async (forMs) => {
      const { simulation, agent } = await createBusySimulation(seed);
      cutBothWays(simulation, agent);
      setTimeout(() => cutBothWays(simulation, agent, false), forMs);
      await finish(simulation);
    });

    it.each(['to', 'from'])('when only the way %s the agent is cut', async (way) => {
      const { simulation, agent } = await createBusySimulation(seed);
      if (way === 'to') simulation.network.cut(ENTRY, agent, true);
      else simulation.network.cut(agent, ENTRY, true);
      await finish(simulation);
    });

    it.each([100, 200, 340, 420, 500])(
      'when the way back is cut first, and the other after %i ms',
      async (afterMs) => {
        const { simulation, agent } = await createBusySimulation(seed);
        simulation.network.cut(agent, ENTRY, true);
        setTimeout(() => cutBothWays(simulation, agent), afterMs);
        await finish(simulation);
      },
    );

    it.each([0, 100, 300, 600])('when the entry is frozen %i ms after the cut', async (afterMs) => {
      const { simulation, agent } = await createBusySimulation(seed);
      cutBothWays(simulation, agent);
      setTimeout(() => simulation.network.freeze(ENTRY, true), afterMs);
      setTimeout(() => simulation.network.freeze(ENTRY, false), afterMs + 700);
      await finish(simulation);
    });

    it.each([
      ['delayed', 30],
      ['delayed', 200],
      ['late', 30],
      ['late', 200],
    ] as const)(
      'when another process takes over while the commands are %s, after %i ms',
      async (commandFault, afterMs) => {
        const { simulation, node } = await createBusySimulation(seed);
        simulation.workers.slice(node, node + 1).forEach((worker) => {
          worker.commandFault = commandFault;
        });
        void simulation.send(createJob('ea', 6, 4_000, 100), 0);
        setTimeout(() => simulation.killAgent(node), 40);
        setTimeout(() => simulation.startAgent(node), 40 + afterMs);
        setTimeout(() => {
          simulation.workers.slice(node, node + 1).forEach((worker) => {
            worker.commandFault = 'none';
          });
        }, 60);
        await finish(simulation);
      },
    );

    it('when the agent is frozen for as long as its lease lasts, on a way that is cut at once', async () => {
      const { simulation, agent } = await createBusySimulation(seed);
      cutBothWays(simulation, agent);
      setTimeout(() => simulation.network.freeze(agent, true), 330);
      setTimeout(() => simulation.network.freeze(agent, false), 770);
      await finish(simulation);
    });

    it.each([20, 60, 100, 150])(
      'when the last renewals are on their way for %i ms and the end of the connection is cut off',
      async (latencyMs) => {
        const { simulation, agent } = await createBusySimulation(seed);
        jest.spyOn(simulation.network, 'latency').mockReturnValue(latencyMs);
        simulation.network.cut(agent, ENTRY, true);
        setTimeout(() => cutBothWays(simulation, agent), 420 + latencyMs);
        await finish(simulation);
      },
    );
  });

  it('in every generated schedule of cuts, freezes and kills beside late commands', async () => {
    const types = [
      'cut',
      'cutOneWay',
      'cutAnswers',
      'freezeAgent',
      'freezeEntry',
      'killAgent',
    ] as const;
    await fc.assert(
      fc.asyncProperty(createLateShareSchedules(types, LATE_SHARES), async (schedule) => {
        const simulation = await runDispatchSchedule(
          { ...schedule, hasSocketBuffers: true },
          LATE_SCHEDULE_AGENTS,
        );
        expect(checkDispatchGuarantees(simulation)).toEqual([]);
      }),
      { seed: SEED, numRuns: SCHEDULE_COUNT, endOnFailure: true },
    );
  }, 1_800_000);
});
