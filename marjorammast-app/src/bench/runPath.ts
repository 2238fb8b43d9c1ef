import { callEntry } from '../callEntry';
import { Deployment } from '../local/Deployment';
import { SAMPLE_ENVIRONMENT } from '../samples';
import { BYTES_PER_MB, US_PER_S, usageOf } from './usageOf';
import { quantile } from './workload';

const AGENTS = 6;

/** Number of measured calls through the entry and of direct calls, one after the other. */
const CALLS = 400;

const WARM_UP_CALLS = 100;

/** Number of jobs of a throughput measurement. */
const JOBS = 60;

const TASKS_PER_JOB = 170;

/** Number of clients, each of which submits one job at a time. */
const JOBS_AT_ONCE = 4;

/** Run time of a task, in milliseconds. */
const TASK_MS = 5;

/** Measures the duration of a call, in milliseconds. */
const measureMs = async (call: () => Promise<unknown>): Promise<number> => {
  const startedAt = performance.now();
  await call();
  return performance.now() - startedAt;
};

/** Measures calls through an entry and direct calls to a target, alternately. */
const measureLatency = async (deployment: Deployment) => {
  const [entry = ''] = deployment.addresses;
  const target = deployment.targets[0]?.http ?? '';
  const through: number[] = [];
  const direct: number[] = [];
  const payload = { runMs: TASK_MS };
  for (let call = 0; call < CALLS + WARM_UP_CALLS; call += 1) {
    const request = { team: 'kalahari-booths', service: 'availability', method: 'lookup', payload };
    const throughMs = await measureMs(() => callEntry(entry, 'POST', '/v1/requests', request));
    const task = { job: `direct-${call}`, index: 0, kind: 'availability.lookup', payload };
    const directMs = await measureMs(() => callEntry(target, 'POST', '/tasks', task));
    if (call >= WARM_UP_CALLS) {
      through.push(throughMs);
      direct.push(directMs);
    }
  }
  return {
    directP50Ms: quantile(direct, 0.5),
    addedP50Ms: quantile(through, 0.5) - quantile(direct, 0.5),
    addedP99Ms: quantile(through, 0.99) - quantile(direct, 0.99),
  };
};

/** Submits jobs and measures the started tasks per second and per second of the entry's CPU time. */
const measureThroughput = async (deployment: Deployment, round: string) => {
  const [entry = ''] = deployment.addresses;
  const before = await usageOf(entry);
  const startedAt = performance.now();
  let next = 0;
  const client = async (): Promise<void> => {
    while (next < JOBS) {
      const key = `path-${round}-${next}`;
      next += 1;
      const { status, body } = await callEntry(entry, 'POST', '/v1/jobs', {
        key,
        team: 'kalahari-booths',
        kind: 'slot-hold',
        notAfter: Date.now() + 60_000,
        deadlineMs: 60_000,
        tasks: Array.from({ length: TASKS_PER_JOB }, () => ({ payload: { runMs: TASK_MS } })),
      });
      if (status !== 200) throw new Error(JSON.stringify(body));
    }
  };
  await Promise.all(Array.from({ length: JOBS_AT_ONCE }, client));
  const seconds = (performance.now() - startedAt) / 1_000;
  const after = await usageOf(entry);
  const starts = JOBS * TASKS_PER_JOB;
  const cpuS = (after.user + after.system - before.user - before.system) / US_PER_S;
  return {
    startsPerS: starts / seconds,
    startsPerCoreS: starts / cpuS,
    entryRssMb: after.rssBytes / BYTES_PER_MB,
    agentRssMb: (await usageOf(deployment.agents[0]?.http ?? '')).rssBytes / BYTES_PER_MB,
  };
};

/**
 * Measures the path through one entry with separate processes: the latency that it adds to a call,
 * and the tasks per second that it can start on one core.
 *
 * @returns the results
 */
export const runPath = async (): Promise<Record<string, unknown>> => {
  const teams = { 'kalahari-booths': { maxRunning: 10_000 } };
  const deployment = await Deployment.create(
    { entries: 1, agents: AGENTS, dataCenters: ['bangkok-north', 'ayutthaya'], logLevel: 'warn' },
    { ...SAMPLE_ENVIRONMENT, teams },
  );
  try {
    const latency = await measureLatency(deployment);
    const cold = await measureThroughput(deployment, 'cold');
    const warm = await measureThroughput(deployment, 'warm');
    return { agents: AGENTS, taskMs: TASK_MS, ...latency, cold, warm };
  } finally {
    await deployment.stop();
  }
};
