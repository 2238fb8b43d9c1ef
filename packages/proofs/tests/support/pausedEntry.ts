import { sleep } from '@marjorammast/protocol';
import type { JobOutcome } from '@marjorammast/dispatch';
import { DispatchSimulation, createJobRequest } from './DispatchSimulation';
import type { SentJob } from './DispatchSimulation';
import { runInProcess } from './processTimers';

/** Times of a client whose bytes are on their way while its entry is paused, in milliseconds. */
export type OldRequest = {
  /** From the beginning of the pause until the client sends its job. */
  sentAfterMs: number;
  /** From the end of the pause until the entry reads the job. */
  readAfterMs: number;
  /** From then until the entry reads the end of the connection. */
  endAfterMs: number;
  /** Time for which the client waits before it leaves. */
  waitMs: number;
  /** From its leaving until it submits the job to another entry; never if absent. */
  resendMs?: number;
};

/** A further pause of the entry, from the end of the first one, in milliseconds. */
export type FurtherPause = { afterMs: number; lengthMs: number };

/** How long tasks of the old jobs run, in milliseconds. */
const OLD_RUN_MS = 1_200;

const TASKS_PER_JOB = 2;

/** Time until the processes have found each other, in milliseconds. */
const WARM_UP_MS = 2_000;

/**
 * @param digit - distinguishes the job from others
 * @param runMs - run time of its tasks, in milliseconds
 * @returns a job
 */
export const createSentJob = (digit: string, runMs = OLD_RUN_MS): SentJob => ({
  id: digit.repeat(16).slice(0, 16),
  tasks: TASKS_PER_JOB,
  spec: { runMs, cpu: 100 },
  estimateMs: runMs,
  deadlineMs: 1_500,
});

/**
 * Starts a deployment whose entries can be paused, and waits until it serves.
 *
 * @param seed - seed of the network delays and of the placement
 * @param entries - number of entries that run, of three that are registered
 * @returns the simulation
 */
export const startDeployment = async (seed: number, entries = 3): Promise<DispatchSimulation> => {
  const utilizations = Array.from({ length: entries }, () => 0.1);
  const simulation = DispatchSimulation.create(seed, entries, 4, 8_000, utilizations);
  await jest.advanceTimersByTimeAsync(WARM_UP_MS);
  return simulation;
};

/**
 * Submits a job to an entry as its socket delivers it.
 *
 * @param simulation - the deployment
 * @param job - the job
 * @param connectedAt - monotonic time at which the connection was accepted, in milliseconds
 * @param endAfterMs - time until the end of the connection is read, in milliseconds
 * @param index - index of the entry
 * @returns the outcome
 */
export const read = async (
  simulation: DispatchSimulation,
  job: SentJob,
  connectedAt: number,
  endAfterMs: number,
  index = 0,
): Promise<JobOutcome> => {
  const entry = simulation.entries[index];
  const route = entry?.node.findRoute('h.example', `/claims/${job.id}`);
  if (!entry || !route) throw new Error('no entry or no route');
  const client = new AbortController();
  setTimeout(() => client.abort(), endAfterMs);
  return runInProcess(entry.timers, () =>
    entry.node.submit({
      route,
      job: createJobRequest(job),
      remainingMs: job.deadlineMs ?? 0,
      signal: client.signal,
      connectedAt,
    }),
  );
};

/**
 * Pauses the first entry. Clients send jobs to it meanwhile, leave, and submit them to another entry.
 *
 * @param simulation - the deployment
 * @param pauseMs - length of the pause, in milliseconds
 * @param requests - the clients
 * @param further - another pause of the entry; it has none if absent
 */
export const playPause = async (
  simulation: DispatchSimulation,
  pauseMs: number,
  requests: readonly OldRequest[],
  further?: FurtherPause,
): Promise<void> => {
  const [entry] = simulation.entries;
  if (!entry) throw new Error('no entry');
  const connectedAt = performance.now() - 500;
  simulation.network.freeze(entry.name, true);
  setTimeout(() => simulation.network.freeze(entry.name, false), pauseMs);
  if (further) {
    const { afterMs, lengthMs } = further;
    setTimeout(() => simulation.network.freeze(entry.name, true), pauseMs + afterMs);
    setTimeout(() => simulation.network.freeze(entry.name, false), pauseMs + afterMs + lengthMs);
  }
  requests.forEach(({ sentAfterMs, readAfterMs, endAfterMs, waitMs, resendMs }, index) => {
    const job = createSentJob(index.toString(16));
    void sleep(pauseMs + readAfterMs).then(() => read(simulation, job, connectedAt, endAfterMs));
    if (resendMs === undefined) return;
    void sleep(sentAfterMs + waitMs + resendMs).then(() =>
      simulation.send(job, 1, undefined, false),
    );
  });
  const lastMs = requests.map((request) =>
    Math.max(
      pauseMs + request.readAfterMs + request.endAfterMs,
      request.sentAfterMs + request.waitMs + (request.resendMs ?? 0),
    ),
  );
  await jest.advanceTimersByTimeAsync(Math.max(...lastMs) + 6_000);
};
