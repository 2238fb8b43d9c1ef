import { checkDispatchGuarantees } from './checkDispatchGuarantees';
import { DispatchSimulation } from './DispatchSimulation';
import type { SentJob } from './DispatchSimulation';

/** The entry that loses an agent. */
export const ENTRY = 'entry-0';

/** Time between two jobs of the other entry, whose starts extend the lease, in milliseconds. */
const NEIGHBOUR_PERIOD_MS = 20;

/** Creates a job of equal tasks. */
export const createJob = (id: string, tasks: number, runMs: number, cpu: number): SentJob => ({
  id: id.padStart(16, '0'),
  tasks,
  spec: { runMs, cpu },
  estimateMs: runMs,
  deadlineMs: 8_000,
});

const isOfFirstEntry = ({ task }: { task: string }): boolean => task.includes('a.0');

/**
 * Creates a simulation in which entry 0 has six runs of four seconds, most of them on one worker, on which entry 2
 * starts short ones all the while, beside long ones. From then on no stop is carried out in time.
 *
 * @param seed - seed of the simulation, which also moves the faults against the renewals
 * @param hasNeighbours - false for a simulation without the runs of entry 2
 * @returns the simulation, and the agent that has the runs of entry 0
 */
export const createBusySimulation = async (
  seed: number,
  hasNeighbours = true,
): Promise<{ simulation: DispatchSimulation; agent: string; node: number }> => {
  const simulation = DispatchSimulation.create(seed, 3, 2);
  await jest.advanceTimersByTimeAsync(1_000);
  void simulation.send(createJob('a', 6, 4_000, 300), 0);
  if (hasNeighbours) void simulation.send(createJob('b', 3, 4_000, 100), 2);
  for (let index = 0; index < 100 && hasNeighbours; index += 1) {
    const job = createJob(`c${index}`, 3, 80, 10);
    setTimeout(() => void simulation.send(job, 2), index * NEIGHBOUR_PERIOD_MS);
  }
  await jest.advanceTimersByTimeAsync(300 + seed * 30);
  simulation.workers.forEach((worker) => {
    worker.lateShares = { stop: 1 };
  });
  const [run] = simulation.runs.filter(isOfFirstEntry);
  const node = simulation.workers.findIndex(({ id }) => id === run?.worker);
  return { simulation, agent: `agent-${node}`, node };
};

/**
 * Cuts or heals both ways between the entry and an agent.
 *
 * @param simulation - the simulation
 * @param agent - name of the agent
 * @param isCut - false to heal them
 */
export const cutBothWays = ({ network }: DispatchSimulation, agent: string, isCut = true): void => {
  network.cut(ENTRY, agent, isCut);
  network.cut(agent, ENTRY, isCut);
};

/**
 * Runs a simulation to its end, and expects that the entry has started tasks of the lost agent elsewhere and that no
 * guarantee was violated.
 *
 * @param simulation - the simulation
 */
export const finish = async (simulation: DispatchSimulation): Promise<void> => {
  await jest.advanceTimersByTimeAsync(7_000);
  simulation.halt();
  // Without a second run of a task of the lost agent nothing would have been shown.
  expect(simulation.runs.filter((run) => isOfFirstEntry(run) && run.run > 1)).not.toEqual([]);
  expect(checkDispatchGuarantees(simulation)).toEqual([]);
};
